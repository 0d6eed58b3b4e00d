"""Targets that name a limit in their answers, through real sockets."""

import asyncio
import itertools
import time

import pytest
from platform_site import running_site

from pimentospool.policy import EntryState

CONTACT_SECONDS = 5.0
WINDOW_SECONDS = 4.0
"""The platform's rule: from `CONTACT_SECONDS` after a target named its limit, it gets
in no window more than one and a half times what that allows, and 5 requests."""
INTERVAL_SECONDS = 0.05
LIMIT = 1.2


def most_in_a_window(times):
    return max(
        (sum(at <= other < at + WINDOW_SECONDS for other in times) for at in times),
        default=0,
    )


async def load_site(site, *, seconds):
    """Send requests to all nodes in turn; return their times and statuses."""
    results, start = [], time.monotonic()

    async def send(number):
        sent_at = time.monotonic()
        status, headers, _ = await site.call(
            f"/look/{number}",
            node=number % len(site.nodes),
            request_id=f"r-{time.monotonic_ns()}",
        )
        results.append((sent_at, status, headers, time.monotonic() - sent_at))

    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if time.monotonic() - start > seconds:
                break
            group.create_task(send(number))
            await asyncio.sleep(INTERVAL_SECONDS)
    return results


async def start_targets(site, names):
    for name in names:
        target = await site.add_target(name)
        target.gap_seconds = 0.02
    await site.wait_until(
        lambda: all(
            node.gateway.state is EntryState.READY
            and len(node.gateway.routing_state.known_targets()) == len(names)
            for node in site.nodes
        )
    )
    await asyncio.sleep(1.0)


@pytest.mark.timeout(60)
def test_target_that_names_a_limit_gets_no_more_than_it_allows(runner, tmp_path):
    async def run():
        async with running_site(tmp_path, zones=("gulf-a",) * 3) as site:
            await start_targets(site, ["d-1", "d-2", "d-3"])
            limited = site.targets["d-1"]
            limited.answer_headers["Server-Limit"] = str(LIMIT)
            named_at = time.monotonic()
            results = await load_site(site, seconds=CONTACT_SECONDS + WINDOW_SECONDS)
            bound = named_at + CONTACT_SECONDS
            times = [req.received_at for req in limited.received]
            later = [at for at in times if at >= bound]
            assert most_in_a_window(later) <= 1.5 * LIMIT * WINDOW_SECONDS + 5
            assert all(status == 200 for _, status, _, _ in results)

            del limited.answer_headers["Server-Limit"]
            await load_site(site, seconds=4.0)
            free_at = time.monotonic()
            await load_site(site, seconds=2.0)
            times = [req.received_at for req in limited.received]
            assert len([at for at in times if at > free_at]) > 10

    runner.run(run())


@pytest.mark.timeout(60)
def test_callers_are_refused_at_once_while_all_targets_have_reached_their_limits(
    runner, tmp_path
):
    async def run():
        async with running_site(tmp_path, zones=("gulf-a",) * 3) as site:
            await start_targets(site, ["d-1", "d-2"])
            for target in site.targets.values():
                target.answer_headers["Server-Limit"] = "2"
            await load_site(site, seconds=CONTACT_SECONDS)
            results = await load_site(site, seconds=WINDOW_SECONDS)
            refused = [result for result in results if result[1] == 503]
            served = [result for result in results if result[1] == 200]
            assert len(refused) + len(served) == len(results)
            assert len(served) >= 0.6 * 2 * 2 * WINDOW_SECONDS
            for _, _, headers, seconds in refused:
                assert seconds < 0.2
                assert 0.2 <= float(headers["Retry-After"]) <= 10.0

    runner.run(run())
