"""`pimentospool explain`."""

import sys
from collections.abc import Iterable
from pathlib import Path

import click

from pimentospool.commands._common import EXIT_FAILED, FILE
from pimentospool.request_story import (
    CapturedLog,
    LogLine,
    UnknownRequestError,
    tell_story,
)


@click.command()
@click.argument("request_id")
@click.argument("logs", type=FILE, nargs=-1, required=True)
def explain(request_id: str, logs: tuple[Path, ...]) -> None:
    """Tell from captured LOGS what became of the request with REQUEST_ID.

    A log holds what one process wrote, or lines of several with the name of the
    process before each. Give the logs of all entry VMs that the request may have
    passed. Exits with 1 if no line names the request.
    """
    captured = CapturedLog()
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as texts:
            captured.read(texts, process=path.stem)
    try:
        story = tell_story(captured, request_id)
    except UnknownRequestError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_FAILED)
    click.echo(f"request {request_id}, first seen {story.start.isoformat()}")
    _print(story.lines, since=story.lines[0])
    if story.context:
        click.echo("around it:")
        _print(story.context, since=story.lines[0])
    for sentence in story.conclude():
        click.echo(sentence)
    if captured.unreadable:
        click.echo(f"Lines that could not be read: {captured.unreadable}.", err=True)


def _print(lines: Iterable[LogLine], *, since: LogLine) -> None:
    for line in lines:
        seconds = (line.at - since.at).total_seconds()
        click.echo(f"  {seconds:+8.3f} s  {line.process}  {line.describe()}")
