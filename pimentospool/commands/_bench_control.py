"""`pimentospool bench control`."""

from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool._generated.bench_control import (
    ControlBench,
    ControlEstimate,
    ControlRun,
)
from pimentospool.bench._children import run_bench
from pimentospool.bench._control import ControlBenchRun, ControlSize
from pimentospool.bench._slopes import estimate
from pimentospool.commands._common import run
from pimentospool.commands._progress import working

_NODES = 930
_ZONES = 25


@click.command()
@click.option("--nodes", "nodes", multiple=True, type=int, default=[8], help="Nodes.")
@click.option("--zones", "zones", multiple=True, type=int, default=[3], help="Zones.")
@click.option("--targets", default=64, show_default=True, help="Targets declared.")
@click.option("--customers", default=64, show_default=True, help="Customers declared.")
@click.option("--seconds", default=10.0, show_default=True, help="Time at rest.")
@click.option("--changes", default=5, show_default=True, help="Revisions published.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Result file.")
def control(
    nodes: tuple[int, ...],
    zones: tuple[int, ...],
    targets: int,
    customers: int,
    seconds: float,
    changes: int,
    path: Path | None,
) -> None:
    """Measure the control plane of many nodes in one process.

    --nodes and --zones may be given several times, in pairs; each pair is measured
    in a process of its own. Three or more give an estimate at 930 nodes in 25 zones.
    """
    if len(nodes) != len(zones):
        raise click.BadParameter("give --nodes and --zones the same number of times")
    sizes = [
        ControlSize(nodes=count, zones=place, targets=targets, customers=customers)
        for count, place in zip(nodes, zones, strict=True)
    ]
    if len(sizes) == 1:
        bench = ControlBenchRun(size=sizes[0], seconds=seconds, changes=changes)
        with working("running the control plane of many nodes"):
            runs = [run(bench.run())]
    else:
        runs = [_run_alone(size, seconds, changes) for size in sizes]
    result = ControlBench(runs=runs)
    found = estimate(runs, nodes=_NODES, zones=_ZONES)
    if found is not None:
        result.estimate = found
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    _print(runs, found)


def _run_alone(size: ControlSize, seconds: float, changes: int) -> ControlRun:
    options = msgspec.to_builtins(size) | {"seconds": seconds, "changes": changes}
    args = [f"--{name}={value}" for name, value in options.items()]
    data = run_bench("control", *args)
    return msgspec.json.decode(data, type=ControlBench).runs[0]


def _print(runs: list[ControlRun], found: ControlEstimate | None) -> None:
    table = Table(title="control plane")
    table.add_column("for each node")
    for item in runs:
        table.add_column(f"{item.nodes} nodes, {item.zones} zones", justify="right")
    if found is not None:
        table.add_column(f"{found.nodes} nodes, {found.zones} zones", justify="right")
    names = [
        name for name in ControlRun.__struct_fields__ if name not in ("nodes", "zones")
    ]
    for name in [*names, "reader_cpu_percent"]:
        cells = [_cell(item, name) for item in [*runs, found] if item is not None]
        if any(cells):
            table.add_row(name.replace("_", " "), *cells)
    Console(width=110).print(table)


def _cell(item: ControlRun | ControlEstimate, name: str) -> str:
    value = getattr(item, name, None)
    return "" if value is None else f"{value:.4g}"
