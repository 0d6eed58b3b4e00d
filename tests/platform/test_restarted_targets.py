"""Targets that start again, cold, before their entries show it."""

import asyncio
from functools import partial

import pytest
from restarting_site import (
    ALLOWED_PER_SECOND,
    COLD_SECONDS,
    cold_arrivals,
    most_in_a_second,
    restarting_site,
)

RESTARTED = ("m-0", "m-1")
IDLE_SECONDS = 0.3
WARM_UP_SECONDS = 1.5


# FAILBACK: a target that had started again was flooded until its entry showed it.
@pytest.mark.parametrize("rate", [20, 80])
@pytest.mark.parametrize("late_seconds", [0.0, 0.5, 1.2])
@pytest.mark.parametrize("down_seconds", [0.02, 0.3, 1.2])
def test_cold_target_is_not_flooded_before_its_new_entry_arrives(
    runner, tmp_path, down_seconds, late_seconds, rate
):
    async def run():
        async with restarting_site(tmp_path) as restarting:
            async with restarting.load(rate):
                await asyncio.sleep(WARM_UP_SECONDS)
                targets = await asyncio.gather(
                    *(
                        restarting.restart_and_register(
                            name, down_seconds=down_seconds, late_seconds=late_seconds
                        )
                        for name in RESTARTED
                    )
                )
                await asyncio.sleep(COLD_SECONDS - late_seconds)
            for target in targets:
                assert most_in_a_second(cold_arrivals(target)) <= ALLOWED_PER_SECOND

    runner.run(run())


async def close_or_serve(serve_request, reader, writer):
    """Serve a request on a connection, or close it after `IDLE_SECONDS` without one."""
    timer = asyncio.get_running_loop().call_later(IDLE_SECONDS, writer.close)
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
