"""Targets that say that they leave, want quiet or are brittle, on real sockets."""

import asyncio
import time

import pytest
from platform_site import running_site

from pimentospool.policy import EntryState
from pimentospool.standins import Fault

DRAIN_SECONDS = 3.0
"""The platform's rule: from this time after an answer on, requests that come later do
not reach a target that has said that it leaves."""
QUIET_GRACE_SECONDS = 0.5
MAX_QUIET_ARRIVALS = 2
"""The platform's rule: arrivals from one entry VM between this grace time after a
rejection with Retry-After and the end of that time."""


async def start_targets(site, count):
    for number in range(count):
        await site.add_target(f"d-{number}")
    routing_state = site.nodes[0].gateway.routing_state
    await site.wait_until(
        lambda: (
            site.nodes[0].gateway.state is EntryState.READY
            and len(routing_state.known_targets()) == count
        )
    )
    return list(site.targets.values())


async def send(site, count, *, pause_seconds=0.02):
    results = []
    for _ in range(count):
        results.append(await site.call("/look/x", request_id=f"r-{time.time_ns()}"))
        await asyncio.sleep(pause_seconds)
    return results


@pytest.mark.parametrize("fault", [None, Fault.ERROR, Fault.REJECT])
def test_target_that_says_it_leaves_gets_no_requests(runner, tmp_path, fault):
    async def run():
        async with running_site(tmp_path) as site:
            leaving, other = await start_targets(site, 2)
            leaving.answer_headers["Server-Leaving"] = "1"
            leaving.faults = [fault]
            await site.wait_until_received(leaving)
            # The store still lists it, and does so again.
            entry = {"Sequence": 2, "State": "ready"}
            await site.register(leaving, **entry)
            before = len(leaving.received)
            results = await send(site, 20)
            assert [status for status, _, _ in results] == [200] * 20
            assert len(leaving.received) == before
            assert len(other.received) >= 20

    runner.run(run())


def test_new_start_of_a_target_that_left_gets_requests(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            [target] = await start_targets(site, 1)
            target.answer_headers["Server-Leaving"] = "1"
            await send(site, 1)
            [(status, headers, _)] = await send(site, 1)
            assert status == 503
            assert "Retry-After" in headers
            del target.answer_headers["Server-Leaving"]
            await site.register(target, born=2)
            await site.wait_until_received(target)

    runner.run(run())


def test_target_that_wants_quiet_gets_no_requests_until_its_end(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            quiet, _ = await start_targets(site, 2)
            quiet.answer_headers["Retry-After"] = "1.5"
            quiet.faults = [Fault.REJECT]
            await site.wait_until_received(quiet)
            rejected_at = quiet.received[-1].received_at
            del quiet.answer_headers["Retry-After"]
            results = await send(site, 40, pause_seconds=0.05)
            assert [status for status, _, _ in results] == [200] * 40
            early = [
                req
                for req in quiet.received
                if QUIET_GRACE_SECONDS < req.received_at - rejected_at < 1.5
            ]
            assert len(early) <= MAX_QUIET_ARRIVALS
            await site.wait_until_received(quiet)

    runner.run(run())


def test_callers_are_told_when_the_first_of_the_quiet_targets_may_be_asked(
    runner, tmp_path
):
    async def run():
        async with running_site(tmp_path) as site:
            targets = await start_targets(site, 2)
            for target, seconds in zip(targets, ("8", "4.5"), strict=True):
                target.answer_headers["Retry-After"] = seconds
                target.faults = [Fault.REJECT] * 9
            await send(site, 4)
            [(status, headers, _)] = await send(site, 1)
            assert status == 503
            assert 3.5 < float(headers["Retry-After"]) <= 4.5

    runner.run(run())


@pytest.mark.timeout(60)
def test_brittle_targets_reject_few_requests_under_overload(runner, tmp_path):
    turn_aways = 3

    async def run():
        async with running_site(tmp_path, zones=("gulf-a",) * 2) as site:
            targets = await start_targets(site, 2)
            for target in targets:
                target.answer_headers["Server-Brittle"] = str(turn_aways)
                target.gap_seconds = 0.3
                target.room = 16
            results = []

            async def call(number):
                results.append(
                    await site.call(
                        "/look/x", node=number % 2, request_id=f"b-{number}"
                    )
                )

            async with asyncio.TaskGroup() as group:
                for number in range(600):
                    if number == 200:
                        for target in targets:
                            target.room = 8
                    group.create_task(call(number))
                    await asyncio.sleep(0.01)
            for target in targets:
                times = [req.received_at for req in target.received if not req.executed]
                for at in times:
                    assert sum(at <= other < at + 1.0 for other in times) <= turn_aways
            statuses = [status for status, _, _ in results]
            assert set(statuses) == {200, 503}
            assert statuses.count(200) > 0.5 * 2 * 8 / 0.3 * 6.0

    runner.run(run())


async def lapse(site, target):
    """Remove the entry of `target` until the node has followed that."""
    routing_state = site.nodes[0].gateway.routing_state
    await site.store.delete(f"servers/{target.instance}")
    await site.wait_until(lambda: target.instance not in routing_state.known_targets())


async def come_back(site, target, **options):
    """Write the entry of `target` again until the node has followed that."""
    routing_state = site.nodes[0].gateway.routing_state
    await site.register(target, **options)
    await site.wait_until(lambda: target.instance in routing_state.known_targets())


def test_quiet_time_holds_though_the_entry_lapses_and_returns(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            [quiet] = await start_targets(site, 1)
            quiet.answer_headers["Retry-After"] = "20"
            quiet.faults = [Fault.REJECT]
            await send(site, 1)
            for _ in range(2):
                await lapse(site, quiet)
                await come_back(site, quiet)
                results = await send(site, 5)
                assert [status for status, _, _ in results] == [503] * 5
            assert len(quiet.received) == 1
            await lapse(site, quiet)
            await come_back(site, quiet, born=2)
            await site.wait_until_received(quiet)

    runner.run(run())


def test_limit_holds_though_the_entry_lapses_and_returns(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            [limited] = await start_targets(site, 1)
            limited.answer_headers["Server-Limit"] = "0.2"
            await site.wait_until_received(limited)
            before = len(limited.received)
            for _ in range(4):
                await lapse(site, limited)
                await come_back(site, limited)
                await send(site, 5)
            assert len(limited.received) - before <= 1

    runner.run(run())


@pytest.mark.parametrize("born", [1, 2])
def test_rejection_by_a_start_whose_entry_lapsed_counts_for_that_start_only(
    runner, tmp_path, born
):
    async def run():
        async with running_site(tmp_path) as site:
            [target] = await start_targets(site, 1)
            target.silent_until = time.monotonic() + 1.2
            target.faults = [Fault.REJECT]
            target.answer_headers["Retry-After"] = "20"
            late = asyncio.create_task(site.call("/look/x", request_id="late"))
            await site.wait_until(lambda: target.received)
            await lapse(site, target)
            if born == 2:
                await come_back(site, target, born=2)
            await late
            del target.answer_headers["Retry-After"]
            if born == 1:
                await come_back(site, target)
            results = await send(site, 5)
            status = 503 if born == 1 else 200
            assert {result[0] for result in results} == {status}

    runner.run(run())
