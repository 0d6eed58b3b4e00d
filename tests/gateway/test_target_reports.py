"""Reports of work at targets: direct in a small region, by relays in a large one."""

import math
import random

import msgspec
import pytest
from gateway_factories import Clock, announce, make_record

from pimentospool.gateway import FactPosition
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._region_contact import RegionContact
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.gateway._target_reports import (
    EMPTY_REPORTS,
    LINK_SHARE,
    REFRESH_ROUNDS,
    ReportExchange,
    relay_bytes,
)
from pimentospool.policy import (
    BrittleTargets,
    DoubtedStarts,
    EntryState,
    NamedLimits,
    Occupancy,
    OccupancyBook,
)
from pimentospool.policy._occupancy import PEER_REPORT_TTL_SECONDS

LARGE = 65
ROUND_SECONDS = 0.2
MAX_DATAGRAM_BYTES = 65_507
"""Longest payload of a UDP datagram."""


class Node:
    def __init__(self, record, clock):
        self.relayed_bytes = []
        """Bytes that it relayed in each round, all receivers together."""
        self.record = record
        self.fleet = Fleet(local_record=record, clock=clock, rng=random.Random(1))
        self.fleet.local_state = EntryState.READY
        self.book = OccupancyBook(clock=clock)
        self.cold = {}
        self.cold_received = {}
        self.position = None
        self.positions = []
        self.received = 0
        self.limits = NamedLimits(entry=self.fleet.local_id, clock=clock)
        self.brittle = BrittleTargets(entry=self.fleet.local_id, clock=clock)
        self.doubted = DoubtedStarts(own=record.key, clock=clock)
        self.exchange = ReportExchange(
            fleet=self.fleet,
            book=self.book,
            limits=self.limits,
            brittle=self.brittle,
            contact=RegionContact(
                fleet=self.fleet,
                routing_state=RoutingState(clock=clock, zone_regions={}),
                clock=clock,
            ),
            doubted=self.doubted,
            cold_reports=lambda: self.cold,
            receive_cold_report=self.cold_received.__setitem__,
            position=lambda: self.position,
            receive_position=lambda *announced: self.positions.append(announced),
            bytes_per_round=relay_bytes(record.link_mbps, ROUND_SECONDS),
        )


class Region:
    """Entry VMs of one region that know each other, on a network without delay."""

    def __init__(self, size, *, link_mbps=0.0):
        self.clock = Clock()
        records = [
            make_record(
                f"e-{number}", zone=f"gulf-{'ab'[number % 2]}", link_mbps=link_mbps
            )
            for number in range(size)
        ]
        self.nodes = {rec.key: Node(rec, self.clock) for rec in records}
        for node in self.nodes.values():
            for record in records:
                announce(node.fleet, record)
        self.stopped = set()
        self.largest_bytes = 0

    @property
    def list(self):
        return list(self.nodes.values())

    def run_rounds(self, count=1):
        """Run rounds; return the number of datagrams."""
        datagrams = 0
        for _ in range(count):
            self.clock.now += ROUND_SECONDS
            for key, node in self.nodes.items():
                if key in self.stopped:
                    continue
                node.relayed_bytes.append(0)
                for msg, receivers in node.exchange.next_round():
                    size_bytes = len(msgspec.msgpack.encode(msg))
                    self.largest_bytes = max(self.largest_bytes, size_bytes)
                    size_bytes *= len(receivers)
                    node.exchange.record_sent(size_bytes)
                    if not msg.to_relay:
                        node.relayed_bytes[-1] += size_bytes
                    for record in receivers:
                        datagrams += 1
                        if record.key not in self.stopped:
                            self.nodes[record.key].received += 1
                            self.nodes[record.key].exchange.receive(msg)
        return datagrams

    def send_urgent(self, node):
        """Send what is new before the next round, and what receivers are to relay."""
        urgent = [node]
        while urgent:
            for msg, receivers in urgent.pop(0).exchange.messages():
                for record in receivers:
                    receiver = self.nodes[record.key]
                    if record.key not in self.stopped and receiver.exchange.receive(
                        msg
                    ):
                        urgent.append(receiver)

    def in_doubt(self):
        """Return whether the start of the target is in doubt, by running entry VM."""
        return {
            node.doubted.is_doubted("i-1")
            for key, node in self.nodes.items()
            if key not in self.stopped
        }


