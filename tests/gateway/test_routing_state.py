"""Registration, expiry and cold times of targets, and evacuated zones."""

import pytest
from gateway_factories import (
    Clock,
    make_configuration,
    make_registration,
    make_route,
    make_service,
)

from pimentospool.gateway import RoutingState

ZONES = {"gulf-a": "gulf", "delta-a": "delta"}


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def routing_state(clock):
    made = RoutingState(clock=clock, zone_regions=ZONES)
    made.adopt(make_configuration(services=[make_service(cold_seconds=3.0)]))
    return made


def usable_ids(routing_state, region="gulf"):
    return [state.id for state in routing_state.usable_targets("desk", region)]


def test_older_configurations_are_not_adopted(routing_state):
    newer = make_configuration(make_route("/new/"), version=9)
    assert routing_state.adopt(newer)
    assert not routing_state.adopt(make_configuration(version=8))
    assert not routing_state.adopt(make_configuration(version=9))
    assert routing_state.routes.match("shop.example", "/new/x") is not None


def test_expired_targets_are_kept_for_a_grace_time(routing_state, clock):
    routing_state.register(make_registration("i-1"))
    routing_state.register(make_registration("i-2"))
    routing_state.deregister("i-1", expired=True)
    routing_state.deregister("i-2", expired=True)
    assert usable_ids(routing_state) == ["i-1", "i-2"]
    routing_state.register(make_registration("i-2"))
    clock.now += 2.3
    assert usable_ids(routing_state) == ["i-2"]


def test_removed_targets_are_not_used(routing_state):
    removed = []
    routing_state.target_removed.connect(removed.append)
    routing_state.register(make_registration("i-1"))
    routing_state.deregister("i-1")
    assert usable_ids(routing_state) == []
    assert removed == ["i-1"]


def test_restart_of_a_target_is_signalled_as_removal(routing_state):
    removed = []
    routing_state.target_removed.connect(removed.append)
    routing_state.register(make_registration("i-1", started_at=1))
    routing_state.register(make_registration("i-1", started_at=1, slots=9))
    assert removed == []
    routing_state.register(make_registration("i-1", started_at=2))
    assert removed == ["i-1"]


def test_cold_time_counts_from_the_registration(routing_state, clock):
    routing_state.register(make_registration("i-1", cold_seconds=2.0))
    state = routing_state.target("i-1")
    assert state.is_cold(clock.now + 2.0)
    assert not state.is_cold(clock.now + 2.6)


def test_targets_of_a_restored_zone_are_cold_until_reported_warm(routing_state, clock):
    restored = []
    routing_state.zone_restored.connect(restored.append)
    routing_state.register(make_registration("i-1"))
    routing_state.replace_evacuated({"gulf-a"})
    assert usable_ids(routing_state) == []
    routing_state.replace_evacuated(set())
    assert restored == ["gulf-a"]
    state = routing_state.target("i-1")
    assert state.is_cold(clock.now)
    assert routing_state.assumed_cold("gulf-a") == [state]
    routing_state.receive_cold_report("i-1", 0.0)
    assert not state.is_cold(clock.now)
    routing_state.receive_cold_report("i-1", 5.0)
    assert state.is_cold(clock.now + 5.0)
    routing_state.receive_cold_report("i-1", 0.0)
    assert state.is_cold(clock.now + 5.0)


def test_cold_report_replaces_the_assumed_cold_time(routing_state, clock):
    routing_state.register(make_registration("i-1"))
    routing_state.replace_evacuated({"gulf-a"})
    routing_state.replace_evacuated(set())
    routing_state.receive_cold_report("i-1", 1.0)
    assert routing_state.target("i-1").is_cold(clock.now + 1.0)
    assert not routing_state.target("i-1").is_cold(clock.now + 1.6)
