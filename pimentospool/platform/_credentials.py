"""Reading and encoding of API keys and tenants in headers."""

from collections.abc import Iterable

from pimentospool.gateway import KEY_DIGEST_BYTES, InboundRequest, key_digest
from pimentospool.ids import KeyDigest
from pimentospool.platform._headers import (
    CALLER_HEADERS,
    CREDENTIAL_HEADER,
    HOP_CREDENTIAL_HEADER,
    KEY_HEADERS,
    TENANT_HEADER,
)

Headers = Iterable[tuple[bytes, bytes]]


def read_key_digest(raw: Headers) -> KeyDigest | None:
    """Return the digest of a caller's API key.

    It is None if there is no key, or more than one: that which another program on the
    way has checked may not be the one that would be taken here.
    """
    keys = [value for name, value in raw if name.lower() == CREDENTIAL_HEADER]
    return key_digest(keys[0]) if len(keys) == 1 and keys[0] else None


def decode_hop_digest(value: str | None) -> KeyDigest | None:
    """Return the digest that a hop names, None if it names none."""
    try:
        digest = bytes.fromhex(value or "")
    except ValueError:
        return None
    return KeyDigest(digest) if len(digest) == KEY_DIGEST_BYTES else None


def caller_identity(
    raw: Headers, digest: KeyDigest | None, *, hides_credentials: bool
) -> bytes:
    """Return what tells the caller from others.

    With `hides_credentials`, the API key is represented by its digest; it is the last
    value, as at the receiver of a hop.
    """
    values = [
        value
        for name, value in raw
        if (lower_name := name.lower()) in CALLER_HEADERS
        and not (hides_credentials and lower_name == CREDENTIAL_HEADER)
    ]
    if hides_credentials and digest is not None:
        values.append(digest)
    return b"\n".join(values)


def without_credentials(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return `headers` without the API key and the tenant that the caller names."""
    return [item for item in headers if item[0].lower() not in KEY_HEADERS]


def tenant_headers(req: InboundRequest) -> list[tuple[bytes, bytes]]:
    """Return the headers that name the tenant of `req`, if it has one."""
    return [] if req.tenant is None else [(TENANT_HEADER, req.tenant.encode())]


def hop_digest_headers(req: InboundRequest) -> list[tuple[bytes, bytes]]:
    """Return the headers that name the checked key of `req`, if it has one."""
    if req.tenant is None or req.credential is None:
        return []
    return [(HOP_CREDENTIAL_HEADER, req.credential.hex().encode())]
