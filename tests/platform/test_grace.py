"""The end of the grace after SIGTERM ends a process, whatever its callers do."""

import asyncio
import signal
import socket
import time

import pytest
from node_process import encode_request, read_answer, running_node_process

from pimentospool.standins import GRACE_SECONDS, Fault, SigningTarget, platform_route

BODY_BYTES = 4_000_000
TIMEOUT_SECONDS = 25
"""Time-out of the routes, far beyond the grace."""
END_MARGIN_SECONDS = 1.0
RECEIVE_BUFFER_BYTES = 4096
ROUTES = [
    platform_route("/look/", "idempotent", TimeoutMs=TIMEOUT_SECONDS * 1000),
    platform_route(
        "/book/", "non_idempotent", MaxAttempts=1, TimeoutMs=TIMEOUT_SECONDS * 1000
    ),
    platform_route(
        "/plan/", "streaming", MaxAttempts=1, TimeoutMs=TIMEOUT_SECONDS * 1000
    ),
]


class LongAnswerTarget(SigningTarget):
    """A target whose answers are long; those of streams have no end."""

    async def _read_request(self, *args):
        req = await super()._read_request(*args)
        req.body = b"a" * BODY_BYTES
        return req

    async def _respond(self, req, writer, fault, disconnected):
        if req.path.startswith("/plan/"):
            fault = Fault.ENDLESS_BODY
        return await super()._respond(req, writer, fault, disconnected)


async def start_unread_answer(node):
    """Return a connection on which an answer arrives that is not read."""
    host, _, port = node.front.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return sock


async def unread_body(node):
    sock = await start_unread_answer(node)
    data = encode_request("GET", "/look/1", request_id="look")
    await asyncio.get_running_loop().sock_sendall(sock, data)
    return sock


async def unread_stream(node):
    sock = await start_unread_answer(node)
    data = encode_request("GET", "/plan/1", request_id="plan")
    await asyncio.get_running_loop().sock_sendall(sock, data)
    return sock


async def unfinished_body(node):
    """Stop within the body of a request."""
    sock = await start_unread_answer(node)
    data = encode_request("POST", "/book/1", request_id="book", body=b"b" * 10_000)
    await asyncio.get_running_loop().sock_sendall(sock, data[:-1])
    return sock


@pytest.mark.parametrize("begin", [unread_body, unread_stream, unfinished_body])
def test_callers_that_stop_do_not_keep_a_process_beyond_its_grace(
    runner, tmp_path, begin
):
    target = LongAnswerTarget(instance="i-1")

    async def run():
        async with running_node_process(
            tmp_path, targets=[(target, {})], routes=ROUTES
        ) as node:
            sock = await begin(node)
            await asyncio.sleep(1.0)
            node.proc.send_signal(signal.SIGTERM)
            started_at = time.monotonic()
            try:
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    while node.proc.poll() is None:
                        await asyncio.sleep(0.05)
            finally:
                sock.close()
            return node.proc.returncode, time.monotonic() - started_at, node.log

    code, seconds, log = runner.run(run())
    assert seconds < GRACE_SECONDS + END_MARGIN_SECONDS
    assert code == 0
    assert "ENTRY_DRAIN_EXPIRED" in log


WORK_SECONDS = 5.0
"""Time that targets need, more than the grace."""
MAX_GRACE_DELAYS = (0.1, 0.5, 0.9, 1.3)
"""Times of requests after SIGTERM, while requests are still accepted."""
CALLS = (("GET", "/look/1"), ("POST", "/book/1"), ("POST", "/plan/1"))


async def call_on_kept_connection(node, conn, name, method, path):
    """Return the status of the answer, None if the connection ended without one."""
    reader, writer = conn
    writer.write(encode_request(method, path, request_id=name))
    try:
        status, _, _ = await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError):
        return None
    return status


async def call_while_leaving(node, delays):
    """Send requests on kept connections at times after SIGTERM; return statuses."""
    conns = {(delay, call): await node.connect() for delay in delays for call in CALLS}
    node.proc.send_signal(signal.SIGTERM)

    async def call(delay, call):
        await asyncio.sleep(delay)
        name = f"{call[1]}-{delay}"
        return name, await call_on_kept_connection(
            node, conns[delay, call], name, *call
        )

    return dict(await asyncio.gather(*(call(*key) for key in conns)))


def run_with_slow_target(runner, tmp_path, check, *, seconds):
    async def run():
        target = SigningTarget(instance="i-1")
        target.gap_seconds = seconds
        async with running_node_process(
            tmp_path, targets=[(target, {"Slots": 64})], routes=ROUTES
        ) as node:
            await check(node, target)

    runner.run(run())


