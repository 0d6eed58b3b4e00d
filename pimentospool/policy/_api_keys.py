"""Digests of API keys, and whose keys they are."""

import hashlib
from collections.abc import Iterable
from typing import Generic, TypeVar

from pimentospool.ids import KeyDigest

T = TypeVar("T")

KEY_DIGEST_BYTES = 16
"""Length of a digest; two keys of a deployment have the same one by no real chance."""


def key_digest(key: bytes) -> KeyDigest:
    """Return the digest of an API key.

    Keys are compared by their digests, so the time of a comparison doesn't tell how
    much of a key is right.
    """
    return KeyDigest(hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest())


class KeyTable(Generic[T]):
    """Owners of the API keys of one configuration, by digest.

    Parameters
    ----------
    owners : iterable of pairs of an owner and its digests
        If several owners have the same key, it is the first one's, on every entry VM.
    """

    def __init__(self, owners: Iterable[tuple[T, Iterable[KeyDigest]]] = ()) -> None:
        self._owners: dict[KeyDigest, T] = {}
        for owner, digests in owners:
            for digest in digests:
                self._owners.setdefault(digest, owner)

    def owner(self, digest: KeyDigest | None) -> T | None:
        """Return whose key has `digest`, None for a missing or unknown key."""
        return None if digest is None else self._owners.get(digest)
