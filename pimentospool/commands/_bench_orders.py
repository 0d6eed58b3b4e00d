"""`pimentospool bench orders`."""

from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool.bench._orders import OrderBench, measure_orders
from pimentospool.commands._common import run
from pimentospool.commands._progress import working

_SIZES = [9, 26, 260, 812]


@click.command()
@click.option("--json", "output", type=click.Path(path_type=Path, dir_okay=False))
def orders(output: Path | None) -> None:
    """Time what an orderer does, by the number of engines in its region."""
    with working("comparing engines"):
        found = run(measure_orders(_SIZES))
    Console(width=100).print(_table(found))
    if output is not None:
        output.write_bytes(msgspec.json.encode(found))


def _table(found: OrderBench) -> Table:
    table = Table(title=f"one comparison; reading a state takes {found.read_ms:.2f} ms")
    for name in ("engines", "place ms", "plan settled ms", "plan rollout ms"):
        table.add_column(name, justify="right")
    for cost in found.costs:
        table.add_row(
            str(cost.engines),
            f"{cost.place_ms:.2f}",
            f"{cost.plan_settled_ms:.2f}",
            f"{cost.plan_rollout_ms:.2f}",
        )
    return table
