"""`pimentospool bench policy-cost`."""

from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool.bench._policy_cost import DecisionCost, measure_decisions
from pimentospool.commands._progress import progress_spinner

_SIZES = [(9, 3, 3), (81, 3, 3), (6500, 8, 25), (812, 1, 3), (6500, 1, 3)]
"""Targets, regions and zones; the last two sizes have a single region."""


@click.command(name="policy-cost")
@click.option("--decisions", default=20_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "output", type=click.Path(path_type=Path, dir_okay=False))
def policy_cost(decisions: int, seed: int, output: Path | None) -> None:
    """Time one routing decision in deployments of 9 to 6,500 targets."""
    with progress_spinner("timing decisions"):
        costs = [
            measure_decisions(
                targets=targets,
                regions=regions,
                zones=zones,
                decisions=decisions,
                seed=seed,
            )
            for targets, regions, zones in _SIZES
        ]
    Console(width=120).print(_make_table(costs))
    if output is not None:
        output.write_bytes(msgspec.json.encode(costs))


def _make_table(costs: list[DecisionCost]) -> Table:
    table = Table(title="one decision, in microseconds")
    for name in ("targets", "own region's", "regions", "zones"):
        table.add_column(name, justify="right")
    for name in ("mean", "p50", "p99", "start and finish", "manifest (ms)"):
        table.add_column(name, justify="right")
    for item in costs:
        table.add_row(
            str(item.targets),
            str(item.own_targets),
            str(item.regions),
            str(item.zones),
            f"{item.mean_us:.1f}",
            f"{item.choose_p50_us:.1f}",
            f"{item.choose_p99_us:.1f}",
            f"{item.start_finish_us:.1f}",
            f"{item.manifest_ms:.1f}",
        )
    return table
