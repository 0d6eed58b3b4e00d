"""Registration, expiry and cold times of targets, and evacuated zones."""

import msgspec
import pytest
from gateway_factories import (
    Clock,
    make_configuration,
    make_registration,
    make_route,
    make_service,
)

from pimentospool.gateway import FactPosition, FactSnapshot, RoutingState

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


def make_snapshot(*registrations, version=None, era=2, evacuated=()):
    configuration = None
    if version is not None:
        configuration = make_configuration(
            services=[make_service(cold_seconds=3.0)], version=version
        )
    return FactSnapshot(
        position=FactPosition(era, 5),
        configuration=configuration,
        registrations=list(registrations),
        evacuated=frozenset(evacuated),
    )


def restore(routing_state, *registrations, **options):
    """Apply a copy that is some seconds old."""
    snapshot = make_snapshot(*registrations, **options)
    routing_state.apply_snapshot(snapshot, restored=True, may_have_expired=False)


def test_configuration_never_goes_back_to_that_of_a_copy(routing_state):
    routing_state.adopt(make_configuration(make_route("/new/"), version=7))
    restore(routing_state, version=5)
    assert routing_state.configuration.version == 7


def test_version_published_again_with_other_content_replaces_the_lost_one(
    routing_state,
):
    routing_state.adopt(make_configuration(make_route("/lost/"), version=7), era=1)
    again = make_configuration(make_route("/again/"), version=7)
    assert not routing_state.adopt(again, era=1)
    assert routing_state.adopt(again, era=2)
    assert not routing_state.adopt(
        make_configuration(make_route("/lost/"), version=7), era=1
    )
    assert routing_state.routes.match("shop.example", "/again/x") is not None


def test_target_that_left_is_not_used_because_a_copy_lists_it(routing_state):
    left = make_registration("i-1", started_at=3)
    routing_state.register(left)
    routing_state.deregister("i-1")
    restore(routing_state, left)
    assert usable_ids(routing_state) == []
    routing_state.register(left)
    assert usable_ids(routing_state) == ["i-1"]


def test_new_start_of_a_target_that_left_is_used(routing_state):
    routing_state.register(make_registration("i-1", started_at=3))
    routing_state.deregister("i-1")
    restore(routing_state, make_registration("i-1", started_at=4))
    assert usable_ids(routing_state) == ["i-1"]


def test_leaving_target_stays_leaving_though_a_copy_lists_it_as_ready(routing_state):
    routing_state.register(make_registration("i-1", leaving=True))
    restore(routing_state, make_registration("i-1"))
    assert usable_ids(routing_state) == []


def test_target_that_a_copy_lacks_is_used_until_it_should_have_returned(
    routing_state, clock
):
    routing_state.register(make_registration("i-1"))
    routing_state.register(make_registration("i-2", port=9001))
    restore(routing_state)
    assert set(usable_ids(routing_state)) == {"i-1", "i-2"}
    routing_state.register(make_registration("i-1"))
    clock.now += 2.5
    assert usable_ids(routing_state) == ["i-1"]


def test_evacuation_that_a_copy_lacks_lasts_until_it_should_have_returned(
    routing_state, clock
):
    routing_state.register(make_registration("i-1"))
    routing_state.replace_evacuated({"gulf-a"})
    restore(routing_state, make_registration("i-1"))
    assert usable_ids(routing_state) == []
    clock.now += 2.5
    assert usable_ids(routing_state) == ["i-1"]
    assert routing_state.target("i-1").is_cold(clock.now)


def test_evacuation_written_again_after_a_restore_lasts(routing_state, clock):
    routing_state.register(make_registration("i-1"))
    routing_state.replace_evacuated({"gulf-a"})
    restore(routing_state, make_registration("i-1"))
    routing_state.set_evacuated("gulf-a", True)
    clock.now += 60.0
    assert usable_ids(routing_state) == []


def test_snapshot_without_a_restore_replaces_everything(routing_state):
    routing_state.register(make_registration("i-1"))
    routing_state.replace_evacuated({"delta-a"})
    snapshot = make_snapshot(make_registration("i-2", port=9001))
    routing_state.apply_snapshot(snapshot, restored=False, may_have_expired=False)
    assert usable_ids(routing_state) == ["i-2"]
    assert routing_state.evacuated == frozenset()


