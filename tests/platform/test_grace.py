"""The end of the grace after SIGTERM ends a process, whatever its callers do."""

import asyncio
import signal
import socket
import time

import pytest
from node_process import encode_request, running_node_process

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
