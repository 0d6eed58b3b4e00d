"""What callers get, through real sockets, whatever targets do to an exchange."""

import asyncio

import pytest
from platform_site import site

from pimentospool.standins import Fault

SEAL = "X-Response-Seal"


async def start(made, *, second=False):
    """Add a target of each service, or two."""
    desk = await made.add_target("d-1")
    llm = await made.add_target("m-1", service="llm", events=5)
    if second:
        await made.add_target("d-2")
        await made.add_target("m-2", service="llm", events=5)
    wanted = 4 if second else 2
    knowledge = made.nodes[0].gateway.routing_state
    await made.wait_until(
        lambda: knowledge.configuration and len(knowledge.known_targets()) == wanted
    )
    return desk, llm


def ran(made, request_id="r-1"):
    """Return how often a request ran, over all targets."""
    return sum(
        req.id == request_id for target in made.targets.values() for req in target.ran
    )


def play(runner, tmp_path, test, **options):
    async def run():
        async with site(tmp_path) as made:
            await start(made, **options)
            await test(made)

    runner.run(run())


def test_whole_answer_is_passed_on_unchanged(runner, tmp_path):
    async def check(made):
        status, headers, body = await made.call(
            "/book/a?b=%20c", method="POST", data=b"x" * 3000
        )
        assert status == 200
        assert headers[SEAL] == "d-1.r-1"
        assert headers["X-Request-Id"] == "r-1"
        assert body == b"d-1 POST /book/a?b=%20c " + b"x" * 3000

    play(runner, tmp_path, check)


def test_body_in_chunks_arrives_whole_and_is_framed_anew(runner, tmp_path):
    async def check(made):
        async def pieces():
            for _ in range(20):
                yield b"y" * 700
                await asyncio.sleep(0)

        status, _, body = await made.call("/book/", method="POST", data=pieces())
        assert status == 200
        assert body.endswith(b" " + b"y" * 14_000)
        received = made.targets["d-1"].received[0]
        assert received.headers["content-length"] == "14000"
        assert "transfer-encoding" not in received.headers

    play(runner, tmp_path, check)


def test_headers_that_the_gateway_sets_are_not_taken_from_callers(runner, tmp_path):
    async def check(made):
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
        status, _, _ = await made.call("/look/", headers=given)
        assert status == 200
        sent = made.targets["d-1"].received[0].headers
        assert sent["x-expect-instance"] == "d-1"
        assert sent["x-model"] == "m"
        assert 1000 <= int(sent["x-request-deadline"]) <= 1500
        for name in ("x-hold", "x-pin-duration", "x-kv-backup", "kv-from", "x-private"):
            assert name not in sent

    play(runner, tmp_path, check)


def test_connections_are_kept_for_requests_that_may_not_be_repeated(runner, tmp_path):
    async def check(made):
        for number in range(5):
            status, _, _ = await made.call(
                "/book/", method="POST", data=b"1", request_id=f"r-{number}"
            )
            assert status == 200
        assert made.targets["d-1"].connections == 1

    play(runner, tmp_path, check)


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
def test_booking_that_may_have_run_is_neither_repeated_nor_said_not_to_have_run(
    runner, tmp_path, fault
):
    async def check(made):
        made.targets["d-1"].faults = [fault]
        made.targets["d-2"].faults = [fault]
        status, headers, _ = await made.call("/book/", method="POST", data=b"1")
        assert status in (502, 504)
        assert SEAL not in headers
        assert ran(made) <= 1

    play(runner, tmp_path, check, second=True)


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
def test_second_attempt_of_an_idempotent_request_answers(runner, tmp_path, fault):
    async def check(made):
        made.targets["d-1"].faults = [fault]
        status, headers, _ = await made.call("/look/")
        assert status == 200
        assert headers[SEAL] == "d-1.r-1"

    play(runner, tmp_path, check)


def test_rejected_booking_is_sent_again_and_a_refusal_is_true(runner, tmp_path):
    async def check(made):
        made.targets["d-1"].faults = [Fault.REJECT]
        status, _, _ = await made.call("/book/", method="POST", data=b"1")
        assert status == 200
        made.targets["d-1"].faults = [Fault.REJECT] * 10
        status, headers, _ = await made.call(
            "/book/", method="POST", data=b"1", request_id="r-2"
        )
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert ran(made, "r-2") == 0

    play(runner, tmp_path, check)


def test_another_instance_at_the_address_does_not_run_the_request(runner, tmp_path):
    async def check(made):
        made.targets["d-1"].instance = "d-9"
        status, _, _ = await made.call("/book/", method="POST", data=b"1")
        assert status == 503
        assert ran(made) == 0

    play(runner, tmp_path, check)


def test_answer_without_a_length_is_whole_if_its_connection_ends_well(runner, tmp_path):
    async def check(made):
        made.targets["d-1"].faults = [Fault.UNFRAMED]
        status, headers, body = await made.call("/book/", method="POST", data=b"1")
        assert (status, body) == (200, b"d-1 POST /book/ 1")
        assert headers[SEAL] == "d-1.r-1"

    play(runner, tmp_path, check)


@pytest.mark.parametrize("fault", [Fault.EXTRA_BYTES, Fault.LATE_SECOND])
def test_bytes_of_no_request_are_not_taken_for_the_next_answer(runner, tmp_path, fault):
    async def check(made):
        target = made.targets["d-1"]
        target.faults = [fault]
        for number in range(4):
            status, headers, body = await made.call(
                f"/book/{number}", method="POST", data=b"1", request_id=f"r-{number}"
            )
            assert status == 200
            assert headers[SEAL] == f"d-1.r-{number}"
            assert body == f"d-1 POST /book/{number} 1".encode()
            await asyncio.sleep(0.1)
        assert target.connections == 2

    play(runner, tmp_path, check)


