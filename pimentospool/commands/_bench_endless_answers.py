"""`pimentospool bench endless-answers`."""

from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool.bench._endless_answers import (
    AnswerFraming,
    EndlessAnswersBench,
    EndlessAnswersCase,
    EndlessAnswersFigures,
)
from pimentospool.commands._common import run
from pimentospool.commands._progress import progress_spinner

_FAULTY_CALLS = [0, 10, 30, 60, 120]


@click.command(name="endless-answers")
@click.option(
    "--calls",
    "faulty_calls",
    multiple=True,
    type=int,
    default=_FAULTY_CALLS,
    help="Calls that get an answer without end; may be repeated.",
)
@click.option("--memory-mb", default=200.0, show_default=True, help="MemoryMb.")
@click.option("--json", "output", type=click.Path(path_type=Path, dir_okay=False))
def endless_answers(
    faulty_calls: tuple[int, ...], memory_mb: float, output: Path | None
) -> None:
    """Time sound requests beside answers without end of another service's targets.

    One node process gets 60 sound calls in 3 s. Three faulty targets send 3 MB/s on
    each connection.
    """
    figures = []
    for framing in AnswerFraming:
        for calls in faulty_calls:
            case = EndlessAnswersCase(
                faulty_calls=calls, framing=framing, memory_mb=memory_mb
            )
            with progress_spinner(f"{calls} answers, {framing.value}"):
                figures.append(run(EndlessAnswersBench(case=case).run()))
    Console(width=120).print(_make_table(figures))
    if output is not None:
        output.write_bytes(msgspec.json.encode(figures))


def _make_table(figures: list[EndlessAnswersFigures]) -> Table:
    table = Table(title="sound requests beside answers without end")
    table.add_column("framing")
    for name in ("answers", "served", "refused", "median s", "slowest s"):
        table.add_column(name, justify="right")
    for name in ("slowest faulty s", "peak MB", "processor s"):
        table.add_column(name, justify="right")
    for item in figures:
        table.add_row(
            item.framing,
            str(item.faulty_calls),
            f"{item.served} of {item.sound_calls}",
            str(item.refused),
            _format_seconds(item.median_seconds),
            _format_seconds(item.slowest_seconds),
            _format_seconds(item.faulty_seconds),
            f"{item.peak_mb:.0f}",
            f"{item.cpu_seconds:.1f}",
        )
    return table


def _format_seconds(seconds: float | None) -> str:
    return "" if seconds is None else f"{seconds:.3f}"
