"""The fault-injecting proxy, with connections grouped by their source."""

import asyncio
import os
import socket

import pytest

from pimentospool.drill._sources import SourceFinder
from pimentospool.faults import Direction, FaultProxy

WAIT_SECONDS = 5.0
SILENCE_SECONDS = 0.2


async def echo(reader, writer):
    while data := await reader.read(1024):
        writer.write(data)
        await writer.drain()
    writer.close()


class ProxiedEchoServer:
    """An echo server behind a proxy; `connect` sets the source name."""

    def __init__(self, **options):
        self.source_names = {}
        self.options = options

    async def __aenter__(self):
        self.server = await asyncio.start_server(echo, "127.0.0.1", 0)
        address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.proxy = FaultProxy(
            upstream=address,
            source_of=lambda client, server: self.source_names.get(client, ""),
            **self.options,
        )
        await self.proxy.start()
        return self

    async def __aexit__(self, *exc):
        await self.proxy.close()
        self.server.close()

    async def connect(self, name):
        host, _, port = self.proxy.address.rpartition(":")
        sock = socket.socket()
        sock.bind((host, 0))
        self.source_names["{}:{}".format(*sock.getsockname())] = name
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock)


async def exchange(conn, data=b"hello"):
    reader, writer = conn
    writer.write(data)
    async with asyncio.timeout(WAIT_SECONDS):
        return await reader.read(1024)


async def is_silent(conn):
    conn[1].write(b"hello")
    try:
        async with asyncio.timeout(SILENCE_SECONDS):
            await conn[0].read(1024)
    except TimeoutError:
        return True
    return False


def test_blackhole_of_one_source_spares_another(runner):
    async def check():
        async with ProxiedEchoServer() as echo_server:
            near, far = (
                await echo_server.connect("near"),
                await echo_server.connect("far"),
            )
            assert await exchange(near) == await exchange(far) == b"hello"
            echo_server.proxy.blackhole(source="far")
            assert await is_silent(far)
            assert await exchange(near) == b"hello"
            echo_server.proxy.heal(source="far")
            assert await is_silent(far), (
                "this connection lost bytes and must stay silent"
            )
            assert await exchange(await echo_server.connect("far")) == b"hello"

    runner.run(check())


def test_blackholed_connections_stay_silent_while_new_ones_work(runner):
    async def check():
        async with ProxiedEchoServer() as echo_server:
            old = await echo_server.connect("a")
            assert await exchange(old) == b"hello"
            echo_server.proxy.lose_connections()
            assert await is_silent(old)
            assert await exchange(await echo_server.connect("a")) == b"hello"

    runner.run(check())


def test_blackhole_in_one_direction(runner):
    async def check():
        tapped = []
        async with ProxiedEchoServer(
            tap=lambda source, data: tapped.append((source, data))
        ) as echo_server:
            conn = await echo_server.connect("a")
            assert await exchange(conn) == b"hello"
            echo_server.proxy.blackhole(Direction.TO_CLIENT, source="a")
            assert await is_silent(conn)
        assert tapped == [("a", b"hello")] * 2

    runner.run(check())


def test_delay_does_not_accumulate_over_chunks(runner):
    async def check():
        async with ProxiedEchoServer(delays={"a": 0.1}) as echo_server:
            conn = await echo_server.connect("a")
            assert await exchange(conn) == b"hello"
            started = asyncio.get_running_loop().time()
            data = b""
            for _ in range(20):
                conn[1].write(b"x")
                await asyncio.sleep(0.005)
            while len(data) < 20:
                data += await conn[0].read(1024)
            elapsed_seconds = asyncio.get_running_loop().time() - started
        assert 0.2 <= elapsed_seconds < 2.0, (
            "one delay in each direction, not one for each chunk"
        )

    runner.run(check())


def test_source_of_a_connection_is_the_process_that_opened_it(runner):
    async def check():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(host, port)
        client = "{}:{}".format(*writer.get_extra_info("sockname"))
        processes = {os.getpid(): "me"}
        finder = SourceFinder(processes=lambda: processes)
        assert finder.source_of(client, f"{host}:{port}") == "me"
        assert finder.source_of(f"{host}:1", f"{host}:{port}") == ""
        processes.clear()
        assert finder.source_of(client, f"{host}:{port}") == ""
        writer.close()
        server.close()

    runner.run(check())


@pytest.mark.parametrize("source", [None, "a"])
def test_cut_links_refuse_new_connections(runner, source):
    async def check():
        async with ProxiedEchoServer() as echo_server:
            conn = await echo_server.connect("a")
            assert await exchange(conn) == b"hello"
            echo_server.proxy.cut(source=source)
            with pytest.raises(ConnectionError):
                if not await exchange(conn):
                    raise ConnectionResetError

    runner.run(check())


@pytest.mark.parametrize("inject", [FaultProxy.reset_connections, FaultProxy.cut])
def test_reset_connection_does_not_look_closed(runner, inject):
    """A peer that closes may end a response without a length; a reset may not."""

    async def check():
        async with ProxiedEchoServer() as echo_server:
            conn = await echo_server.connect("near")
            assert await exchange(conn) == b"hello"
            inject(echo_server.proxy)
            async with asyncio.timeout(WAIT_SECONDS):
                with pytest.raises(ConnectionResetError):
                    await conn[0].read(1024)

    runner.run(check())
