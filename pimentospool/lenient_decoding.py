"""Lenient decoding of documents with structural faults, so that the rest is checked."""

from typing import Any, TypeVar

import msgspec
from msgspec import inspect

T = TypeVar("T")


def decode_leniently(raw: Any, kind: type[T]) -> T:
    """Return `raw` as `kind`, with a placeholder for each value of a wrong type.

    Items of lists keep their positions, so that paths into the document stay valid.
    """
    return _convert(raw, inspect.type_info(kind))


def _convert(raw: Any, info: inspect.Type) -> Any:
    if isinstance(info, inspect.Metadata):
        return _convert(raw, info.type)
    if isinstance(info, inspect.StructType):
        return _convert_struct(raw if isinstance(raw, dict) else {}, info)
    if isinstance(info, inspect.ListType):
        items = raw if isinstance(raw, list) else []
        return [_convert(item, info.item_type) for item in items]
    if isinstance(info, inspect.EnumType):
        members = {member.value: member for member in info.cls}
        is_member = isinstance(raw, str) and raw in members
        return members[raw] if is_member else next(iter(info.cls))
    return _convert_scalar(raw, info)


def _convert_struct(raw: dict[str, Any], info: inspect.StructType) -> msgspec.Struct:
    values = {
        field.name: _convert(raw.get(field.encode_name), field.type)
        for field in info.fields
        if field.encode_name in raw or field.required
    }
    return info.cls(**values)


def _convert_scalar(raw: Any, info: inspect.Type) -> str | int | float | bool:
    if isinstance(info, inspect.StrType):
        return raw if isinstance(raw, str) else ""
    if isinstance(info, inspect.BoolType):
        return raw is True
    number = 0 if isinstance(raw, bool) else raw
    if isinstance(info, inspect.IntType):
        return number if isinstance(number, int) else 0
    if isinstance(info, inspect.FloatType):
        return float(number) if isinstance(number, int | float) else 0.0
    raise TypeError(f"no placeholder for type {info}")
