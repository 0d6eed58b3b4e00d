"""Base type of documents that people write."""

import msgspec


class Document(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Struct that refuses keys that its schema does not name."""


class Message(msgspec.Struct, kw_only=True, array_like=True):
    """Struct that is encoded as an array; later versions only append fields."""
