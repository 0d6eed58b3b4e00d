"""Requests that have too little time left for an answer are not run."""

import asyncio
import time

import pytest
from platform_site import running_site, unanswering_address

from pimentospool.policy._target_choice import HOP_ROUND_TRIP_SECONDS
from pimentospool.standins import target_entry

DEADLINE_SECONDS = 1.3
CONNECTION_SECONDS = 0.6 * DEADLINE_SECONDS
"""Time that a connection takes; a request with half of its time left may be a trial."""
MILLISECOND = 0.001
SLOW_SECONDS = 0.8
SLOW_PACE = 27.0
"""Pace of targets that take `SLOW_SECONDS`."""


async def call_with_deadline(site, number):
    """Send a request; return its status and the time until its answer."""
    sent_at = time.monotonic()
    headers = {"X-Request-Deadline": str(int(DEADLINE_SECONDS / MILLISECOND))}
    status, _, _ = await site.call(
        f"/look/{number}", request_id=f"r-{number}", headers=headers
    )
    return status, time.monotonic() - sent_at


async def start_two_regions(site):
    """Start a target in the other region; return it once requests go there."""
    target = await site.add_target("d-1", zone="delta-a")
    await site.wait_until(lambda: site.nodes[0].gateway.fleet.loads("desk"))
    await site.wait_until_received(target)
    return target


def test_target_of_another_region_is_given_no_time_that_the_way_back_takes(
    runner, tmp_path
):
    async def check():
        async with running_site(tmp_path, zones=("gulf-a", "delta-a")) as site:
            target = await start_two_regions(site)
            sent_at = time.monotonic()
            headers = {"X-Request-Deadline": str(int(DEADLINE_SECONDS / MILLISECOND))}
            status, _, _ = await site.call("/look/1", headers=headers)
            assert status == 200
            req = target.received[-1]
            given_seconds = int(req.headers["x-request-deadline"]) * MILLISECOND
            return given_seconds, req.received_at - sent_at

    given_seconds, sent_seconds = runner.run(check())
    left_seconds = DEADLINE_SECONDS - HOP_ROUND_TRIP_SECONDS
    assert left_seconds - sent_seconds - 0.05 < given_seconds <= left_seconds


def test_request_that_waited_too_long_for_a_slow_target_is_refused_before_it_runs(
    runner, tmp_path
):
    async def check():
        async with running_site(tmp_path) as site:
            gateway = site.nodes[0].gateway
            with unanswering_address() as first, unanswering_address() as second:
                addresses = (first, second)
                for number, address in enumerate(addresses):
                    record = target_entry(address)
                    await site.store.put(f"servers/lost-{number}", record)
                known_targets = gateway.routing_state.known_targets
                await site.wait_until(lambda: len(known_targets()) == len(addresses))
                target = await site.add_target("i-1")
                await site.wait_until(lambda: "i-1" in known_targets())
                pace = gateway.deps.placement.pace("desk")
                for _ in range(100):
                    pace.record(SLOW_PACE)
                target.gap_seconds = SLOW_SECONDS
                # The first caller and some later ones wait for connections in vain.
                answers = [await call_with_deadline(site, n) for n in range(6)]
                slow_runs = list(target.executed_requests)
                for _ in range(100):
                    pace.record(2 * SLOW_PACE)
                target.gap_seconds = 0.0
                for number in range(len(addresses)):
                    await site.store.delete(f"servers/lost-{number}")
                await site.wait_until(lambda: len(known_targets()) == 1)
                later_answer = await call_with_deadline(site, 6)
                return answers, slow_runs, later_answer

    answers, slow_runs, later_answer = runner.run(check())
    statuses = [status for status, _ in answers]
    assert statuses[0] == 503
    assert set(statuses) == {200, 503}
    assert statuses.count(200) == len(slow_runs) >= 3
    assert all(seconds < DEADLINE_SECONDS - 0.1 for _, seconds in answers)
    # The speed is known as too slow for any caller, but the target is idle.
    assert later_answer[0] == 200


def delay_connections(pool, seconds):
    """Let a pool hand out its connections with a delay."""
    acquire = pool.acquire

    async def acquire_later(**options):
        conn = await acquire(**options)
        await asyncio.sleep(seconds)
        return conn

    pool.acquire = acquire_later


@pytest.mark.parametrize("zone", ["gulf-a", "delta-a"])
def test_request_whose_connection_came_too_late_for_a_slow_target_is_not_sent(
    runner, tmp_path, zone
):
    async def check():
        async with running_site(tmp_path, zones=("gulf-a", "delta-a")) as site:
            target = await site.add_target("i-1", zone=zone)
            near, far = (node.gateway for node in site.nodes)
            await site.wait_until(
                lambda: (
                    near.routing_state.known_targets()
                    and (zone == "gulf-a" or near.fleet.loads("desk"))
                )
            )
            await site.wait_until_received(target)
            sent_before = len(target.received)
            for gateway in (near, far):
                for _ in range(200):
                    gateway.deps.placement.pace("desk").record(SLOW_PACE)
            if zone == "gulf-a":
                pool = near.deps.pools._target_pools["i-1"]
            else:
                await site.wait_until(
                    lambda: near.fleet.loads("desk")["delta"].wait_seconds > 0.7
                )
                pool = near.deps.pools.peer_pool(far.cfg.peer)
            delay_connections(pool, CONNECTION_SECONDS)
            answer = await call_with_deadline(site, 1)
            return answer, target.received[sent_before:]

    (status, seconds), received = runner.run(check())
    assert status == 503
    assert seconds < DEADLINE_SECONDS - 0.2
    assert not any(req.path == "/look/1" for req in received)
