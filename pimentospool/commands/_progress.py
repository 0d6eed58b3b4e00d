"""Progress display of commands that run for long."""

from collections.abc import Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn


@contextmanager
def progress_spinner(message: str) -> Iterator[None]:
    """Show a spinner, `message` and the elapsed time if stderr is a terminal."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield
        return
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        progress.add_task(message, total=None)
        yield
