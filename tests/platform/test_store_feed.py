"""What a node knows while its store changes, fails and comes back."""

import asyncio

from platform_site import site

from pimentospool.standins import platform_configuration, platform_route, target_entry


def knowledge(made):
    return made.nodes[0].gateway.routing_state


def ready_ids(made, service="desk"):
    return {state.id for state in knowledge(made).usable_targets(service, "gulf")}


def play(runner, tmp_path, test, **options):
    async def run():
        async with site(tmp_path, **options) as made:
            await made.wait_until(lambda: made.store.calls > 1)
            await test(made)

    runner.run(run())


def test_follows_targets_and_evacuations(runner, tmp_path):
    async def check(made):
        await made.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await made.store.put("servers/i-2", target_entry("127.0.0.1:2", zone="delta-a"))
        await made.wait_until(lambda: ready_ids(made) == {"i-1"})
        await made.store.put(
            "servers/i-1", target_entry("127.0.0.1:1", State="draining")
        )
        await made.wait_until(lambda: not ready_ids(made))
        await made.store.put("servers/i-3", target_entry("127.0.0.1:3"))
        await made.wait_until(lambda: ready_ids(made) == {"i-3"})
        await made.store.put("op/evacuate/gulf-a", {})
        await made.wait_until(lambda: not ready_ids(made))
        await made.store.delete("op/evacuate/gulf-a")
        await made.wait_until(lambda: ready_ids(made) == {"i-3"})
        await made.store.delete("servers/i-3")
        await made.wait_until(lambda: not ready_ids(made), seconds=1.0)

    play(runner, tmp_path, check)


def test_skips_entries_of_other_writers(runner, tmp_path):
    async def check(made):
        await made.store.put("servers/bad-1", b"\x00\xff")
        await made.store.put("servers/bad-2", {"Service": "desk"})
        await made.store.put("op/unknown", b"?")
        await made.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await made.wait_until(lambda: ready_ids(made) == {"i-1"})
        await made.store.put("op/config", b"broken")
        await made.store.put("servers/i-2", target_entry("127.0.0.1:2"))
        await made.wait_until(lambda: ready_ids(made) == {"i-1", "i-2"})
        assert knowledge(made).configuration.version == 1

    play(runner, tmp_path, check)


def test_configuration_never_goes_back(runner, tmp_path):
    async def check(made):
        await made.store.put(
            "op/config",
            platform_configuration(
                version=5, routes=[platform_route("/new/", "idempotent")]
            ),
        )
        await made.wait_until(lambda: knowledge(made).configuration.version == 5)
        await made.store.put("op/config", platform_configuration(version=3))
        await made.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await made.wait_until(lambda: ready_ids(made) == {"i-1"})
        assert knowledge(made).configuration.version == 5

    play(runner, tmp_path, check)


def test_reads_all_anew_when_history_is_lost(runner, tmp_path):
    async def check(made):
        made.store.page_items = 2
        for number in range(5):
            await made.store.put(
                f"servers/i-{number}", target_entry(f"127.0.0.1:{number + 1}")
            )
        await made.wait_until(lambda: len(ready_ids(made)) == 5)
        made.store.refusing = 503
        await made.store.put("op/wake", {})
        await asyncio.sleep(0.3)
        await made.store.delete("servers/i-0")
        await made.store.put("servers/i-9", target_entry("127.0.0.1:99"))
        await made.store.drop_history()
        made.store.refusing = 0
        await made.wait_until(
            lambda: ready_ids(made) == {"i-1", "i-2", "i-3", "i-4", "i-9"}
        )

    play(runner, tmp_path, check)


def test_keeps_the_view_while_the_store_is_away(runner, tmp_path):
    async def check(made):
        await made.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await made.wait_until(lambda: ready_ids(made) == {"i-1"})
        made.store.refusing = 429
        await made.store.put("op/wake", {})
        await asyncio.sleep(0.5)
        assert ready_ids(made) == {"i-1"}
        assert knowledge(made).configuration.version == 1

    play(runner, tmp_path, check)


def test_entries_that_lapsed_in_an_outage_have_time_to_return(runner, tmp_path):
    async def check(made):
        for name in ("i-1", "i-2"):
            await made.store.put(f"servers/{name}", target_entry("127.0.0.1:1"))
        await made.wait_until(lambda: len(ready_ids(made)) == 2)
        made.store.refusing = 503
        await made.store.put("op/wake", {})
        await asyncio.sleep(3.2)
        for name in ("i-1", "i-2"):
            await made.store.delete(f"servers/{name}")
        made.store.refusing = 0
        feed = made.nodes[0].node._feed
        await made.wait_until(lambda: not feed.failing)
        assert len(ready_ids(made)) == 2
        await made.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await made.wait_until(lambda: ready_ids(made) == {"i-1"})

    play(runner, tmp_path, check)


def test_silent_store_is_found_out_by_time(runner, tmp_path):
    async def check(made):
        await made.store.put("servers/i-1", target_entry("127.0.0.1:1"))
        await made.wait_until(lambda: ready_ids(made) == {"i-1"})
        made.store.silent = True
        await made.store.put("op/wake", {})
        feed = made.nodes[0].node._feed
        await made.wait_until(lambda: feed.failing, seconds=7.0)
        made.store.silent = False
        await made.store.put("servers/i-2", target_entry("127.0.0.1:2"))
        await made.wait_until(lambda: ready_ids(made) == {"i-1", "i-2"}, seconds=4.0)

    play(runner, tmp_path, check)


def test_targets_of_a_restored_zone_are_asked_whether_they_are_cold(runner, tmp_path):
    async def check(made):
        target = await made.add_target("d-1")
        await made.wait_until(lambda: ready_ids(made) == {"d-1"})
        await made.store.put("op/evacuate/gulf-a", {})
        await made.wait_until(lambda: not ready_ids(made))
        await made.store.delete("op/evacuate/gulf-a")
        await made.wait_until(lambda: target.received)
        assert target.received[0].path == "/healthz"
        state = knowledge(made).target("d-1")
        await made.wait_until(lambda: not state.assumed_cold)

    play(runner, tmp_path, check)


def test_targets_that_become_cold_while_the_store_is_away_are_found(runner, tmp_path):
    async def check(made):
        target = await made.add_target("m-1", service="llm", events=2)
        await made.wait_until(lambda: ready_ids(made, "llm") == {"m-1"})
        state = knowledge(made).target("m-1")
        now = asyncio.get_running_loop().time
        assert not state.is_cold(now())
        made.store.refusing = 503
        await made.store.put("op/wake", {})
        await made.wait_until(lambda: made.nodes[0].node._feed.failing)
        target.cold_ms = 2000
        await made.wait_until(lambda: state.is_cold(now()), seconds=0.8)

    play(runner, tmp_path, check)
