"""`pimentospool modelcheck`."""

import sys
from collections.abc import Mapping

import click
from rich.console import Console
from rich.table import Table

from pimentospool.commands._common import EXIT_FAILED
from pimentospool.commands._progress import progress_spinner
from pimentospool.modelcheck import (
    AT_MOST_ONCE_CASES,
    REVISIONS_CASES,
    AtMostOnceModel,
    Exploration,
    Model,
    RevisionsModel,
    explore,
)

_COLUMNS = ["case", "states", "transitions", "depth", "explored", "violations"]


@click.group()
def modelcheck() -> None:
    """Model-check the gateway's policy code: explore all states of small cases."""


@modelcheck.command()
@click.option("--depth", default=60, show_default=True, help="Longest trace, in steps.")
@click.option(
    "--max-states", default=200_000, show_default=True, help="Limit for each case."
)
def once(depth: int, max_states: int) -> None:
    """Check that calls run at most once under restarts, pauses and lost messages."""
    models = {
        name: AtMostOnceModel(case=case) for name, case in AT_MOST_ONCE_CASES.items()
    }
    _check(models, depth=depth, max_states=max_states)


@modelcheck.command()
@click.option("--depth", default=60, show_default=True, help="Longest trace, in steps.")
@click.option(
    "--max-states", default=200_000, show_default=True, help="Limit for each case."
)
def revisions(depth: int, max_states: int) -> None:
    """Check that revisions never go back under stale platforms and partitions."""
    models = {name: RevisionsModel(case=case) for name, case in REVISIONS_CASES.items()}
    _check(models, depth=depth, max_states=max_states)


def _check(models: Mapping[str, Model], *, depth: int, max_states: int) -> None:
    console = Console(width=100)
    table = Table(*_COLUMNS)
    violated = False
    for name, model in models.items():
        with progress_spinner(f"exploring {name}"):
            exploration = explore(model, depth=depth, max_states=max_states)
        table.add_row(name, *_make_row(exploration))
        violated = violated or bool(exploration.violations)
        for violation in exploration.violations:
            console.print(f"{name}: {violation.message}, after:", *violation.trace)
    console.print(table)
    if violated:
        sys.exit(EXIT_FAILED)


def _make_row(exploration: Exploration) -> list[str]:
    explored = "whole case" if exploration.complete else "up to the limit"
    counts = (exploration.states, exploration.transitions, exploration.depth)
    return [
        *(f"{count:,}" for count in counts),
        explored,
        str(len(exploration.violations)),
    ]