def test_answer_to_another_request_is_skipped(runner, tmp_path):
    async def check(made):
        made.targets["d-1"].faults = [Fault.FOREIGN]
        status, headers, _ = await made.call("/book/", method="POST", data=b"1")
        assert (status, headers[SEAL]) == (200, "d-1.r-1")
        await made.call("/book/", method="POST", data=b"1", request_id="r-2")
        assert made.targets["d-1"].connections == 2

    play(runner, tmp_path, check)


def test_answer_before_the_body_is_read_does_not_spoil_the_next_request(
    runner, tmp_path
):
    async def check(made):
        target = made.targets["d-1"]
        target.faults = [Fault.EARLY]
        large = b"z" * 2_000_000
        status, _, body = await made.call("/book/", method="POST", data=large)
        assert (status, body) == (200, b"early")
        status, _, body = await made.call(
            "/book/", method="POST", data=b"2", request_id="r-2"
        )
        assert (status, body) == (200, b"d-1 POST /book/ 2")
        await made.wait_until(lambda: target.received[0].body == large)

    play(runner, tmp_path, check)


def test_stream_is_passed_on_as_its_events_arrive(runner, tmp_path):
    async def check(made):
        made.targets["m-1"].gap_seconds = 0.02
        status, headers, body = await made.call("/ask/", method="POST", data=b"p")
        assert status == 200
        assert headers[SEAL] == "m-1.r-1"
        ids = [line for line in body.decode().split("\n") if line.startswith("id")]
        assert ids == [f"id: {number}" for number in range(1, 6)]

    play(runner, tmp_path, check)


def test_broken_resumable_stream_goes_on_at_another_target(runner, tmp_path):
    async def check(made):
        broken = made.targets["m-1"]
        broken.faults = [Fault.CUT_STREAM]
        while not broken.received:
            status, headers, body = await made.call("/ask/", method="POST", data=b"p")
            ids = [line for line in body.decode().split("\n") if line.startswith("id")]
            assert status == 200
            assert ids == [f"id: {event}" for event in range(1, 6)]
        assert headers[SEAL] == "m-1.r-1"
        assert made.targets["m-2"].received[-1].headers["last-event-id"] == "1"

    play(runner, tmp_path, check, second=True)


def test_silent_resumable_stream_goes_on_before_its_caller_leaves(runner, tmp_path):
    async def check(made):
        stalled = made.targets["m-1"]
        stalled.faults = [Fault.STALL]
        loop = asyncio.get_running_loop()
        while not stalled.received:
            began = loop.time()
            status, _, body = await made.call("/ask/", method="POST", data=b"p")
            ids = [line for line in body.decode().split("\n") if line.startswith("id")]
            assert status == 200
            assert ids == [f"id: {event}" for event in range(1, 6)]
        assert 0.9 <= loop.time() - began <= 1.6
        assert made.targets["m-2"].received[-1].headers["last-event-id"] == "1"
        await made.wait_until(lambda: stalled.received[0].left, seconds=0.5)

    play(runner, tmp_path, check, second=True)


def test_broken_stream_that_may_not_be_resumed_does_not_look_complete(runner, tmp_path):
    async def check(made):
        made.targets["m-1"].faults = [Fault.CUT_STREAM]
        with pytest.raises(Exception, match=r"(?i)payload|reset|disconnect"):
            await made.call("/plan/", method="POST", data=b"p")
        assert ran(made) == 1

    play(runner, tmp_path, check)


def test_caller_that_leaves_ends_the_work_at_the_target(runner, tmp_path):
    async def check(made):
        made.targets["m-1"].gap_seconds = 0.2
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await made.call("/ask/", method="POST", data=b"p")
        await made.wait_until(lambda: made.targets["m-1"].received[0].left, seconds=0.5)

    play(runner, tmp_path, check)


def test_silent_target_is_answered_for_at_the_route_timeout(runner, tmp_path):
    async def check(made):
        made.targets["d-1"].faults = [Fault.SILENT]
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, _, _ = await made.call("/book/", method="POST", data=b"1")
        assert status == 504
        assert 1.8 <= loop.time() - began <= 2.3

    play(runner, tmp_path, check)


def test_unknown_route_gets_404_and_no_configuration_503(runner, tmp_path):
    async def check(made):
        status, _, _ = await made.call("/nowhere/")
        assert status == 404
        status, _, _ = await made.call("/look/", headers={"Host": "other.example"})
        assert status == 404

    play(runner, tmp_path, check)

    async def without():
        async with site(tmp_path, with_config=False) as made:
            await made.wait_until(lambda: made.store.calls > 2)
            status, _, _ = await made.call("/look/")
            assert status == 503

    runner.run(without())


@pytest.mark.parametrize(
    "smuggled",
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
    runner, tmp_path, smuggled
):
    async def check(made):
        front = made.nodes[0].cfg.front
        reader, writer = await asyncio.open_connection(front.host, front.port)
        writer.write(smuggled)
        async with asyncio.timeout(2):
            answer = await reader.read()
        writer.close()
        assert answer.split(b" ", 2)[1] == b"400"
        assert answer.count(b"HTTP/1.") == 1
        assert not made.targets["d-1"].received

    play(runner, tmp_path, check)
