"""Runs a deployment with stand-ins on loopback and sends traffic through it."""

import asyncio
import random

import msgspec

from pimentospool._generated.records import CallerRecord, CallOutcome
from pimentospool._generated.settings import Settings
from pimentospool.entry import Entry
from pimentospool.ids import RegionId
from pimentospool.load import (
    ArrivalCurve,
    Callers,
    EntryAddress,
    LatencySummary,
    LoadGenerator,
    StandinAnswerCheck,
    TrafficSource,
    deployment_mix,
    example_key,
    plan_arrivals,
    summarize,
)
from pimentospool.manifest import Manifest, ManifestIndex
from pimentospool.standins import Execution, StandinDeployment

demo_key = example_key
_STANDIN_SPEED_FACTOR = 4.0
_REQUESTS_PER_SECOND = 45.0
_DEADLINE_SECONDS = 20.0
_READY_TIMEOUT_SECONDS = 10.0
_ENTRIES_PER_ZONE = (3, 3, 2)


class DemoRow(msgspec.Struct, kw_only=True):
    """One line of the demo's table.

    `refused` counts the requests without a complete answer, by verdict. `cost` is the
    time in seconds for which the requests occupied targets, each second multiplied by
    the relative cost of its region.
    """

    latencies: LatencySummary
    refused: dict[str, int]
    sent_away: int
    cost: float

    @property
    def whole(self) -> int:
        """Number of requests that got a complete answer."""
        return self.latencies.outcomes.get(CallOutcome.WHOLE.value, 0)


class Demo:
    """Runs entry VMs and stand-ins in this process and sends them traffic.

    Parameters
    ----------
    manifest : Manifest
        One of the example manifests.
    requests : int
        Total number of requests to send, on average.
    seed : int
        Seed of the traffic.
    """

    def __init__(self, *, manifest: Manifest, requests: int, seed: int) -> None:
        self._deployment = StandinDeployment(
            manifest=manifest, speed=_STANDIN_SPEED_FACTOR
        )
        self._seconds = requests / _REQUESTS_PER_SECOND
        self._seed = seed
        self._records: list[CallerRecord] = []

    async def run(self) -> list[DemoRow]:
        """Start everything, send the traffic and return the outcomes."""
        await self._deployment.start()
        zones = [zone.id for zone in self._deployment.manifest.zones]
        counts = dict(zip(zones, _ENTRIES_PER_ZONE, strict=False))
        settings = self._deployment.entry_settings(counts)  # type: ignore[arg-type]
        entries = [Entry(cfg=cfg) for cfg in settings]
        for entry in entries:
            await entry.start()
        try:
            await wait_ready(entries)
            await self._send(settings)
        finally:
            await asyncio.gather(*(entry.stop() for entry in entries))
            await self._deployment.close()
        return self._make_rows()

    async def _send(self, settings: list[Settings]) -> None:
        manifest = self._deployment.manifest
        rng = random.Random(self._seed)
        callers = Callers(
            directory=_FixedEntryList(settings),
            check=StandinAnswerCheck(),
            key_of=example_key,
            rng=random.Random(rng.random()),
            deadline_seconds=_DEADLINE_SECONDS,
        )
        source = TrafficSource(
            manifest=manifest,
            mix=deployment_mix(manifest.deployment),
            rng=random.Random(rng.random()),
            run_id=f"demo-{self._seed}",
        )
        curve = ArrivalCurve(
            peak_per_second=_REQUESTS_PER_SECOND / len(manifest.regions)
        )
        arrivals = plan_arrivals(
            curve, manifest.regions, seconds=self._seconds, rng=rng
        )
        try:
            generator = LoadGenerator(callers=callers, source=source)
            await generator.run(arrivals, self._records.append)
        finally:
            await callers.close()

    def _make_rows(self) -> list[DemoRow]:
        return [self._make_row(item) for item in summarize(self._records)]

    def _make_row(self, latencies: LatencySummary) -> DemoRow:
        row = DemoRow(latencies=latencies, refused={}, sent_away=0, cost=0.0)
        executions_by_digest = self._executions()
        costs = {region.id: region.cost for region in self._deployment.manifest.regions}
        for record in self._records:
            if (record.region, record.kind) != (latencies.region, latencies.kind):
                continue
            if record.outcome is not CallOutcome.WHOLE:
                last_attempt = record.attempts[-1]
                name = last_attempt.verdict or record.outcome.value
                row.refused[name] = row.refused.get(name, 0) + 1
            executions = executions_by_digest.get(record.body_digest, [])
            row.sent_away += any(region != record.region for region, _ in executions)
            row.cost += sum(costs[region] * item.seconds for region, item in executions)
        return row

    def _executions(self) -> dict[str, list[tuple[RegionId, Execution]]]:
        """Return all executions with their regions, by the digest of the body."""
        deployment = self._deployment
        index = ManifestIndex(manifest=deployment.manifest)
        executions_by_digest: dict[str, list[tuple[RegionId, Execution]]] = {}
        for target in deployment.manifest.targets:
            standin = deployment.engines.get(target.id) or deployment.services.get(
                target.id
            )
            region = index.region_of(target)
            for item in standin.executions if standin else []:
                executions_by_digest.setdefault(item.body_digest, []).append(
                    (region, item)
                )
        return executions_by_digest


class _FixedEntryList:
    """Fixed list of the demo's entry VMs."""

    def __init__(self, settings: list[Settings]) -> None:
        self._addresses = [
            EntryAddress(
                id=cfg.entry.id,
                region=cfg.entry.region,
                address=cfg.entry.caller_address,
            )
            for cfg in settings
        ]

    def entries(self) -> list[EntryAddress]:
        return self._addresses


async def wait_ready(entries: list[Entry]) -> None:
    """Wait until every entry VM has an active configuration and knows a region."""
    async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
        while not all(entry.view.number and entry.fleet.regions() for entry in entries):
            await asyncio.sleep(0.02)