def test_target_whose_entry_is_unreadable_gets_no_requests_and_is_not_removed(
    routing_state,
):
    removed = []
    routing_state.target_removed.connect(removed.append)
    routing_state.register(make_registration("i-1", started_at=1))
    routing_state.receive_unreadable("i-1")
    routing_state.receive_unreadable("i-2")
    assert usable_ids(routing_state) == []
    assert routing_state.view().targets == ()
    assert routing_state.versions("desk") == {""}
    assert routing_state.known_targets() == ["i-1"]
    routing_state.register(make_registration("i-1", started_at=1))
    assert usable_ids(routing_state) == ["i-1"]
    assert removed == []


def test_target_whose_entry_is_unreadable_is_not_asked_whether_it_is_cold(
    routing_state,
):
    routing_state.register(make_registration("i-1"))
    routing_state.set_evacuated("gulf-a", True)
    routing_state.set_evacuated("gulf-a", False)
    routing_state.receive_unreadable("i-1")
    assert routing_state.assumed_cold() == []
    routing_state.register(make_registration("i-1"))
    assert [state.id for state in routing_state.assumed_cold()] == ["i-1"]


@pytest.mark.parametrize("restored", [False, True])
def test_snapshot_with_an_unreadable_entry_names_no_target(routing_state, restored):
    routing_state.register(make_registration("i-1"))
    routing_state.register(make_registration("i-2", port=9001))
    snapshot = msgspec.structs.replace(
        make_snapshot(make_registration("i-2", port=9001)),
        unreadable=frozenset({"i-1", "i-3"}),
    )
    routing_state.apply_snapshot(snapshot, restored=restored, may_have_expired=restored)
    assert usable_ids(routing_state) == ["i-2"]
    assert set(routing_state.known_targets()) == {"i-1", "i-2"}


def test_unreadable_entry_that_is_removed_removes_its_target(routing_state):
    routing_state.register(make_registration("i-1"))
    routing_state.receive_unreadable("i-1")
    routing_state.deregister("i-1")
    assert routing_state.known_targets() == []


def test_entry_that_lacks_the_known_start_names_no_target(routing_state):
    removed = []
    routing_state.target_removed.connect(removed.append)
    routing_state.register(make_registration("i-1", started_at=7))
    routing_state.register(make_registration("i-1", port=9001))
    assert usable_ids(routing_state) == []
    snapshot = make_snapshot(make_registration("i-1"))
    routing_state.apply_snapshot(snapshot, restored=False, may_have_expired=False)
    assert usable_ids(routing_state) == []
    assert removed == []
    routing_state.register(make_registration("i-1", started_at=7))
    assert usable_ids(routing_state) == ["i-1"]


def lapse_and_return(routing_state, *, started_at=0):
    routing_state.deregister("i-1")
    routing_state.register(make_registration("i-1", started_at=started_at))


def test_target_assumed_cold_stays_so_though_its_entry_lapses_and_returns(
    routing_state, clock
):
    routing_state.register(make_registration("i-1"))
    routing_state.set_evacuated("gulf-a", True)
    routing_state.set_evacuated("gulf-a", False)
    lapse_and_return(routing_state)
    assert routing_state.target("i-1").is_cold(clock.now + 2.0)
    assert [state.id for state in routing_state.assumed_cold()] == ["i-1"]
    routing_state.receive_cold_report("i-1", 0.0)
    lapse_and_return(routing_state)
    assert not routing_state.target("i-1").is_cold(clock.now)


def test_target_whose_entry_has_lapsed_as_its_zone_is_restored_returns_cold(
    routing_state, clock
):
    routing_state.register(make_registration("i-1"))
    routing_state.set_evacuated("gulf-a", True)
    routing_state.deregister("i-1")
    routing_state.set_evacuated("gulf-a", False)
    routing_state.register(make_registration("i-1"))
    assert routing_state.target("i-1").is_cold(clock.now + 2.0)


def test_reported_cold_time_holds_though_the_entry_lapses_and_returns(
    routing_state, clock
):
    routing_state.register(make_registration("i-1", started_at=1))
    routing_state.receive_cold_report("i-1", 4.0)
    lapse_and_return(routing_state, started_at=1)
    assert routing_state.target("i-1").is_cold(clock.now + 4.0)
    lapse_and_return(routing_state, started_at=2)
    assert not routing_state.target("i-1").is_cold(clock.now)
