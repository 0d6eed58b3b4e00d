"""`pimentospool explain`."""

import sys
from collections.abc import Iterable
from pathlib import Path

import click

from pimentospool.commands._common import EXISTING_FILE, EXIT_FAILED
from pimentospool.request_timeline import (
    CapturedLog,
    LogLine,
    UnknownRequestError,
    build_timeline,
)


@click.command()
@click.argument("request_id")
@click.argument("logs", type=EXISTING_FILE, nargs=-1, required=True)
def explain(request_id: str, logs: tuple[Path, ...]) -> None:
    """Reconstruct from captured LOGS what happened to the request REQUEST_ID.

    A log holds the output of one process, or lines of several processes with the name
    of the process in front of each line. Give the logs of all entry VMs that the
    request may have passed. Exits with 1 if no line names the request.
    """
    captured = CapturedLog()
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as lines:
            captured.read(lines, process=path.stem)
    try:
        timeline = build_timeline(captured, request_id)
    except UnknownRequestError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_FAILED)
    click.echo(f"request {request_id}, first seen {timeline.start.isoformat()}")
    _print_lines(timeline.lines, since=timeline.lines[0])
    if timeline.context:
        click.echo("other events at the time:")
        _print_lines(timeline.context, since=timeline.lines[0])
    for sentence in timeline.summarise():
        click.echo(sentence)
    if captured.unreadable_lines:
        click.echo(
            f"Lines that could not be read: {captured.unreadable_lines}.", err=True
        )


def _print_lines(lines: Iterable[LogLine], *, since: LogLine) -> None:
    for line in lines:
        seconds = (line.logged_at - since.logged_at).total_seconds()
        click.echo(f"  {seconds:+8.3f} s  {line.process}  {line.describe()}")
