"""Checks of targets whose starts are in doubt, on real sockets."""

import asyncio
import random
import time
from functools import partial
from types import SimpleNamespace

import msgspec
import pytest
from gateway_factories import (
    announce,
    make_configuration,
    make_record,
    make_registration,
    make_service,
)

from pimentospool.gateway import RoutingState, SharedBounds
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._heartbeats import INTERVAL_SECONDS, URGENT_REPORT_SECONDS
from pimentospool.gateway._placement import Placement
from pimentospool.gateway._pools import ConnectionPools
from pimentospool.gateway._start_checks import NEXT_CHECKER_SECONDS, StartChecker
from pimentospool.platform._exchange import PlatformDialect
from pimentospool.policy import EntryState, OccupancyBook, rank_members
from pimentospool.standins import SigningTarget

TARGET = "i-1"
ENTRIES = ("e-1", "e-2", "e-3", "e-4")
RANKED = rank_members(ENTRIES, purpose=TARGET)
BOUNDS = SharedBounds(
    retry_ratio=0.2,
    retry_reserve=56,
    retry_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
CHECK_SECONDS = 0.5
"""Time in which a few entry VMs can check one after the other."""


class Node:
    """What an entry VM needs to check targets."""

    def __init__(self, entry, registration, *, cold_seconds):
        clock = time.monotonic
        service = make_service("llm", cold_seconds=cold_seconds, health_path="/healthz")
        self.routing_state = RoutingState(clock=clock, zone_regions={"gulf-a": "gulf"})
        self.routing_state.adopt(make_configuration(services=[service]))
        fleet = Fleet(
            local_record=make_record(entry), clock=clock, rng=random.Random(1)
        )
        fleet.local_state = EntryState.READY
        for other in ENTRIES:
            announce(fleet, make_record(other))
        self.key = fleet.local_record.key
        self.placement = Placement(
            region="gulf",
            routing_state=self.routing_state,
            fleet=fleet,
            book=OccupancyBook(clock=clock),
            bounds=BOUNDS,
            clock=clock,
        )
        self.doubted = self.placement.doubted_starts
        pools = ConnectionPools(
            region="gulf",
            fleet=fleet,
            on_loss=self.placement.record_loss,
            on_reached=self.placement.record_reached,
        )
        self.checker = StartChecker(
            routing_state=self.routing_state,
            fleet=fleet,
            placement=self.placement,
            pools=pools,
            dialect=PlatformDialect(),
        )
        self.routing_state.register(registration)


class Region:
    """Entry VMs of a region that tell each other their doubts and proofs."""

    def __init__(self, target, *, cold_seconds=3.0):
        _, _, port = target.address.rpartition(":")
        registration = make_registration(
            TARGET, port=int(port), service="llm", started_at=1
        )
        self.nodes = {
            entry: Node(entry, registration, cold_seconds=cold_seconds)
            for entry in ENTRIES
        }
        for node in self.nodes.values():
            node.placement.doubts_changed.connect(partial(self.share_soon, node))
        self._rounds = asyncio.create_task(self._share_in_rounds())

    async def _share_in_rounds(self):
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            for node in self.nodes.values():
                self.share(node)

    def share_soon(self, sender):
        asyncio.get_running_loop().call_later(URGENT_REPORT_SECONDS, self.share, sender)

    def share(self, sender):
        notices, proofs = sender.doubted.notices(), sender.doubted.proofs()
        for node in self.nodes.values():
            if node is not sender:
                node.doubted.receive(sender.key, notices, proofs)

    def lose_connections(self, entries=ENTRIES):
        for entry in entries:
            self.nodes[entry].placement.record_loss(TARGET)

    @property
    def doubting(self):
        return {
            entry
            for entry, node in self.nodes.items()
            if node.doubted.is_doubted(TARGET)
        }

    async def close(self):
        self._rounds.cancel()
        for node in self.nodes.values():
            await node.checker.close()


def run_with_region(runner, check, *, born=1, **options):
    async def run():
        target = SigningTarget(instance=TARGET)
        target.born = born
        await target.start()
        region = Region(target, **options)
        try:
            await check(region, target)
        finally:
            await region.close()
            await target.close()

    runner.run(run())


@pytest.mark.parametrize(
    ("seen_by", "reports"), [(ENTRIES, 3), (RANKED[-1:], 1), (RANKED[:1], 1)]
)
def test_sound_target_is_asked_by_few_entry_vms_for_all(runner, seen_by, reports):
    async def check(region, target):
        region.lose_connections(seen_by)
        await asyncio.sleep(NEXT_CHECKER_SECONDS / 2)
        assert len(target.reports) == 1
        await asyncio.sleep(CHECK_SECONDS)
        assert region.doubting == set()
        assert len(target.reports) <= reports
        assert target.received == []

    run_with_region(runner, check)


@pytest.mark.parametrize("failed", [1, 2])
def test_next_entry_vm_asks_if_the_ones_before_it_do_not(runner, failed):
    async def check(region, target):
        for entry in RANKED[:failed]:
            region.nodes[entry].placement.start_doubted.disconnect(
                region.nodes[entry].checker._follow
            )
        region.lose_connections(RANKED[:1])
        await asyncio.sleep(failed * NEXT_CHECKER_SECONDS / 2)
        assert target.reports == []
        await asyncio.sleep(CHECK_SECONDS)
        assert region.doubting == set()
        assert len(target.reports) == 1

    run_with_region(runner, check)


def test_target_of_a_service_without_a_cold_time_is_neither_doubted_nor_asked(runner):
    async def check(region, target):
        region.lose_connections()
        assert region.doubting == set()
        await asyncio.sleep(CHECK_SECONDS)
        assert target.connections == 0

    run_with_region(runner, check, cold_seconds=0.0)


def test_target_that_has_started_again_stays_in_doubt_and_is_asked_little(runner):
    async def check(region, target):
        region.lose_connections()
        await asyncio.sleep(2.0)
        assert region.doubting == set(ENTRIES)
        assert len(target.reports) <= len(ENTRIES)

    run_with_region(runner, check, born=2)


@pytest.mark.parametrize("born", [None, 1])
@pytest.mark.parametrize(("cold_ms", "doubting"), [(0, set()), (1500, set(ENTRIES))])
def test_target_without_a_prompt_report_is_asked_how_long_it_stays_cold(
    runner, cold_ms, doubting, born
):
    async def check(region, target):
        target.cold_remaining_ms = cold_ms
        target.report_delay_seconds = 2.0
        region.lose_connections()
        await asyncio.sleep(CHECK_SECONDS)
        assert region.doubting == doubting
        await asyncio.sleep(2.5)
        assert region.doubting == set()

    run_with_region(runner, check, born=born)


@pytest.mark.parametrize("doubted", [False, True])
def test_target_whose_new_entry_calls_it_warm_counts_as_cold_if_it_was_in_doubt(
    runner, doubted
):
    async def check(region, target):
        if doubted:
            region.lose_connections(RANKED[:1])
        await asyncio.sleep(CHECK_SECONDS)
        for node in region.nodes.values():
            old = node.routing_state.target(TARGET).registration
            node.routing_state.register(msgspec.structs.replace(old, started_at=2))
        for node in region.nodes.values():
            state = node.routing_state.target(TARGET)
            assert node.placement.is_cold(state) is doubted
        await asyncio.sleep(CHECK_SECONDS)
        assert region.doubting == set()

    run_with_region(runner, check, born=2)


def test_target_that_cannot_be_reached_is_connected_to_once_a_check(runner):
    async def check(region, target):
        await target.close()
        region.lose_connections(RANKED[:1])
        await asyncio.sleep(NEXT_CHECKER_SECONDS / 2)
        doubt = region.nodes[RANKED[0]].doubted.open_doubts(TARGET)
        # One for the loss, one for the refused connection.
        assert list(doubt.values()) == [2]

    run_with_region(runner, check)


# Requests at an entry VM without contact were held up before they were refused.
@pytest.mark.parametrize("contact_lost", [False, True])
def test_requests_wait_for_a_check_only_with_contact(runner, contact_lost):
    async def check(region, target):
        node = region.nodes[RANKED[1]]
        if contact_lost:
            node.placement.contact = SimpleNamespace(lost=True)
        node.placement.record_loss(TARGET)
        began_at = time.monotonic()
        checked = await node.checker.wait("llm", within_seconds=CHECK_SECONDS)
        assert checked is not contact_lost
        assert (time.monotonic() - began_at < 0.01) is contact_lost

    run_with_region(runner, check)


def test_doubt_that_begins_as_a_check_ends_is_checked(runner):
    async def check(region, target):
        node = region.nodes[RANKED[0]]
        node.placement.record_loss(TARGET)
        ended = node.checker._checks[TARGET]
        await asyncio.sleep(CHECK_SECONDS)
        while not ended.done():
            await asyncio.sleep(0)
        node.checker._checks[TARGET] = ended
        node.placement.record_loss(TARGET)
        assert node.checker._checks[TARGET] is ended
        node.checker._end_check(TARGET, ended)
        await asyncio.sleep(CHECK_SECONDS)
        assert region.doubting == set()

    run_with_region(runner, check)
