import random

import pytest
from gateway_factories import Clock, announce, make_record

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._stream_records import StreamRecordExchange
from pimentospool.policy import EntryState, StreamVersions

REGIONS = ("gulf", "delta", "piedmont")
ROUNDS = 3
"""Rounds in which a record arrives everywhere: sent, relayed, and one spare."""


class Member:
    def __init__(self, record, records, clock):
        fleet = Fleet(local_record=record, clock=clock, rng=random.Random(1))
        fleet.local_state = EntryState.READY
        for other in records:
            if other is not record:
                announce(fleet, other)
        self.versions = StreamVersions(
            clock=clock, serving=lambda service: {"v1", "v2"}
        )
        self.versions.observe("llm", "v1")
        self.exchange = StreamRecordExchange(fleet=fleet, versions=self.versions)


def run_fleet(per_region, *, loss=0.0, streams=40):
    """Let random entry VMs begin streams; return the share that is known elsewhere."""
    rng, clock = random.Random(7), Clock()
    records = [
        make_record(f"{region}-{number}", region=region)
        for region in REGIONS
        for number in range(per_region)
    ]
    members = {record.key: Member(record, records, clock) for record in records}
    sent = 0
    for number in range(streams):
        rng.choice(list(members.values())).versions.record("llm", f"s-{number}", "v2")
    for _ in range(ROUNDS):
        clock.now += 0.2
        for member in members.values():
            for msg, receivers in member.exchange.next_round():
                for record in receivers:
                    sent += 1
                    if rng.random() >= loss:
                        members[record.key].exchange.receive(msg)
    known = sum(
        member.versions.version_of("llm", f"s-{number}") == "v2"
        for member in members.values()
        for number in range(streams)
    )
    return known / (len(members) * streams), sent


@pytest.mark.parametrize("per_region", [1, 3, 12, 23, 65])
def test_records_reach_all_entry_vms_of_all_regions(per_region):
    share, _ = run_fleet(per_region)
    assert share == 1.0


@pytest.mark.parametrize("per_region", [3, 23])
def test_records_reach_nearly_all_entry_vms_over_lossy_links(per_region):
    share, _ = run_fleet(per_region, loss=0.05)
    assert share >= 0.99


def test_messages_of_a_large_fleet_grow_with_its_size_and_not_its_square():
    _, sent = run_fleet(65, streams=195)
    members = 65 * len(REGIONS)
    assert sent <= 30 * members
