"""`pimentospool demo`."""

import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from pimentospool.commands._common import EXISTING_FILE, EXIT_FAILED, read_or_exit, run
from pimentospool.commands._progress import progress_spinner
from pimentospool.demo import Demo, DemoRow
from pimentospool.manifest import read_manifest
from pimentospool.paths import EXAMPLES

DEPLOYMENTS = ["magnolia", "tsuzumi"]


@click.command()
@click.option("--deployment", type=click.Choice(DEPLOYMENTS), default="magnolia")
@click.option(
    "--manifest", type=EXISTING_FILE, help="Manifest to use instead of the example."
)
@click.option("--requests", default=400, show_default=True)
@click.option("--seed", default=1, show_default=True)
def demo(deployment: str, manifest: Path | None, requests: int, seed: int) -> None:
    """Start a deployment with stand-ins on loopback and send traffic through it."""
    path = manifest or EXAMPLES / deployment / "manifest.toml"
    parsed_manifest = read_or_exit(read_manifest, path)
    with progress_spinner(f"sending requests to {deployment}"):
        rows = run(_run(Demo(manifest=parsed_manifest, requests=requests, seed=seed)))
    Console(width=132).print(_make_table(deployment, rows))
    if not rows or any(row.latencies.sent != row.whole for row in rows):
        sys.exit(EXIT_FAILED)


async def _run(demo_run: Demo) -> list[DemoRow]:
    return await demo_run.run()


def _make_table(title: str, rows: list[DemoRow]) -> Table:
    table = Table(title=f"{title}; times in ms from when each request was due")
    for name in ("region", "kind", "sent", "whole", "refused"):
        table.add_column(name)
    for name in ("first p50", "p95", "p99", "total p50", "p95", "p99"):
        table.add_column(name, justify="right")
    for name in ("sent away", "cost"):
        table.add_column(name, justify="right")
    for row in rows:
        latencies = row.latencies
        refused = ", ".join(f"{name} {n}" for name, n in row.refused.items()) or "0"
        times = [
            f"{value:.1f}"
            for percentiles in (latencies.first, latencies.total)
            for value in (percentiles.p50_ms, percentiles.p95_ms, percentiles.p99_ms)
        ]
        table.add_row(
            latencies.region,
            latencies.kind.value,
            str(latencies.sent),
            str(row.whole),
            refused,
            *times,
            f"{row.sent_away / latencies.sent:.1%}",
            f"{row.cost:.2f}",
        )
    return table
