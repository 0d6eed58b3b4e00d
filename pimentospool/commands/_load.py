"""`pimentospool load`."""

import asyncio
import random
import sys
import time
from pathlib import Path

import aiohttp
import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool._generated.callers import EntryList
from pimentospool._generated.platform import DirectoryAnswer
from pimentospool._generated.records import CallerRecord, CallOutcome
from pimentospool.commands._common import EXISTING_FILE, EXIT_FAILED, read_or_exit, run
from pimentospool.commands._progress import progress_spinner
from pimentospool.ids import EntryId, RegionId
from pimentospool.load import (
    ArrivalCurve,
    Callers,
    EntryAddress,
    LatencySummary,
    LoadGenerator,
    StandinAnswerCheck,
    StreamEndCheck,
    TrafficSource,
    deployment_mix,
    example_key,
    plan_arrivals,
    summarize,
)
from pimentospool.manifest import Customer, Manifest, read_manifest
from pimentospool.sending import open_session

_SECONDS_PER_DAY = 86_400.0


class LoadOptions(msgspec.Struct, kw_only=True):
    """Options of a load run."""

    rate: float
    seconds: float
    day_seconds: float
    start_hour: float
    peak_hour: float
    seed: int
    deadline_seconds: float
    check_standins: bool


@click.command()
@click.option("--manifest", type=EXISTING_FILE, required=True, help="Active manifest.")
@click.option("--entry", "entries", multiple=True, help="IP:port of an entry VM.")
@click.option("--directory", help="IP:port of the clients' directory.")
@click.option(
    "--keys", type=EXISTING_FILE, help="JSON object of bearer keys by customer id."
)
@click.option("--rate", default=20.0, show_default=True, help="Peak requests a second.")
@click.option("--seconds", default=30.0, show_default=True, help="Length of the run.")
@click.option(
    "--day-seconds",
    default=_SECONDS_PER_DAY,
    show_default=True,
    help="Real seconds in which one day of the arrival curve passes.",
)
@click.option("--start-hour", default=9.0, show_default=True, help="Hour at the start.")
@click.option("--peak-hour", default=9.0, show_default=True, help="Local peak hour.")
@click.option("--deadline", "deadline_seconds", default=30.0, show_default=True)
@click.option("--seed", default=1, show_default=True, help="Seed of the traffic.")
@click.option(
    "--check-standins", is_flag=True, help="Compare answers with those of stand-ins."
)
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Summary.")
@click.option(
    "--records", "records_path", type=click.Path(path_type=Path), help="JSON lines."
)
@click.option(
    "--plot", "plot_path", type=click.Path(path_type=Path), help="PNG or SVG."
)
def load(
    manifest: Path,
    entries: tuple[str, ...],
    directory: str | None,
    keys: Path | None,
    json_path: Path | None,
    records_path: Path | None,
    plot_path: Path | None,
    **options: float,
) -> None:
    """Send open-loop traffic to a deployment and measure what callers see.

    Latencies count from the time at which each request was due. Exits with 1 if any
    answer was wrong or its connection ended early.
    """
    if not entries and directory is None:
        raise click.UsageError("give --entry or --directory")
    parsed_manifest = read_or_exit(read_manifest, manifest)
    load_options = msgspec.convert(options, LoadOptions)
    with progress_spinner("sending requests"):
        records = run(
            _run(
                parsed_manifest,
                load_options,
                list(entries),
                directory,
                _read_keys(keys),
            )
        )
    summaries = summarize(records)
    Console(width=120).print(_make_table(summaries))
    if json_path:
        json_path.write_bytes(msgspec.json.format(msgspec.json.encode(summaries)))
    if records_path:
        records_path.write_bytes(msgspec.json.Encoder().encode_lines(records))
    if plot_path and records:
        from pimentospool.load._plot import plot_records

        plot_records(records, plot_path)
    failed = (CallOutcome.WRONG, CallOutcome.BROKEN)
    if any(record.outcome in failed for record in records):
        sys.exit(EXIT_FAILED)


