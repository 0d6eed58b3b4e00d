"""`pimentospool bench refusals`."""

from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool.bench._refusals import PhaseFigures, RefusalBench, RefusalCase
from pimentospool.commands._common import run
from pimentospool.commands._progress import progress_spinner

_RATES = [10.0, 20.0, 30.0, 36.0, 45.0]
"""Requests a second; as they take 1 s, 80 slots are full at 80."""


@click.command()
@click.option(
    "--rate",
    "rates",
    multiple=True,
    type=float,
    default=_RATES,
    help="Requests a second before the step; may be repeated.",
)
@click.option("--step", default=2.0, show_default=True, help="Factor of the step.")
@click.option(
    "--service-seconds", default=1.0, show_default=True, help="Time of a request."
)
@click.option(
    "--timeout-seconds", default=2.0, show_default=True, help="Timeout of the route."
)
@click.option("--seed", "seeds", multiple=True, type=int, default=[1])
@click.option("--json", "output", type=click.Path(path_type=Path, dir_okay=False))
def refusals(
    rates: tuple[float, ...],
    step: float,
    service_seconds: float,
    timeout_seconds: float,
    seeds: tuple[int, ...],
    output: Path | None,
) -> None:
    """Count refused first tries against the share of the targets' slots in use.

    Three node processes serve an open load from four targets of 20 slots, calm and
    after a step of the load.
    """
    figures: dict[int, list[PhaseFigures]] = {}
    for seed in seeds:
        figures[seed] = []
        for rate in rates:
            case = RefusalCase(
                rate=rate,
                step_factor=step,
                service_seconds=service_seconds,
                timeout_seconds=timeout_seconds,
            )
            with progress_spinner(f"{rate:g} requests a second, seed {seed}"):
                figures[seed] += run(RefusalBench(case=case, seed=seed).run())
        Console(width=120).print(_make_table(figures[seed], seed))
    if output is not None:
        output.write_bytes(msgspec.json.encode(figures))


def _make_table(figures: list[PhaseFigures], seed: int) -> Table:
    table = Table(title=f"refused first tries, seed {seed}")
    for name in ("requests/s", "phase", "demand", "slots in use", "calls"):
        table.add_column(name, justify="right")
    for name in ("refused", "failed", "slots in use then"):
        table.add_column(name, justify="right")
    table.add_column("reasons")
    for item in figures:
        share = item.slot_share_refused
        table.add_row(
            f"{item.rate:g}",
            item.phase,
            f"{item.demand:.0%}",
            f"{item.slot_share:.0%}",
            str(item.calls),
            str(item.refused),
            str(item.failed),
            "" if share is None else f"{share:.0%}",
            "; ".join(f"{count} {text}" for text, count in item.reasons.items()),
        )
    return table
