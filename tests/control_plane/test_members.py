"""Membership, choice of entry VMs and partitions, with real processes."""

import asyncio

import msgspec
from click.testing import CliRunner

from pimentospool._generated.platform import VmKind, VmRecord, VmState
from pimentospool._generated.status import EntryStatus
from pimentospool.cli import main
from pimentospool.faults import Direction


def state_of(status, name):
    return {item.id: item.state for item in status.members}.get(name)


def test_killed_entry_vm_is_gone_and_its_replacement_joins(with_fleet):
    async def check(fleet):
        name, other = fleet.names("gulf")[:2]
        fleet.entries[name].kill()
        await fleet.entries[name].wait()
        await fleet.wait_for([other], lambda status: state_of(status, name) == "gone")
        assert name not in await fleet.offered_entries(other)
        remote = fleet.names("delta")[0]
        await fleet.wait_for(
            [remote],
            lambda status: any(
                zone.zone.startswith("gulf") and zone.entries == 1
                for zone in status.zones
            ),
        )
        await fleet.entries[name].start()
        await fleet.entries[name].wait_ready()
        await fleet.wait_connected(fleet.entries)
        assert name in await fleet.offered_entries(other)

    with_fleet(check, counts=(2, 1, 1))


def test_leaving_entry_vm_is_no_longer_offered_to_callers(with_fleet):
    async def check(fleet):
        name, other = fleet.names("gulf")[:2]
        fleet.entries[name].terminate()
        await fleet.wait_for(
            [other], lambda status: state_of(status, name) in ("leaving", "gone")
        )
        assert name not in await fleet.offered_entries(other)
        assert await fleet.entries[name].wait() == 0

    with_fleet(check, counts=(2, 1, 1))


def test_silent_connections_are_replaced_without_suspicion(with_fleet):
    async def check(fleet):
        before = {}
        for name in fleet.entries:
            members = (await fleet.status(name)).members
            before[name] = {item.id: item.incarnation for item in members}
        for proxy in fleet.peer_proxies.values():
            proxy.lose_connections()
        await asyncio.sleep(2.0)
        await fleet.wait_connected(fleet.entries)
        for name in fleet.entries:
            members = (await fleet.status(name)).members
            assert {item.id: item.incarnation for item in members} == before[name]

    with_fleet(check, counts=(3, 1, 1))


def test_blackholed_entry_vm_serves_and_rejoins(with_fleet):
    async def check(fleet):
        name, other = fleet.names("gulf")[:2]
        proxy = fleet.peer_proxies[name]
        for directions in ((Direction.TO_CLIENT,), tuple(Direction)):
            proxy.blackhole(*directions)
            await asyncio.sleep(2.5)
            assert await fleet.request_status(name) == 200
            proxy.heal()
            await fleet.wait_connected(fleet.names("gulf"), timeout_seconds=5.0)
        assert name in await fleet.offered_entries(other)

    with_fleet(check, counts=(3, 1, 1))


def test_paused_process_rechecks_its_state_before_it_serves(with_fleet):
    async def check(fleet):
        name, other = fleet.names("gulf")[:2]
        generation = (await fleet.status(name)).life
        fleet.entries[name].pause()
        await fleet.wait_for([other], lambda status: state_of(status, name) == "gone")
        await fleet.publish()
        await fleet.wait_revision([other], 2)
        fleet.entries[name].wake()
        assert await fleet.request_status(name) == 200
        status = await fleet.status(name)
        assert status.revision.number == 2
        assert status.life == generation
        await fleet.wait_connected(fleet.entries, timeout_seconds=5.0)

    with_fleet(check, counts=(3, 1, 1))


def test_isolated_zones_serve_callers_and_rejoin(with_fleet):
    async def check(fleet):
        cut = fleet.names("gulf")
        others = [name for name in fleet.entries if name not in cut]
        fleet.platform_down(cut)
        for proxy in fleet.peer_proxies.values():
            proxy.cut()
        await fleet.publish()
        await fleet.wait_revision(others, 2)
        await fleet.wait_for(
            fleet.entries,
            lambda status: not any(zone.reachable for zone in status.zones),
        )
        for name in fleet.entries:
            assert await fleet.request_status(name) == 200
            assert await fleet.offered_entries(name) == [name]
        assert (await fleet.status(cut[0])).revision.number == 1
        fleet.platform_up(cut)
        for proxy in fleet.peer_proxies.values():
            proxy.heal()
        await fleet.wait_connected(fleet.entries, timeout_seconds=5.0)
        await fleet.wait_revision(fleet.entries, 2, timeout_seconds=5.0)

    with_fleet(check, counts=(1, 1, 1))


def test_leaving_target_is_known_in_its_region_within_two_seconds(with_fleet):
    async def check(fleet):
        target = next(
            target.id for target in fleet.manifest.targets if target.zone == "gulf-a"
        )
        fleet.deployment.vm_list.update(
            VmRecord(id=target, kind=VmKind.TARGET, state=VmState.LEAVING)
        )
        await fleet.wait_for(
            fleet.names("gulf"),
            lambda status: status.leaving_targets == [target],
            timeout_seconds=2.0,
        )
        remote = await fleet.status(fleet.names("delta")[0])
        assert remote.leaving_targets == []

    with_fleet(check, counts=(3, 1, 1))


def test_spare_reader_takes_over_after_a_kill_and_a_platform_outage(with_fleet):
    async def check(fleet):
        zone = fleet.names("gulf")
        statuses = [await fleet.status(name) for name in zone]
        readers = [item.entry for item in statuses if item.platform.reader]
        (spare,) = set(zone) - set(readers)
        fleet.entries[readers[0]].kill()
        fleet.platform_down([readers[1]])
        await fleet.wait_for([spare], lambda status: status.platform.reader)
        await fleet.publish()
        await fleet.wait_revision([spare, readers[1]], 2, timeout_seconds=5.0)
        for name in (spare, readers[1]):
            assert await fleet.request_status(name) == 200

    with_fleet(check, counts=(3, 1, 1))


def test_status_command_prints_the_state_of_the_process(with_fleet):
    async def check(fleet):
        name = fleet.names("gulf")[0]
        address = fleet.entries[name].cfg.entry.admin_address
        run = CliRunner().invoke
        text = await asyncio.to_thread(run, main, ["status", address])
        assert text.exit_code == 0
        assert name in text.output
        assert "delta-a" in text.output
        raw = await asyncio.to_thread(run, main, ["status", address, "--json"])
        assert msgspec.json.decode(raw.output, type=EntryStatus).entry == name
        fleet.entries[name].kill()
        await fleet.entries[name].wait()
        failed = await asyncio.to_thread(run, main, ["status", address])
        assert failed.exit_code == 1

    with_fleet(check, counts=(1, 1, 1))
