"""Decoding of TOML and JSON documents with every fault reported at once."""

import json
import tomllib
from functools import cache
from importlib import resources
from typing import Any, TypeVar

import jsonschema
import msgspec

from pimentospool.errors import DocumentError, DocumentErrors

T = TypeVar("T")


def decode_toml(data: bytes, kind: type[T]) -> T:
    """Decode a TOML document into `kind`.

    Raises
    ------
    DocumentErrors
        With every fault of structure that the document has.
    """
    try:
        raw = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise _syntax_error(kind, f"not valid TOML: {exc}") from exc
    return _convert(raw, kind)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode a JSON document into `kind`.

    Raises
    ------
    DocumentErrors
        With every fault of structure that the document has.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError:
        return _convert(json.loads(data), kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _syntax_error(kind, f"not valid JSON: {exc}") from exc


def raise_document_errors(message: str, faults: list[DocumentError]) -> None:
    """Raise `faults` together, or return where there are none."""
    if faults:
        raise DocumentErrors(message, faults)


def _convert(raw: Any, kind: type[T]) -> T:
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as exc:
        faults = _schema_faults(raw, kind.__name__.lower())
        if not faults:
            faults = [DocumentError(path="$", message=str(exc))]
        raise DocumentErrors(f"{kind.__name__.lower()} refused", faults) from exc


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
    return DocumentErrors(f"{kind.__name__.lower()} refused", [fault])
