"""Registration, expiry and cold times of targets, and evacuated zones."""

import pytest
from gateway_factories import (
    Clock,
    make_configuration,
    make_registration,
    make_route,
    make_service,
)

from pimentospool.gateway import Knowledge

ZONES = {"gulf-a": "gulf", "delta-a": "delta"}


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def knowledge(clock):
    made = Knowledge(clock=clock, zone_regions=ZONES)
    made.adopt(make_configuration(services=[make_service(cold_seconds=3.0)]))
    return made


def usable_ids(knowledge, region="gulf"):
    return [state.id for state in knowledge.usable_targets("desk", region)]


def test_older_configurations_are_not_adopted(knowledge):
    newer = make_configuration(make_route("/new/"), version=9)
    assert knowledge.adopt(newer)
    assert not knowledge.adopt(make_configuration(version=8))
    assert not knowledge.adopt(make_configuration(version=9))
    assert knowledge.routes.match("shop.example", "/new/x") is not None


def test_expired_targets_are_kept_for_a_grace_time(knowledge, clock):
    knowledge.register(make_registration("i-1"))
    knowledge.register(make_registration("i-2"))
    knowledge.deregister("i-1", lapsed=True)
    knowledge.deregister("i-2", lapsed=True)
    assert usable_ids(knowledge) == ["i-1", "i-2"]
    knowledge.register(make_registration("i-2"))
    clock.now += 2.3
    assert usable_ids(knowledge) == ["i-2"]


def test_removed_targets_are_not_used(knowledge):
    removed = []
    knowledge.target_removed.connect(removed.append)
    knowledge.register(make_registration("i-1"))
    knowledge.deregister("i-1")
    assert usable_ids(knowledge) == []
    assert removed == ["i-1"]


def test_restart_of_a_target_is_signalled_as_removal(knowledge):
    removed = []
    knowledge.target_removed.connect(removed.append)
    knowledge.register(make_registration("i-1", started_at=1))
    knowledge.register(make_registration("i-1", started_at=1, slots=9))
    assert removed == []
    knowledge.register(make_registration("i-1", started_at=2))
    assert removed == ["i-1"]


def test_cold_time_counts_from_the_registration(knowledge, clock):
    knowledge.register(make_registration("i-1", cold_seconds=2.0))
    state = knowledge.target("i-1")
    assert state.is_cold(clock.now + 2.0)
    assert not state.is_cold(clock.now + 2.6)


def test_targets_of_a_restored_zone_are_cold_until_reported_warm(knowledge, clock):
    restored = []
    knowledge.zone_restored.connect(restored.append)
    knowledge.register(make_registration("i-1"))
    knowledge.replace_evacuated({"gulf-a"})
    assert usable_ids(knowledge) == []
    knowledge.replace_evacuated(set())
    assert restored == ["gulf-a"]
    state = knowledge.target("i-1")
    assert state.is_cold(clock.now)
    assert knowledge.assumed_cold("gulf-a") == [state]
    knowledge.learn_cold("i-1", 0.0)
    assert not state.is_cold(clock.now)
    knowledge.learn_cold("i-1", 5.0)
    assert state.is_cold(clock.now + 5.0)
    knowledge.learn_cold("i-1", 0.0)
    assert state.is_cold(clock.now + 5.0)


def test_cold_report_replaces_the_assumed_cold_time(knowledge, clock):
    knowledge.register(make_registration("i-1"))
    knowledge.replace_evacuated({"gulf-a"})
    knowledge.replace_evacuated(set())
    knowledge.learn_cold("i-1", 1.0)
    assert knowledge.target("i-1").is_cold(clock.now + 1.0)
    assert not knowledge.target("i-1").is_cold(clock.now + 1.6)
