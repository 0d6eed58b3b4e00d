"""Responses that callers get when targets fail, through real sockets."""

import asyncio
import time

import aiohttp
import logbook
import pytest
from platform_site import WAIT_TIMEOUT_SECONDS, running_site

from pimentospool.log import Event
from pimentospool.policy import EntryState
from pimentospool.standins import Fault

SEAL = "X-Response-Seal"


async def add_targets(site, *, second=False):
    """Add one target of each service, or two of each with `second`."""
    desk = await site.add_target("d-1")
    llm = await site.add_target("m-1", service="llm", events=5)
    if second:
        await site.add_target("d-2")
        await site.add_target("m-2", service="llm", events=5)
    expected_count = 4 if second else 2
    routing_state = site.nodes[0].gateway.routing_state
    await site.wait_until(
        lambda: (
            routing_state.configuration
            and len(routing_state.known_targets()) == expected_count
        )
    )
    return desk, llm


def count_runs(site, request_id="r-1"):
    """Return how often the targets ran a request, all of them together."""
    return sum(
        req.id == request_id
        for target in site.targets.values()
        for req in target.executed_requests
    )


def run_with_site(runner, tmp_path, check, **options):
    """Run `check` with a node and its targets; `options` go to `add_targets`."""

    async def run():
        async with running_site(tmp_path) as site:
            await add_targets(site, **options)
            await check(site)

    runner.run(run())


def test_response_with_a_body_is_forwarded_unchanged(runner, tmp_path):
    async def check(site):
        status, headers, body = await site.call(
            "/book/a?b=%20c", method="POST", data=b"x" * 3000
        )
        assert status == 200
        assert headers[SEAL] == "d-1.r-1"
        assert headers["X-Request-Id"] == "r-1"
        assert body == b"d-1 POST /book/a?b=%20c " + b"x" * 3000

    run_with_site(runner, tmp_path, check)


def test_chunked_body_is_forwarded_with_a_content_length(runner, tmp_path):
    async def check(site):
        async def chunks():
            for _ in range(20):
                yield b"y" * 700
                await asyncio.sleep(0)

        status, _, body = await site.call("/book/", method="POST", data=chunks())
        assert status == 200
        assert body.endswith(b" " + b"y" * 14_000)
        received = site.targets["d-1"].received[0]
        assert received.headers["content-length"] == "14000"
        assert "transfer-encoding" not in received.headers

    run_with_site(runner, tmp_path, check)


def test_headers_that_the_gateway_controls_are_not_forwarded(runner, tmp_path):
    async def check(site):
        given = {
            "X-Expect-Instance": "other",
            "X-Hold": "1",
            "X-Pin-Duration": "9",
            "X-Kv-Backup": "1.2.3.4:5",
            "Kv-From": "1.2.3.4:5/x",
            "X-Model": "m",
            "Connection": "keep-alive, X-Private",
            "X-Private": "secret",
            "X-Request-Deadline": "1500",
        }
        status, _, _ = await site.call("/look/", headers=given)
        assert status == 200
        sent = site.targets["d-1"].received[0].headers
        assert sent["x-expect-instance"] == "d-1"
        assert sent["x-model"] == "m"
        assert 1000 <= int(sent["x-request-deadline"]) <= 1500
        for name in ("x-hold", "x-pin-duration", "x-kv-backup", "kv-from", "x-private"):
            assert name not in sent

    run_with_site(runner, tmp_path, check)


def test_non_idempotent_requests_reuse_connections(runner, tmp_path):
    async def check(site):
        for number in range(5):
            status, _, _ = await site.call(
                "/book/", method="POST", data=b"1", request_id=f"r-{number}"
            )
            assert status == 200
        assert site.targets["d-1"].connections == 1

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize(
    "fault",
    [
        Fault.RESET,
        Fault.CUT_BODY,
        Fault.UNFRAMED_RESET,
        Fault.NOT_HTTP,
        Fault.UNSEALED,
        Fault.ENCODED,
        Fault.UNPROVEN_BUSY,
        Fault.RESET_UNREAD,
    ],
)
def test_non_idempotent_request_that_may_have_run_is_neither_retried_nor_refused(
    runner, tmp_path, fault
):
    async def check(site):
        site.targets["d-1"].faults = [fault]
        site.targets["d-2"].faults = [fault]
        status, headers, _ = await site.call("/book/", method="POST", data=b"1")
        assert status in (502, 504)
        assert SEAL not in headers
        assert count_runs(site) <= 1

    run_with_site(runner, tmp_path, check, second=True)


