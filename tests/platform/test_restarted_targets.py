"""Targets that start again, cold, before their entries show it."""

import asyncio
import time
from functools import partial

import pytest
from restarting_site import (
    ALLOWED_PER_SECOND,
    COLD_SECONDS,
    NODES,
    PATHS,
    TARGETS,
    IdleClosingTarget,
    cold_arrivals,
    most_in_a_second,
    restarting_site,
)

from pimentospool.standins import SigningTarget, target_entry

RESTARTED = ("m-0", "m-1")
EARLY_CLOSE_SECONDS = 0.3
WARM_UP_SECONDS = 1.5
RATE = 80
LATE_SECONDS = 1.2
"""Time after its start at which a target is registered."""
IDLE_SECONDS = 1.5
"""Time after which a target might close connections as idle; shorter than the time
after which entry VMs do."""
CLOSING_SECONDS = 4.0
"""Time in which targets end connections and are observed."""


async def restart_all(restarting, names=RESTARTED, **options):
    """Restart targets at once; return their new starts."""
    return await asyncio.gather(
        *(restarting.restart(name, **options) for name in names)
    )


async def register_all(restarting, targets, **options):
    for target in targets:
        await restarting.register(target, **options)


async def sleep_while_cold(targets):
    first_started_at = min(target.started_at for target in targets)
    await asyncio.sleep(first_started_at + COLD_SECONDS - time.monotonic())


def check_cold(targets):
    most = [most_in_a_second(cold_arrivals(target)) for target in targets]
    assert max(most) <= ALLOWED_PER_SECOND, most


def run_restart(
    runner,
    tmp_path,
    *,
    rate=RATE,
    paths=PATHS,
    after,
    site=None,
    nodes=NODES,
    **options,
):
    """Restart targets under load, and call `after` with the site and their starts."""

    async def run():
        async with restarting_site(tmp_path, nodes=nodes) as restarting:
            if site is not None:
                site(restarting)
            async with restarting.load(rate, paths=paths):
                await asyncio.sleep(WARM_UP_SECONDS)
                targets = await restart_all(restarting, **options)
                await after(restarting, targets)
                await sleep_while_cold(targets)
            check_cold(targets)

    runner.run(run())


async def register_late(restarting, targets, late_seconds=LATE_SECONDS):
    await asyncio.sleep(late_seconds)
    await register_all(restarting, targets)


# FAILBACK: a target that had started again was flooded until its entry showed it.
@pytest.mark.parametrize("rate", [20, RATE])
@pytest.mark.parametrize("late_seconds", [0.0, 0.5, LATE_SECONDS])
@pytest.mark.parametrize("down_seconds", [0.02, 0.3, 1.2])
def test_cold_target_is_not_flooded_before_its_new_entry_arrives(
    runner, tmp_path, down_seconds, late_seconds, rate
):
    async def after(restarting, targets):
        await register_late(restarting, targets, late_seconds)

    run_restart(runner, tmp_path, rate=rate, after=after, down_seconds=down_seconds)


async def write_as_warm(restarting, targets):
    await asyncio.sleep(0.5)
    await register_all(restarting, targets, ColdLeftMs=0)


async def write_earlier_entry_again(restarting, targets):
    await asyncio.sleep(0.3)
    await register_all(restarting, targets, born=1, ColdLeftMs=0)
    await asyncio.sleep(LATE_SECONDS - 0.3)
    await register_all(restarting, targets, Sequence=0)


async def write_without_cold_time(restarting, targets):
    await asyncio.sleep(0.5)
    for target in targets:
        entry = target_entry(target.address, service="llm", born=target.born)
        del entry["ColdLeftMs"]
        await restarting.site.store.put(f"servers/{target.instance}", entry)
    await asyncio.sleep(LATE_SECONDS - 0.5)
    await register_all(restarting, targets)


async def restore_store(restarting, targets):
    store = restarting.site.store
    copy = store.copy()
    await asyncio.sleep(0.2)
    await register_all(restarting, targets)
    await asyncio.sleep(0.2)
    await store.restore(copy)
    await register_late(restarting, targets)


