"""Bound on withdrawn keys, among VMs that lose, delay and repeat what they exchange."""

import asyncio
import heapq
import itertools
import random
from types import SimpleNamespace

import msgspec
import pytest
from gateway_factories import make_configuration, make_record
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool.gateway import (
    ConfigurationPublished,
    DatedFact,
    FactBatch,
    FactPosition,
    RoutingState,
)
from pimentospool.gateway._fleet_messages import FreshnessQuery, FreshnessReply
from pimentospool.gateway._freshness import (
    MAX_OUTSTANDING,
    QUERY_INTERVAL_SECONDS,
    FreshnessExchange,
)
from pimentospool.gateway._store_confirmation import StoreConfirmation
from pimentospool.policy import ConfigurationAge
from pimentospool.tasks import cancel_tasks

BOUND_SECONDS = 5.0
STEPS = 400
DELAYS = (0.0, 0.0, 0.01, 0.01, 0.1, 0.1, 0.3, 2.0)
"""Times between two steps; with some of the last, all that is known gets too old."""
SEARCHED_WALKS = 200
"""Walks in which a broken rule has to show; the rarest one shows in one of twelve."""


class StubFleet:
    def __init__(self, record):
        self.local_record, self.local_region = record, record.region
        self.others = []

    def started(self):
        return self.others

    def relays(self, region):
        return []

    def record(self, key):
        return next((rec for rec in self.others if rec.key == key), None)


class Member:
    """A VM whose process can be suspended and started again."""

    age_type, exchange_type = ConfigurationAge, FreshnessExchange

    def __init__(self, world, number, region):
        self.world = world
        self.fleet = StubFleet(make_record(f"e-{number}", region=region, protocol=1))
        self.suspended, self.stopped_seconds, self.wall_shift = False, 0.0, 0.0
        self.is_cut = False
        self.reads_store = True
        self.starts = 0
        self.start()

    def start(self):
        self.starts += 1
        self.state = RoutingState(clock=self.clock, zone_regions={})
        self.age = self.age_type(
            bound_seconds=BOUND_SECONDS,
            clock=self.clock,
            stamp=lambda: (
                self.state.stamp and msgspec.structs.astuple(self.state.stamp)
            ),
        )
        self.store = StoreConfirmation(age=self.age, routing_state=self.state)
        self.exchange = self.exchange_type(
            age=self.age,
            fleet=self.fleet,
            reads_source=lambda: self.reads_store,
            fetch=None,
            send=self.world.send,
            rng=self.world.rng,
        )

    def clock(self):
        """Return the boot time; suspensions and the time of day don't change it."""
        return self.world.now

    def receive(self, msg):
        self.exchange.handlers[type(msg)](msg)

    def apply(self, versions, sent_at):
        """Apply a response of the store, as the feed does."""
        facts = [
            DatedFact(
                number, ConfigurationPublished(make_configuration(version=number))
            )
            for number in versions
        ]
        for dated in facts:
            self.state.adopt(dated.fact.configuration, era=1)
        batch = FactBatch(FactPosition(1, versions[-1] if versions else 1), facts)
        self.store.record_batch(batch, sent_at=sent_at)

    @property
    def version(self):
        return self.state.configuration.version if self.state.configuration else 0


