"""What the entry VMs of a fleet hear of each other's work."""

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
    fleet = Fleet(own=make_record("own"), clock=Clock(), rng=random.Random(1))
    for record in records:
        fleet.receive(FleetMessage(sender=record, relayed=[], occupancy={}))
    return fleet


def far(number, wait_seconds, crowding=0.5):
    loads = {"llm": ServiceLoad(wait_seconds, crowding)}
    return make_record(f"far-{number}", region="delta", loads=loads)


def test_one_idle_report_does_not_speak_for_a_busy_region():
    busy = [far(number, 1.5, 0.9) for number in range(6)]
    fleet = make_fleet(far(9, 0.01, 0.0), *busy)
    assert fleet.loads("llm") == {"delta": ServiceLoad(1.5, 0.9)}


def test_load_of_an_unknown_service_is_unknown():
    fleet = make_fleet(far(1, 0.2))
    assert fleet.loads("desk") == {}


@pytest.mark.parametrize("near", [3, 20])
def test_every_entry_vm_of_the_region_hears_of_work_in_a_round_of_reports(near):
    records = [make_record(f"near-{number}") for number in range(near)]
    fleet = make_fleet(*records, far(1, 0.2))
    receivers = fleet.receivers(remote=False, reports=True)
    assert {rec.id for rec, _ in receivers} == {rec.id for rec in records}
    assert sum(relays for _, relays in receivers) == min(near, FANOUT)
    others = fleet.receivers(remote=False, reports=False)
    assert len(others) == min(near, FANOUT)


def test_messages_of_a_round_are_bounded():
    records = [make_record(f"near-{number}") for number in range(200)]
    assert (
        len(make_fleet(*records).receivers(remote=False, reports=True)) == REPORT_FANOUT
    )


def test_message_without_relays_is_small():
    records = [make_record(f"near-{number}") for number in range(20)]
    fleet = make_fleet(*records)
    msg = fleet.message(records[0], {}, {}, relays=False)
    assert msg.relayed == []
    assert fleet.message(records[0], {}, {}).relayed
