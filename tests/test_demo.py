"""Outcomes of a short demo run."""

from pathlib import Path

import pytest

from pimentospool.demo import Demo
from pimentospool.load import CallKind
from pimentospool.manifest import read_manifest

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@pytest.mark.parametrize("deployment", ["magnolia", "tsuzumi"])
def test_every_request_of_every_region_and_kind_gets_a_complete_answer(
    runner, deployment
):
    manifest = read_manifest(EXAMPLES / deployment / "manifest.toml")
    rows = runner.run(Demo(manifest=manifest, requests=150, seed=1).run())
    region_kinds = {(row.latencies.region, row.latencies.kind) for row in rows}
    assert {kind for _, kind in region_kinds} == set(CallKind)
    assert {region for region, _ in region_kinds} == {
        item.id for item in manifest.regions
    }
    for row in rows:
        assert row.whole == row.latencies.sent, row
        assert not row.refused
        assert 0 <= row.sent_away <= row.latencies.sent
        assert row.cost > 0