async def restore_store_before_its_entry(restarting, targets):
    store = restarting.site.store
    await asyncio.sleep(0.2)
    await store.restore(store.copy())
    await register_late(restarting, targets)


async def refuse_store(restarting, targets):
    restarting.site.store.refusal_status = 503


ENTRIES = {
    "written-as-warm": write_as_warm,
    "the-earlier-one-again": write_earlier_entry_again,
    "without-ColdLeftMs": write_without_cold_time,
    "lost-with-a-restored-store": restore_store,
    "late-after-a-restored-store": restore_store_before_its_entry,
    "not-written-while-the-store-is-away": refuse_store,
}


@pytest.mark.parametrize("entry", ENTRIES)
def test_cold_target_is_not_flooded_whatever_its_entry_is(runner, tmp_path, entry):
    run_restart(runner, tmp_path, after=ENTRIES[entry], down_seconds=0.3)


@pytest.mark.parametrize(("nodes", "observers"), [(4, range(2)), (14, range(7))])
def test_cold_target_is_not_flooded_by_nodes_that_saw_nothing_of_its_crash(
    runner, tmp_path, nodes, observers
):
    def call_observers(restarting):
        restarting.called_nodes = observers

    async def after(restarting, targets):
        restarting.called_nodes = range(len(observers), nodes)
        await register_late(restarting, targets)

    run_restart(
        runner,
        tmp_path,
        nodes=nodes,
        site=call_observers,
        after=after,
        down_seconds=0.02,
    )


def test_cold_target_is_not_flooded_after_the_only_node_that_saw_its_crash_left(
    runner, tmp_path
):
    def call_observer(restarting):
        restarting.called_nodes = range(1)

    async def after(restarting, targets):
        await asyncio.sleep(0.03)
        await restarting.site.nodes[0].stop()
        restarting.called_nodes = range(1, NODES)
        await register_late(restarting, targets)

    run_restart(runner, tmp_path, site=call_observer, after=after, down_seconds=0.02)


def test_target_that_crashes_again_while_it_is_in_doubt_is_not_flooded(
    runner, tmp_path
):
    async def after(restarting, targets):
        await asyncio.sleep(0.6)
        again = await restart_all(restarting, down_seconds=0.02)
        await register_late(restarting, again)
        await sleep_while_cold(again)
        check_cold(again)

    run_restart(runner, tmp_path, after=after, down_seconds=0.02)


def test_cold_target_is_not_flooded_by_a_node_that_starts_before_its_new_entry(
    runner, tmp_path
):
    async def after(restarting, targets):
        await restarting.site.add_node("gulf-a", first_start=False)
        await restarting.wait_until_ready(nodes=NODES + 1)
        restarting.called_nodes = [NODES]
        await register_late(restarting, targets)

    run_restart(runner, tmp_path, after=after, down_seconds=0.02)


@pytest.mark.parametrize(
    "options",
    [
        {"end": SigningTarget._crash, "down_seconds": 0.02},
        {"end": SigningTarget._crash, "down_seconds": 0.3},
        {"silent_seconds": 1.0, "down_seconds": 0.02},
    ],
    ids=["closed", "closed-and-down", "silent-first"],
)
def test_cold_target_is_not_flooded_however_its_crash_shows(runner, tmp_path, options):
    run_restart(runner, tmp_path, after=register_late, **options)


# FAILBACK: a crash that only closed idle connections looked like idle timeouts.
@pytest.mark.parametrize("end", [SigningTarget._crash, SigningTarget.reset_all])
def test_cold_target_is_not_flooded_if_it_crashed_while_idle(runner, tmp_path, end):
    async def run():
        async with restarting_site(tmp_path) as restarting:
            async with restarting.load(RATE):
                await asyncio.sleep(1.0)
            await asyncio.sleep(IDLE_SECONDS)
            targets = await restart_all(restarting, end=end, down_seconds=0.02)
            async with restarting.load(RATE):
                await register_late(restarting, targets)
                await sleep_while_cold(targets)
            check_cold(targets)

    runner.run(run())