def _read_keys(path: Path | None) -> dict[str, str] | None:
    if path is None:
        return None
    return msgspec.json.decode(path.read_bytes(), type=dict[str, str])


class _FixedEntryList:
    """Fixed list of entry VMs, fetched once at the start of the run."""

    def __init__(self, addresses: list[EntryAddress]) -> None:
        self._addresses = addresses

    def entries(self) -> list[EntryAddress]:
        return list(self._addresses)


async def _run(
    manifest: Manifest,
    options: LoadOptions,
    seed_addresses: list[str],
    directory: str | None,
    keys: dict[str, str] | None,
) -> list[CallerRecord]:
    addresses = await _discover_entries(seed_addresses, directory)

    def key_of(customer: Customer) -> str:
        return example_key(customer) if keys is None else keys[customer.id]

    rng = random.Random(options.seed)
    callers = Callers(
        directory=_FixedEntryList(addresses),
        check=StandinAnswerCheck() if options.check_standins else StreamEndCheck(),
        key_of=key_of,
        rng=random.Random(rng.random()),
        deadline_seconds=options.deadline_seconds,
    )
    source = TrafficSource(
        manifest=manifest,
        mix=deployment_mix(manifest.deployment),
        rng=random.Random(rng.random()),
        run_id=f"load-{options.seed}-{int(time.time())}",
    )
    curve = ArrivalCurve(
        peak_per_second=options.rate / len(manifest.regions),
        peak_hour=options.peak_hour,
        start_hour=options.start_hour,
        day_seconds=options.day_seconds,
    )
    arrivals = plan_arrivals(curve, manifest.regions, seconds=options.seconds, rng=rng)
    records: list[CallerRecord] = []
    try:
        generator = LoadGenerator(callers=callers, source=source)
        await generator.run(arrivals, records.append)
    finally:
        await callers.close()
    return records


async def _discover_entries(
    seed_addresses: list[str], directory: str | None
) -> list[EntryAddress]:
    async with open_session() as session:
        if directory:
            async with session.get(f"http://{directory}/v1/directory") as resp:
                answer = msgspec.json.decode(await resp.read(), type=DirectoryAnswer)
            seed_addresses = [*seed_addresses, *answer.addresses]
        lists = await asyncio.gather(
            *(
                _fetch_entry_list(session, address)
                for address in dict.fromkeys(seed_addresses)
            )
        )
    entries_by_id = {entry.id: entry for entries in lists for entry in entries}
    if not entries_by_id:
        raise click.ClickException("no entry VM returned a list of entry VMs")
    return list(entries_by_id.values())


async def _fetch_entry_list(
    session: aiohttp.ClientSession, address: str
) -> list[EntryAddress]:
    try:
        async with session.get(f"http://{address}/v1/entries") as resp:
            answer = msgspec.json.decode(await resp.read(), type=EntryList)
    except (aiohttp.ClientError, OSError):
        return []
    return [
        EntryAddress(
            id=EntryId(choice.id),
            region=RegionId(choice.region),
            address=choice.address,
        )
        for choice in answer.entries
    ]


def _make_table(summaries: list[LatencySummary]) -> Table:
    table = Table(title="milliseconds after each request was due")
    for name in ("region", "kind", "sent", "outcomes"):
        table.add_column(name)
    for name in ("first p50", "p95", "p99", "total p50", "p95", "p99"):
        table.add_column(name, justify="right")
    for item in summaries:
        outcomes = ", ".join(f"{name} {n}" for name, n in item.outcomes.items())
        times = [
            f"{value:.1f}"
            for percentiles in (item.first, item.total)
            for value in (percentiles.p50_ms, percentiles.p95_ms, percentiles.p99_ms)
        ]
        table.add_row(item.region, item.kind.value, str(item.sent), outcomes, *times)
    return table
