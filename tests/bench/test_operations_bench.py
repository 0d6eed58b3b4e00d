"""The operations bench through real processes, with a small fleet."""

from pathlib import Path

from pimentospool.bench import _operations
from pimentospool.bench._operations import OperationFault, OperationsBench
from pimentospool.client import NextStep, OperationHistory
from pimentospool.manifest import read_manifest

MANIFEST = Path(__file__).resolve().parents[2] / "examples/magnolia/manifest.toml"


class OnlyLostReplies(OperationsBench):
    """Injects only lost replies."""

    async def _inject_fault(self, kind, seconds):
        await super()._inject_fault(OperationFault.LOST_REPLIES, seconds)


def run_bench(runner, folder, monkeypatch, kind, operations):
    monkeypatch.setattr(_operations, "_ENTRIES_PER_ZONE", [2, 1, 1])
    bench = kind(
        manifest=read_manifest(MANIFEST),
        folder=folder,
        operations=operations,
        concurrency=8,
        seed=3,
    )
    return runner.run(bench.run())


def test_no_promise_is_broken(runner, tmp_path, monkeypatch):
    report = run_bench(runner, tmp_path, monkeypatch, OperationsBench, 80)
    assert report.no_promise_broken, report
    assert report.operations == 80
    assert report.answered > 40


def test_bench_counts_repeated_calls_when_callers_take_new_tickets(
    runner, tmp_path, monkeypatch
):
    """A caller that asks for a new ticket after a lost reply runs its call again."""
    monkeypatch.setattr(
        OperationHistory, "record_end", lambda self, end: NextStep.NEW_TICKET
    )
    report = run_bench(runner, tmp_path, monkeypatch, OnlyLostReplies, 20)
    assert report.repeated > 0
    assert not report.no_promise_broken
