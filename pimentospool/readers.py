"""Decoding of TOML and JSON documents with every fault reported at once."""

import json
import re
import tomllib
from collections.abc import Callable
from functools import cache
from importlib import resources
from typing import Any, TypeVar

import jsonschema
import msgspec

from pimentospool.errors import DocumentError, DocumentErrors
from pimentospool.salvage import salvage

T = TypeVar("T")
Check = Callable[[T], list[DocumentError]]


def decode_toml(data: bytes, kind: type[T], check: Check[T]) -> T:
    """Decode a TOML document into `kind` and check its meaning.

    Raises
    ------
    DocumentErrors
        With every fault of structure and of meaning that the document has.
    """
    try:
        raw = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise _syntax_error(kind, f"not valid TOML: {exc}") from exc
    return _convert(raw, kind, check)


def decode_json(data: bytes, kind: type[T], check: Check[T]) -> T:
    """Decode a JSON document into `kind` and check its meaning.

    Raises
    ------
    DocumentErrors
        With every fault of structure and of meaning that the document has.
    """
    try:
        document = msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError:
        return _convert(json.loads(data), kind, check)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _syntax_error(kind, f"not valid JSON: {exc}") from exc
    raise_document_errors(_refused(kind), check(document))
    return document


def raise_document_errors(message: str, faults: list[DocumentError]) -> None:
    """Raise `faults` together, or return where there are none."""
    if faults:
        raise DocumentErrors(message, faults)


def _convert(raw: Any, kind: type[T], check: Check[T]) -> T:
    try:
        document = msgspec.convert(raw, kind)
    except msgspec.ValidationError as exc:
        faults = _schema_faults(raw, kind.__name__.lower())
        if not faults:
            faults = [DocumentError(path="$", message=str(exc))]
        faults += _other_faults(check(salvage(raw, kind)), faults)
        raise DocumentErrors(_refused(kind), faults) from exc
    raise_document_errors(_refused(kind), check(document))
    return document


def _other_faults(
    found: list[DocumentError], structural: list[DocumentError]
) -> list[DocumentError]:
    """Return the faults found in items whose structure has no fault."""
    known = {_item_of(fault.path) for fault in structural}
    return [fault for fault in found if _item_of(fault.path) not in known]


def _item_of(path: str) -> str:
    """Return the first item or section of a path, such as ``customers[3]``."""
    return re.split(r"(?<=\])|\.", path, maxsplit=1)[0]


def _refused(kind: type) -> str:
    return f"{kind.__name__.lower()} refused"


def _schema_faults(raw: Any, name: str) -> list[DocumentError]:
    errors = sorted(_validator(name).iter_errors(raw), key=lambda exc: exc.json_path)
    return [
        DocumentError(path=exc.json_path.removeprefix("$."), message=_explain(exc))
        for exc in errors
    ]


def _explain(exc: jsonschema.ValidationError) -> str:
    if exc.validator == "additionalProperties" and isinstance(exc.schema, dict):
        known = ", ".join(sorted(exc.schema.get("properties", {})))
        return f"{exc.message}; known keys: {known}"
    return exc.message


@cache
def _validator(name: str) -> jsonschema.Draft202012Validator:
    path = resources.files("pimentospool").joinpath(f"schema/{name}.json")
    schema = json.loads(path.read_text())
    return jsonschema.Draft202012Validator(schema)


def _syntax_error(kind: type, message: str) -> DocumentErrors:
    fault = DocumentError(path="$", message=message)
    return DocumentErrors(_refused(kind), [fault])
