"""`pimentospool score`."""

import random
import sys
import time
from pathlib import Path
from typing import NoReturn

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool._generated.engine import LoadReport
from pimentospool._generated.loads import RegionSummary
from pimentospool.commands._common import EXISTING_FILE, EXIT_REFUSED, read_or_exit
from pimentospool.ids import CustomerId, EntryId, ModelId, RegionId, TargetId
from pimentospool.manifest import ManifestIndex, read_manifest
from pimentospool.policy import (
    RegionRoute,
    RouteQuery,
    Router,
    RouteRefusal,
    Score,
    TargetRoute,
)

_SCORE_FIELDS = [
    "total_ms",
    "first_ms",
    "wait_ms",
    "prefill_ms",
    "link_ms",
    "cost_ms",
    "away_ms",
    "blocking_ms",
    "failure_ms",
]


class LoadsFile(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Assumed load reports of targets and load summaries of other regions."""

    targets: dict[TargetId, LoadReport] = {}
    summaries: list[RegionSummary] = []


@click.command()
@click.option("--manifest", type=EXISTING_FILE, required=True)
@click.option("--customer", required=True, help="Customer id.")
@click.option("--model", required=True, help="Model id, or id:adapter.")
@click.option("--prompt-tokens", default=200, show_default=True)
@click.option("--max-tokens", default=32, show_default=True)
@click.option("--region", help="Ingress region; the customer's first by default.")
@click.option(
    "--loads", type=EXISTING_FILE, help="JSON file with load reports and summaries."
)
def score(
    manifest: Path,
    customer: str,
    model: str,
    prompt_tokens: int,
    max_tokens: int,
    region: str | None,
    loads: Path | None,
) -> None:
    """Print the score of each candidate for one request, and the decision.

    LOADS holds {"targets": {target: load report}, "summaries": [region summary]};
    without it, every target is assumed to be idle. Exits with 2 for an unknown
    customer, model or region and for a faulty file, and with 0 otherwise, also if the
    request is refused.
    """
    index = ManifestIndex(manifest=read_or_exit(read_manifest, manifest))
    known_customer = index.customers.get(CustomerId(customer))
    if known_customer is None:
        _exit_with_error(
            f"no customer {customer!r}; known: {', '.join(index.customers)}"
        )
    name, _, adapter = model.partition(":")
    if name not in known_customer.models:
        _exit_with_error(
            f"{customer} may not use {name!r}; "
            f"it may use: {', '.join(known_customer.models)}"
        )
    ingress = RegionId(region or known_customer.allowed_regions[0])
    if ingress not in index.regions:
        _exit_with_error(f"no region {ingress!r}; known: {', '.join(index.regions)}")
    router = Router(
        region=ingress,
        entry=EntryId("score"),
        clock=time.monotonic,
        rng=random.Random(0),
    )
    router.set_manifest(index)
    _apply_loads(router, loads)
    query = RouteQuery(
        allowed_regions=frozenset(known_customer.allowed_regions),
        model=ModelId(name),
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
    )
    _print_decision(ingress, router.choose(query, score_all=True))


def _apply_loads(router: Router, loads: Path | None) -> None:
    if loads is None:
        return
    try:
        loads_file = msgspec.json.decode(loads.read_bytes(), type=LoadsFile)
    except msgspec.DecodeError as exc:
        _exit_with_error(f"{loads}: {exc}")
    for target, report in loads_file.targets.items():
        router.apply_load_report(target, report)
    for summary in loads_file.summaries:
        router.set_region_summary(summary, time.monotonic())


def _print_decision(
    ingress: RegionId, route: TargetRoute | RegionRoute | RouteRefusal
) -> None:
    console = Console(width=140)
    table = Table(title=f"candidates for a request in {ingress}, in milliseconds")
    table.add_column("candidate")
    for field in _SCORE_FIELDS:
        table.add_column(field.removesuffix("_ms"), justify="right")
    table.add_column("cached tokens", justify="right")
    table.add_column("room")
    for score in sorted(route.scores, key=lambda score: score.total_ms):
        table.add_row(*_make_row(score))
    console.print(table)
    if isinstance(route, RouteRefusal):
        console.print(f"refused, {route.reason.slug}: {route.detail}")
        console.print(f"retry after {route.retry_after_seconds} s")
    elif isinstance(route, TargetRoute):
        console.print(f"target {route.target.id}: {route.reason.value}")
    else:
        console.print(f"region {route.region}: {route.reason.value}")


def _make_row(score: Score) -> list[str]:
    figures = [f"{getattr(score, field):.1f}" for field in _SCORE_FIELDS]
    room = "yes" if score.has_room else "no"
    return [score.candidate, *figures, f"{score.hit_tokens:.0f}", room]


def _exit_with_error(message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(EXIT_REFUSED)