@pytest.mark.parametrize(
    "fault",
    [
        Fault.RESET,
        Fault.CUT_BODY,
        Fault.UNFRAMED_RESET,
        Fault.NOT_HTTP,
        Fault.UNSEALED,
        Fault.ENCODED,
        Fault.ERROR,
        Fault.UNPROVEN_BUSY,
        Fault.REJECT,
        Fault.RESET_UNREAD,
        Fault.SILENT,
    ],
)
def test_idempotent_request_succeeds_at_the_second_attempt(runner, tmp_path, fault):
    async def check(site):
        site.targets["d-1"].faults = [fault]
        status, headers, _ = await site.call("/look/")
        assert status == 200
        assert headers[SEAL] == "d-1.r-1"

    run_with_site(runner, tmp_path, check)


def test_rejected_request_is_retried_and_a_refused_one_did_not_run(runner, tmp_path):
    async def check(site):
        site.targets["d-1"].faults = [Fault.REJECT]
        status, _, _ = await site.call("/book/", method="POST", data=b"1")
        assert status == 200
        site.targets["d-1"].faults = [Fault.REJECT] * 10
        status, headers, _ = await site.call(
            "/book/", method="POST", data=b"1", request_id="r-2"
        )
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert count_runs(site, "r-2") == 0

    run_with_site(runner, tmp_path, check)


def test_another_instance_at_the_address_does_not_run_the_request(runner, tmp_path):
    async def check(site):
        site.targets["d-1"].instance = "d-9"
        status, _, _ = await site.call("/book/", method="POST", data=b"1")
        assert status == 503
        assert count_runs(site) == 0

    run_with_site(runner, tmp_path, check)


def test_response_without_a_length_is_complete_after_a_clean_close(runner, tmp_path):
    async def check(site):
        site.targets["d-1"].faults = [Fault.UNFRAMED]
        status, headers, body = await site.call("/book/", method="POST", data=b"1")
        assert (status, body) == (200, b"d-1 POST /book/ 1")
        assert headers[SEAL] == "d-1.r-1"

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("fault", [Fault.EXTRA_BYTES, Fault.LATE_SECOND])
def test_unexpected_bytes_are_not_read_as_the_next_response(runner, tmp_path, fault):
    async def check(site):
        target = site.targets["d-1"]
        target.faults = [fault]
        for number in range(4):
            status, headers, body = await site.call(
                f"/book/{number}", method="POST", data=b"1", request_id=f"r-{number}"
            )
            assert status == 200
            assert headers[SEAL] == f"d-1.r-{number}"
            assert body == f"d-1 POST /book/{number} 1".encode()
            await asyncio.sleep(0.1)
        assert target.connections == 2

    run_with_site(runner, tmp_path, check)


def test_response_to_another_request_is_skipped(runner, tmp_path):
    async def check(site):
        site.targets["d-1"].faults = [Fault.FOREIGN]
        status, headers, _ = await site.call("/book/", method="POST", data=b"1")
        assert (status, headers[SEAL]) == (200, "d-1.r-1")
        await site.call("/book/", method="POST", data=b"1", request_id="r-2")
        assert site.targets["d-1"].connections == 2

    run_with_site(runner, tmp_path, check)


def test_response_before_the_body_is_read_does_not_affect_the_next_request(
    runner, tmp_path
):
    async def check(site):
        target = site.targets["d-1"]
        target.faults = [Fault.EARLY]
        large = b"z" * 2_000_000
        status, _, body = await site.call("/book/", method="POST", data=large)
        assert (status, body) == (200, b"early")
        status, _, body = await site.call(
            "/book/", method="POST", data=b"2", request_id="r-2"
        )
        assert (status, body) == (200, b"d-1 POST /book/ 2")
        await site.wait_until(lambda: target.received[0].body == large)

    run_with_site(runner, tmp_path, check)


def test_stream_is_forwarded_with_all_its_events(runner, tmp_path):
    async def check(site):
        site.targets["m-1"].gap_seconds = 0.02
        status, headers, body = await site.call("/ask/", method="POST", data=b"p")
        assert status == 200
        assert headers[SEAL] == "m-1.r-1"
        ids = [line for line in body.decode().split("\n") if line.startswith("id")]
        assert ids == [f"id: {number}" for number in range(1, 6)]

    run_with_site(runner, tmp_path, check)


def test_interrupted_resumable_stream_continues_at_another_target(runner, tmp_path):
    async def check(site):
        interrupted = site.targets["m-1"]
        interrupted.faults = [Fault.CUT_STREAM]
        while not interrupted.received:
            status, headers, body = await site.call("/ask/", method="POST", data=b"p")
            ids = [line for line in body.decode().split("\n") if line.startswith("id")]
            assert status == 200
            assert ids == [f"id: {event}" for event in range(1, 6)]
        assert headers[SEAL] == "m-1.r-1"
        assert site.targets["m-2"].received[-1].headers["last-event-id"] == "1"

    run_with_site(runner, tmp_path, check, second=True)


