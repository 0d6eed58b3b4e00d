"""Load reports and messages that the entry VMs exchange by gossip."""

import random

import pytest
from gateway_factories import Clock, make_record

from pimentospool.gateway._fleet import (
    FANOUT,
    REPORT_FANOUT,
    Fleet,
    FleetMessage,
    ServiceLoad,
)


def make_fleet(*records):
    fleet = Fleet(local_record=make_record("own"), clock=Clock(), rng=random.Random(1))
    for record in records:
        fleet.receive(FleetMessage(sender=record, relayed=[], occupancy={}))
    return fleet


def make_remote_record(number, wait_seconds, slot_utilisation=0.5):
    loads = {"llm": ServiceLoad(wait_seconds, slot_utilisation)}
    return make_record(f"far-{number}", region="delta", loads=loads)


def test_one_idle_report_does_not_hide_a_busy_region():
    busy = [make_remote_record(number, 1.5, 0.9) for number in range(6)]
    fleet = make_fleet(make_remote_record(9, 0.01, 0.0), *busy)
    assert fleet.loads("llm") == {"delta": ServiceLoad(1.5, 0.9)}


def test_unknown_service_has_no_load():
    fleet = make_fleet(make_remote_record(1, 0.2))
    assert fleet.loads("desk") == {}


@pytest.mark.parametrize("peer_count", [3, 20])
def test_report_round_goes_to_every_entry_vm_of_the_region(peer_count):
    records = [make_record(f"near-{number}") for number in range(peer_count)]
    fleet = make_fleet(*records, make_remote_record(1, 0.2))
    receivers = fleet.receivers(remote=False, reports=True)
    assert {rec.id for rec, _ in receivers} == {rec.id for rec in records}
    assert sum(relays for _, relays in receivers) == min(peer_count, FANOUT)
    others = fleet.receivers(remote=False, reports=False)
    assert len(others) == min(peer_count, FANOUT)


def test_receivers_of_a_round_are_limited():
    records = [make_record(f"near-{number}") for number in range(200)]
    assert (
        len(make_fleet(*records).receivers(remote=False, reports=True)) == REPORT_FANOUT
    )


def test_message_without_relays_carries_only_the_sender():
    records = [make_record(f"near-{number}") for number in range(20)]
    fleet = make_fleet(*records)
    msg = fleet.build_message(records[0], {}, {}, relays=False)
    assert msg.relayed == []
    assert fleet.build_message(records[0], {}, {}).relayed
