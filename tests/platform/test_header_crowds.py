"""Callers that send very many header lines leave a real process within its memory."""

import asyncio
import os

import pytest
from node_process import encode_request, read_answer, running_node_process

from pimentospool.platform import read_node_settings
from pimentospool.standins import HOST, SigningTarget, platform_route

MEMORY_MB = 128
CALLERS = 200
HEAD_BYTES = 15_500
"""Bytes of the header lines of a request, below `MaxHeaderBytes`."""
MAX_DESCRIPTORS = 2 * CALLERS + 100
"""Each caller has its connection and one to a target, beside those of the process."""
SLOW_SECONDS = 4.0
HELD_SECONDS = 1.5
"""Time for which the callers hold on, below the default time of a head."""
ANSWER_SECONDS = 20.0
MANY_LINES = 3_900
"""Lines of trailers, as many as fit in `MaxHeaderBytes`."""
LONG_LINE = b"x: " + b"a" * 7_000 + b"\r\n"
LONG_LINES = 120
PIPELINED = 30
ROUTES = [
    platform_route("/look/", "idempotent", TimeoutMs=8000),
    platform_route("/book/", "non_idempotent", MaxAttempts=1, TimeoutMs=8000),
]
LINES = {
    "one name": lambda number: b"a:",
    "distinct names": lambda number: b"%x:" % (16 + number),
    "of the connection": lambda number: b"Te:",
    "with values": lambda number: b"X-%d: y" % number,
}
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
REQUESTS = {
    "trailers": lambda: (b"POST /book/1", CHUNKED + b"0\r\n" + b"a:\r\n" * MANY_LINES),
    "long trailers": lambda: (
        b"POST /book/1",
        CHUNKED + b"0\r\n" + LONG_LINE * LONG_LINES,
    ),
    "chunk extension": lambda: (
        b"POST /book/1",
        CHUNKED + b"1;" + b"a" * 1_000_000,
    ),
    "prompt parts": lambda: (
        b"GET /look/1",
        b"X-Token-Count: 9000,10\r\nX-Prompt-Prefix: "
        + b",".join(b"%x:1" % number for number in range(2_500))
        + b"\r\n\r\n",
    ),
    "cookies": lambda: (b"GET /look/1", b"Cookie: a=b\r\n" * 1_100 + b"\r\n"),
    "query": lambda: (b"GET /look/1?" + b"a&" * 7_700, b"\r\n"),
}


class ManyHeadersTarget(SigningTarget):
    """A target whose answers have many headers; some of them never end."""

    end = b"Content-Length: 0\r\n\r\n"

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head.lower().split(b"x-request-id: ")[1].split(b"\r\n")[0]
        lines = [b"%x:" % number for number in range(16, 990)]
        if b" /look/2 " in head:
            lines = []
        end = b"Content-Length: 0\r\n\r\n" if not lines else self.end
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: 1\r\nX-Request-Id: %b\r\n%b%b"
            % (request_id, b"".join(line + b"\r\n" for line in lines), end)
        )
        await writer.drain()
        return True


def header_lines(kind):
    lines, size_bytes = [], 0
    while size_bytes < HEAD_BYTES:
        lines.append(LINES[kind](len(lines)) + b"\r\n")
        size_bytes += len(lines[-1])
    return b"".join(lines[:-1])


def request_bytes(start, rest):
    """Return a request with its first two headers; `rest` follows them."""
    return (
        b"%b HTTP/1.1\r\nHost: %b\r\nX-Request-Id: r-1\r\n"
        % (
            start,
            HOST.encode(),
        )
        + rest
    )


def crowd_request(kind, state):
    """Return what one caller sends of its request."""
    if state == "body missing":
        rest = b"Content-Length: 1000\r\n" + header_lines(kind) + b"\r\n"
        return request_bytes(b"POST /book/1", rest)
    end = b"" if state == "head held" else b"\r\n"
    return request_bytes(b"GET /look/1", header_lines(kind) + end)


def addresses(node):
    cfg = read_node_settings(node.settings_path)
    return {
        name: getattr(cfg, name) for name in ("front", "peer", "directory", "ready")
    }


