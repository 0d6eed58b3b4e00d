"""Encoding of control messages, signed with the peers' shared key."""

import hashlib
import hmac
from typing import TypeVar

import msgspec

from pimentospool._generated.peers import PeerAnswer, PeerRequest
from pimentospool.errors import PimentospoolError

_MAC_BYTES = 16
T = TypeVar("T", PeerRequest, PeerAnswer)


class CodecError(PimentospoolError):
    """Bytes that are not a valid message from a peer of this deployment."""


class PeerCodec:
    """Encodes messages as MessagePack behind a message authentication code.

    Parameters
    ----------
    deployment : str
        Name of the deployment; messages of other deployments fail verification.
    key : str
        Shared secret from the settings.
    """

    def __init__(self, *, deployment: str, key: str) -> None:
        self._key = hashlib.sha256(f"peers/{deployment}/{key}".encode()).digest()
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: PeerRequest | PeerAnswer) -> bytes:
        """Return a message in signed and encoded form."""
        payload = self._encoder.encode(message)
        return self._mac(type(message).__name__, payload) + payload

    def decode(self, data: bytes, kind: type[T]) -> T:
        """Return the message in `data`; unknown fields are ignored.

        Raises
        ------
        CodecError
            If the signature is wrong or the content cannot be decoded.
        """
        payload = data[_MAC_BYTES:]
        if not hmac.compare_digest(
            data[:_MAC_BYTES], self._mac(kind.__name__, payload)
        ):
            raise CodecError("message is not signed with the peers' key")
        try:
            return msgspec.msgpack.decode(payload, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise CodecError(f"payload is not a valid {kind.__name__}: {exc}") from exc

    def _mac(self, kind: str, payload: bytes) -> bytes:
        data = kind.encode() + b"/" + payload
        return hashlib.blake2b(data, key=self._key, digest_size=_MAC_BYTES).digest()
