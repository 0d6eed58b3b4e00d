"""`pimentospool bench membership`."""

from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool.bench._membership import MembershipTimes, measure_membership
from pimentospool.commands._progress import progress_spinner


@click.command()
@click.option("--entries", default=195, show_default=True, help="Entry VMs.")
@click.option("--regions", default=3, show_default=True)
@click.option(
    "--loss", default=0.05, show_default=True, help="Share of datagrams lost."
)
@click.option(
    "--seconds", default=60.0, show_default=True, help="Simulated time without faults."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "output", type=click.Path(path_type=Path, dir_okay=False))
def membership(
    entries: int,
    regions: int,
    loss: float,
    seconds: float,
    seed: int,
    output: Path | None,
) -> None:
    """Simulate the membership of a fleet: false deaths, and times of changes."""
    with progress_spinner("simulating the fleet"):
        times = measure_membership(
            entries=entries,
            regions=regions,
            loss=loss,
            steady_seconds=seconds,
            seed=seed,
        )
    Console(width=100).print(_make_table(times))
    if output is not None:
        output.write_bytes(msgspec.json.encode(times))


def _make_table(times: MembershipTimes) -> Table:
    table = Table(title=f"{times.entries} entry VMs in {times.regions} regions")
    table.add_column("measure")
    table.add_column("value", justify="right")
    rows = [
        ("datagrams lost", f"{times.loss:.0%}"),
        ("simulated without faults (s)", f"{times.steady_seconds:.0f}"),
        (
            "pairs of running members unknown to each other, at most",
            times.missing_pairs,
        ),
        ("death known to 99 of 100 (s)", f"{times.dead_known_seconds:.1f}"),
        ("restart known to all (s)", f"{times.restart_known_seconds:.1f}"),
        ("all known after all regions were apart (s)", f"{times.rejoin_seconds:.1f}"),
        ("gossip sent by each entry VM (KB/s)", f"{times.kilobytes_per_second:.1f}"),
    ]
    for name, value in rows:
        table.add_row(name, str(value))
    return table
