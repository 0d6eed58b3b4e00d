"""Digests of API keys."""

import hashlib

from pimentospool.ids import KeyDigest

DIGEST_BYTES = 16
"""Length of a digest; two keys of a deployment have the same one by no real chance."""


def key_digest(key: bytes) -> KeyDigest:
    """Return the digest of an API key.

    Keys are compared by their digests, so the time of a comparison doesn't tell how
    much of a key is right.
    """
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())
