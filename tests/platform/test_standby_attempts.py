"""Attempts that begin beside one whose target is silent."""

import asyncio
import time

import logbook
import pytest
from platform_site import running_site

from pimentospool.log import Event
from pimentospool.standins import HOST, Fault, platform_configuration, platform_route

EVENTS = 10


class FaultsByArrival(list):
    """Faults of a target, by how many requests all targets have received before.

    The first is rejected, the second is answered late and the third fails.
    """

    def __init__(self, target, arrivals):
        super().__init__([None])
        self._target = target
        self._arrivals = arrivals

    def pop(self, index=-1):
        self._arrivals.append(self._target)
        number = len(self._arrivals)
        if number == 2:
            self._target.gap_seconds = 1.2
        return {1: Fault.REJECT, 3: Fault.ERROR}.get(number)


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


async def add_desks(site, count):
    for number in range(count):
        await site.add_target(f"d-{number}")
    gateway = site.nodes[0].gateway
    await site.wait_until(
        lambda: (
            len(gateway.routing_state.known_targets()) == count
            and gateway.routing_state.configuration
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


def test_stream_of_a_sole_target_leaves_a_connection_that_is_silent_for_good(
    runner, tmp_path
):
    async def run():
        async with running_site(tmp_path) as site:
            await add_engines(site, 1)
            [target] = site.targets.values()
            target.faults = [Fault.STALL]
            status, _, body = await site.call("/ask/", method="POST")
            assert status == 200
            assert event_ids(body) == list(range(1, EVENTS + 1))
            # Each send is the first on its connection; the report is on another one.
            assert [req.on_used_connection for req in target.received] == [False] * 2
            assert target.connections == 2 + len(target.reports) <= 3
            await site.wait_until(lambda: target.received[0].sender_disconnected, 0.5)

    runner.run(run())


# A target that works on a request for longer than its route allows got it twice: the
# budget then lacked what others needed after an error.
@pytest.mark.parametrize(
    ("timeout_ms", "targets", "sends"), [(400, 1, 1), (400, 2, 1), (4000, 1, 2)]
)
def test_short_silence_of_the_only_target_left_causes_no_second_send(
    runner, tmp_path, timeout_ms, targets, sends
):
    options = {"TimeoutMs": timeout_ms, "MaxAttempts": 2 if targets == 1 else 1}

    async def run():
        async with running_site(tmp_path) as site:
            await site.store.put(
                "op/config",
                platform_configuration(
                    2, [platform_route("/look/", "idempotent", **options)]
                ),
            )
            await add_desks(site, targets)
            for target in site.targets.values():
                target.gap_seconds = 6.0
            status, _, _ = await site.call("/look/")
            assert status == 504
            return sum(len(target.received) for target in site.targets.values())

    assert runner.run(run()) == sends


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


def test_error_of_the_next_target_does_not_replace_the_answer_of_a_silent_one(
    runner, tmp_path
):
    async def run():
        async with running_site(tmp_path) as site:
            await add_desks(site, 3)
            arrivals = []
            for target in site.targets.values():
                target.faults = FaultsByArrival(target, arrivals)
            status, _, _ = await site.call("/look/")
            assert len(set(map(id, arrivals))) == 3
            assert status == 200

    runner.run(run())


@pytest.mark.parametrize("path", ["/ask/", "/look/"])
def test_both_targets_stop_when_the_caller_leaves(runner, tmp_path, path):
    async def run():
        async with running_site(tmp_path) as site:
            if path == "/ask/":
                await add_engines(site, 2)
            else:
                await add_desks(site, 2)
            targets = list(site.targets.values())
            call = asyncio.create_task(site.call(path, method="POST"))
            await asyncio.sleep(0.2 if path == "/ask/" else 0.0)
            for target in targets:
                target.gap_seconds = 4.0
            await site.wait_until(lambda: all(t.received for t in targets))
            await asyncio.sleep(0.05)
            call.cancel()
            await site.wait_until(
                lambda: all(t.received[0].sender_disconnected for t in targets), 0.5
            )

    runner.run(run())


def test_request_whose_two_targets_are_silent_is_answered_at_its_deadline(
    runner, tmp_path
):
    async def run():
        async with running_site(tmp_path) as site:
            await add_desks(site, 2)
            for target in site.targets.values():
                target.gap_seconds = 4.0
            started_at = time.monotonic()
            status, _, _ = await site.call("/look/", method="POST")
            assert status == 504
            assert 1.9 < time.monotonic() - started_at < 2.25
            assert all(len(t.received) == 1 for t in site.targets.values())

    runner.run(run())


def test_streams_of_silent_targets_outlast_their_route_service_and_entries(
    runner, tmp_path
):
    async def run():
        async with running_site(tmp_path) as site:
            await add_engines(site, 2)
            calls = [
                asyncio.create_task(
                    site.call(path, method="POST", request_id=f"r-{number}")
                )
                for number, path in enumerate(["/ask/", "/plan/"] * 4)
            ]
            await asyncio.sleep(0.2)
            fall_silent(site, 1.4)
            routes = [platform_route("/look/", "idempotent")]
            await site.store.put("op/config", platform_configuration(2, routes))
            await site.register(
                site.targets["m-0"], service="llm", State="draining", Sequence=2
            )
            await site.store.delete("servers/m-1")
            answers = await asyncio.gather(*calls, return_exceptions=True)
            cut = [answer for answer in answers if isinstance(answer, Exception)]
            assert not cut
            whole = list(range(1, EVENTS + 1))
            assert [event_ids(body) for _, _, body in answers] == [whole] * 8

    runner.run(run())


def test_caller_that_reads_late_causes_no_standby_attempt(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            await add_engines(site, 2, gap_seconds=0.0)
            for target in site.targets.values():
                target.events = 60_000
            host, port = site.nodes[0].cfg.front.host, site.nodes[0].cfg.front.port
            reader, writer = await asyncio.open_connection(host, port, limit=1024)
            writer.write(
                f"POST /ask/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(3.0)
            received = sum(len(t.received) for t in site.targets.values())
            node = site.nodes[0].gateway
            assert node.in_progress == 1
            writer.transport.abort()
            await site.wait_until(lambda: not node.in_progress, 0.5)
            assert received == 1

    runner.run(run())


def test_log_names_the_target_that_answered_beside_a_standby(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            await add_engines(site, 2)
            call = asyncio.create_task(site.call("/ask/", method="POST"))
            await asyncio.sleep(0.3)
            [serving] = [t for t in site.targets.values() if t.received]
            [other] = [t for t in site.targets.values() if t is not serving]
            serving.silent_until = time.monotonic() + 1.1
            other.gap_seconds = 2.0
            status, _, _ = await call
            assert status == 200
            assert len(other.received) == 1
            return serving.instance

    with logbook.TestHandler().applicationbound() as handler:
        instance = runner.run(run())
    [served] = [
        record.extra["fields"]
        for record in handler.records
        if record.extra["event"] is Event.REQUEST_SERVED
    ]
    assert served["place"] == instance


@pytest.mark.parametrize("path", ["/look/", "/book/"])
def test_plain_hop_to_silent_targets_is_answered_beside_changes(runner, tmp_path, path):
    async def run():
        async with running_site(tmp_path, zones=("gulf-a", "delta-a")) as site:
            for number in range(2):
                await site.add_target(f"d-{number}", zone="delta-a")
            await site.wait_until(
                lambda: site.nodes[0].gateway.fleet.loads("desk").get("delta")
            )
            for target in site.targets.values():
                target.gap_seconds = 1.3
            calls = [
                asyncio.create_task(
                    site.call(path, method="POST", request_id=f"r-{number}")
                )
                for number in range(6)
            ]
            for version in range(2, 8):
                await site.store.put("op/config", platform_configuration(version))
                await asyncio.sleep(0.2)
            answers = await asyncio.gather(*calls, return_exceptions=True)
            assert [answer[0] for answer in answers] == [200] * 6

    runner.run(run())


def test_streams_of_silent_targets_end_whole_after_sigterm(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            await add_engines(site, 2)
            calls = [
                asyncio.create_task(
                    site.call(path, method="POST", request_id=f"r-{number}")
                )
                for number, path in enumerate(["/ask/", "/plan/"] * 4)
            ]
            await asyncio.sleep(0.2)
            fall_silent(site, 1.8)
            site.nodes[0].terminate()
            answers = await asyncio.gather(*calls, return_exceptions=True)
            cut = [answer for answer in answers if isinstance(answer, Exception)]
            assert not cut
            whole = list(range(1, EVENTS + 1))
            assert [event_ids(body) for _, _, body in answers] == [whole] * 8

    runner.run(run())