class World:
    """A store, VMs and what is on the way; each version withdraws a key."""

    def __init__(self, rng, *, member_type=Member):
        self.rng, self.now = rng, 100.0
        self.acknowledged_at = {1: 0.0}
        self.calls, self.datagrams = [], []
        self.members = [
            member_type(self, number, region)
            for number, region in enumerate(("gulf", "gulf", "delta"))
        ]
        records = [member.fleet.local_record for member in self.members]
        for member in self.members:
            member.fleet.others = [
                rec for rec in records if rec is not member.fleet.local_record
            ]

    def send(self, msg, addresses):
        data = msgspec.msgpack.encode(msg)
        for address in addresses:
            self.datagrams.append((address, data))

    def walk(self):
        """Take random steps; return whether a key was accepted for too long."""
        steps = [
            *[self.read, self.read, self.call, self.serve, self.respond, self.copy],
            *[self.ask, self.ask, self.query, self.deliver, self.deliver],
            *[self.publish, self.restart, self.step_time_of_day],
            *[self.suspend, self.resume, self.resume, self.cut, self.heal],
        ]
        for _ in range(STEPS):
            delay = self.rng.choice(DELAYS)
            self.now += delay
            for member in self.members:
                member.stopped_seconds += delay if member.suspended else 0.0
            member = self.rng.choice(self.members)
            step = self.rng.choice(steps)
            if not member.suspended or step in (self.resume, self.publish, self.serve):
                step(member)
            if any(self.accepts_late(member) for member in self.members):
                return True
        return False

    def accepts_late(self, member):
        removed_at = self.acknowledged_at.get(member.version + 1)
        if member.suspended or removed_at is None or not member.age.is_confirmed:
            return False
        return self.now > removed_at + BOUND_SECONDS

    def publish(self, member):
        self.acknowledged_at[len(self.acknowledged_at) + 1] = self.now

    def read(self, member):
        """Read the store; some response arrives at once."""
        self.call(member)
        if not member.is_cut:
            self.calls[-1][3] = len(self.acknowledged_at)
            self.respond(member)

    def ask(self, member):
        """Send a query; one recent datagram arrives at each VM at once."""
        self.query(member)
        for other in (*self.members, member):
            if not other.suspended:
                self.deliver(other)

    def call(self, member):
        self.calls.append([member, member.starts, member.store.now(), None])

    def serve(self, member):
        waiting = [
            call for call in self.calls if call[3] is None and not call[0].is_cut
        ]
        if waiting:
            self.rng.choice(waiting)[3] = len(self.acknowledged_at)

    def respond(self, member):
        served = [call for call in self.calls if call[0] is member and call[3]]
        if served:
            call = self.rng.choice(served)
            self.calls.remove(call)
            if call[1] == member.starts:
                member.apply(range(member.version + 1, call[3] + 1), call[2])

    def query(self, member):
        member.exchange.send_queries()

    def deliver(self, member):
        """Deliver a datagram, which stays on the way and may come again."""
        address = member.fleet.local_record.peer
        arrived = [data for to, data in self.datagrams if to == address]
        if arrived:
            data = self.rng.choice(arrived[-6:])
            member.receive(
                msgspec.msgpack.decode(data, type=FreshnessQuery | FreshnessReply)
            )

    def copy(self, member):
        other = self.rng.choice(self.members)
        if other.version > member.version and not member.is_cut:
            member.state.adopt(other.state.configuration, era=1)

    def suspend(self, member):
        member.suspended = True

    def resume(self, member):
        member.suspended = False

    def cut(self, member):
        """Cut a VM off from the store and configurations, but not from datagrams."""
        member.is_cut = True

    def heal(self, member):
        member.is_cut = False

    def restart(self, member):
        member.start()

    def step_time_of_day(self, member):
        member.wall_shift += self.rng.choice((-10.0, 10.0))


@settings(max_examples=600)
@given(seed=st.integers(0, 2**32))
def test_no_key_is_accepted_later_than_the_bound_after_its_removal(seed):
    assert not World(random.Random(seed)).walk()


class MonotonicClock(Member):
    """Measures by a clock that stops in a suspension."""

    def clock(self):
        return self.world.now - self.stopped_seconds


class TimeOfDay(Member):
    """Measures by a clock that is set forward and back."""

    def clock(self):
        return self.world.now + self.wall_shift


class StoreFromArrival(Member):
    """Counts a response of the store from its arrival."""

    def apply(self, versions, sent_at):
        super().apply(versions, self.clock())


class ReplyFromArrival(Member):
    """Counts the age of a reply from its arrival."""

    class exchange_type(FreshnessExchange):  # noqa: N801
        def receive_reply(self, msg):
            query = self._outstanding.get(msg.number)
            if query is not None:
                self._outstanding[msg.number] = msgspec.structs.replace(
                    query, sent_at=self._age.now()
                )
            super().receive_reply(msg)


class OneWayAge(Member):
    """Counts an age from its arrival without having asked for it."""

    class exchange_type(FreshnessExchange):  # noqa: N801
        def receive_reply(self, msg):
            self._age.receive(
                self._age.now() - msg.age_seconds,
                stamp=(msg.version, msg.era),
                source="",
            )


class CountsNewer(Member):
    """Counts a reply though the own configuration is older."""

    class age_type(ConfigurationAge):  # noqa: N801
        def receive(self, at, *, stamp, source):
            self.confirm(at, source=source)


class NumbersAgain(Member):
    """Numbers its queries from 1 after each start."""

    class exchange_type(FreshnessExchange):  # noqa: N801
        def __init__(self, **fields):
            super().__init__(**fields)
            self._numbers = itertools.count(1)

        def _send_query(self, record):
            number = next(self._numbers)
            self._rng = SimpleNamespace(getrandbits=lambda bits: number)
            super()._send_query(record)
            self._rng = random.Random(1)


