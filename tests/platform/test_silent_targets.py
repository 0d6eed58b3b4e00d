"""Sound targets that fall silent for a second or so and go on."""

import asyncio
import time

import pytest
from platform_site import running_site

from pimentospool.standins import platform_configuration

STREAMS = 40
EVENTS = 10
SILENT_SECONDS = 1.3
"""More than half of the time after which callers of the streams disconnect."""


class FixedBudget:
    """Retry budget that covers all further sends, or none."""

    def __init__(self, *, covers):
        self._covers = covers

    def covers(self, members, *, complete):
        return self._covers

    acquire = covers

    def record_request(self):
        pass


def fall_silent(site, seconds=SILENT_SECONDS):
    for target in site.targets.values():
        target.silent_until = time.monotonic() + seconds


def set_retry_budget(site, *, covers):
    for node in site.nodes:
        node.gateway.deps._retry_budgets["desk"] = FixedBudget(covers=covers)


async def add_targets(site, count=2, *, zone="gulf-a"):
    for number in range(count):
        await site.add_target(f"d-{number}", zone=zone)
        target = await site.add_target(
            f"m-{number}", service="llm", events=EVENTS, zone=zone, Slots=64
        )
        target.gap_seconds = 0.05
    await site.wait_until(
        lambda: all(
            len(node.gateway.routing_state.known_targets()) == 2 * count
            and node.gateway.routing_state.configuration
            for node in site.nodes
        )
    )


def event_ids(body):
    lines = body.decode().split("\n")
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


async def publish_changes(site, until):
    """Publish a version each 0.2 s until the clock reaches `until`."""
    for version in range(2, 100):
        if time.monotonic() > until:
            return
        await site.store.put("op/config", platform_configuration(version))
        await asyncio.sleep(0.2)


@pytest.mark.parametrize("hops", [0, 1])
@pytest.mark.parametrize("path", ["/ask/", "/plan/"])
def test_streams_are_not_cut_beside_a_change_while_all_targets_are_silent(
    runner, tmp_path, path, hops
):
    async def check(site):
        calls = [
            asyncio.create_task(
                site.call(f"{path}{number}", method="POST", request_id=f"r-{number}")
            )
            for number in range(STREAMS)
        ]
        await asyncio.sleep(0.3)
        fall_silent(site)
        await publish_changes(site, time.monotonic() + SILENT_SECONDS)
        answers = await asyncio.gather(*calls, return_exceptions=True)
        cut = [answer for answer in answers if isinstance(answer, Exception)]
        assert not cut
        assert [status for status, _, _ in answers] == [200] * STREAMS
        whole = list(range(1, EVENTS + 1))
        assert [event_ids(body) for _, _, body in answers] == [whole] * STREAMS

    async def run():
        zones = ("gulf-a", "delta-a") if hops else ("gulf-a",)
        async with running_site(tmp_path, zones=zones) as site:
            await add_targets(site, zone=zones[-1])
            if hops:
                await site.wait_until(
                    lambda: site.nodes[0].gateway.fleet.loads("llm").get("delta")
                )
            await check(site)

    runner.run(run())


@pytest.mark.parametrize("path", ["/look/", "/book/"])
def test_plain_request_waits_for_its_silent_target_if_no_other_send_is_granted(
    runner, tmp_path, path
):
    async def run():
        async with running_site(tmp_path) as site:
            await add_targets(site)
            set_retry_budget(site, covers=False)
            await site.call(path, method="POST")
            fall_silent(site)
            status, _, _ = await site.call(path, method="POST", request_id="r-2")
            assert status == 200

    runner.run(run())


def test_stalled_stream_goes_on_if_the_other_target_rejects_it(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            await add_targets(site)
            call = asyncio.create_task(site.call("/ask/", method="POST"))
            await asyncio.sleep(0.3)
            [serving] = [t for t in site.targets.values() if t.received]
            serving.silent_until = time.monotonic() + SILENT_SECONDS
            for target in site.targets.values():
                target.room = 0
            status, _, body = await call
            assert status == 200
            assert event_ids(body) == list(range(1, EVENTS + 1))
            assert sum(len(t.received) for t in site.targets.values()) >= 2

    runner.run(run())


def test_stalled_stream_goes_on_where_an_event_comes_first(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            await add_targets(site)
            call = asyncio.create_task(site.call("/ask/", method="POST"))
            await asyncio.sleep(0.3)
            [serving] = [t for t in site.targets.values() if t.received]
            serving.silent_until = time.monotonic() + 1.1
            [other] = [
                target
                for target in site.targets.values()
                if target.events and target is not serving
            ]
            other.gap_seconds = 1.0
            status, _, body = await call
            assert status == 200
            assert event_ids(body) == list(range(1, EVENTS + 1))
            assert len(other.received) == 1
            await site.wait_until(lambda: other.received[0].sender_disconnected, 0.5)
            assert not serving.received[0].sender_disconnected

    runner.run(run())


def test_request_to_a_service_that_is_slow_for_all_is_sent_once(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            await add_targets(site, 4)
            set_retry_budget(site, covers=True)
            for target in site.targets.values():
                target.gap_seconds = 0.9
            await asyncio.gather(
                *(site.call("/look/", request_id=f"r-{number}") for number in range(24))
            )
            status, _, _ = await site.call("/look/", request_id="last")
            received = [req for t in site.targets.values() for req in t.received]
            assert status == 200
            assert sum(req.id == "last" for req in received) == 1

    runner.run(run())
