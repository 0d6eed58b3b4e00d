"""Signed header of a hop between entry VMs."""

import base64
import hashlib
import hmac

import msgspec

from pimentospool._generated.callers import HopHeader

HOP_HEADER = "X-Hop"
HOP_PREFIX = "/hop"


class HopSigner:
    """Signs and verifies hop headers with the peers' shared key.

    Parameters
    ----------
    key : str
        Shared secret from the settings.
    """

    def __init__(self, *, key: str) -> None:
        self._key = key.encode()

    def sign(self, header: HopHeader) -> str:
        """Return the value of the hop's HTTP header."""
        payload = base64.urlsafe_b64encode(msgspec.json.encode(header))
        return f"{payload.decode()}.{self._mac(payload)}"

    def verify(self, value: str) -> HopHeader | None:
        """Return the header, or None if it was not signed with the key."""
        payload, _, mac = value.encode("utf-8", "replace").partition(b".")
        if not hmac.compare_digest(mac, self._mac(payload).encode()):
            return None
        try:
            data = base64.urlsafe_b64decode(payload)
            return msgspec.json.decode(data, type=HopHeader)
        except ValueError:
            return None

    def _mac(self, payload: bytes) -> str:
        return hmac.new(self._key, b"hop:" + payload, hashlib.sha256).hexdigest()
