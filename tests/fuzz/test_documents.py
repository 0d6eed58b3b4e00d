"""Parsers of documents accept any input or refuse it with located errors."""

import copy
import tomllib
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool._generated.platform import PartRef, RevisionIndex
from pimentospool.errors import DocumentErrors
from pimentospool.manifest import parse_manifest
from pimentospool.revisions import digest_of, unpack_manifest
from pimentospool.settings import parse_settings

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
MANIFEST = tomllib.loads((EXAMPLES / "magnolia/manifest.toml").read_text())
SETTINGS = tomllib.loads((EXAMPLES / "magnolia/entries/gulf-1.toml").read_text())

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=20),
)
values = st.recursive(
    scalars,
    lambda children: st.one_of(
        st.lists(children, max_size=3),
        st.dictionaries(st.text(max_size=8), children, max_size=3),
    ),
    max_leaves=5,
)


def value_paths(node, path=()):
    """Return the path of every value in a document."""
    paths = [path] if path else []
    if isinstance(node, dict):
        for name in node:
            paths += value_paths(node[name], (*path, name))
    elif isinstance(node, list):
        for number, item in enumerate(node):
            paths += value_paths(item, (*path, number))
    return paths


def mutate(document, path, value):
    """Return the document with another value at a path."""
    changed = copy.deepcopy(document)
    node = changed
    for key in path[:-1]:
        node = node[key]
    node[path[-1]] = value
    return changed


def check_accepted_or_refused(parse, data):
    try:
        parse(data)
    except DocumentErrors as exc:
        assert exc.exceptions
        for fault in exc.exceptions:
            assert fault.path
            assert fault.message


@given(data=st.binary(max_size=300))
@pytest.mark.parametrize("parse", [parse_manifest, parse_settings])
def test_any_bytes_are_accepted_or_refused(parse, data):
    check_accepted_or_refused(parse, data)


@given(document=values)
def test_any_json_is_accepted_or_refused(document):
    check_accepted_or_refused(parse_manifest, b" " + msgspec.json.encode(document))


@given(path=st.sampled_from(value_paths(MANIFEST)), value=values)
def test_manifest_with_one_value_changed_is_accepted_or_refused(path, value):
    document = mutate(MANIFEST, path, value)
    check_accepted_or_refused(parse_manifest, msgspec.json.encode(document))


@given(
    path=st.sampled_from(value_paths(SETTINGS)),
    value=st.one_of(st.integers(), st.text()),
)
def test_settings_with_one_value_changed_are_accepted_or_refused(path, value):
    document = mutate(SETTINGS, path, value)
    check_accepted_or_refused(parse_settings, msgspec.toml.encode(document))


@given(parts=st.lists(st.one_of(st.binary(max_size=60), values), max_size=4))
def test_any_published_parts_are_accepted_or_refused(parts):
    encoded = [
        part if isinstance(part, bytes) else msgspec.json.encode(part) for part in parts
    ]
    refs = [
        PartRef(name=str(number), digest=digest_of(data), size=len(data))
        for number, data in enumerate(encoded)
    ]
    index = RevisionIndex(revision=1, parts=refs)
    by_digest = {digest_of(data): data for data in encoded}
    check_accepted_or_refused(lambda _: unpack_manifest(index, by_digest), b"")
