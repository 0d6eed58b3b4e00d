import asyncio
import random

import pytest
from gateway_factories import Clock, announce, make_record, make_registration

from pimentospool.gateway import (
    DatedFact,
    FactBatch,
    FactPosition,
    SourceError,
    TargetRegistered,
)
from pimentospool.gateway._change_log import ChangeLog
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._stream_origins import StreamOrigins
from pimentospool.policy import EntryState, StreamVersions


class Source:
    """A source that lists one target of each of some versions."""

    def __init__(self):
        self.versions = ["v1"]
        self.reads = 0
        self.failing = False
        self.gate = None

    async def watch(self, after, *, hold_seconds):
        self.reads += 1
        versions = list(self.versions)
        if self.gate is not None:
            await self.gate.wait()
        if self.failing:
            raise SourceError("unreachable")
        return FactBatch(after, [_registered(name) for name in versions])


def _registered(version):
    return DatedFact(1, TargetRegistered(make_registration(version, version=version)))


class Entry:
    """An entry VM that believes that v1 alone has served, with 15 others."""

    def __init__(self, *, zones=("gulf-a", "gulf-b"), other_versions=("v1",)):
        self.clock = Clock()
        self.source = Source()
        self.silent_zones = set()
        fleet = Fleet(
            local_record=make_record("own"), clock=self.clock, rng=random.Random(1)
        )
        fleet.local_state = EntryState.READY
        for number in range(15):
            announce(fleet, make_record(f"e-{number}", zone=zones[number % len(zones)]))
        self.versions = StreamVersions(
            clock=self.clock, serving=lambda service: {"v1"}, first_start=True
        )
        self.other = StreamVersions(
            clock=self.clock,
            serving=lambda service: set(other_versions),
            first_start=True,
        )
        self.other.sole_version("desk")
        changes = ChangeLog()
        changes.restart(FactPosition(1, 1))
        self.origins = StreamOrigins(
            versions=self.versions,
            source=self.source,
            changes=changes,
            fleet=fleet,
            peers=self,
            clock=self.clock,
        )

    async def learn_stream(self, record, key):
        if record.zone in self.silent_zones:
            return False
        self.versions.merge(self.other.knowledge(key))
        return True

    def version_of(self, request_id):
        return asyncio.run(self.origins.version_of("desk", request_id))


def test_entry_vm_whose_relays_are_stale_reads_of_a_version_that_has_joined():
    entry = Entry()
    assert entry.version_of("s-1") == "v1"
    entry.source.versions = ["v1", "v2"]
    entry.clock.now += 1.0
    assert entry.version_of("s-1") is None


def test_record_of_another_entry_vm_tells_a_version_that_has_joined():
    entry = Entry(other_versions=("v1", "v2"))
    entry.source.versions = ["v1", "v2"]
    entry.other.record("desk", "s-1", "v2")
    assert entry.version_of("s-1") == "v2"


def test_read_from_before_a_pause_of_the_process_proves_nothing_after_it():
    entry = Entry()
    assert entry.version_of("s-1") == "v1"
    entry.clock.now += 5.0
    entry.source.failing = True
    entry.silent_zones = {"gulf-a", "gulf-b"}
    assert entry.version_of("s-1") is None


def test_response_that_was_sent_before_the_request_came_is_not_taken_as_recent():
    entry = Entry()

    async def check():
        entry.source.gate = asyncio.Event()
        reads = [asyncio.create_task(entry.origins.version_of("desk", "s-1"))]
        while not entry.source.reads:
            await asyncio.sleep(0)
        entry.source.versions = ["v1", "v2"]
        entry.clock.now += 1.0
        reads.append(asyncio.create_task(entry.origins.version_of("desk", "s-2")))
        await asyncio.sleep(0)
        entry.source.gate.set()
        return await asyncio.gather(*reads)

    assert asyncio.run(check())[1] is None
    assert entry.source.reads == 2


@pytest.mark.parametrize("silent", [(), ("gulf-b",), ("gulf-a", "gulf-b")])
def test_entry_vms_of_all_zones_have_to_speak_for_a_source_that_is_silent(silent):
    entry = Entry()
    entry.source.failing = True
    entry.silent_zones = set(silent)
    assert entry.version_of("s-1") == (None if silent else "v1")


def test_requests_of_one_moment_share_a_read_of_the_source():
    entry = Entry()

    async def check():
        names = [f"s-{number}" for number in range(100)]
        return await asyncio.gather(
            *(entry.origins.version_of("desk", name) for name in names)
        )

    assert set(asyncio.run(check())) == {"v1"}
    assert entry.source.reads == 1
