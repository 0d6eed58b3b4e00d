"""Limits of the configuration on what callers send, on real sockets."""

import asyncio
import socket
import time

import pytest
from platform_site import HOST, running_site

from pimentospool.platform import _front
from pimentospool.standins import platform_configuration

MAX_HEADER_BYTES = 16384
"""`MaxHeaderBytes` where the configuration states none."""


async def send(address, headers, *, end=b"\r\n", path=b"/look/1"):
    """Return the status of a request with `headers`, None if there was no answer."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        lines = [b"GET " + path + b" HTTP/1.1", b"Host: " + HOST.encode()]
        lines += [b"X-Request-Id: r-1", *headers]
        writer.write(b"\r\n".join(lines) + b"\r\n" + end)
        async with asyncio.timeout(5.0):
            line = await reader.readline()
        return int(line.split()[1]) if line else None
    except ConnectionError:
        return None
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("count", [120, 129, 1000, 2000])
def test_many_headers_below_the_limit_are_passed_on(runner, tmp_path, count):
    async def run():
        async with running_site(tmp_path) as site:
            target = await site.add_target("i-1")
            await site.wait_until(site.nodes[0].gateway.routing_state.known_targets)
            headers = [b"x%d: 1" % number for number in range(count)]
            assert sum(map(len, headers)) < MAX_HEADER_BYTES
            status = await send(site.nodes[0].cfg.front, headers)
            return status, target.received

    status, received = runner.run(run())
    assert status == 200
    assert f"x{count - 1}" in received[0].headers


def test_more_header_bytes_than_the_limit_are_refused(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            target = await site.add_target("i-1")
            await site.wait_until(site.nodes[0].gateway.routing_state.known_targets)
            headers = [b"x%d: %b" % (number, b"a" * 1000) for number in range(20)]
            return await send(site.nodes[0].cfg.front, headers), target.received

    assert runner.run(run()) == (431, [])


@pytest.mark.parametrize(("excess_bytes", "expected"), [(0, 200), (1, 431)])
def test_first_line_is_bounded_like_the_headers(
    runner, tmp_path, excess_bytes, expected
):
    """Guards against first lines that no limit of the configuration bounds."""

    async def run():
        async with running_site(tmp_path) as site:
            target = await site.add_target("i-1")
            await site.wait_until(site.nodes[0].gateway.routing_state.known_targets)
            path = b"/look/".ljust(MAX_HEADER_BYTES - len(b"GET") + excess_bytes, b"a")
            status = await send(site.nodes[0].cfg.front, [], path=path)
            return status, [len(req.path) for req in target.received]

    status, received = runner.run(run())
    assert status == expected
    assert received == [MAX_HEADER_BYTES - len(b"GET")] * (expected == 200)


def test_header_bytes_without_end_close_the_connection(runner, tmp_path):
    async def run():
        async with running_site(tmp_path) as site:
            await site.add_target("i-1")
            await site.wait_until(site.nodes[0].gateway.routing_state.known_targets)
            headers = [b"x%d: %b" % (number, b"a" * 1000) for number in range(2000)]
            return await send(site.nodes[0].cfg.front, headers, end=b"")

    assert runner.run(run()) in (None, 400)


@pytest.mark.parametrize(
    ("sent", "pause_seconds", "raised", "served"),
    [
        # Callers reuse connections that are idle for four fifths of the limit.
        (b"", 0.8, False, True),
        (b"", 1.6, False, False),
        # A longer limit holds for connections that are already open.
        (b"", 1.6, True, True),
        # The time of a head is another one than that of an idle connection.
        (b"GET /look/1 HTTP/1.1\r\n", 1.4, False, True),
        (b"GET /look/1 HTTP/1.1\r\n", 2.8, False, False),
    ],
)
def test_time_limits_close_no_connection_that_may_be_used(
    runner, tmp_path, sent, pause_seconds, raised, served
):
    limits = {"Limits": {"IdleTimeoutMs": 1000, "HeaderTimeoutMs": 1500}}

    async def run():
        async with running_site(tmp_path) as site:
            await site.add_target("i-1")
            state = site.nodes[0].gateway.routing_state
            await site.wait_until(state.known_targets)
            await site.store.put("op/config", platform_configuration(2) | limits)
            await site.wait_until(lambda: state.configuration.version == 2)
            address = site.nodes[0].cfg.front
            reader, writer = await asyncio.open_connection(address.host, address.port)
            try:
                head = b"Host: " + HOST.encode() + b"\r\nX-Request-Id: r-1\r\n\r\n"
                line = b"GET /look/1 HTTP/1.1\r\n"
                writer.write(line + head)
                await reader.readuntil(b"GET /look/1 ")
                writer.write(sent)
                if raised:
                    longer = {"Limits": {"IdleTimeoutMs": 2500}}
                    await site.store.put(
                        "op/config", platform_configuration(3) | longer
                    )
                await asyncio.sleep(pause_seconds)
                writer.write((line + head).removeprefix(sent))
                return b" 200 " in await reader.readline()
            except ConnectionError:
                return False
            finally:
                writer.transport.abort()

    assert runner.run(run()) == served


@pytest.mark.parametrize("sent", [b"", b"GET /look/1 HTTP/1.1\r\n"])
def test_pause_of_the_process_closes_no_connection_with_a_request(
    runner, tmp_path, sent
):
    limits = {"Limits": {"IdleTimeoutMs": 600, "HeaderTimeoutMs": 300}}
    head = b"Host: " + HOST.encode() + b"\r\nX-Request-Id: r-1\r\n\r\n"
    request = b"GET /look/1 HTTP/1.1\r\n" + head

    async def run():
        loop = asyncio.get_running_loop()
        async with running_site(tmp_path) as site:
            await site.add_target("i-1")
            state = site.nodes[0].gateway.routing_state
            await site.wait_until(state.known_targets)
            await site.store.put("op/config", platform_configuration(2) | limits)
            await site.wait_until(lambda: state.configuration.version == 2)
            address = site.nodes[0].cfg.front
            with socket.create_connection((address.host, address.port)) as sock:
                sock.setblocking(False)
                sock.send(request)
                assert b" 200 " in await loop.sock_recv(sock, 65536)
                sock.send(sent)
                await asyncio.sleep(0.4)
                sock.send(request.removeprefix(sent))
                time.sleep(1.0)
                return await loop.sock_recv(sock, 65536)

    assert b" 200 " in runner.run(run())


def test_body_that_arrived_in_a_pause_of_the_process_is_read(
    runner, tmp_path, monkeypatch
):
    monkeypatch.setattr(_front, "BODY_TIMEOUT_SECONDS", 0.3)
    head = (
        b"POST /book/1 HTTP/1.1\r\nHost: "
        + HOST.encode()
        + b"\r\nX-Request-Id: r-1\r\nContent-Length: 4\r\n\r\n"
    )

    async def run():
        loop = asyncio.get_running_loop()
        async with running_site(tmp_path) as site:
            await site.add_target("i-1")
            await site.wait_until(site.nodes[0].gateway.routing_state.known_targets)
            address = site.nodes[0].cfg.front
            with socket.create_connection((address.host, address.port)) as sock:
                sock.setblocking(False)
                sock.send(head + b"bo")
                await asyncio.sleep(0.1)
                sock.send(b"dy")
                time.sleep(0.5)
                return await loop.sock_recv(sock, 65536)

    assert b" 408 " not in runner.run(run())


def test_long_ids_of_prompt_parts_are_kept_as_digests():
    """Guards against tables of parts that hold ids of 16 KB."""
    prompt = _front.decode_prompt("10,1", f"{'a' * 8000}:4,{'b' * 8000}:5,c:1")
    ids = [part.id for part in prompt.parts]
    assert len(set(ids)) == 3
    assert max(map(len, ids)) <= _front.MAX_PART_ID_LENGTH
    assert ids[2] == "c"


def test_pipelined_requests_and_large_heads_leave_nothing_counted(runner, tmp_path):
    """Guards against heads that are not freed, and against lost pipelined requests."""
    count = 40
    head = f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-1\r\n".encode()

    async def run():
        async with running_site(tmp_path) as site:
            await site.add_target("i-1")
            node = site.nodes[0]
            await site.wait_until(node.gateway.routing_state.known_targets)
            front = node.cfg.front
            reader, writer = await asyncio.open_connection(front.host, front.port)
            writer.write((head + b"\r\n") * count)
            statuses = []
            async with asyncio.timeout(10.0):
                while len(statuses) < count:
                    answer = await reader.readuntil(b"\r\n\r\n")
                    length = answer.lower().split(b"content-length: ")[1].split()[0]
                    await reader.readexactly(int(length))
                    statuses.append(int(answer.split()[1]))
                # A large head is served, and ends its connection.
                writer.write(head + b"a:\r\n" * 3800 + b"\r\n")
                rest = await reader.read()
            writer.close()
            heads = node.gateway.deps.memory.heads
            await site.wait_until(lambda: heads.used_bytes == 0)
            return statuses, rest

    statuses, rest = runner.run(run())
    assert statuses == [200] * count
    assert b" 200 " in rest.split(b"\r\n")[0]
    assert b"connection: close" in rest.lower()
