"""Configurations that entry VMs of an older build pass on, without the tenants."""

import asyncio
import random

import msgspec
import pytest
from gateway_factories import (
    Clock,
    announce,
    make_configuration,
    make_record,
    make_route,
    make_tenant,
)

from pimentospool.gateway import FactPosition, RoutingState
from pimentospool.gateway._change_log import ChangeLog
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import GossipMessage
from pimentospool.gateway._routing_state import RoutingView
from pimentospool.gateway._view_exchange import ViewExchange
from pimentospool.policy import StreamVersions, key_digest

TENANT = make_tenant(key_digests={key_digest(b"k-1")})


def make_state(*, expects_tenants=False):
    return RoutingState(clock=Clock(), zone_regions={}, expects_tenants=expects_tenants)


def make_view(version=1, *, tenants):
    return RoutingView(
        configuration=make_configuration(version=version, tenants=tenants),
        targets=(),
        evacuated=frozenset(),
        configuration_era=1,
        position=FactPosition(1, 7),
    )


def decode_of_older_build(view):
    """Return a view as it is decoded here if an older build has sent it."""
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(view))
    del raw["configuration"]["tenants"]
    return msgspec.msgpack.decode(msgspec.msgpack.encode(raw), type=RoutingView)


def test_tenants_are_passed_on_between_entry_vms_of_this_build():
    view = make_view(tenants=(TENANT,))
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(view), type=RoutingView) == (
        view
    )


# LOST: requests would be served whatever their keys.
def test_configuration_without_its_tenants_does_not_replace_one_with_tenants():
    state = make_state()
    state.adopt(make_configuration(tenants=(TENANT,)))
    newer = decode_of_older_build(make_view(2, tenants=(TENANT,)))
    assert not state.adopt(newer.configuration, era=1)
    assert state.configuration.tenants == (TENANT,)
    assert state.keys.owner(key_digest(b"k-1")) == TENANT


@pytest.mark.parametrize("expects_tenants", [True, False])
def test_view_without_tenants_is_taken_only_where_none_are_expected(expects_tenants):
    state = make_state(expects_tenants=expects_tenants)
    view = decode_of_older_build(make_view(tenants=(TENANT,)))
    assert state.apply_view(view) is not expects_tenants
    assert (state.configuration is None) is expects_tenants
    assert state.adopt(make_configuration(tenants=(TENANT,)), era=1)
    assert state.keys.owner(key_digest(b"k-1")) == TENANT


def test_same_version_of_an_older_build_replaces_nothing_after_a_restore():
    state = make_state()
    state.adopt(make_configuration(), era=1)
    configuration = decode_of_older_build(make_view(tenants=())).configuration
    assert not state.adopt(configuration, era=2)
    assert state.configuration.tenants == ()
    assert state.stamp.era == 2
    changed = msgspec.structs.replace(configuration, routes=(make_route("/new/"),))
    assert state.adopt(changed, era=3)


@pytest.mark.parametrize("protocol", [0, 1])
def test_changes_are_followed_from_a_complete_view_only(runner, monkeypatch, protocol):
    async def check():
        state, changes = make_state(), ChangeLog()
        fleet = Fleet(local_record=make_record(), clock=Clock(), rng=random.Random(1))
        exchange = ViewExchange(
            routing_state=state,
            changes=changes,
            fleet=fleet,
            stream_versions=StreamVersions(clock=Clock(), serving=lambda service: ()),
            rng=random.Random(1),
        )
        view = make_view(tenants=())

        async def fetch(record, path, decoder):
            return view if record.protocol else decode_of_older_build(view)

        monkeypatch.setattr(exchange, "_fetch", fetch)
        record = make_record("e-2", region="delta", protocol=protocol)
        assert await exchange._take_view(record)
        assert changes.position == (view.position if protocol else None)

    runner.run(check())


# LOST: without the store, requests were served whatever their keys, though another
# entry VM of this build knew the tenants.
def test_tenants_that_an_older_build_left_out_are_taken_from_another_entry_vm(
    runner, monkeypatch
):
    async def check():
        state, clock = make_state(), Clock()
        fleet = Fleet(local_record=make_record(), clock=clock, rng=random.Random(1))
        exchange = ViewExchange(
            routing_state=state,
            changes=ChangeLog(),
            fleet=fleet,
            stream_versions=None,
            rng=random.Random(1),
        )
        view = make_view(tenants=(TENANT,))

        async def fetch(record, path, decoder):
            return view if record.protocol else decode_of_older_build(view)

        monkeypatch.setattr(exchange, "_fetch", fetch)
        announce(fleet, make_record("old"))
        task = asyncio.create_task(exchange.run())
        async with asyncio.timeout(2.0):
            while state.configuration is None:
                await asyncio.sleep(0.01)
            assert state.configuration.tenants is None
            announce(fleet, make_record("new", protocol=1))
            while state.keys.owner(key_digest(b"k-1")) is None:
                await asyncio.sleep(0.01)
        assert state.configuration.tenants == (TENANT,)
        task.cancel()

    name = "pimentospool.gateway._view_exchange.{}"
    monkeypatch.setattr(name.format("STORE_WAIT_SECONDS"), 0.0)
    monkeypatch.setattr(name.format("RETRY_INTERVAL_SECONDS"), 0.02)
    monkeypatch.setattr(name.format("AGREEMENT_INTERVAL_SECONDS"), 0.02)
    runner.run(check())


def test_entry_vms_of_this_build_are_asked_first():
    clock = Clock()
    fleet = Fleet(local_record=make_record(), clock=clock, rng=random.Random(1))
    for number in range(4):
        announce(fleet, make_record(f"old-{number}"))
    announce(fleet, make_record("new", region="delta", protocol=1))
    for sender, version in (("old-1", 2), ("new", 2), ("old-2", 2)):
        protocol = int(sender == "new")
        region = "delta" if protocol else "gulf"
        record = make_record(sender, region=region, protocol=protocol)
        fleet.receive(GossipMessage(sender=record, version=version))
    assert fleet.newest_configuration().id == "new"
    exchange = ViewExchange(
        routing_state=make_state(),
        changes=ChangeLog(),
        fleet=fleet,
        stream_versions=None,
        rng=random.Random(1),
    )
    assert exchange._peers_to_ask()[0].id == "new"
