"""`pimentospool bench operations`."""

import sys
import tempfile
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool.bench._operations import OperationsBench, OperationsReport
from pimentospool.commands._common import EXISTING_FILE, EXIT_FAILED, read_or_exit, run
from pimentospool.commands._progress import progress_spinner
from pimentospool.manifest import read_manifest


@click.command()
@click.argument("manifest", type=EXISTING_FILE)
@click.option("--operations", default=2000, show_default=True)
@click.option("--concurrency", default=32, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "output", type=click.Path(path_type=Path), help="Report file.")
def operations(
    manifest: Path, operations: int, concurrency: int, seed: int, output: Path | None
) -> None:
    """Send operations under faults and compare them with what the services ran.

    MANIFEST is one of the example manifests. Exits with 1 if a call ran more than
    once, ran although its caller got the verdict that it had not, got the answer of
    another call, or got an answer although it never ran.
    """
    parsed_manifest = read_or_exit(read_manifest, manifest)
    with tempfile.TemporaryDirectory() as folder:
        bench = OperationsBench(
            manifest=parsed_manifest,
            folder=Path(folder),
            operations=operations,
            concurrency=concurrency,
            seed=seed,
        )
        with progress_spinner("sending operations under faults"):
            report = run(bench.run())
    Console(width=88).print(_make_table(report))
    if output is not None:
        output.write_bytes(msgspec.json.encode(report))
    if not report.no_promise_broken:
        sys.exit(EXIT_FAILED)


def _make_table(report: OperationsReport) -> Table:
    table = Table(
        "figure", "count", title=f"operations under faults, seed {report.seed}"
    )
    for name, value in msgspec.to_builtins(report).items():
        if not isinstance(value, dict):
            table.add_row(name, str(value))
            continue
        for key, count in value.items():
            table.add_row(f"{name}: {key}", str(count))
    return table