@pytest.mark.parametrize("fault", [Fault.STALL, Fault.STALL_WITH_BYTES])
def test_stalled_resumable_stream_continues_before_its_caller_times_out(
    runner, tmp_path, fault
):
    async def check(site):
        stalled = site.targets["m-1"]
        stalled.faults = [fault]
        loop = asyncio.get_running_loop()
        while not stalled.received:
            started_at = loop.time()
            status, _, body = await site.call("/ask/", method="POST", data=b"p")
            ids = [line for line in body.decode().split("\n") if line.startswith("id")]
            assert status == 200
            assert ids == [f"id: {event}" for event in range(1, 6)]
        assert 0.9 <= loop.time() - started_at <= 1.6
        assert site.targets["m-2"].received[-1].headers["last-event-id"] == "1"
        await site.wait_until(
            lambda: stalled.received[0].sender_disconnected, timeout_seconds=0.5
        )

    run_with_site(runner, tmp_path, check, second=True)


def test_interrupted_stream_that_is_not_resumable_does_not_look_complete(
    runner, tmp_path
):
    async def check(site):
        site.targets["m-1"].faults = [Fault.CUT_STREAM]
        with pytest.raises(Exception, match=r"(?i)payload|reset|disconnect"):
            await site.call("/plan/", method="POST", data=b"p")
        assert count_runs(site) == 1

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("hops", [0, 1])
@pytest.mark.parametrize("fault", [Fault.UNFRAMED_CUT, Fault.UNFRAMED_RESET])
def test_unframed_stream_closed_within_an_event_does_not_look_complete(
    runner, tmp_path, fault, hops
):
    async def run():
        async with running_site(tmp_path, zones=("gulf-a", "delta-a")) as site:
            zone = "delta-a" if hops else "gulf-a"
            target = await site.add_target("m-1", service="llm", events=5, zone=zone)
            await site.wait_until(
                lambda: all(
                    node.gateway.state is EntryState.READY for node in site.nodes
                )
            )
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                while (await site.call("/plan/", method="POST"))[0] != 200:
                    await asyncio.sleep(0.02)
            target.faults = [fault]
            with pytest.raises(aiohttp.ClientPayloadError):
                await site.call("/plan/", method="POST", data=b"p", request_id="r-2")
            assert count_runs(site, "r-2") == 1

    runner.run(run())


def test_unframed_stream_closed_before_its_first_event_is_a_failure(runner, tmp_path):
    async def check(site):
        site.targets["m-1"].faults = [Fault.UNFRAMED_EMPTY]
        status, headers, _ = await site.call("/plan/", method="POST", data=b"p")
        assert status == 502
        assert SEAL not in headers

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("path", ["/plan/", "/ask/"])
def test_whole_unframed_stream_is_complete_after_a_clean_close(runner, tmp_path, path):
    async def check(site):
        site.targets["m-1"].faults = [Fault.UNFRAMED]
        status, _, body = await site.call(path, method="POST", data=b"p")
        assert status == 200
        assert body == site.targets["m-1"].received[0].expected_body

    run_with_site(runner, tmp_path, check)


def test_disconnect_of_the_caller_cancels_the_request_at_the_target(runner, tmp_path):
    async def check(site):
        site.targets["m-1"].gap_seconds = 0.2
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await site.call("/ask/", method="POST", data=b"p")
        await site.wait_until(
            lambda: site.targets["m-1"].received[0].sender_disconnected,
            timeout_seconds=0.5,
        )

    run_with_site(runner, tmp_path, check)


def test_request_to_a_silent_target_ends_at_the_route_timeout(runner, tmp_path):
    async def check(site):
        site.targets["d-1"].faults = [Fault.SILENT]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, _, _ = await site.call("/book/", method="POST", data=b"1")
        assert status == 504
        assert 1.8 <= loop.time() - started_at <= 2.3

    run_with_site(runner, tmp_path, check)


def test_unknown_route_gets_404_and_no_configuration_503(runner, tmp_path):
    async def check(site):
        status, _, _ = await site.call("/nowhere/")
        assert status == 404
        status, _, _ = await site.call("/look/", headers={"Host": "other.example"})
        assert status == 404

    run_with_site(runner, tmp_path, check)

    async def check_without_configuration():
        async with running_site(tmp_path, with_config=False) as site:
            await site.wait_until(lambda: site.store.calls > 2)
            status, _, _ = await site.call("/look/")
            assert status == 503

    runner.run(check_without_configuration())


