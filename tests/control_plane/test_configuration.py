"""Distribution of configuration revisions between real processes."""

import time

import msgspec

from pimentospool._generated.manifest import DrillKind, DrillWindow


def with_changes(manifest, **fields):
    return msgspec.structs.replace(manifest, **fields)


def test_revision_becomes_active_everywhere_through_few_readers(with_fleet):
    async def check(fleet):
        reads = fleet.deployment.configuration.reads
        await fleet.publish()
        await fleet.wait_revision(fleet.entries, 2, timeout_seconds=5.0)
        readers = [(await fleet.status(name)).platform.reader for name in fleet.entries]
        assert sum(readers) == 6
        assert fleet.deployment.configuration.reads - reads < 60

    with_fleet(check)


def test_invalid_manifest_is_refused_and_the_active_one_stays(with_fleet):
    async def check(fleet):
        customer = msgspec.structs.replace(
            fleet.manifest.customers[0], allowed_regions=["nowhere"]
        )
        rest = fleet.manifest.customers[1:]
        await fleet.publish(with_changes(fleet.manifest, customers=[customer, *rest]))
        readers = [
            name for name in fleet.entries if (await fleet.status(name)).platform.reader
        ]
        await fleet.wait_for(readers, lambda status: bool(status.revision.refused))
        for name in readers:
            revision = (await fleet.status(name)).revision
            assert revision.number == 1
            assert revision.refused[0].number == 2
            assert any("nowhere" in fault for fault in revision.refused[0].faults)
            assert await fleet.request_status(name) == 200
        await fleet.publish()
        await fleet.wait_revision(fleet.entries, 3)

    with_fleet(check)


def test_restart_with_a_stale_platform_does_not_lower_the_revision(with_fleet):
    async def check(fleet):
        await fleet.publish()
        await fleet.publish()
        await fleet.wait_revision(fleet.entries, 3)
        await fleet.publish(revision=2)
        name = next(iter(fleet.entries))
        fleet.entries[name].kill()
        await fleet.entries[name].wait()
        await fleet.entries[name].start()
        await fleet.entries[name].wait_ready()
        assert (await fleet.status(name)).revision.number == 3
        await fleet.wait_connected(fleet.entries)
        for other in fleet.entries:
            assert (await fleet.status(other)).revision.number == 3

    with_fleet(check, counts=(2, 1, 1))


def test_zone_without_the_platform_gets_revisions_from_other_zones(with_fleet):
    async def check(fleet):
        zone = fleet.names("gulf")
        fleet.platform_down(zone)
        await fleet.publish()
        await fleet.wait_revision(zone, 2, timeout_seconds=5.0)
        for name in zone:
            assert await fleet.request_status(name) == 200

    with_fleet(check, counts=(2, 1, 1))


def test_drill_window_is_active_between_its_start_and_end(with_fleet):
    async def check(fleet):
        now = time.time()
        window = DrillWindow(
            kind=DrillKind.REGION, regions=["delta"], start=now, end=now + 3.0
        )
        await fleet.publish(with_changes(fleet.manifest, drill=[window]))
        await fleet.wait_for(
            fleet.entries,
            lambda status: bool(status.drill_windows),
            timeout_seconds=2.5,
        )
        name = fleet.names("gulf")[0]
        assert not any(
            item.startswith("delta") for item in await fleet.offered_entries(name)
        )
        assert await fleet.request_status(fleet.names("delta")[0]) == 503
        fleet.platform_down(fleet.entries)
        await fleet.wait_for(
            fleet.entries, lambda status: not status.drill_windows, timeout_seconds=10.0
        )
        assert any(
            item.startswith("delta") for item in await fleet.offered_entries(name)
        )
        assert await fleet.request_status(fleet.names("delta")[0]) == 200

    with_fleet(check, counts=(1, 1, 1))
