"""Attempts that begin beside one whose target is silent."""

import asyncio
import time

import pytest
from platform_site import running_site

from pimentospool.standins import platform_configuration, platform_route

EVENTS = 10


async def add_engines(site, count, *, zone="gulf-a", gap_seconds=0.05):
    for number in range(count):
        target = await site.add_target(
            f"m-{number}", service="llm", events=EVENTS, zone=zone, Slots=64
        )
        target.gap_seconds = gap_seconds
    await site.wait_until(
        lambda: all(
            len(node.gateway.routing_state.known_targets()) == count
            and node.gateway.routing_state.configuration
            for node in site.nodes
        )
    )


def event_ids(body):
    lines = body.decode().split("\n")
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def fall_silent(site, seconds):
    for target in site.targets.values():
        target.silent_until = time.monotonic() + seconds


@pytest.mark.parametrize("hops", [0, 1])
def test_silent_stream_reaches_no_more_targets_than_its_route_allows(
    runner, tmp_path, hops
):
    async def run():
        zones = ("gulf-a", "delta-a") if hops else ("gulf-a",)
        async with running_site(tmp_path, zones=zones) as site:
            await add_engines(site, 4, zone=zones[-1])
            if hops:
                await site.wait_until(
                    lambda: site.nodes[0].gateway.fleet.loads("llm").get("delta")
                )
            calls = [
                asyncio.create_task(
                    site.call(f"/ask/{n}", method="POST", request_id=f"r-{n}")
                )
                for n in range(4)
            ]
            await asyncio.sleep(0.3)
            fall_silent(site, 1.9)
            await asyncio.gather(*calls, return_exceptions=True)
            reached = {
                number: sum(
                    any(req.id == f"r-{number}" for req in target.received)
                    for target in site.targets.values()
                )
                for number in range(4)
            }
            assert max(reached.values()) <= 2, reached

    runner.run(run())


def test_stalled_stream_is_not_sent_again_to_the_target_that_runs_it(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            await add_engines(site, 1)
            call = asyncio.create_task(site.call("/ask/", method="POST"))
            await asyncio.sleep(0.3)
            fall_silent(site, 1.9)
            status, _, body = await call
            [target] = site.targets.values()
            assert status == 200
            assert event_ids(body) == list(range(1, EVENTS + 1))
            assert len(target.received) == 1

    runner.run(run())


def test_target_before_ends_its_work_soon_after_a_stream_goes_on_elsewhere(
    runner, tmp_path
):
    async def run():
        async with running_site(tmp_path) as site:
            await add_engines(site, 2)
            call = asyncio.create_task(site.call("/ask/", method="POST"))
            await asyncio.sleep(0.3)
            [before] = [t for t in site.targets.values() if t.received]
            before.silent_until = time.monotonic() + 3.0
            [other] = [t for t in site.targets.values() if t is not before]
            other.gap_seconds = 0.7
            await site.wait_until(lambda: other.received)
            await asyncio.sleep(0.4)
            still_works = not before.received[0].sender_disconnected
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            assert not still_works

    runner.run(run())
