"""Signed text form of operation tickets."""

import base64
import binascii
import hashlib
import hmac

import msgspec

from pimentospool.ids import OperationId
from pimentospool.policy import OperationRef


class TicketSigner:
    """Signs and verifies operation ids with the peers' shared key.

    Parameters
    ----------
    key : str
        Shared secret from the settings.
    """

    def __init__(self, *, key: str) -> None:
        self._key = key.encode()

    def sign(self, ticket: OperationRef) -> OperationId:
        """Return the operation id that names `ticket`."""
        payload = base64.urlsafe_b64encode(msgspec.json.encode(ticket))
        return OperationId(f"{payload.decode()}.{self._mac(payload)}")

    def verify(self, value: str) -> OperationRef | None:
        """Return the ticket, or None if it was not signed with the key."""
        payload, _, mac = value.partition(".")
        expected = self._mac(payload.encode(errors="replace"))
        if not hmac.compare_digest(mac.encode(errors="replace"), expected.encode()):
            return None
        try:
            data = base64.urlsafe_b64decode(payload)
            return msgspec.json.decode(data, type=OperationRef)
        except (binascii.Error, msgspec.DecodeError):
            return None

    def _mac(self, payload: bytes) -> str:
        return hmac.new(self._key, b"ticket:" + payload, hashlib.sha256).hexdigest()
