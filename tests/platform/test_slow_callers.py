"""Bounds on what a single caller may leave unread, and send after a refusal."""

import asyncio
import contextlib
import socket

import pytest
from platform_site import running_site

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