@pytest.mark.parametrize(
    "ambiguous_request",
    [
        b"POST /book/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r-1\r\n"
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        b"GET /look/x HTTP/1.1\r\nHost: shop.example\r\n\r\n",
        b"POST /book/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r-1\r\n"
        b"Content-Length: 5\r\nContent-Length: 6\r\n\r\n123456",
        b"GARBAGE\r\n\r\n",
        b"GET /look/ HTTP/1.1\r\nHost: shop.example\r\nX-A: 1\n\rGET /b\r\n\r\n",
    ],
)
def test_ambiguous_request_is_refused_and_its_connection_closed(
    runner, tmp_path, ambiguous_request
):
    async def check(site):
        front = site.nodes[0].cfg.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(ambiguous_request)
        async with asyncio.timeout(2):
            response = await reader.read()
        writer.close()
        assert response.split(b" ", 2)[1] == b"400"
        assert response.count(b"HTTP/1.") == 1
        assert not site.targets["d-1"].received

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize(
    "fault", [Fault.ENDLESS_HEAD, Fault.ENDLESS_BODY, Fault.TRICKLE]
)
def test_bytes_without_end_never_reach_the_caller(runner, tmp_path, fault):
    """The work may have run, so a booking ends in 502 or 504 by its deadline."""

    async def check(site):
        site.targets["d-1"].faults = [fault]
        started_at = time.monotonic()
        status, headers, _ = await site.call(
            "/book/x",
            method="POST",
            data=b"1",
            headers={"X-Request-Deadline": "700"},
        )
        assert status in (502, 504)
        assert SEAL not in headers
        assert time.monotonic() - started_at < 1.2
        assert count_runs(site) == 1
        assert site.nodes[0].gateway.in_progress == 0

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("fault", [Fault.ENDLESS_HEAD, Fault.ENDLESS_BODY])
def test_idempotent_request_is_served_by_another_target(runner, tmp_path, fault):
    async def check(site):
        site.targets["d-1"].faults = [fault] * 10
        for number in range(3):
            status, headers, _ = await site.call(f"/look/{number}")
            assert status == 200
            assert headers[SEAL].startswith("d-2.")

    run_with_site(runner, tmp_path, check, second=True)


@pytest.mark.parametrize(
    ("fault", "body_end"),
    [(None, "chunks"), (Fault.UNFRAMED, "close of the connection")],
)
def test_log_says_what_ended_the_body_of_a_response(runner, tmp_path, fault, body_end):
    async def check(site):
        site.targets["m-1"].faults = [fault]
        with logbook.TestHandler().applicationbound() as handler:
            await site.call("/plan/", method="POST", data=b"p")
        [served] = [
            record.extra["fields"]
            for record in handler.records
            if record.extra["event"] is Event.REQUEST_SERVED
        ]
        assert served["body_end"] == body_end
        assert served["within_event"] is False

    run_with_site(runner, tmp_path, check)


def test_interrupted_stream_does_not_look_complete_to_an_http_1_0_caller(
    runner, tmp_path
):
    async def call(site, request_id):
        front = site.nodes[0].cfg.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(
            b"POST /plan/ HTTP/1.0\r\nHost: shop.example\r\nX-Request-Id: "
            + request_id
            + b"\r\nContent-Length: 1\r\n\r\np"
        )
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                return await reader.read()
        finally:
            writer.close()

    async def check(site):
        body = await call(site, b"r-1")
        assert body.count(b"\nid: ") == 5
        site.targets["m-1"].faults = [Fault.CUT_STREAM]
        with pytest.raises(ConnectionResetError):
            await call(site, b"r-2")

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("path", ["/book/", "/plan/"])
def test_repeated_refusal_is_no_proof_that_a_request_sent_again_did_not_run(
    runner, tmp_path, path
):
    async def check(site):
        for target in site.targets.values():
            target.faults = [Fault.REJECT, Fault.REPEATED_REFUSAL]
        status, _, _ = await site.call(path, method="POST", data=b"1")
        assert count_runs(site) == 1
        assert status == 200

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("path", ["/book/", "/plan/"])
@pytest.mark.parametrize("fault", [Fault.REPEATED_REFUSAL, Fault.UNNAMED_REFUSAL])
def test_refusal_of_an_earlier_request_is_no_proof_that_a_later_one_did_not_run(
    runner, tmp_path, path, fault
):
    async def check(site):
        for target in site.targets.values():
            target.faults = [Fault.REJECT] * 4
        status, _, _ = await site.call(path, method="POST", data=b"1")
        assert status == 503
        for target in site.targets.values():
            target.faults = [fault]
        status, _, _ = await site.call(path, method="POST", data=b"1", request_id="r-2")
        assert count_runs(site, "r-2") == 1
        assert status in (200, 502)

    run_with_site(runner, tmp_path, check)