# LOST: requests of a planned stop were passed on and cut at the end of the grace.
def test_requests_still_at_work_at_the_end_of_the_grace_get_an_answer(runner, tmp_path):
    async def check(node, target):
        statuses = await call_while_leaving(node, MAX_GRACE_DELAYS)
        passed_on = {req.id for req in target.received}
        assert passed_on
        for name, status in statuses.items():
            assert status == (504 if name in passed_on else 503)

    run_with_slow_target(runner, tmp_path, check, seconds=WORK_SECONDS)


# LOST: a leaving process began requests that its targets were known not to end in time.
def test_leaving_process_begins_no_request_that_takes_longer_than_its_grace(
    runner, tmp_path
):
    async def check(node, target):
        for number in range(12):
            conn = await node.connect()
            name = f"before-{number}"
            call = call_on_kept_connection(node, conn, name, "GET", "/look/1")
            assert await call == 200
        before = len(target.received)
        target.gap_seconds = WORK_SECONDS
        statuses = await call_while_leaving(node, (1.0, 1.3))
        assert set(statuses.values()) == {503}
        assert len(target.received) == before

    run_with_slow_target(runner, tmp_path, check, seconds=2.5)


def test_leaving_process_serves_what_ends_within_its_grace(runner, tmp_path):
    async def check(node, target):
        for number in range(12):
            conn = await node.connect()
            call = call_on_kept_connection(
                node, conn, f"before-{number}", "GET", "/look/1"
            )
            assert await call == 200
        statuses = await call_while_leaving(node, MAX_GRACE_DELAYS)
        assert set(statuses.values()) == {200}

    run_with_slow_target(runner, tmp_path, check, seconds=0.3)


STREAM_EVENTS = 10


async def call_stream(node, conn, name):
    """Return the status, None if the connection ended before the whole answer."""
    reader, writer = conn
    writer.write(encode_request("GET", "/plan/1", request_id=name))
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"chunked" in head.lower():
            await reader.readuntil(b"\r\n0\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return None
    return int(head.split()[1])


# LOST: what streams of the route had taken was not asked, but what all requests had
# taken at the target, and an unknown time was taken for a short one.
@pytest.mark.parametrize(
    ("gap_seconds", "before", "wanted"), [(0.5, 0, 503), (0.5, 3, 503), (0.1, 3, 200)]
)
def test_leaving_process_begins_only_streams_that_end_within_its_grace(
    runner, tmp_path, gap_seconds, before, wanted
):
    targets = [SigningTarget(instance=f"i-{n}", events=STREAM_EVENTS) for n in range(4)]

    async def run():
        async with running_node_process(
            tmp_path, targets=[(target, {}) for target in targets], routes=ROUTES
        ) as node:
            conns = [await node.connect() for _ in range(12)]

            async def call(number, seconds):
                await asyncio.sleep(seconds)
                name = f"{number}-{seconds}"
                return await call_stream(node, conns[number], name)

            for n, conn in enumerate(conns * before):
                await call_on_kept_connection(node, conn, f"q-{n}", "GET", "/look/1")
            for target in targets:
                target.gap_seconds = gap_seconds
            await asyncio.gather(*(call(n, 0.0) for n in range(before)))
            count = sum(len(target.received) for target in targets)
            node.proc.send_signal(signal.SIGTERM)
            statuses = await asyncio.gather(
                *(call(n, 0.05 + n * 0.1) for n in range(12))
            )
            return statuses, sum(len(target.received) for target in targets) - count

    statuses, passed_on = runner.run(run())
    assert set(statuses) == {wanted}
    assert passed_on == (12 if wanted == 200 else 0)


# The log and the metrics called streams that the process cut callers that had left.
def test_streams_cut_at_the_end_of_the_grace_are_logged_as_ended_by_it(
    runner, tmp_path
):
    target = SigningTarget(instance="i-1", events=2 * STREAM_EVENTS)
    target.gap_seconds = 0.5

    async def run():
        async with running_node_process(
            tmp_path, targets=[(target, {})], routes=ROUTES
        ) as node:
            call = asyncio.create_task(call_stream(node, await node.connect(), "s-1"))
            await asyncio.sleep(1.0)
            node.proc.send_signal(signal.SIGTERM)
            assert await call is None
            async with asyncio.timeout(END_MARGIN_SECONDS):
                while node.proc.poll() is None:
                    await asyncio.sleep(0.05)
            return node.log

    log = runner.run(run())
    assert "REQUEST_ENDED_BY_SHUTDOWN" in log
    assert "CALLER_LEFT" not in log
