"""Entry VMs that the directory returns to callers."""

from random import Random

from gateway_factories import Clock, make_configuration, make_record, make_route

from pimentospool.gateway import EntryDirectory, EntryState, RoutingState
from pimentospool.gateway._fleet import Fleet, FleetMessage


def make_directory(*records, local_record, routes=()):
    clock = Clock()
    fleet = Fleet(local_record=local_record, clock=clock, rng=Random(1))
    for record in records:
        fleet.receive(FleetMessage(sender=record, relayed=[], occupancy={}))
    routing_state = RoutingState(clock=clock, zone_regions={})
    if routes:
        routing_state.adopt(make_configuration(*routes))
    return EntryDirectory(fleet=fleet, routing_state=routing_state), clock


def test_returns_ready_entries_of_the_region():
    ready, leaving = make_record("a"), make_record("b", state=EntryState.LEAVING)
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
    clock.now += 3.5
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
    local_record = make_record("d", state=EntryState.STARTING)
    directory, _ = make_directory(local_record=local_record)
    assert directory.lookup("shop.example", "gulf") == []


def test_returns_leaving_entries_before_those_of_other_regions():
    leaving = make_record("a", state=EntryState.LEAVING)
    closed = make_record("b", state=EntryState.CLOSED)
    local_record = make_record("d", region="delta")
    directory, _ = make_directory(leaving, closed, local_record=local_record)
    assert directory.lookup("shop.example", "gulf") == [leaving.front]
    assert directory.lookup("shop.example", "delta") == [local_record.front]
