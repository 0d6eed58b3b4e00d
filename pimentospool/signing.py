"""Signed text encoding of messages that pass through callers or HTTP headers."""

import base64
import hashlib
import hmac
from typing import Generic, TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)


class TextSigner(Generic[T]):
    """Signs and verifies messages of one type with the peers' shared key.

    Parameters
    ----------
    key : str
        Secret that all entry VMs share, from the settings.
    purpose : str
        Purpose of the message; a text signed for one is not accepted for another.
    kind : type
        Type of the message.
    """

    def __init__(self, *, key: str, purpose: str, kind: type[T]) -> None:
        self._key = key.encode()
        self._purpose = purpose.encode()
        self._kind = kind

    def sign(self, message: T) -> str:
        """Return the signed text of `message`."""
        payload = base64.urlsafe_b64encode(msgspec.json.encode(message))
        return f"{payload.decode()}.{self._mac(payload)}"

    def verify(self, text: str) -> T | None:
        """Return the message, or None if its signature or its content is invalid."""
        payload, _, mac = text.encode("utf-8", "replace").partition(b".")
        if not hmac.compare_digest(mac, self._mac(payload).encode()):
            return None
        try:
            data = base64.urlsafe_b64decode(payload)
            return msgspec.json.decode(data, type=self._kind)
        except ValueError:
            return None

    def _mac(self, payload: bytes) -> str:
        data = self._purpose + b":" + payload
        return hmac.new(self._key, data, hashlib.sha256).hexdigest()