@pytest.mark.parametrize("size", [3, 12, LARGE])
def test_work_is_known_everywhere_within_two_rounds(size):
    region = Region(size)
    region.list[0].book.begin("i-1", waiting_tokens=10, held_tokens=30)
    region.list[1].book.begin("i-1", waiting_tokens=20, held_tokens=40)
    region.run_rounds(2)
    for node in region.list:
        assert node.book.total("i-1") == Occupancy(2, 30, 70)


@pytest.mark.parametrize("size", [3, LARGE])
def test_ended_work_is_known_and_idle_entry_vms_send_nothing(size):
    region = Region(size)
    assignment = region.list[0].book.begin("i-1")
    region.run_rounds(3)
    assignment.end()
    region.run_rounds(2)
    assert all(node.book.total("i-1") == Occupancy() for node in region.list)
    region.run_rounds(5 * (EMPTY_REPORTS + 1))
    assert region.run_rounds(10) == 0


def test_datagrams_of_a_large_region_grow_with_its_size_only():
    region = Region(LARGE)
    for node in region.list:
        node.book.begin("i-1")
    # Each of two relays sends to all others, in datagrams of sixteen reports.
    limit = 2 * LARGE + 2 * LARGE * (LARGE // 16 + 1)
    assert max(region.run_rounds() for _ in range(6)) <= limit
    assert all(node.book.total("i-1").running == LARGE for node in region.list)


def test_loss_of_one_relay_loses_no_report():
    region = Region(LARGE)
    relay = min(region.nodes)
    region.stopped.add(relay)
    reporter = next(node for key, node in region.nodes.items() if key != relay)
    reporter.book.begin("i-1")
    region.run_rounds(3)
    running = [node for key, node in region.nodes.items() if key != relay]
    assert all(node.book.total("i-1").running == 1 for node in running)


def run_busy_rounds(region, count):
    """Run rounds in each of which the work of all entry VMs changes."""
    for number in range(count):
        for node in region.list:
            for target in range(10):
                node.book.begin(f"i-{target:010x}", held_tokens=number)
        region.run_rounds()


def test_report_is_relayed_by_one_relay_only():
    region = Region(26)
    run_busy_rounds(region, 5)
    relayed = []
    receiver = next(
        node for node in region.list if node.record.key not in _relay_keys(region)
    )
    receive = receiver.exchange.receive

    def count(msg):
        relayed.extend((report.sender, report.number) for report in msg.reports)
        receive(msg)

    receiver.exchange.receive = count
    run_busy_rounds(region, 10)
    assert len(relayed) == len(set(relayed))
    assert len(relayed) >= 9 * 25


# A doubt waited for the next round once its relay had sent anything in this one.
def test_doubt_is_relayed_at_once_beside_other_reports():
    region = Region(LARGE)
    run_busy_rounds(region, 3)
    relays = _relay_keys(region)
    sender = next(node for key, node in region.nodes.items() if key not in relays)
    sender.doubted.register("i-1", 1)
    sender.doubted.record_doubt("i-1")
    ((msg, receivers),) = sender.exchange.messages()
    for record in receivers:
        relay = region.nodes[record.key].exchange
        assert relay.receive(msg)
        relayed = [report for item, _ in relay.messages() for report in item.reports]
        assert any("i-1" in report.doubts for report in relayed)


# Above that size, a relay's reports were dropped as they were sent.
def test_reports_on_all_targets_of_a_large_region_fit_into_datagrams():
    region = Region(LARGE)
    for node in region.list:
        for number in range(100):
            target = f"i-{number:010x}"
            node.book.begin(target, waiting_tokens=90_000, held_tokens=90_000)
            node.doubted.register(target, 1_774_000_000_000)
            node.doubted.record_doubt(target)
    region.run_rounds()
    assert region.largest_bytes <= MAX_DATAGRAM_BYTES
    region.run_rounds()
    assert all(len(node.doubted.doubted_targets()) == 100 for node in region.list)


def test_relay_with_a_slow_link_keeps_to_its_share_and_reports_stay_recent():
    region = Region(26, link_mbps=5.0)
    receiver = next(
        node for node in region.list if node.record.key not in _relay_keys(region)
    )
    newest = {}
    for _ in range(50):
        run_busy_rounds(region, 1)
        for sender, number in receiver.exchange._numbers.items():
            if newest.get(sender, (0, 0.0))[0] != number:
                newest[sender] = (number, region.clock.now)
        oldest = min((at for _, at in newest.values()), default=region.clock.now)
        assert region.clock.now - oldest < PEER_REPORT_TTL_SECONDS
    seconds = 50 * ROUND_SECONDS
    limit = LINK_SHARE * 5e6 / 8 * seconds
    for node in region.list:
        assert sum(node.relayed_bytes) < limit + max(node.relayed_bytes)


def test_late_report_does_not_replace_a_newer_one():
    region = Region(3)
    sender, receiver, _ = region.list
    assignment = sender.book.begin("i-1")
    (old, _), *_ = sender.exchange.next_round()
    assignment.end()
    region.run_rounds()
    receiver.exchange.receive(old)
    assert receiver.book.total("i-1") == Occupancy()


def test_cold_targets_are_reported():
    region = Region(LARGE)
    region.list[0].cold = {"i-1": 2.5}
    region.run_rounds(2)
    assert all(node.cold_received == {"i-1": 2.5} for node in region.list[1:])


@pytest.mark.parametrize("size", [4, LARGE])
def test_limit_that_one_entry_vm_was_told_is_known_in_the_region(size):
    region = Region(size)
    region.list[0].limits.record_answer("i-1", 1.3, sent_at=region.clock.now)
    region.run_rounds(2)
    assert {node.limits.limit("i-1") for node in region.list} == {1.3}
    sent_at = region.clock.now
    region.run_rounds(3)
    region.list[-1].limits.record_answer("i-1", math.inf, sent_at=sent_at)
    region.run_rounds(2)
    assert {node.limits.limit("i-1") for node in region.list} == {math.inf}


def test_brittle_target_is_known_in_the_region():
    region = Region(LARGE)
    told = region.list[0].brittle
    told.record_answer("i-1", 5.0, sent_at=region.clock.now, rejected=False)
    region.run_rounds(2)
    assert not any(
        node.brittle.allows(
            "i-1", slots=4, in_progress=3, members=[node.record.id, "other"]
        )
        for node in region.list
    )


def test_relays_announce_how_far_they_follow_the_source():
    region = Region(LARGE)
    for node in region.list:
        node.position = (FactPosition(1, 42), 0.5)
    region.run_rounds(3)
    for node in region.list:
        senders = {record.id for record, _, _ in node.positions}
        expected = 1 if node.record.key in _relay_keys(region) else 2
        assert len(senders) == expected
        assert all(position == FactPosition(1, 42) for _, position, _ in node.positions)


def make_doubting_region(size, *, stopped_relays=0):
    """Return a region, and one of its entry VMs that is no relay."""
    region = Region(size)
    for node in region.list:
        node.doubted.register("i-1", 1)
    relays = _relay_keys(region)
    region.stopped.update(sorted(relays)[:stopped_relays])
    return region, next(node for key, node in region.nodes.items() if key not in relays)


@pytest.mark.parametrize(
    ("size", "stopped_relays"), [(4, 0), (12, 0), (LARGE, 0), (LARGE, 1)]
)
def test_doubt_in_a_start_and_its_proof_are_known_in_the_region_at_once(
    size, stopped_relays
):
    region, first = make_doubting_region(size, stopped_relays=stopped_relays)
    region.run_rounds(2)
    first.doubted.record_doubt("i-1")
    region.send_urgent(first)
    assert region.in_doubt() == {True}
    prover = next(
        node for node in reversed(region.list) if node.record.key not in region.stopped
    )
    prover.doubted.settle("i-1", 1, prover.doubted.open_doubts("i-1"))
    region.send_urgent(prover)
    assert region.in_doubt() == {False}


@pytest.mark.parametrize("size", [4, LARGE])
@pytest.mark.parametrize("lost", [1, 2])
def test_doubt_is_known_in_the_region_though_reports_of_it_were_lost(size, lost):
    region, first = make_doubting_region(size)
    first.doubted.record_doubt("i-1")
    for _ in range(lost):
        first.exchange.messages()
        first.exchange.next_round()
    region.run_rounds(REFRESH_ROUNDS + 1)
    assert region.in_doubt() == {True}


@pytest.mark.parametrize("size", [4, LARGE])
def test_doubt_stays_known_for_as_long_as_it_lasts(size):
    region, first = make_doubting_region(size)
    first.doubted.record_doubt("i-1")
    for _ in range(int(20.0 / ROUND_SECONDS)):
        region.run_rounds()
        assert region.in_doubt() == {True}
    # A new start was reached and has had its cold time.
    first.doubted.record_reached("i-1", cold_seconds=3.0)
    region.run_rounds(int(2.0 / ROUND_SECONDS))
    assert region.in_doubt() == {True}
    region.run_rounds(int(4.0 / ROUND_SECONDS))
    assert region.in_doubt() == {False}


def _relay_keys(region):
    return set(region.list[0].fleet.relays("gulf"))
