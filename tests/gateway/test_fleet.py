"""Membership of entry VMs on a simulated network, and the loads of other regions."""

import random

import pytest
from gateway_factories import Clock, announce, make_record

from pimentospool.bench._fleet_simulation import FleetSimulation
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import ServiceLoad
from pimentospool.gateway._region_loads import LOAD_REPORT_TTL_SECONDS
from pimentospool.policy import EntryState

LARGE, REGIONS, LOSS = 195, 3, 0.05
DETECTION_SECONDS = 5.0
"""Time within which a dead member is known to 99 of 100 members."""
RETURN_SECONDS = 3.0
"""Time within which a member that returns is known to all members."""


def make_fleet(clock=None):
    return Fleet(
        local_record=make_record("own"), clock=clock or Clock(), rng=random.Random(1)
    )


def make_simulation(size=LARGE, *, loss=LOSS, seed=1):
    simulation = FleetSimulation(size=size, regions=REGIONS, loss=loss, seed=seed)
    simulation.run(4.0)
    assert simulation.missing_pairs() == 0
    return simulation


def seconds_until(simulation, condition, *, limit=10.0):
    """Return the simulated time until `condition` holds."""
    started_at = simulation.now
    while not condition():
        assert simulation.now - started_at < limit
        simulation.run(0.1)
    return simulation.now - started_at


@pytest.mark.parametrize("size", [8, 70, LARGE])
@pytest.mark.parametrize("loss", [0.0, LOSS])
def test_no_running_member_is_considered_gone(size, loss):
    simulation = make_simulation(size, loss=loss)

    def check():
        assert simulation.missing_pairs() == 0

    simulation.run(8.0, check)


