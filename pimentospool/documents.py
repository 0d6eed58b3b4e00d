"""Base types of documents written by people and of encoded messages."""

import msgspec


class Document(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Struct that rejects keys that are not in its schema."""


class Message(msgspec.Struct, kw_only=True, array_like=True):
    """Struct that is encoded as an array; later versions only append fields."""
