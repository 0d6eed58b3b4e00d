"""State of a node while its store changes, fails and recovers."""

import asyncio

import msgspec
import pytest
from platform_site import running_site

from pimentospool.standins import platform_configuration, platform_route, target_entry


def routing_state(site):
    return site.nodes[0].gateway.routing_state


def usable_ids(site, service="desk"):
    return {state.id for state in routing_state(site).usable_targets(service, "gulf")}


def run_with_site(runner, tmp_path, check, **options):
    """Run `check` with a site whose node has begun to read the store."""

    async def run():
        async with running_site(tmp_path, **options) as site:
            await site.wait_until(lambda: site.store.calls > 1)
            await check(site)

    runner.run(run())


def test_applies_changes_of_targets_and_evacuations(runner, tmp_path):
    async def check(site):
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.store.put("servers/i-2", target_entry("127.0.0.1:2", zone="delta-a"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1"})
        await site.store.put(
            "servers/i-1", target_entry("127.0.0.1:1", State="draining")
        )
        await site.wait_until(lambda: not usable_ids(site))
        await site.store.put("servers/i-3", target_entry("127.0.0.1:3"))
        await site.wait_until(lambda: usable_ids(site) == {"i-3"})
        await site.store.put("op/evacuate/gulf-a", {})
        await site.wait_until(lambda: not usable_ids(site))
        await site.store.delete("op/evacuate/gulf-a")
        await site.wait_until(lambda: usable_ids(site) == {"i-3"})
        await site.store.delete("servers/i-3")
        await site.wait_until(lambda: not usable_ids(site), timeout_seconds=1.0)

    run_with_site(runner, tmp_path, check)


def odd_entry(old, new):
    """Return an entry in which another writer has put `new` in the place of `old`."""
    value = msgspec.json.encode(target_entry("127.0.0.1:7"))
    assert old in value
    return value.replace(old, new)


NESTED = b"[" * 20_000 + b"]" * 20_000
ODD_ENTRIES = {
    "nested entry": NESTED,
    "nested objects": b'{"Service":' * 20_000 + b"1" + b"}" * 20_000,
    "nested unknown field": odd_entry(b'"Sequence":1', b'"Other":' + NESTED),
    "many slots": odd_entry(b'"Slots":8', b'"Slots":18446744073709551616'),
    "negative slots": odd_entry(b'"Slots":8', b'"Slots":-1'),
    "number too large": odd_entry(b'"ColdLeftMs":0', b'"ColdLeftMs":1e999'),
    "long integer": odd_entry(b'"born":1', b'"born":' + b"9" * 5000),
    "late start": odd_entry(b'"born":1', b'"born":36893488147419103232'),
    "early start": odd_entry(b'"born":1', b'"born":-36893488147419103232'),
    "port out of range": odd_entry(b"127.0.0.1:7", b"127.0.0.1:65536"),
    "long port": odd_entry(b"127.0.0.1:7", b"127.0.0.1:" + b"9" * 5000),
    "port 0": odd_entry(b"127.0.0.1:7", b"127.0.0.1:0"),
    "long version": odd_entry(b'"v1"', b'"' + b"v" * 100_000 + b'"'),
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_names_no_target_and_the_others_are_followed(runner, tmp_path, name):
    async def check(site):
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.store.put("servers/odd", ODD_ENTRIES[name])
        await site.store.put("servers/i-2", target_entry("127.0.0.1:2"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1", "i-2"})
        late = await site.add_node("gulf-a")
        state = late.gateway.routing_state
        await site.wait_until(lambda: set(state.known_targets()) == {"i-1", "i-2"})
        await site.store.put("servers/i-3", target_entry("127.0.0.1:3"))
        await site.wait_until(lambda: len(state.known_targets()) == 3)
        view = routing_state(site).view()
        assert msgspec.msgpack.decode(
            msgspec.msgpack.encode(view), type=type(view)
        ).targets

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_target_whose_entry_becomes_unreadable_is_not_used_until_it_is_readable(
    runner, tmp_path, name
):
    async def check(site):
        sound = target_entry("127.0.0.1:7")
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.store.put("servers/odd", sound)
        await site.wait_until(lambda: usable_ids(site) == {"i-1", "odd"})
        await site.store.put("servers/odd", ODD_ENTRIES[name])
        await site.wait_until(lambda: usable_ids(site) == {"i-1"}, timeout_seconds=2.0)
        await site.store.put("servers/odd", sound)
        await site.wait_until(lambda: usable_ids(site) == {"i-1", "odd"})

    run_with_site(runner, tmp_path, check)


def test_entry_that_becomes_unreadable_while_history_is_lost_names_no_target(
    runner, tmp_path
):
    async def check(site):
        for name in ("i-1", "i-2"):
            await site.store.put(f"servers/{name}", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1", "i-2"})
        removed = []
        routing_state(site).target_removed.connect(removed.append)
        site.store.refusal_status = 503
        await site.store.put("op/wake", {})
        await asyncio.sleep(0.3)
        await site.store.put("servers/i-1", b"\xff")
        await site.store.drop_history()
        site.store.refusal_status = 0
        await site.wait_until(lambda: usable_ids(site) == {"i-2"})
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1", "i-2"})
        assert removed == []
        await site.store.put("servers/i-1", b"\xff")
        await site.wait_until(lambda: usable_ids(site) == {"i-2"})
        await site.store.delete("servers/i-1")
        await site.wait_until(lambda: removed == ["i-1"])

    run_with_site(runner, tmp_path, check)


def test_request_at_a_target_whose_entry_becomes_unreadable_is_answered(
    runner, tmp_path
):
    async def check(site):
        target = await site.add_target("d-1")
        await site.wait_until(lambda: usable_ids(site) == {"d-1"})
        target.gap_seconds = 1.2
        call = asyncio.create_task(site.call("/look/x", request_id="r-1"))
        await site.wait_until(lambda: target.received)
        await site.store.put("servers/d-1", b"\xff")
        await site.wait_until(lambda: not usable_ids(site), timeout_seconds=1.0)
        status, _, _ = await call
        assert status == 200
        target.gap_seconds = 0.0
        status, _, _ = await site.call("/look/x", request_id="r-2")
        assert status == 503
        connections = target.connections
        await site.register(target)
        await site.wait_until_received(target)
        assert target.connections == connections

    run_with_site(runner, tmp_path, check)


def test_skips_entries_that_cannot_be_decoded(runner, tmp_path):
    async def check(site):
        await site.store.put("servers/bad-1", b"\x00\xff")
        await site.store.put("servers/bad-2", {"Service": "desk"})
        await site.store.put("op/unknown", b"?")
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1"})
        await site.store.put("op/config", b"broken")
        await site.store.put("servers/i-2", target_entry("127.0.0.1:2"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1", "i-2"})
        assert routing_state(site).configuration.version == 1

    run_with_site(runner, tmp_path, check)


def test_older_configuration_is_ignored(runner, tmp_path):
    async def check(site):
        await site.store.put(
            "op/config",
            platform_configuration(
                version=5, routes=[platform_route("/new/", "idempotent")]
            ),
        )
        await site.wait_until(lambda: routing_state(site).configuration.version == 5)
        await site.store.put("op/config", platform_configuration(version=3))
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1"})
        assert routing_state(site).configuration.version == 5

    run_with_site(runner, tmp_path, check)


def test_reads_everything_again_when_history_is_lost(runner, tmp_path):
    async def check(site):
        site.store.page_items = 2
        for number in range(5):
            await site.store.put(
                f"servers/i-{number}", target_entry(f"127.0.0.1:{number + 1}")
            )
        await site.wait_until(lambda: len(usable_ids(site)) == 5)
        site.store.refusal_status = 503
        await site.store.put("op/wake", {})
        await asyncio.sleep(0.3)
        await site.store.delete("servers/i-0")
        await site.store.put("servers/i-9", target_entry("127.0.0.1:99"))
        await site.store.drop_history()
        site.store.refusal_status = 0
        await site.wait_until(
            lambda: usable_ids(site) == {"i-1", "i-2", "i-3", "i-4", "i-9"}
        )

    run_with_site(runner, tmp_path, check)


def test_keeps_its_view_while_the_store_is_unreachable(runner, tmp_path):
    async def check(site):
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1"})
        site.store.refusal_status = 429
        await site.store.put("op/wake", {})
        await asyncio.sleep(0.5)
        assert usable_ids(site) == {"i-1"}
        assert routing_state(site).configuration.version == 1

    run_with_site(runner, tmp_path, check)


def test_targets_whose_entries_expired_in_an_outage_can_register_again(
    runner, tmp_path
):
    async def check(site):
        for name in ("i-1", "i-2"):
            await site.store.put(f"servers/{name}", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: len(usable_ids(site)) == 2)
        site.store.refusal_status = 503
        await site.store.put("op/wake", {})
        await asyncio.sleep(3.2)
        for name in ("i-1", "i-2"):
            await site.store.delete(f"servers/{name}")
        site.store.refusal_status = 0
        feed = site.nodes[0].gateway.feed
        await site.wait_until(lambda: not feed.failing)
        assert len(usable_ids(site)) == 2
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1"})

    run_with_site(runner, tmp_path, check)


def test_store_that_does_not_respond_counts_as_failing_after_a_timeout(
    runner, tmp_path
):
    async def check(site):
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1"})
        site.store.silent = True
        await site.store.put("op/wake", {})
        feed = site.nodes[0].gateway.feed
        await site.wait_until(lambda: feed.failing, timeout_seconds=7.0)
        site.store.silent = False
        await site.store.put("servers/i-2", target_entry("127.0.0.1:2"))
        await site.wait_until(
            lambda: usable_ids(site) == {"i-1", "i-2"}, timeout_seconds=4.0
        )

    run_with_site(runner, tmp_path, check)


def test_health_check_asks_targets_of_a_restored_zone_whether_they_are_cold(
    runner, tmp_path
):
    async def check(site):
        target = await site.add_target("d-1")
        await site.wait_until(lambda: usable_ids(site) == {"d-1"})
        await site.store.put("op/evacuate/gulf-a", {})
        await site.wait_until(lambda: not usable_ids(site))
        await site.store.delete("op/evacuate/gulf-a")
        await site.wait_until(lambda: target.received)
        assert target.received[0].path == "/healthz"
        state = routing_state(site).target("d-1")
        await site.wait_until(lambda: not state.assumed_cold)

    run_with_site(runner, tmp_path, check)


def test_targets_that_become_cold_while_the_store_is_unreachable_are_detected(
    runner, tmp_path
):
    async def check(site):
        target = await site.add_target("m-1", service="llm", events=2)
        await site.wait_until(lambda: usable_ids(site, "llm") == {"m-1"})
        state = routing_state(site).target("m-1")
        now = asyncio.get_running_loop().time
        assert not state.is_cold(now())
        site.store.refusal_status = 503
        await site.store.put("op/wake", {})
        await site.wait_until(lambda: site.nodes[0].gateway.feed.failing)
        target.cold_remaining_ms = 2000
        await site.wait_until(lambda: state.is_cold(now()), timeout_seconds=0.8)

    run_with_site(runner, tmp_path, check)


def test_follows_a_store_that_comes_back_from_a_copy(runner, tmp_path):
    async def check(site):
        for name in ("kept", "left"):
            await site.store.put(f"servers/{name}", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"kept", "left"})
        copy = site.store.copy()
        await site.store.delete("servers/left")
        await site.store.put("servers/new", target_entry("127.0.0.1:2"))
        await site.store.put("op/config", platform_configuration(version=7))
        await site.wait_until(lambda: usable_ids(site) == {"kept", "new"})
        await site.wait_until(lambda: routing_state(site).configuration.version == 7)
        await site.store.restore(copy)
        feed = site.nodes[0].gateway.feed
        await site.wait_until(lambda: feed._changes.position.era == 2)
        assert usable_ids(site) == {"kept", "new"}
        assert routing_state(site).configuration.version == 7
        await site.store.put("servers/new", target_entry("127.0.0.1:2"))
        await asyncio.sleep(2.5)
        assert usable_ids(site) == {"kept", "new"}

    run_with_site(runner, tmp_path, check)


def test_notices_a_restore_whose_revisions_have_passed_the_known_one(runner, tmp_path):
    async def check(site):
        copy = site.store.copy()
        await site.store.put("servers/lost", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"lost"})
        site.store.refusal_status = 503
        await site.store.put("op/wake", {})
        await asyncio.sleep(0.3)
        await site.store.restore(copy)
        for number in range(5):
            await site.store.put(f"servers/i-{number}", target_entry("127.0.0.1:2"))
        site.store.refusal_status = 0
        expected = {f"i-{number}" for number in range(5)}
        await site.wait_until(lambda: expected <= usable_ids(site))
        await site.wait_until(lambda: usable_ids(site) == expected)

    run_with_site(runner, tmp_path, check)


def test_answer_of_an_earlier_era_is_dropped(runner, tmp_path):
    async def check(site):
        site.store.era = 5
        await site.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await site.wait_until(lambda: usable_ids(site) == {"i-1"})
        site.store.era = 4
        await site.store.put("servers/i-2", target_entry("127.0.0.1:2"))
        feed = site.nodes[0].gateway.feed
        await site.wait_until(lambda: feed.failing, timeout_seconds=4.0)
        assert usable_ids(site) == {"i-1"}
        site.store.era = 5
        await site.wait_until(lambda: usable_ids(site) == {"i-1", "i-2"})

    run_with_site(runner, tmp_path, check)


def test_entry_vms_agree_on_the_configuration_after_a_restore(runner, tmp_path):
    async def check(site):
        copy = site.store.copy()
        await site.store.put("op/config", platform_configuration(version=7))
        await site.wait_until(lambda: routing_state(site).configuration.version == 7)
        await site.store.restore(copy)
        late = await site.add_node("gulf-a")
        state = late.gateway.routing_state
        await site.wait_until(lambda: state.configuration is not None)
        await site.wait_until(lambda: state.configuration.version == 7)

    run_with_site(runner, tmp_path, check)
