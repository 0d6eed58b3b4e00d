"""`pimentospool score`."""

import json
from pathlib import Path

from click.testing import CliRunner

from pimentospool.commands._score import score

MANIFEST = Path(__file__).resolve().parents[2] / "examples/magnolia/manifest.toml"
BASE = ["--manifest", str(MANIFEST), "--model", "care-assistant"]


def run(*options):
    return CliRunner().invoke(score, [*BASE, *options])


def test_every_candidate_and_the_decision_are_printed(tmp_path):
    busy = {"running": 8, "waiting": 30, "waiting_tokens": 9000, "age_seconds": 0.1}
    loads = tmp_path / "loads.json"
    loads.write_text(json.dumps({"targets": {"gulf-engine-1": busy}}))
    result = run("--customer", "stores-gulf", "--loads", str(loads))
    assert result.exit_code == 0
    for name in ("gulf-engine-1", "gulf-engine-2", "piedmont", "delta"):
        assert name in result.output
    assert "target gulf-engine-" in result.output
    assert "target gulf-engine-1" not in result.output


def test_only_allowed_regions_are_candidates():
    result = run("--customer", "home-bound")
    assert "piedmont" not in result.output


def test_unknown_names_and_faulty_loads_exit_with_2(tmp_path):
    assert run("--customer", "nobody").exit_code == 2
    assert run("--customer", "stores-gulf", "--region", "x").exit_code == 2
    loads = tmp_path / "loads.json"
    loads.write_text('{"wrong": 1}')
    assert run("--customer", "stores-gulf", "--loads", str(loads)).exit_code == 2
