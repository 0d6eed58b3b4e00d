"""All faults of a document are reported at once, each with its path."""

import tomllib
from pathlib import Path

import msgspec
import pytest

from pimentospool import readers
from pimentospool._generated.platform import RevisionIndex
from pimentospool.errors import DocumentErrors
from pimentospool.manifest import parse_manifest

MANIFEST = Path(__file__).resolve().parents[1] / "examples/magnolia/manifest.toml"


def faulty_manifest():
    """Return a manifest with both schema faults and semantic faults."""
    raw = tomllib.loads(MANIFEST.read_text())
    raw["surplus"] = 1
    raw["regions"][0]["cost"] = "much"
    raw["targets"][0]["slots"] = "eight"
    raw["targets"][1]["zone"] = "nowhere"
    raw["targets"][2]["id"] = raw["targets"][3]["id"]
    raw["customers"][0]["allowed_regions"] = []
    raw["customers"][1]["models"] = ["unheard-of"]
    return msgspec.json.encode(raw)


EXPECTED = {
    "$",
    "regions[0].cost",
    "targets[0].slots",
    "targets[1].zone",
    "targets[2].id",
    "targets[3].id",
    "customers[0].allowed_regions",
    "customers[1].models[0]",
}


def fault_paths():
    with pytest.raises(DocumentErrors) as caught:
        parse_manifest(faulty_manifest())
    return {fault.path for fault in caught.value.exceptions}


def test_schema_and_semantic_faults_are_reported_together():
    assert fault_paths() == EXPECTED


def test_comparison_detects_missing_semantic_faults(monkeypatch):
    monkeypatch.setattr(readers, "_faults_of_valid_items", lambda semantic, schema: [])
    assert fault_paths() < EXPECTED


def test_item_with_a_schema_fault_reports_no_semantic_faults():
    raw = tomllib.loads(MANIFEST.read_text())
    del raw["zones"][0]["region"]
    with pytest.raises(DocumentErrors) as caught:
        parse_manifest(msgspec.json.encode(raw))
    paths = [fault.path for fault in caught.value.exceptions]
    assert paths[0] == "zones[0]"


def test_deeply_nested_document_is_refused():
    data = b'{"unknown": ' + b"[" * 20_000 + b"]" * 20_000 + b"}"
    with pytest.raises(DocumentErrors):
        readers.decode_json(data, RevisionIndex, lambda document: [])
