"""Answers that end early, or have no valid status, never pass for whole ones."""

import asyncio

import pytest
from platform_site import HOST, running_site

from pimentospool.gateway import EntryState
from pimentospool.sockets import set_reset_on_close
from pimentospool.standins import SigningTarget

UPLOAD_BYTES = {"small": 1_000, "large": 3_000_000}
RESET_SECONDS = {"fast": 0.0, "slow": 0.3}
PART = b"part of the body"
WAIT_SECONDS = 10.0


class EarlyTarget(SigningTarget):
    """A target that answers an upload at once, without a length, and then resets."""

    reset_seconds = 0.0

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"/book/early" not in head:
            writer.write(self._head(head) + b"Content-Length: 2\r\n\r\nok")
            length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
            await reader.readexactly(int(length))
            return True
        writer.write(self._head(head) + b"\r\n" + PART)
        await writer.drain()
        await asyncio.sleep(self.reset_seconds)
        set_reset_on_close(writer.transport, enabled=True)
        writer.transport.abort()
        return False

    def _head(self, head):
        request_id = head.lower().split(b"x-request-id: ")[1].split(b"\r\n")[0]
        return (
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: 1\r\nX-Request-Id: %b\r\n"
            % request_id
        )


async def wait_until_placed(site, service):
    """Wait until requests reach the target, in the other region if it is there."""
    near, hops = site.nodes[0].gateway, len(site.nodes) > 1
    await site.wait_until(
        lambda: (
            near.state is EntryState.READY
            and all(node.gateway.routing_state.known_targets() for node in site.nodes)
            and len(near.fleet.ready()) == len(site.nodes)
            and (not hops or near.fleet.loads(service))
        )
    )


async def exchange(front, path, body, *, version="1.1", expects=False, conn=None):
    """Return what a caller receives until its answer or its connection ends."""
    reader, writer = conn or await asyncio.open_connection(front.host, front.port)
    expect = "Expect: 100-continue\r\n" if expects else ""
    head = (
        f"POST {path} HTTP/{version}\r\nHost: {HOST}\r\nX-Request-Id: r-1\r\n"
        f"{expect}Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    data = b""
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            while b"\r\n\r\n" not in data:
                data += await reader.readuntil(b"\r\n\r\n")
                if data.startswith(b"HTTP/1.1 100 "):
                    data = data.partition(b"\r\n\r\n")[2]
            length = data.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
            return data + await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError, IndexError):
        return data


@pytest.mark.parametrize("speed", RESET_SECONDS)
@pytest.mark.parametrize("size", UPLOAD_BYTES)
@pytest.mark.parametrize("way", ["direct", "hop", "reused", "HTTP/1.0", "expect"])
def test_part_of_an_answer_that_is_reset_during_the_upload_is_not_passed_on(
    runner, tmp_path, way, size, speed
):
    """Guards against a reset that is taken for the end of an answer."""
    zones = ("gulf-a", "delta-a") if way == "hop" else ("gulf-a",)
    body = b"b" * UPLOAD_BYTES[size]

    async def run():
        async with running_site(tmp_path, zones=zones) as site:
            target = EarlyTarget(instance="t-1")
            target.reset_seconds = RESET_SECONDS[speed]
            await target.start()
            site.targets["t-1"] = target
            await site.register(target, zone=zones[-1])
            await wait_until_placed(site, "desk")
            front, conn = site.nodes[0].cfg.front, None
            if way == "reused":
                conn = await asyncio.open_connection(front.host, front.port)
                first = await exchange(front, "/book/1", b"small", conn=conn)
                assert first.startswith(b"HTTP/1.1 200 "), first
            return await exchange(
                front,
                "/book/early",
                body,
                conn=conn,
                version="1.0" if way == "HTTP/1.0" else "1.1",
                expects=way == "expect",
            )

    data = runner.run(run())
    status = data.split(b" ")[1] if data else None
    # 503 or 429 would say that it has not run.
    assert status in (None, b"502", b"504"), data[:300]
    assert PART not in data


@pytest.mark.parametrize("way", ["direct", "hop", "stream"])
@pytest.mark.parametrize("status", ["000", "099", "600", "700", "999"])
def test_status_that_no_answer_has_is_not_passed_on(runner, tmp_path, way, status):
    """Guards against a faulty target whose status callers take for an answer."""
    zones = ("gulf-a", "delta-a") if way == "hop" else ("gulf-a",)
    path, service = ("/plan/1", "llm") if way == "stream" else ("/book/1", "desk")

    async def run():
        async with running_site(tmp_path, zones=zones) as site:
            target = await site.add_target("t-1", zone=zones[-1], service=service)
            target.raw_answer = lambda req: (
                f"HTTP/1.1 {status} Odd\r\nX-Response-Seal: 1\r\n"
                f"X-Request-Id: {req.id}\r\nContent-Length: 4\r\n\r\nodd."
            ).encode()
            await wait_until_placed(site, service)
            return await exchange(site.nodes[0].cfg.front, path, b"")

    data = runner.run(run())
    assert data.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 504 ")), data[:200]
    assert b"odd." not in data