@pytest.mark.parametrize(
    "member_type",
    [
        MonotonicClock,
        TimeOfDay,
        StoreFromArrival,
        ReplyFromArrival,
        OneWayAge,
        CountsNewer,
        NumbersAgain,
    ],
)
def test_walks_find_each_rule_that_is_broken(member_type):
    assert any(
        World(random.Random(seed), member_type=member_type).walk()
        for seed in range(SEARCHED_WALKS)
    )


@pytest.mark.parametrize("reader", [0, 2], ids=["same region", "another region"])
def test_vm_without_a_store_stays_confirmed_though_datagrams_are_lost(reader):
    """Guards against queries that are too rare, or go to too few, for 5% loss."""
    rng = random.Random(3)
    world = World(rng)
    events = []
    numbers = itertools.count()

    def at(delay, run, *args):
        heapq.heappush(events, (world.now + delay, next(numbers), run, args))

    def send(msg, addresses):
        for member in world.members:
            if member.fleet.local_record.peer in addresses and rng.random() >= 0.05:
                at(rng.uniform(0.001, 0.06), member.receive, msg)

    def query(member):
        member.exchange.send_queries()
        at(QUERY_INTERVAL_SECONDS, query, member)

    def read(member):
        member.apply([1] if member.version == 0 else [], world.now - 1.0)
        at(1.05, read, member)

    world.send = send
    for number, member in enumerate(world.members):
        member.reads_store = number == reader
        member.start()
        member.state.adopt(make_configuration(), era=1)
        at(0.0, query, member)
    at(0.0, read, world.members[reader])
    while world.now < 1100.0:
        world.now, _, run, args = heapq.heappop(events)
        run(*args)
        if world.now > 103.0:
            assert all(member.age.is_confirmed for member in world.members)


def test_outstanding_queries_are_bounded_and_older_builds_are_not_asked():
    world = World(random.Random(1))
    member, near, far = world.members
    old = make_record("e-old", protocol=0)
    member.fleet.others = [old]
    member.exchange.send_queries()
    assert not world.datagrams
    member.fleet.others = [old, near.fleet.local_record, far.fleet.local_record]
    for _ in range(MAX_OUTSTANDING):
        member.exchange.send_queries()
    assert member.exchange.query_count == len(world.datagrams) > MAX_OUTSTANDING
    assert old.peer not in {address for address, _ in world.datagrams}
    assert len(member.exchange._outstanding) == MAX_OUTSTANDING


def test_replier_without_a_confirmation_does_not_reply():
    world = World(random.Random(1))
    member, near, _ = world.members
    near.state.adopt(make_configuration(), era=1)
    near.receive(FreshnessQuery(member.fleet.local_record.key, 7))
    assert not world.datagrams
    near.age.confirm(99.0, source="store")
    near.receive(FreshnessQuery(member.fleet.local_record.key, 7))
    ((address, data),) = world.datagrams
    assert address == member.fleet.local_record.peer
    assert msgspec.msgpack.decode(data) == [6, 7, 1, 1, 1.0]


def test_vm_whose_configuration_does_not_arrive_reads_it_from_the_replier(runner):
    """Guards against a VM cut off from the store that stays behind for good."""
    world = World(random.Random(1))
    member, near, _ = world.members
    member.state.adopt(make_configuration(), era=1)
    near.state.adopt(make_configuration(version=2), era=1)
    near.age.confirm(world.now, source="store")

    async def fetch(record):
        assert record == near.fleet.local_record
        member.state.adopt(near.state.configuration, era=1)

    async def check():
        member.exchange._fetch = fetch
        world.send = lambda msg, addresses: [
            other.receive(msg)
            for other in world.members
            if other.fleet.local_record.peer in addresses
        ]
        member.exchange._send = near.exchange._send = world.send
        member.fleet.others = [near.fleet.local_record]
        task = asyncio.create_task(member.exchange.run())
        await asyncio.sleep(0.1)
        assert not member.age.is_confirmed
        world.now += QUERY_INTERVAL_SECONDS
        await asyncio.sleep(QUERY_INTERVAL_SECONDS + 0.2)
        assert member.age.latest.source == near.fleet.local_record.id
        await cancel_tasks([task])

    runner.run(check())
