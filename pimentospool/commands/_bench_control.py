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
from pimentospool.bench._extrapolation import estimate
from pimentospool.commands._common import run
from pimentospool.commands._progress import progress_spinner

_ESTIMATE_NODES = 930
_ESTIMATE_ZONES = 25


@click.command()
@click.option(
    "--nodes", "nodes", multiple=True, type=int, default=[8], help="Number of nodes."
)
@click.option(
    "--zones", "zones", multiple=True, type=int, default=[3], help="Number of zones."
)
@click.option(
    "--targets", default=64, show_default=True, help="Targets of the manifest."
)
@click.option(
    "--customers", default=64, show_default=True, help="Customers of the manifest."
)
@click.option(
    "--seconds", default=10.0, show_default=True, help="Seconds of steady state."
)
@click.option("--changes", default=5, show_default=True, help="Revisions to publish.")
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
    in a process of its own. Four or more pairs give an estimate for 930 nodes in 25
    zones.
    """
    if len(nodes) != len(zones):
        raise click.BadParameter("give --nodes and --zones the same number of times")
    sizes = [
        ControlSize(
            nodes=node_count, zones=zone_count, targets=targets, customers=customers
        )
        for node_count, zone_count in zip(nodes, zones, strict=True)
    ]
    if len(sizes) == 1:
        bench = ControlBenchRun(size=sizes[0], seconds=seconds, changes=changes)
        with progress_spinner("running the control plane of many nodes"):
            runs = [run(bench.run())]
    else:
        runs = [_run_in_child_process(size, seconds, changes) for size in sizes]
    result = ControlBench(runs=runs)
    estimated = estimate(runs, nodes=_ESTIMATE_NODES, zones=_ESTIMATE_ZONES)
    if estimated is not None:
        result.estimate = estimated
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    _print_table(runs, estimated)


def _run_in_child_process(
    size: ControlSize, seconds: float, changes: int
) -> ControlRun:
    options = msgspec.to_builtins(size) | {"seconds": seconds, "changes": changes}
    args = [f"--{name}={value}" for name, value in options.items()]
    data = run_bench("control", *args)
    return msgspec.json.decode(data, type=ControlBench).runs[0]


def _print_table(runs: list[ControlRun], estimated: ControlEstimate | None) -> None:
    table = Table(title="control plane")
    table.add_column("for each node")
    for item in runs:
        table.add_column(f"{item.nodes} nodes, {item.zones} zones", justify="right")
    if estimated is not None:
        table.add_column(
            f"{estimated.nodes} nodes, {estimated.zones} zones", justify="right"
        )
    names = [
        name for name in ControlRun.__struct_fields__ if name not in ("nodes", "zones")
    ]
    for name in [*names, "reader_cpu_percent"]:
        cells = [
            _format_cell(item, name) for item in [*runs, estimated] if item is not None
        ]
        if any(cells):
            table.add_row(name.replace("_", " "), *cells)
    Console(width=110).print(table)


def _format_cell(item: ControlRun | ControlEstimate, name: str) -> str:
    value = getattr(item, name, None)
    return "" if value is None else f"{value:.4g}"
