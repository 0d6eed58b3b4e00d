"""Sign of life of commands that take long."""

from collections.abc import Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn


@contextmanager
def working(message: str) -> Iterator[None]:
    """Show `message` and the time spent, where standard error is a terminal."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield
        return
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        progress.add_task(message, total=None)
        yield