def test_dead_member_is_known_everywhere():
    simulation = make_simulation()
    dead = simulation.entries[LARGE // 2]
    dead.running = False
    ids = [dead.fleet.local_record.id]

    def is_known():
        return simulation.count_knowing(ids) <= LARGE // 100

    assert seconds_until(simulation, is_known) < DETECTION_SECONDS


@pytest.mark.parametrize("generation", [5, -5])
def test_restarted_member_is_known_even_if_its_clock_is_behind(generation):
    simulation = make_simulation(70)
    simulation.start(9, generation=generation)
    seconds = seconds_until(simulation, lambda: simulation.missing_pairs() == 0)
    assert seconds < RETURN_SECONDS


def test_regions_know_each_other_again_after_a_partition():
    simulation = make_simulation()
    simulation.blocked = lambda sender, receiver: sender.region != receiver.region
    simulation.run(8.0)
    assert simulation.missing_pairs() > LARGE * LARGE // 2
    simulation.blocked = lambda sender, receiver: False
    seconds = seconds_until(simulation, lambda: simulation.missing_pairs() == 0)
    assert seconds < RETURN_SECONDS


@pytest.mark.parametrize("paused_seconds", [2.0, 5.0, 20.0])
def test_paused_member_returns_and_does_not_revive_dead_ones(paused_seconds):
    simulation = make_simulation(70)
    paused, dead = simulation.entries[3], simulation.entries[6]
    paused.running = False
    simulation.run(0.5)
    dead.running = False
    simulation.run(paused_seconds)
    paused.running = True
    seconds = seconds_until(simulation, lambda: simulation.missing_pairs() == 0)
    assert seconds < RETURN_SECONDS
    simulation.run(DETECTION_SECONDS)
    ids = [dead.fleet.local_record.id]
    assert simulation.count_knowing(ids) == 0


def test_cut_of_one_direction_hides_only_the_members_that_cannot_send():
    simulation = make_simulation(70)
    mute = simulation.entries[4]
    simulation.blocked = lambda sender, receiver: sender is mute
    simulation.run(6.0)
    ids = [mute.fleet.local_record.id]
    assert simulation.count_knowing(ids) == 0
    assert len(mute.fleet.live()) == 69
    simulation.blocked = lambda sender, receiver: receiver is mute
    seconds = seconds_until(simulation, lambda: simulation.count_knowing(ids) == 69)
    assert seconds < RETURN_SECONDS


def test_slow_member_stays_known():
    simulation = make_simulation(70)
    slow = simulation.entries[4]
    ids = [slow.fleet.local_record.id]

    def check():
        slow.running = int(simulation.now / 0.8) % 2 == 0
        if slow.running:
            assert simulation.count_knowing(ids) == 69

    simulation.run(10.0, check)


def test_leaving_state_spreads_like_heartbeats():
    simulation = make_simulation(70)
    leaving = simulation.entries[4]
    leaving.fleet.local_state = EntryState.LEAVING
    record = leaving.fleet.local_record

    def is_known():
        others = [entry for entry in simulation.entries if entry is not leaving]
        return all(record in entry.fleet.leaving(record.region) for entry in others)

    assert seconds_until(simulation, is_known) < 2.0


def test_one_idle_report_does_not_hide_a_busy_region():
    fleet = make_fleet()
    for number in range(6):
        loads = {"llm": ServiceLoad(1.5, 0.9)}
        announce(fleet, make_record(f"far-{number}", region="delta"), loads=loads)
    idle = make_record("far-9", region="delta")
    announce(fleet, idle, loads={"llm": ServiceLoad(0.01, 0.0)})
    assert fleet.loads("llm") == {"delta": ServiceLoad(1.5, 0.9)}
    assert fleet.loads("desk") == {}


def test_region_that_lost_its_targets_says_so():
    fleet = make_fleet()
    record = make_record("far", region="delta")
    announce(fleet, record, loads={"llm": ServiceLoad(0.1, 0.1)})
    announce(fleet, record, heartbeat=2, loads={})
    assert fleet.loads("llm") == {}


def test_members_of_a_small_fleet_hear_of_other_regions_each_second():
    simulation = make_simulation(7)
    worst = 0.0

    def check():
        nonlocal worst
        for entry in simulation.entries:
            for record in entry.fleet.live():
                worst = max(worst, entry.fleet._table.silence_seconds(record.key))

    simulation.run(30.0, check)
    assert worst < 2.0


def test_load_of_a_region_that_is_not_heard_of_is_unknown():
    clock = Clock()
    fleet = make_fleet(clock)
    record = make_record("far", region="delta")
    announce(fleet, record, loads={"llm": ServiceLoad(0.1, 0.1)})
    for _ in range(18):
        clock.now += 0.2
        fleet.next_round()
        assert fleet.loads("llm")
    for _ in range(6):
        clock.now += 0.2
        fleet.next_round()
    assert fleet.loads("llm") == {}


@pytest.mark.parametrize("size", [7, 8, 70])
def test_every_member_keeps_recent_loads_of_all_regions(size):
    simulation = make_simulation(size)
    for entry in simulation.entries:
        entry.fleet.local_loads = {"llm": ServiceLoad(0.1, 0.1)}
    simulation.run(3.0)

    def check():
        for entry in simulation.entries:
            assert len(entry.fleet.loads("llm")) == REGIONS - 1
            for reports in entry.fleet._region_loads._reports.values():
                newest = max(received_at for received_at, _ in reports.values())
                assert simulation.now - newest < LOAD_REPORT_TTL_SECONDS

    simulation.run(10.0, check)


def test_unknown_members_are_asked_for_and_sent():
    known, fleet = make_fleet(), make_fleet()
    record = make_record("third")
    announce(known, record, heartbeat=7)
    message = known.announcement()
    message = type(message)(sender=make_record("other"), vector=message.vector)
    (request,) = fleet.receive(message)
    assert record.key in request.wanted
    (answer,) = known.receive(request)
    fleet.receive(answer)
    assert record in fleet.live()


def test_closed_member_runs_until_it_is_silent():
    clock = Clock()
    fleet, other = make_fleet(clock), make_record("e-1")
    for heartbeat in range(1, 4):
        clock.now += 2.0
        announce(fleet, other, state=EntryState.CLOSED, heartbeat=heartbeat)
        assert fleet.running() == [other]
        assert fleet.live() == []
        assert fleet.witnesses() == [[other]]
    clock.now += 3.0
    assert fleet.running() == []
    assert fleet.witnesses() == [[]]
