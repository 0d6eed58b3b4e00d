"""Bounds on what a single caller may leave unread, and send after a refusal."""

import asyncio
import contextlib
import socket

import pytest
from platform_site import HOST, running_site

from pimentospool.standins import platform_configuration

PACE = {"Pace": {"MinBytesPerS": 512, "WindowS": 0.5, "PressedS": 0.2}}
MAX_BODY_BYTES = 1_000_000
PIECE = b"a" * 64 * 1024
CLOSE_SECONDS = 20.0


async def connect(address):
    """Return a connection whose receive buffer is short."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (address.host, address.port))
    return sock


async def send_until_closed(sock, data, limit_bytes):
    """Send `data` again and again; return the bytes sent until the connection ends."""
    loop, sent = asyncio.get_running_loop(), 0
    with contextlib.suppress(ConnectionError):
        while sent < limit_bytes:
            await loop.sock_sendall(sock, data)
            sent += len(data)
    return sent


@pytest.mark.parametrize("path", ["/metrics", "/none"])
def test_caller_that_takes_no_answer_is_cut_off(runner, tmp_path, path):
    """Guards against answers that are never taken, and keep their connection."""

    async def run():
        async with running_site(tmp_path, settings=PACE) as site:
            node = site.nodes[0]
            sock = await connect(node.cfg.control)
            data = b"GET %b HTTP/1.1\r\nHost: a\r\n\r\n" % path.encode()
            async with asyncio.timeout(CLOSE_SECONDS):
                await send_until_closed(sock, data * 100, 1_000_000_000)
            sock.close()
            return node.gateway.metrics.render().decode()

    page = runner.run(run())
    assert (
        'pimentospool_connections_ended_total{listener="metrics",reason="slow"} 1.0'
        in page
    )


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_caller_that_sends_on_after_its_refusal_is_cut_off(runner, tmp_path, framing):
    """Guards against bytes without end that are read and discarded."""
    head, piece = {
        "length": (b"Content-Length: 4000000000", PIECE),
        "chunks": (b"Transfer-Encoding: chunked", b"10000\r\n" + PIECE + b"\r\n"),
    }[framing]

    async def run():
        async with running_site(tmp_path) as site:
            target = await site.add_target("i-1")
            state = site.nodes[0].gateway.routing_state
            await site.wait_until(state.known_targets)
            limits = {"Limits": {"MaxBodyBytes": MAX_BODY_BYTES}}
            await site.store.put("op/config", platform_configuration(2) | limits)
            await site.wait_until(lambda: state.configuration.version == 2)
            sock = await connect(site.nodes[0].cfg.front)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(
                sock,
                b"POST /book/1 HTTP/1.1\r\nHost: %b\r\nX-Request-Id: r-1\r\n%b\r\n\r\n"
                % (HOST.encode(), head),
            )
            async with asyncio.timeout(CLOSE_SECONDS):
                sent = await send_until_closed(sock, piece, 100_000_000)
            sock.close()
            return sent, target.received

    sent, received = runner.run(run())
    assert sent < 20_000_000
    assert received == []


def test_long_body_that_is_refused_can_read_its_refusal(runner, tmp_path):
    """Guards against a reset that discards the refusal of a body within the limits."""

    async def run():
        async with running_site(tmp_path) as site:
            target = await site.add_target("i-1")
            node = site.nodes[0]
            await site.wait_until(node.gateway.routing_state.known_targets)
            memory = node.gateway.deps.memory
            memory.used_bytes += int(memory.limit_bytes)
            status, headers, _ = await site.call(
                "/book/1", method="POST", data=b"a" * 4_194_304
            )
            return status, headers, target.received

    status, headers, received = runner.run(run())
    assert (status, received) == (503, [])
    assert float(headers["Retry-After"]) > 0
