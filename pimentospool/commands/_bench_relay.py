"""`pimentospool bench relay`."""

from pathlib import Path

import click
import msgspec

from pimentospool.commands._common import run
from pimentospool.commands._progress import working


@click.command()
@click.option("--streams", default=1000, show_default=True, help="Streams held open.")
@click.option("--json", "path", type=click.Path(path_type=Path), help="Result file.")
def relay(streams: int, path: Path | None) -> None:
    """Measure what an entry process adds to a direct call of the same engine."""
    from pimentospool.bench._relay import RelayBench, render_report

    with working("relaying streams"):
        report = run(RelayBench(streams=streams).run())
    click.echo(render_report(report))
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
