"""`pimentospool bench heartbeats`."""

from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool.bench._heartbeats import HeartbeatCost, measure_heartbeats
from pimentospool.commands._progress import progress_spinner

_SIZES = [(8, 3, 8), (30, 3, 10), (70, 3, 25), (100, 3, 25), (300, 3, 40), (930, 8, 40)]
"""Entry VMs, regions, and targets at which each entry VM has requests."""


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "output", type=click.Path(path_type=Path, dir_okay=False))
def heartbeats(seed: int, output: Path | None) -> None:
    """Measure the cost of heartbeats for one entry VM, in fleets of up to 930."""
    with progress_spinner("sending heartbeats"):
        costs = [
            measure_heartbeats(
                entries=entries, regions=regions, busy_targets=busy_targets, seed=seed
            )
            for entries, regions, busy_targets in _SIZES
        ]
    Console(width=120).print(_make_table(costs))
    if output is not None:
        output.write_bytes(msgspec.json.encode(costs))


def _make_table(costs: list[HeartbeatCost]) -> Table:
    table = Table(title="heartbeats that one entry VM sends; it receives as many")
    for name in (
        "entry VMs",
        "regions",
        "busy targets",
        "datagrams/s",
        "largest (bytes)",
        "KB/s",
        "sending (% core)",
        "receiving (% core)",
    ):
        table.add_column(name, justify="right")
    for item in costs:
        table.add_row(
            str(item.entries),
            str(item.regions),
            str(item.busy_targets),
            f"{item.datagrams_per_second:.0f}",
            str(item.largest_bytes),
            f"{item.kilobytes_per_second:.1f}",
            f"{100 * item.send_share:.2f}",
            f"{100 * item.receive_share:.2f}",
        )
    return table
