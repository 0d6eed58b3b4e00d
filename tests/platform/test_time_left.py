"""Requests that have too little time left for an answer are not run."""

import time

from platform_site import running_site

from pimentospool.policy._target_choice import HOP_ROUND_TRIP_SECONDS

DEADLINE_SECONDS = 1.5
MILLISECOND = 0.001


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
