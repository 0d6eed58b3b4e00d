"""`pimentospool modelcheck`."""

import sys
from collections.abc import Mapping

import click
from rich.console import Console
from rich.table import Table

from pimentospool.commands._common import EXIT_FAILED
from pimentospool.commands._progress import working
from pimentospool.modelcheck import (
    ONCE_CASES,
    REVISIONS_CASES,
    Exploration,
    Model,
    OnceModel,
    RevisionsModel,
    explore,
)

_COLUMNS = ["case", "states", "transitions", "depth", "explored", "violations"]


@click.group()
def modelcheck() -> None:
    """Explore every course of small cases over the gateway's own policy code."""


@modelcheck.command()
@click.option("--depth", default=60, show_default=True, help="Longest course.")
@click.option("--max-states", default=200_000, show_default=True, help="For each case.")
def once(depth: int, max_states: int) -> None:
    """Calls that run at most once, through restarts, pauses and lost messages."""
    models = {name: OnceModel(case=case) for name, case in ONCE_CASES.items()}
    _check(models, depth=depth, max_states=max_states)


@modelcheck.command()
@click.option("--depth", default=60, show_default=True, help="Longest course.")
@click.option("--max-states", default=200_000, show_default=True, help="For each case.")
def revisions(depth: int, max_states: int) -> None:
    """Configuration that never goes back, through stale platforms and partitions."""
    models = {name: RevisionsModel(case=case) for name, case in REVISIONS_CASES.items()}
    _check(models, depth=depth, max_states=max_states)


def _check(models: Mapping[str, Model], *, depth: int, max_states: int) -> None:
    console = Console(width=100)
    table = Table(*_COLUMNS)
    violated = False
    for name, model in models.items():
        with working(f"exploring {name}"):
            found = explore(model, depth=depth, max_states=max_states)
        table.add_row(name, *_row(found))
        violated = violated or bool(found.violations)
        for violation in found.violations:
            console.print(f"{name}: {violation.message}, after:", *violation.trace)
    console.print(table)
    if violated:
        sys.exit(EXIT_FAILED)


def _row(found: Exploration) -> list[str]:
    explored = "whole case" if found.complete else "up to the limit"
    counts = (found.states, found.transitions, found.depth)
    return [
        *(f"{count:,}" for count in counts),
        explored,
        str(len(found.violations)),
    ]
