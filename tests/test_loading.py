"""Loading of revisions in short steps, and detection of process pauses."""

import asyncio
from pathlib import Path

import msgspec
import pytest

from pimentospool.errors import DocumentErrors
from pimentospool.loading import ManifestLoader
from pimentospool.manifest import read_manifest
from pimentospool.pauses import PauseDetector
from pimentospool.revisions import pack_manifest, unpack_manifest

EXAMPLE = Path(__file__).resolve().parent.parent / "examples/magnolia/manifest.toml"


def packed(**changes):
    manifest = msgspec.structs.replace(read_manifest(EXAMPLE), **changes)
    return pack_manifest(manifest, revision=2)


def load(loader, pack):
    return asyncio.run(loader.load(pack.index, pack.parts))


def test_loader_returns_the_unpacked_manifest_also_from_cached_parts():
    loader = ManifestLoader()
    pack = packed()
    expected = unpack_manifest(pack.index, pack.parts)
    assert load(loader, pack) == expected
    loader.evict_except(pack.index)
    assert load(loader, pack) == expected


def test_loader_reports_the_same_faults_as_unpacking():
    manifest = read_manifest(EXAMPLE)
    customer = msgspec.structs.replace(manifest.customers[1], models=["unknown"])
    pack = packed(customers=[manifest.customers[0], customer])
    with pytest.raises(DocumentErrors) as unpacked:
        unpack_manifest(pack.index, pack.parts)
    with pytest.raises(DocumentErrors) as loaded:
        load(ManifestLoader(), pack)
    assert list(map(str, loaded.value.exceptions)) == list(
        map(str, unpacked.value.exceptions)
    )


@pytest.mark.parametrize("break_part", [lambda data: data + b" ", lambda data: b"{"])
def test_part_that_does_not_match_its_digest_is_refused(break_part):
    pack = packed()
    for digest in pack.parts:
        parts = pack.parts | {digest: break_part(pack.parts[digest])}
        with pytest.raises(DocumentErrors):
            asyncio.run(ManifestLoader().load(pack.index, parts))


def test_pause_is_reported_once_and_only_from_the_minimum_on():
    times = iter((0.0, 1.9, 3.8, 10.0, 10.1))
    detector = PauseDetector(min_pause_seconds=2.0, clock=lambda: next(times))
    gaps = []
    detector.paused.connect(gaps.append)
    for _ in range(4):
        detector.check()
    assert gaps == [pytest.approx(6.2)]
