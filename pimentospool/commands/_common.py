"""Exit codes, types and helpers that several commands use."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click
import uvloop

from pimentospool.errors import DocumentErrors

EXIT_FAILED = 1
EXIT_REFUSED = 2
T = TypeVar("T")

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a uvloop event loop and return its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)


def read_or_exit(read: Callable[[Path], T], path: Path) -> T:
    """Return the document that `read` parses, or print its errors and exit with 2."""
    try:
        return read(path)
    except DocumentErrors as exc:
        exit_refused(path, exc)


def exit_refused(path: Path, exc: DocumentErrors) -> NoReturn:
    """Print every error of a refused document and exit with 2."""
    for error in exc.exceptions:
        click.echo(f"{path}: {error}", err=True)
    sys.exit(EXIT_REFUSED)
