"""A single request at each limit is served while nothing else happens."""

import asyncio

import pytest
from node_process import read_answer
from platform_site import HOST, running_site
from test_slow_callers import connect

from pimentospool.gateway._answers import MAX_WHOLE_BODY_BYTES
from pimentospool.platform._connection_guard import ConnectionGuard
from pimentospool.platform._read_turns import ReadTurns
from pimentospool.standins import platform_configuration, platform_route

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
"""`MaxHeaderBytes` and `MaxBodyBytes` where the configuration states none."""
PACE = {"Pace": {"MinBytesPerS": 512, "WindowS": 0.5, "PressedS": 0.2}}
ANSWER_SECONDS = 20.0
ROUTES = [
    platform_route("/look/", "idempotent", TimeoutMs=15_000),
    platform_route("/book/", "non_idempotent", MaxAttempts=1, TimeoutMs=15_000),
    platform_route("/plan/", "streaming", "desk", MaxAttempts=1, TimeoutMs=15_000),
]


def head(line, *lines):
    return b"\r\n".join([line + b" HTTP/1.1", b"Host: " + HOST.encode(), *lines])


def answer_bytes(body):
    return (
        b"HTTP/1.1 200 OK\r\nX-Response-Seal: 1\r\nX-Request-Id: r-1\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    )


async def ask(address, data, *, pause_seconds=0.0):
    """Return the status of a request that is sent in pieces, and its body."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            for start in range(0, len(data), 64 * 1024):
                writer.write(data[start : start + 64 * 1024])
                await writer.drain()
                await asyncio.sleep(pause_seconds)
            status, _, body = await read_answer(reader)
            return status, body
    finally:
        writer.transport.abort()


def run_with_node(runner, tmp_path, check, *, settings=None, events=0, gap_seconds=0.0):
    """Run a node and a target, and `check` with them; return its result."""

    async def run():
        async with running_site(tmp_path, settings=settings) as site:
            node = site.nodes[0]
            target = await site.add_target("i-1", events=events)
            target.gap_seconds = gap_seconds
            await site.store.put("op/config", platform_configuration(2, routes=ROUTES))
            state = node.gateway.routing_state
            await site.wait_until(state.known_targets)
            await site.wait_until(lambda: state.configuration.version == 2)
            return await check(node, target)

    return runner.run(run())


def test_headers_at_the_limit(runner, tmp_path):
    names = [b"Host", HOST.encode(), b"X-Request-Id", b"r-1", b"x"]
    value = b"a" * (MAX_HEADER_BYTES - sum(map(len, names)))

    async def check(node, target):
        data = head(b"GET /look/1", b"X-Request-Id: r-1", b"x: " + value, b"", b"")
        status, _ = await ask(node.cfg.front, data)
        return status, target.received[0].headers["x"]

    assert run_with_node(runner, tmp_path, check) == (200, value.decode())


@pytest.mark.parametrize("framing", ["length", "chunks", "one chunk"])
def test_body_at_the_limit(runner, tmp_path, framing):
    body = b"b" * MAX_BODY_BYTES
    sizes = {"length": 0, "chunks": 8_192, "one chunk": MAX_BODY_BYTES}

    async def check(node, target):
        if framing == "length":
            lines, rest = [b"Content-Length: %d" % len(body)], body
        else:
            lines, size = [b"Transfer-Encoding: chunked"], sizes[framing]
            rest = b"%x\r\n%b\r\n" % (size, body[:size]) * (len(body) // size)
            rest += b"0\r\n\r\n"
        data = head(b"POST /book/1", b"X-Request-Id: r-1", *lines, b"", b"") + rest
        target.raw_answer = lambda req: answer_bytes(b"done")
        answer = await ask(node.cfg.front, data)
        return answer, target.received[0].body == body

    assert run_with_node(runner, tmp_path, check) == ((200, b"done"), True)


def test_answer_at_the_limit(runner, tmp_path):
    body = b"b" * MAX_WHOLE_BODY_BYTES

    async def check(node, target):
        target.raw_answer = lambda req: answer_bytes(body)
        data = head(b"GET /look/1", b"X-Request-Id: r-1", b"", b"")
        return await ask(node.cfg.front, data)

    assert run_with_node(runner, tmp_path, check) == (200, body)


def test_body_in_the_smallest_chunks(runner, tmp_path):
    """Guards against reads in turns that hold up a caller that is alone."""
    body = b"b" * 300_000

    async def check(node, target):
        lines = [b"X-Request-Id: r-1", b"Transfer-Encoding: chunked", b"", b""]
        rest = b"1\r\nb\r\n" * len(body) + b"0\r\n\r\n"
        status, answer = await ask(node.cfg.front, head(b"POST /book/1", *lines) + rest)
        return status, answer.endswith(body)

    assert run_with_node(runner, tmp_path, check) == (200, True)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_lines_of_text_are_not_read_in_turns(runner, tmp_path, monkeypatch, framing):
    """Guards against prompts of many lines that wait for each other."""
    body, waits = b"text\n" * 100_000, []
    wait = ReadTurns.wait
    monkeypatch.setattr(
        ReadTurns,
        "wait",
        lambda self, conn: waits.append(conn) or wait(self, conn),
    )

    async def check(node, target):
        if framing == "length":
            lines, rest = [b"Content-Length: %d" % len(body)], body
        else:
            lines = [b"Transfer-Encoding: chunked"]
            rest = b"%x\r\n%b\r\n" % (5_000, body[:5_000]) * 100 + b"0\r\n\r\n"
        data = head(b"POST /book/1", b"X-Request-Id: r-1", *lines, b"", b"") + rest
        status, answer = await ask(node.cfg.front, data)
        return status, answer.endswith(body)

    assert run_with_node(runner, tmp_path, check) == (200, True)
    assert waits == []


def test_slow_link_is_not_too_slow(runner, tmp_path):
    """Guards against bounds on pace that a caller above them meets."""
    body = b"b" * 400_000

    async def check(node, target):
        lines = [b"X-Request-Id: r-1", b"Content-Length: %d" % len(body), b"", b""]
        sock = await connect(node.cfg.front)
        loop = asyncio.get_running_loop()
        data, answer = head(b"POST /book/1", *lines) + body, b""
        async with asyncio.timeout(ANSWER_SECONDS):
            for start in range(0, len(data), 40_000):
                await loop.sock_sendall(sock, data[start : start + 40_000])
                await asyncio.sleep(0.3)
            while not answer.endswith(body):
                piece = await loop.sock_recv(sock, 16_384)
                assert piece
                answer += piece
                await asyncio.sleep(0.1)
        sock.close()
        return answer.startswith(b"HTTP/1.1 200 ")

    assert run_with_node(runner, tmp_path, check, settings=PACE)


def test_slow_stream_goes_on(runner, tmp_path):
    """Guards against pauses of a target that count as slowness of the caller."""

    async def check(node, target):
        data = head(b"GET /plan/1", b"X-Request-Id: r-1", b"", b"")
        address = node.cfg.front
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(data)
        async with asyncio.timeout(ANSWER_SECONDS):
            answer = await reader.readuntil(b"0\r\n\r\n")
        writer.transport.abort()
        return answer.count(b"data: ")

    assert (
        run_with_node(runner, tmp_path, check, settings=PACE, events=4, gap_seconds=0.9)
        == 4
    )


@pytest.mark.parametrize("listener", ["front", "peer", "ready", "directory", "control"])
def test_as_many_connections_as_a_listener_may_have(
    runner, tmp_path, monkeypatch, listener
):
    """Guards against connections that end although there is room for all."""
    limit, init = 9, ConnectionGuard.__init__
    monkeypatch.setattr(
        ConnectionGuard,
        "__init__",
        lambda self, **options: init(self, **options | {"limit": limit}),
    )
    paths = {
        "ready": b"/ready",
        "control": b"/metrics",
        "directory": b"/resolve?Name=shop.example&Region=gulf",
    }
    line = b"GET " + paths.get(listener, b"/look/1")

    async def check(node, target):
        address = getattr(node.cfg, listener)
        conns = [
            await asyncio.open_connection(address.host, address.port)
            for _ in range(limit)
        ]
        statuses = []
        async with asyncio.timeout(ANSWER_SECONDS):
            for number in (1, 2):
                for reader, writer in conns:
                    writer.write(head(line, b"X-Request-Id: r-%d" % number, b"", b""))
                    statuses.append((await read_answer(reader))[0])
        for _, writer in conns:
            writer.transport.abort()
        return statuses

    assert run_with_node(runner, tmp_path, check) == [200] * 2 * limit
