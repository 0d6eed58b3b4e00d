"""Decoding of TOML and JSON documents that reports all faults at once."""

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
from pimentospool.lenient_decoding import decode_leniently

T = TypeVar("T")
Check = Callable[[T], list[DocumentError]]


def decode_toml(data: bytes, kind: type[T], check: Check[T]) -> T:
    """Decode a TOML document into `kind` and check its semantics.

    Raises
    ------
    DocumentErrors
        With all faults of the document, both schema and semantic ones.
    """
    try:
        raw = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise _syntax_error(kind, f"not valid TOML: {exc}") from exc
    return _convert(raw, kind, check)


def decode_json(data: bytes, kind: type[T], check: Check[T]) -> T:
    """Decode a JSON document into `kind` and check its semantics.

    Raises
    ------
    DocumentErrors
        With all faults of the document, both schema and semantic ones.
    """
    try:
        document = msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError:
        return _convert(json.loads(data), kind, check)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise _syntax_error(kind, f"not valid JSON: {exc}") from exc
    raise_document_errors(_refusal_message(kind), check(document))
    return document


def raise_document_errors(message: str, faults: list[DocumentError]) -> None:
    """Raise all `faults` as one error group; return if there are none."""
    if faults:
        raise DocumentErrors(message, faults)


def _convert(raw: Any, kind: type[T], check: Check[T]) -> T:
    try:
        document = msgspec.convert(raw, kind)
    except msgspec.ValidationError as exc:
        faults = _schema_faults(raw, kind.__name__.lower())
        if not faults:
            faults = [DocumentError(path="$", message=str(exc))]
        faults += _faults_of_valid_items(check(decode_leniently(raw, kind)), faults)
        raise DocumentErrors(_refusal_message(kind), faults) from exc
    raise_document_errors(_refusal_message(kind), check(document))
    return document


def _faults_of_valid_items(
    semantic_faults: list[DocumentError], schema_faults: list[DocumentError]
) -> list[DocumentError]:
    """Return the semantic faults of items that have no schema fault."""
    faulty_items = {_first_item(fault.path) for fault in schema_faults}
    return [
        fault
        for fault in semantic_faults
        if _first_item(fault.path) not in faulty_items
    ]


def _first_item(path: str) -> str:
    """Return the first item or section of a path, such as ``customers[3]``."""
    return re.split(r"(?<=\])|\.", path, maxsplit=1)[0]


def _refusal_message(kind: type) -> str:
    return f"{kind.__name__.lower()} refused"


def _schema_faults(raw: Any, name: str) -> list[DocumentError]:
    errors = sorted(_validator(name).iter_errors(raw), key=lambda exc: exc.json_path)
    return [
        DocumentError(path=exc.json_path.removeprefix("$."), message=_describe(exc))
        for exc in errors
    ]


def _describe(exc: jsonschema.ValidationError) -> str:
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
    return DocumentErrors(_refusal_message(kind), [fault])
