"""The orderer against stand-in engines: rollouts, races, late senders."""

import asyncio
from pathlib import Path

import msgspec

from pimentospool.entry import Entry
from pimentospool.ids import RegionId, ZoneId
from pimentospool.manifest import Manifest, read_manifest
from pimentospool.orders import EngineControl, Orderer, OrderResult
from pimentospool.revisions import Revision, index_digest, pack_manifest
from pimentospool.standins import StandinDeployment
from pimentospool.views import View

MANIFEST = Path(__file__).resolve().parent.parent / "examples/magnolia/manifest.toml"
REGION = RegionId("gulf")
ZONE = ZoneId("gulf-a")
STEPS = 40
READY_SECONDS = 60.0


class Clock:
    """Monotonic time that a test moves."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_revision(manifest: Manifest, number: int) -> Revision:
    index = pack_manifest(manifest, revision=number).index
    return Revision(
        number=number, digest=index_digest(index), index=index, manifest=manifest
    )


def with_version(manifest: Manifest, version: str) -> Manifest:
    model = msgspec.structs.replace(manifest.models[0], version=version)
    return msgspec.structs.replace(manifest, models=[model])


class Bench:
    """Stand-in engines of one region, and orderers with views of their own."""

    def __init__(self):
        self.clock = Clock()
        self.control = EngineControl()
        self.deployment = StandinDeployment(manifest=read_manifest(MANIFEST))

    async def start(self):
        await self.deployment.start()

    async def close(self):
        await self.control.close()
        await self.deployment.close()

    @property
    def engines(self):
        return {
            target: engine
            for target, engine in self.deployment.engines.items()
            if target.startswith(REGION)
        }

    def orderer(self, *, revision=1, version="1", confirmed=True) -> Orderer:
        view = View()
        manifest = with_version(self.deployment.manifest, version)
        view.adopt(make_revision(manifest, revision))
        return Orderer(
            region=REGION,
            zone=ZONE,
            view=view,
            weight_store_address="",
            is_orderer=lambda: True,
            is_confirmed=lambda: confirmed,
            leaving_targets=frozenset,
            clock=self.clock,
            control=self.control,
        )

    def versions(self):
        return {
            target: [held.version for held in engine.state.models]
            for target, engine in self.engines.items()
        }

    async def settle(self, orderer):
        for _ in range(STEPS):
            await orderer.step()
            await asyncio.sleep(0)


def run_bench(runner, check):
    async def main():
        bench = Bench()
        await bench.start()
        try:
            await check(bench)
        finally:
            await bench.close()

    runner.run(main())


def test_rollout_replaces_the_version_everywhere(runner):
    async def check(bench):
        await bench.settle(bench.orderer(revision=2, version="2"))
        assert set(map(tuple, bench.versions().values())) == {("2",)}

    run_bench(runner, check)


def test_engine_that_checks_numbers_is_not_flipped_back_by_a_late_sender(runner):
    async def check(bench):
        late = bench.orderer(revision=1, version="1")
        await bench.settle(bench.orderer(revision=2, version="2"))
        await bench.settle(late)
        checked = {
            target: versions
            for target, versions in bench.versions().items()
            if bench.engines[target].profile.checks_fencing
        }
        assert checked
        assert set(map(tuple, checked.values())) == {("2",)}
        results = {late.records[target].result for target in checked}
        assert results == {OrderResult.OUTRANKED}

    run_bench(runner, check)


def test_engine_that_ignores_numbers_gets_no_order_from_an_unconfirmed_view(runner):
    async def check(bench):
        late = bench.orderer(revision=1, version="1", confirmed=False)
        await bench.settle(bench.orderer(revision=2, version="2"))
        await bench.settle(late)
        assert set(map(tuple, bench.versions().values())) == {("2",)}

    run_bench(runner, check)


def test_unconfirmed_check_fails_when_the_view_counts_as_confirmed(runner):
    async def check(bench):
        late = bench.orderer(revision=1, version="1", confirmed=True)
        await bench.settle(bench.orderer(revision=2, version="2"))
        await bench.settle(late)
        assert ("1",) in set(map(tuple, bench.versions().values()))

    run_bench(runner, check)


def test_sender_that_pauses_after_reading_does_not_order(runner):
    async def check(bench):
        orderer = bench.orderer(revision=2, version="2")
        read_state = bench.control.read_state

        async def read_then_pause(target):
            state = await read_state(target)
            bench.clock.now += 60.0
            return state

        bench.control.read_state = read_then_pause
        await bench.settle(orderer)
        assert all(not engine.orders for engine in bench.engines.values())
        results = {record.result for record in orderer.records.values()}
        assert results == {OrderResult.EXPIRED}

    run_bench(runner, check)


def test_two_orderers_of_one_revision_converge(runner):
    async def check(bench):
        first = bench.orderer(revision=2, version="2")
        second = bench.orderer(revision=2, version="2")
        for _ in range(STEPS):
            await asyncio.gather(first.step(), second.step())
        assert set(map(tuple, bench.versions().values())) == {("2",)}

    run_bench(runner, check)


def test_unreachable_engine_holds_up_no_other(runner):
    async def check(bench):
        lost = next(iter(bench.engines))
        await bench.deployment.servers[lost].close()
        await bench.settle(bench.orderer(revision=2, version="2"))
        versions = bench.versions()
        assert versions.pop(lost) == ["1"]
        assert set(map(tuple, versions.values())) == {("2",)}

    run_bench(runner, check)


def test_rollout_goes_on_when_the_orderer_is_replaced(runner):
    async def check(bench):
        settings = bench.deployment.entry_settings({ZONE: 2})
        entries = {cfg.entry.id: Entry(cfg=cfg) for cfg in settings}
        await asyncio.gather(*(entry.start() for entry in entries.values()))
        try:
            await publish_version(bench, "2")
            await until(lambda: ["2"] in bench.versions().values())
            orderers = [name for name in entries if entries[name].status().orderer]
            assert len(orderers) == 1
            await entries.pop(orderers[0]).stop()
            await publish_version(bench, "3", revision=3)
            await until(lambda: set(map(tuple, bench.versions().values())) == {("3",)})
        finally:
            await asyncio.gather(*(entry.stop() for entry in entries.values()))

    run_bench(runner, check)


async def publish_version(bench, version, revision=2):
    manifest = with_version(bench.deployment.manifest, version)
    await bench.deployment.configuration.publish_manifest(manifest, revision=revision)


async def until(condition):
    async with asyncio.timeout(READY_SECONDS):
        while not condition():
            await asyncio.sleep(0.05)