@pytest.mark.parametrize(
    ("down_seconds", "late_seconds"), [(0.02, LATE_SECONDS), (0.3, 0.0)]
)
def test_cold_target_is_not_flooded_by_requests_that_waited_at_its_crash(
    runner, tmp_path, down_seconds, late_seconds
):
    def slow_down(restarting):
        # More work than the targets can take, so that requests wait.
        for target in restarting.site.targets.values():
            target.gap_seconds = 0.3

    async def after(restarting, targets):
        await register_late(restarting, targets, late_seconds)

    run_restart(
        runner,
        tmp_path,
        paths=("/ask/",),
        site=slow_down,
        after=after,
        down_seconds=down_seconds,
    )


@pytest.mark.parametrize("down_seconds", [0.02, 1.2])
def test_callers_are_served_while_most_targets_restart(runner, tmp_path, down_seconds):
    # Two targets with 8 slots run 53 streams of 0.3 s in a second.
    async def run():
        async with restarting_site(tmp_path) as restarting:
            async with restarting.load(24):
                await asyncio.sleep(WARM_UP_SECONDS)
                crashed_at = time.monotonic()
                targets = await restart_all(
                    restarting,
                    ("m-0", "m-1", "m-2", "m-3"),
                    down_seconds=down_seconds,
                )
                await register_late(restarting, targets)
                await sleep_while_cold(targets)
            check_cold(targets)
            assert restarting.served_share(since=crashed_at + 0.5) >= 0.95

    runner.run(run())


def count_since(began_at, requests, path):
    return sum(req.path == path and req.received_at >= began_at for req in requests)


async def call_while_connections_end(restarting, *, announced, report):
    """Call targets, two of which end connections; return when that began."""
    for target in restarting.site.targets.values():
        target.events = 0
    for name in RESTARTED:
        target = restarting.site.targets[name]
        if announced:
            target.answer_headers = {"Connection": "close"}
        else:
            target.__class__ = IdleClosingTarget
        if report == "none":
            target.born = None
        target.report_delay_seconds = 2.0 if report == "slow" else 0.0
    async with restarting.load(RATE, paths=("/sum/",)):
        await asyncio.sleep(0.5)
        began_at = time.monotonic()
        await asyncio.sleep(CLOSING_SECONDS)
    return began_at


@pytest.mark.parametrize(
    ("announced", "report"),
    [(True, "prompt"), (False, "prompt"), (False, "slow"), (False, "none")],
)
def test_sound_targets_that_end_connections_keep_their_share(
    runner, tmp_path, announced, report
):
    async def run():
        async with restarting_site(tmp_path) as restarting:
            began_at = await call_while_connections_end(
                restarting, announced=announced, report=report
            )
            assert restarting.served_share(since=began_at) == 1.0
            targets = restarting.site.targets
            arrivals = {
                name: count_since(began_at, target.received, "/sum/")
                for name, target in targets.items()
            }
            for name in RESTARTED:
                target = targets[name]
                assert target.connections > 2 * CLOSING_SECONDS
                assert arrivals[name] >= 0.6 * sum(arrivals.values()) / TARGETS
                # Reports and health checks are priced.
                asked = count_since(began_at, target.reports, "/report")
                checked = count_since(began_at, target.received, "/healthz")
                assert asked + checked <= CLOSING_SECONDS + 1

    runner.run(run())


async def close_or_serve(serve_request, reader, writer):
    """Serve a request on a connection, or close it after a time without one."""
    timer = asyncio.get_running_loop().call_later(EARLY_CLOSE_SECONDS, writer.close)
    reader._buffer[:0] = first = await reader.read(1)
    timer.cancel()
    return bool(first) and await serve_request(reader, writer)


# A sound target that closed its idle connections counted as cold.
def test_target_that_closes_idle_connections_early_is_not_in_doubt(runner, tmp_path):
    async def run():
        async with restarting_site(tmp_path) as restarting:
            for target in restarting.site.targets.values():
                target._serve_request = partial(close_or_serve, target._serve_request)
            doubted = set()
            async with restarting.load(20):
                for _ in range(100):
                    await asyncio.sleep(0.02)
                    for node in restarting.site.nodes:
                        doubted.update(
                            node.gateway._placement.doubted_starts.doubted_targets()
                        )
            assert doubted == set()

    runner.run(run())
