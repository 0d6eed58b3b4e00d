"""A short drill with real entry processes, its terminal view and its report."""

import io
from pathlib import Path

import msgspec
from rich.console import Console

from pimentospool.drill import (
    Drill,
    DrillView,
    Promise,
    make_report,
    parse_scenario,
    write_report,
)
from pimentospool.manifest import read_manifest

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
SCENARIO = b"""
name = "short"
title = "A link is cut while an entry VM is killed"
seconds = 7.0
requests_per_second = 25.0
[[faults]]
kind = "manifest-published"
start = 0.5
[[faults]]
kind = "link-cut"
start = 1.0
end = 6.0
[[faults]]
kind = "entry-killed"
start = 1.5
end = 4.0
"""
EXPECTED_TRIED = {Promise.ALLOWED_REGIONS, Promise.WHOLE_ANSWERS, Promise.AT_MOST_ONCE}


def test_drill_holds_its_promises_and_reports_them(runner, tmp_path):
    manifest = read_manifest(EXAMPLES / "magnolia" / "manifest.toml")
    drill = Drill(manifest=manifest, scenarios=[parse_scenario(SCENARIO)], seed=1)
    progress = []
    evidence = runner.run(drill.run(progress.append))
    report = make_report(evidence, seed=1)
    console = Console(width=120, record=True, file=io.StringIO())
    console.print(DrillView(console=console, progress=progress[0]).render())
    text = console.export_text()
    assert "A link is cut while an entry VM is killed" in text
    assert all(promise.value in text for promise in Promise)
    results = {item.promise: item for item in report.promises}
    assert not [item for item in report.promises if item.broken], report.promises
    for promise in EXPECTED_TRIED:
        assert results[promise.value].tried, promise
    assert report.unmatched_executions == 0
    assert report.requests > 100
    page = write_report(report, evidence, tmp_path).read_text()
    assert "<svg" in page
    assert 'src="' not in page
    assert 'href="http' not in page
    for promise in Promise:
        assert promise.value in page
    figures = msgspec.json.decode((tmp_path / "report.json").read_bytes())
    assert figures["held"] is False, "a promise that no event tried is not held"
    records = (tmp_path / "records.jsonl").read_bytes().splitlines()
    assert len(records) == report.requests
