"""Entry VMs that the directory returns to callers."""

from random import Random

from gateway_factories import (
    Clock,
    announce,
    make_configuration,
    make_record,
    make_route,
)

from pimentospool.gateway import EntryDirectory, EntryState, RoutingState
from pimentospool.gateway._fleet import Fleet

READY = EntryState.READY


def make_directory(*records, local_record, state=EntryState.READY, routes=()):
    """Return a directory that knows `records`, each with its state if not ready."""
    clock = Clock()
    fleet = Fleet(local_record=local_record, clock=clock, rng=Random(1))
    fleet.local_state = state
    for item in records:
        record, member_state = item if isinstance(item, tuple) else (item, READY)
        announce(fleet, record, state=member_state)
    routing_state = RoutingState(clock=clock, zone_regions={})
    if routes:
        routing_state.adopt(make_configuration(*routes))
    return EntryDirectory(fleet=fleet, routing_state=routing_state), clock


def test_returns_ready_entries_of_the_region():
    ready, leaving = make_record("a"), (make_record("b"), EntryState.LEAVING)
    remote = make_record("c", region="delta")
    directory, _ = make_directory(ready, leaving, remote, local_record=make_record("d"))
    local_record = make_record("d").front
    assert set(directory.lookup("shop.example", "gulf")) == {ready.front, local_record}


def test_drops_entries_that_are_gone():
    ready = make_record("a")
    directory, clock = make_directory(
        ready, local_record=make_record("d", region="delta")
    )
    assert directory.lookup("shop.example", "gulf") == [ready.front]
    for _ in range(23):
        clock.now += 0.2
        directory._fleet.next_round()
    assert ready.front not in directory.lookup("shop.example", "gulf")


def test_prefers_home_regions_among_other_regions():
    piedmont, delta = (
        make_record("p", region="piedmont"),
        make_record("x", region="delta"),
    )
    routes = [
        make_route("/ask/", home_regions=frozenset({"gulf", "piedmont"})),
        make_route("/plan/"),
    ]
    directory, _ = make_directory(
        piedmont, local_record=make_record("x", region="delta"), routes=routes
    )
    assert directory.lookup("shop.example", "gulf") == [piedmont.front]
    assert delta.front not in directory.lookup("shop.example", "gulf")


def test_prefers_any_home_region_where_routes_have_none_in_common():
    piedmont = make_record("p", region="piedmont")
    routes = [
        make_route("/ask/", home_regions=frozenset({"gulf", "piedmont"})),
        make_route("/a/", home_regions=frozenset({"gulf"})),
        make_route("/b/", home_regions=frozenset({"piedmont"})),
    ]
    directory, _ = make_directory(
        piedmont, local_record=make_record("x", region="delta"), routes=routes
    )
    assert directory.lookup("shop.example", "gulf") == [piedmont.front]


def test_returns_nothing_while_no_entry_is_ready():
    directory, _ = make_directory(
        local_record=make_record("d"), state=EntryState.STARTING
    )
    assert directory.lookup("shop.example", "gulf") == []


def test_returns_leaving_entries_before_those_of_other_regions():
    leaving = make_record("a")
    closed = make_record("b")
    local_record = make_record("d", region="delta")
    directory, _ = make_directory(
        (leaving, EntryState.LEAVING),
        (closed, EntryState.CLOSED),
        local_record=local_record,
    )
    assert directory.lookup("shop.example", "gulf") == [leaving.front]
    assert directory.lookup("shop.example", "delta") == [local_record.front]
