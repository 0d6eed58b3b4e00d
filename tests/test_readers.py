"""All the faults of a document at once, each with its place."""

import tomllib
from pathlib import Path

import msgspec
import pytest

from pimentospool import readers
from pimentospool.errors import DocumentErrors
from pimentospool.manifest import parse_manifest

MANIFEST = Path(__file__).resolve().parents[1] / "examples/magnolia/manifest.toml"


def faulty_manifest():
    """Return a manifest with faults of structure and of meaning, in one document."""
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


def test_faults_of_structure_and_of_meaning_come_together():
    assert fault_paths() == EXPECTED


def test_check_fails_when_meaning_waits_for_structure(monkeypatch):
    monkeypatch.setattr(readers, "_other_faults", lambda found, structural: [])
    assert fault_paths() < EXPECTED


def test_an_item_with_a_fault_of_structure_brings_no_further_ones():
    raw = tomllib.loads(MANIFEST.read_text())
    del raw["zones"][0]["region"]
    with pytest.raises(DocumentErrors) as caught:
        parse_manifest(msgspec.json.encode(raw))
    paths = [fault.path for fault in caught.value.exceptions]
    assert paths[0] == "zones[0]"
