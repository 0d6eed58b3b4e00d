"""Runs scenarios against a deployment and collects the evidence."""

import asyncio
import random
import tempfile
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import msgspec

from pimentospool._generated.records import CallerRecord
from pimentospool._generated.scenario import Scenario
from pimentospool.drill._evidence import Evidence
from pimentospool.drill._fault_runner import FaultRunner
from pimentospool.drill._fleet import FIRST_REVISION, DrillFleet
from pimentospool.drill._observer import RevisionObserver
from pimentospool.drill._publisher import Publisher
from pimentospool.drill._scenarios import ScenarioPlanner
from pimentospool.load import (
    ArrivalCurve,
    Callers,
    EntryAddress,
    LoadGenerator,
    StandinAnswerCheck,
    TrafficSource,
    deployment_mix,
    example_key,
    plan_arrivals,
)
from pimentospool.manifest import Manifest

ENGINE_SPEED_FACTOR = 8.0
CALL_DEADLINE_SECONDS = 10.0
SETTLE_SECONDS = 2.0


class DrillProgress(msgspec.Struct, kw_only=True):
    """The parts of a running drill that a view reads."""

    fleet: DrillFleet
    faults: FaultRunner
    observer: RevisionObserver
    records: list[CallerRecord]
    publisher: Publisher
    scenario: Scenario | None = None

    def evidence(self) -> Evidence:
        """Return the evidence collected so far."""
        fleet = self.fleet
        regions = {entry: cfg.entry.region for entry, cfg in fleet.settings.items()}
        return Evidence(
            manifest=fleet.manifest,
            entry_regions=regions,
            records=list(self.records),
            executions=fleet.executions(),
            hops=list(fleet.hops),
            samples=list(self.observer.samples),
            publications=list(self.publisher.publications),
            faults=list(self.faults.windows),
        )


class Drill:
    """A drill of one deployment.

    Parameters
    ----------
    manifest : Manifest
        An example manifest, or one whose bearer keys follow `example_key`.
    scenarios : list of Scenario
        Scenarios to run one after the other on the same fleet.
    seed : int
        Seed of the traffic and of the choices that scenarios leave open.
    """

    def __init__(
        self, *, manifest: Manifest, scenarios: list[Scenario], seed: int
    ) -> None:
        self._manifest = manifest
        self._scenarios = scenarios
        self._seed = seed

    async def run(
        self, on_start: Callable[[DrillProgress], None] | None = None
    ) -> Evidence:
        """Run every scenario and return the evidence.

        `on_start` is called with the progress once the fleet is ready.
        """
        with tempfile.TemporaryDirectory(prefix="drill-") as folder:
            fleet = DrillFleet(
                manifest=self._manifest, folder=Path(folder), speed=ENGINE_SPEED_FACTOR
            )
            try:
                await fleet.start()
                return await self._run_scenarios(fleet, on_start)
            finally:
                await fleet.close()

    async def _run_scenarios(
        self, fleet: DrillFleet, on_start: Callable[[DrillProgress], None] | None
    ) -> Evidence:
        publisher = Publisher(
            configuration=fleet.deployment.configuration,
            manifest=fleet.manifest,
            revision=FIRST_REVISION,
        )
        progress = DrillProgress(
            fleet=fleet,
            faults=FaultRunner(fleet=fleet, publisher=publisher),
            observer=RevisionObserver(
                addresses=fleet.addresses, first_probe_revision=FIRST_REVISION + 1
            ),
            records=[],
            publisher=publisher,
        )
        if on_start is not None:
            on_start(progress)
        observer_task = asyncio.create_task(progress.observer.run())
        try:
            for scenario in self._scenarios:
                progress.scenario = scenario
                await self._run_scenario(progress, scenario)
                await asyncio.sleep(SETTLE_SECONDS)
        finally:
            observer_task.cancel()
            with suppress(asyncio.CancelledError):
                await observer_task
        return progress.evidence()

    async def _run_scenario(self, progress: DrillProgress, scenario: Scenario) -> None:
        fleet = progress.fleet
        rng = random.Random(f"{self._seed}/{scenario.name}")
        planner = ScenarioPlanner(
            manifest=fleet.manifest,
            entries={region: fleet.entries_of(region) for region in fleet.regions()},
            rng=random.Random(rng.random()),
        )
        callers = Callers(
            directory=_FleetDirectory(fleet),
            check=StandinAnswerCheck(),
            key_of=example_key,
            rng=random.Random(rng.random()),
            deadline_seconds=CALL_DEADLINE_SECONDS,
        )
        source = TrafficSource(
            manifest=fleet.manifest,
            mix=deployment_mix(fleet.manifest.deployment),
            rng=random.Random(rng.random()),
            run_id=f"{scenario.name}-{self._seed}",
        )
        regions = fleet.manifest.regions
        curve = ArrivalCurve(
            peak_per_second=scenario.requests_per_second / len(regions)
        )
        arrivals = plan_arrivals(curve, regions, seconds=scenario.seconds, rng=rng)
        generator = LoadGenerator(callers=callers, source=source)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(generator.run(arrivals, progress.records.append))
                group.create_task(
                    progress.faults.run(scenario.name, planner.plan(scenario))
                )
        finally:
            await callers.close()


class _FleetDirectory:
    """Lists every entry VM of a fleet; callers skip those that do not respond."""

    def __init__(self, fleet: DrillFleet) -> None:
        self._fleet = fleet

    def entries(self) -> list[EntryAddress]:
        return self._fleet.addresses()
