"""`pimentospool demo`."""

import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from pimentospool.commands._common import EXIT_FAILED, FILE, read_or_exit, run
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
    rows = run(_run(Demo(manifest=checked, requests=requests, seed=seed)))
    Console(width=120).print(_table(deployment, rows))
    if any(row.tally.sent != row.tally.whole for row in rows):
        sys.exit(EXIT_FAILED)


async def _run(made: Demo) -> list[DemoRow]:
    return await made.run()


def _table(title: str, rows: list[DemoRow]) -> Table:
    table = Table(title=title)
    for name in ("region", "kind", "sent", "whole", "refused"):
        table.add_column(name)
    for name in ("first p50", "p95", "p99 ms", "total p50", "p95", "p99 ms"):
        table.add_column(name, justify="right")
    for row in rows:
        tally = row.tally
        refused = ", ".join(f"{name} {n}" for name, n in tally.refused.items()) or "0"
        times = [
            f"{histogram.get_value_at_percentile(share) / 1000:.1f}"
            for histogram in (tally.first, tally.total)
            for share in (50, 95, 99)
        ]
        table.add_row(
            row.region,
            row.kind.value,
            str(tally.sent),
            str(tally.whole),
            refused,
            *times,
        )
    return table
