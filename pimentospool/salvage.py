"""What can still be checked of a document that has faults of structure."""

from typing import Any, TypeVar

import msgspec
from msgspec import inspect

T = TypeVar("T")


def salvage(raw: Any, kind: type[T]) -> T:
    """Return `raw` as `kind`, with a blank in place of each value of another type.

    Items of lists keep their places, so that paths into the document stay true.
    """
    return _salvage(raw, inspect.type_info(kind))


def _salvage(raw: Any, info: inspect.Type) -> Any:
    if isinstance(info, inspect.Metadata):
        return _salvage(raw, info.type)
    if isinstance(info, inspect.StructType):
        return _salvage_struct(raw if isinstance(raw, dict) else {}, info)
    if isinstance(info, inspect.ListType):
        items = raw if isinstance(raw, list) else []
        return [_salvage(item, info.item_type) for item in items]
    if isinstance(info, inspect.EnumType):
        members = {member.value: member for member in info.cls}
        known = isinstance(raw, str) and raw in members
        return members[raw] if known else next(iter(info.cls))
    return _salvage_scalar(raw, info)


def _salvage_struct(raw: dict[str, Any], info: inspect.StructType) -> msgspec.Struct:
    values = {
        field.name: _salvage(raw.get(field.encode_name), field.type)
        for field in info.fields
        if field.encode_name in raw or field.required
    }
    return info.cls(**values)


def _salvage_scalar(raw: Any, info: inspect.Type) -> str | int | float | bool:
    if isinstance(info, inspect.StrType):
        return raw if isinstance(raw, str) else ""
    if isinstance(info, inspect.BoolType):
        return raw is True
    number = 0 if isinstance(raw, bool) else raw
    if isinstance(info, inspect.IntType):
        return number if isinstance(number, int) else 0
    if isinstance(info, inspect.FloatType):
        return float(number) if isinstance(number, int | float) else 0.0
    raise TypeError(f"no blank for {info}")