async def hold_crowd(node, address, data):
    """Send `data` on many connections at once; return the most descriptors seen."""
    conns = await asyncio.gather(
        *(asyncio.open_connection(address.host, address.port) for _ in range(CALLERS))
    )
    try:
        for _, writer in conns:
            writer.write(data)
        most = 0
        until = asyncio.get_running_loop().time() + HELD_SECONDS
        while asyncio.get_running_loop().time() < until and node.proc.poll() is None:
            most = max(most, len(os.listdir(f"/proc/{node.proc.pid}/fd")))
            await asyncio.sleep(0.05)
        return most
    finally:
        for _, writer in conns:
            writer.transport.abort()


async def ask(node, rest=b""):
    """Return the status of one request; ask again while it is refused as not run."""
    async with asyncio.timeout(ANSWER_SECONDS):
        while True:
            reader, writer = await node.connect()
            try:
                head = encode_request("GET", "/look/2", request_id="ordinary")
                writer.write(head[:-2] + rest + b"\r\n")
                status, _, _ = await read_answer(reader)
            except (ConnectionError, asyncio.IncompleteReadError):
                status = 503
            finally:
                writer.transport.abort()
            if status != 503:
                return status
            await asyncio.sleep(0.2)


async def check_crowd(tmp_path, data, *, listener="front", factory=SigningTarget):
    """Run a node; check it while a crowd sends `data`, and that it serves after."""
    items = [(factory(instance=f"i-{number}"), {"Slots": 128}) for number in range(3)]
    for target, _ in items:
        target.gap_seconds = SLOW_SECONDS
    async with running_node_process(
        tmp_path, targets=items, routes=ROUTES, limits={"MemoryMb": MEMORY_MB}
    ) as node:
        descriptors = await hold_crowd(node, addresses(node)[listener], data)
        for target, _ in items:
            target.gap_seconds = 0.0
        assert node.proc.poll() is None
        peak_bytes = node.peak_bytes
        print(f"{peak_bytes / 1e6:.0f} MB, {descriptors} descriptors")
        assert await ask(node) == 200
        assert await ask(node, header_lines("distinct names")) == 200
        assert max(peak_bytes, node.peak_bytes) < MEMORY_MB * 1_000_000
        assert descriptors < MAX_DESCRIPTORS
        assert node.proc.poll() is None


@pytest.mark.parametrize("state", ["whole", "head held", "body missing"])
@pytest.mark.parametrize("kind", LINES)
def test_crowd_with_many_header_lines_stays_within_the_memory(
    runner, tmp_path, kind, state
):
    """Guards against heads that no limit on the memory counts."""
    runner.run(check_crowd(tmp_path, crowd_request(kind, state)))


@pytest.mark.parametrize("state", ["whole", "head held", "body missing"])
def test_crowd_of_hops_stays_within_the_memory(runner, tmp_path, state):
    """Guards against hops whose heads are bounded less than those of callers."""
    data = crowd_request("distinct names", state)
    runner.run(check_crowd(tmp_path, data, listener="peer"))


@pytest.mark.parametrize("listener", ["front", "peer", "directory", "ready"])
def test_crowd_with_long_header_lines_stays_within_the_memory(
    runner, tmp_path, listener
):
    """Guards against heads without end at any of the listeners."""
    data = request_bytes(b"GET /look/1", LONG_LINE * LONG_LINES)
    runner.run(check_crowd(tmp_path, data, listener=listener))


def test_crowd_of_pipelined_heads_stays_within_the_memory(runner, tmp_path):
    """Guards against heads that are parsed before the requests ahead have ended."""
    data = crowd_request("distinct names", "whole") * PIPELINED
    runner.run(check_crowd(tmp_path, data))


@pytest.mark.parametrize("part", REQUESTS)
def test_crowd_with_other_long_parts_stays_within_the_memory(runner, tmp_path, part):
    """Guards against parts of a request that are counted as neither head nor body."""
    runner.run(check_crowd(tmp_path, request_bytes(*REQUESTS[part]())))


@pytest.mark.parametrize("held", [False, True], ids=["whole", "head held"])
def test_answers_with_many_headers_stay_within_the_memory(runner, tmp_path, held):
    """Guards against heads of answers that are counted only once they are whole."""
    factory = type("_Target", (ManyHeadersTarget,), {"end": b""} if held else {})
    data = request_bytes(b"GET /look/1", b"\r\n")
    runner.run(check_crowd(tmp_path, data, factory=factory))
