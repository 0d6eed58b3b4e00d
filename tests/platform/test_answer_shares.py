"""Answers without end of some targets leave other services their memory."""

import asyncio
import re

import pytest
from node_process import encode_request, read_answer, running_node_process

from pimentospool.standins import SigningTarget, platform_route

MEMORY_MB = 200
FAULTY_TARGETS = 3
CALLS = 60
CALLS_PER_SECOND = 20
LONG_CALLS = 40
HEADERS = 8000
WRITE_SECONDS = 0.02
WRITE_BYTES = 60_000
"""What a target writes on each connection in that time, so 3 MB/s."""
WRITE = b"a" * WRITE_BYTES
EVENT_BYTES = 1000
LONG_WRITES = 66
"""Writes of a sound answer, which is not much shorter than answers may be."""
ROUTES = [
    platform_route("/look/", "idempotent", TimeoutMs=5000),
    platform_route("/sound/", "idempotent", "sound", TimeoutMs=2000),
]
SERVICES = [
    {"Name": name, "HealthPath": "/healthz", "MaxConnections": 100}
    for name in ("desk", "sound")
]
CHUNKED = "Transfer-Encoding: chunked"
EVENTS = f"{CHUNKED}\r\nContent-Type: text/event-stream"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


BODIES = {
    "unframed": ("Connection: close", b"", WRITE),
    "chunked": (CHUNKED, b"", chunk(WRITE)),
    "events": (
        EVENTS,
        b"",
        chunk(b"data: ".ljust(EVENT_BYTES - 2, b"a") + b"\n\n")
        * (WRITE_BYTES // EVENT_BYTES),
    ),
    "with a length": (f"Content-Length: {LONG_WRITES * WRITE_BYTES}", b"", WRITE),
    "one event": (EVENTS, chunk(b"data: "), chunk(WRITE)),
}


class PacedTarget(SigningTarget):
    """A target that sends bodies at a steady pace, without end if `writes` is None."""

    writes = None

    async def _respond(self, req, writer, fault, disconnected):
        header, first, data = BODIES[self.body]
        writer.write(self._response_head(req, 200, header) + first)
        written = 0
        while written != self.writes and not disconnected.done():
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(WRITE_SECONDS)
            written += 1
        if header == CHUNKED:
            writer.write(b"0\r\n\r\n")
        return header != "Connection: close"


def paced_targets(factory, body, writes=None):
    items = []
    for number in range(FAULTY_TARGETS):
        target = factory(instance=f"i-{number}")
        target.body, target.writes = body, writes
        items.append((target, {"Slots": 64}))
    return items


class ManyHeadersTarget(SigningTarget):
    """A target whose answers have as many headers as fit in the limit on framing."""

    async def _respond(self, req, writer, fault, disconnected):
        head = self._response_head(req, 200, length=0)
        writer.write(head[:-2] + b"a: 1\r\n" * HEADERS + b"\r\n")
        return True


async def call(node, path, request_id, *, timeout_seconds=8.0):
    """Send a request; return its status, or None if it gets no whole answer."""
    reader, writer = await node.connect()
    try:
        writer.write(encode_request("GET", path, request_id=request_id))
        async with asyncio.timeout(timeout_seconds):
            status, _, _ = await read_answer(reader)
        return status
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return None
    finally:
        writer.transport.abort()


async def call_steadily(node, path):
    calls = []
    for number in range(CALLS):
        request_id = f"{path.strip('/')}-{number}"
        calls.append(asyncio.create_task(call(node, path, request_id)))
        await asyncio.sleep(1 / CALLS_PER_SECOND)
    return await asyncio.gather(*calls)


@pytest.mark.parametrize("body", ["unframed", "chunked", "events", "one event"])
def test_endless_answers_leave_other_services_their_share(runner, tmp_path, body):
    # LOST: requests of other services were refused for lack of memory.
    faulty = paced_targets(PacedTarget, body)
    sound = (SigningTarget(instance="i-sound"), {"Slots": 64, "service": "sound"})

    async def run():
        async with running_node_process(
            tmp_path,
            targets=[*faulty, sound],
            routes=ROUTES,
            configuration={"Services": SERVICES},
            limits={"MemoryMb": MEMORY_MB},
        ) as node:
            statuses = await asyncio.gather(
                call_steadily(node, "/look/"), call_steadily(node, "/sound/")
            )
            return *statuses, node.peak_bytes, node.log

    looked, served, peak_bytes, log = runner.run(run())
    assert served == [200] * CALLS
    assert set(looked) <= {502, 503, 504}
    assert peak_bytes < MEMORY_MB * 1_000_000
    assert re.search("ATTEMPT_FAILED.*longer than", log)


@pytest.mark.parametrize("body", ["chunked", "with a length"])
def test_long_answers_beyond_their_share_wait_and_are_all_whole(runner, tmp_path, body):
    items = paced_targets(PacedTarget, body, writes=LONG_WRITES)
    routes = [platform_route("/look/", "idempotent", TimeoutMs=15000, MaxAttempts=1)]

    async def run():
        async with running_node_process(
            tmp_path, targets=items, routes=routes, limits={"MemoryMb": MEMORY_MB}
        ) as node:
            statuses = await asyncio.gather(
                *(
                    call(node, "/look/", f"look-{number}", timeout_seconds=20.0)
                    for number in range(LONG_CALLS)
                )
            )
            return statuses, node.peak_bytes, node.log

    statuses, peak_bytes, log = runner.run(run())
    assert statuses == [200] * LONG_CALLS
    assert peak_bytes < MEMORY_MB * 1_000_000
    assert "ANSWER_HELD_BACK" in log


def test_many_short_headers_stay_within_the_memory(runner, tmp_path):
    items = [(ManyHeadersTarget(instance="i-0"), {"Slots": 64})]

    async def run():
        async with running_node_process(
            tmp_path, targets=items, routes=ROUTES, limits={"MemoryMb": MEMORY_MB}
        ) as node:
            calls = (call(node, "/look/", f"look-{number}") for number in range(CALLS))
            return await asyncio.gather(*calls), node.peak_bytes

    statuses, peak_bytes = runner.run(run())
    assert statuses == [502] * CALLS
    assert peak_bytes < MEMORY_MB * 1_000_000
