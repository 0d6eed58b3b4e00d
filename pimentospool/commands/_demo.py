"""`pimentospool demo`."""

import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from pimentospool.commands._common import EXIT_FAILED, FILE, read_or_exit, run
from pimentospool.commands._progress import working
from pimentospool.demo import Demo, DemoRow
from pimentospool.manifest import read_manifest
from pimentospool.paths import EXAMPLES

DEPLOYMENTS = ["magnolia", "tsuzumi"]


@click.command()
@click.option("--deployment", type=click.Choice(DEPLOYMENTS), default="magnolia")
@click.option("--manifest", type=FILE, help="A manifest in place of the example's.")
@click.option("--requests", default=400, show_default=True)
@click.option("--seed", default=1, show_default=True)
def demo(deployment: str, manifest: Path | None, requests: int, seed: int) -> None:
    """Bring up a deployment with its stand-ins on loopback and send it traffic."""
    path = manifest or EXAMPLES / deployment / "manifest.toml"
    checked = read_or_exit(read_manifest, path)
    with working(f"sending requests to {deployment}"):
        rows = run(_run(Demo(manifest=checked, requests=requests, seed=seed)))
    Console(width=132).print(_table(deployment, rows))
    if not rows or any(row.latencies.sent != row.whole for row in rows):
        sys.exit(EXIT_FAILED)


async def _run(made: Demo) -> list[DemoRow]:
    return await made.run()


def _table(title: str, rows: list[DemoRow]) -> Table:
    table = Table(title=f"{title}; times in ms from when each request was due")
    for name in ("region", "kind", "sent", "whole", "refused"):
        table.add_column(name)
    for name in ("first p50", "p95", "p99", "total p50", "p95", "p99"):
        table.add_column(name, justify="right")
    for name in ("sent away", "cost"):
        table.add_column(name, justify="right")
    for row in rows:
        seen = row.latencies
        refused = ", ".join(f"{name} {n}" for name, n in row.refused.items()) or "0"
        times = [
            f"{value:.1f}"
            for part in (seen.first, seen.total)
            for value in (part.p50_ms, part.p95_ms, part.p99_ms)
        ]
        table.add_row(
            seen.region,
            seen.kind.value,
            str(seen.sent),
            str(row.whole),
            refused,
            *times,
            f"{row.sent_away / seen.sent:.1%}",
            f"{row.cost:.2f}",
        )
    return table
