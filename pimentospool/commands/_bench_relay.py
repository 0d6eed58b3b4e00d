"""`pimentospool bench relay`."""

from pathlib import Path

import click
import msgspec

from pimentospool.commands._common import run
from pimentospool.commands._progress import progress_spinner


@click.command()
@click.option(
    "--streams", default=1000, show_default=True, help="Streams to hold open."
)
@click.option("--json", "path", type=click.Path(path_type=Path), help="Result file.")
def relay(streams: int, path: Path | None) -> None:
    """Measure the overhead of an entry process over direct calls of an engine."""
    from pimentospool.bench._relay import RelayBench, render_report

    with progress_spinner("relaying streams"):
        report = run(RelayBench(streams=streams).run())
    click.echo(render_report(report))
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
