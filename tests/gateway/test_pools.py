"""Connections to targets."""

import asyncio
import contextlib
import ctypes
import random
import socket
import struct
import time

import pytest
from gateway_factories import (
    Clock,
    make_record,
    make_registration,
    make_service,
)
from platform_site import unanswering_address

from pimentospool.gateway import Address
from pimentospool.gateway._answer_streams import EncodedRequest
from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._pools import ConnectionPools
from pimentospool.sockets import set_reset_on_close
from pimentospool.targets import AttemptFailure

SILENCE_SECONDS = (2.0, 5.0)
"""Longer than a sound target is silent; shorter than it may take to notice a cut."""
ATTACH_FILTER, DETACH_FILTER = 26, 27
"""Options of a socket in Linux, which Python doesn't name."""
LATER_SECONDS = 1.5
"""Time after a silence at which the answer comes; the kernel gives up within it."""
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
"""Program of a packet filter that drops what arrives, before it is acknowledged."""


def test_kernel_keeps_a_connection_to_a_target_that_is_silent_for_a_second():
    async def run():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        fleet = Fleet(
            local_record=make_record("own"), clock=Clock(), rng=random.Random(1)
        )
        pools = ConnectionPools(region="gulf", fleet=fleet)
        pool = pools.target_pool(make_registration(port=port), make_service())
        conn = await pool.acquire()
        sock = conn._transport.get_extra_info("socket")
        silence_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        conn.abort()
        server.close()
        return silence_ms / 1000

    shortest, longest = SILENCE_SECONDS
    assert shortest <= asyncio.run(run()) <= longest


@pytest.mark.parametrize("idle_seconds", [0.2, 0.5, 0.9])
@pytest.mark.parametrize("silent_seconds", [1.3, 1.8])
def test_answer_arrives_after_a_silence_in_which_keepalive_probes_are_lost(
    idle_seconds, silent_seconds
):
    async def run():
        accepted = asyncio.Queue()
        server = await asyncio.start_server(
            lambda reader, writer: accepted.put_nowait(writer), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        fleet = Fleet(
            local_record=make_record("own"), clock=Clock(), rng=random.Random(1)
        )
        pools = ConnectionPools(region="gulf", fleet=fleet)
        pool = pools.target_pool(make_registration(port=port), make_service())
        conn = await pool.acquire()
        stream = conn.send(
            EncodedRequest(data=b"GET / HTTP/1.1\r\n\r\n", accepts=lambda head: True)
        )
        writer = await accepted.get()
        await asyncio.sleep(idle_seconds)
        with socket.socket(fileno=writer.get_extra_info("socket").fileno()) as sock:
            program = struct.pack("HL", 1, ctypes.addressof(DROP_ALL))
            sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, program)
            await asyncio.sleep(silent_seconds)
            sock.setsockopt(socket.SOL_SOCKET, DETACH_FILTER, 0)
            sock.detach()
        await asyncio.sleep(LATER_SECONDS)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert await stream.read()
        writer.close()
        conn.abort()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize("pause_seconds", [0.5, 2.0])
def test_pause_of_the_process_is_no_failure_to_connect(runner, pause_seconds):
    async def run():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        pool = ConnectionPool(address=address, limit=1)
        acquired = asyncio.create_task(pool.acquire())
        await asyncio.sleep(0)
        time.sleep(pause_seconds)
        conn = await acquired
        conn.abort()
        server.close()

    runner.run(run())


@pytest.mark.parametrize(
    ("answer", "in_doubt"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nuntil the close", False),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", True),
        (b"", True),
    ],
)
def test_start_is_in_doubt_only_after_a_loss_and_not_after_an_announced_close(
    answer, in_doubt
):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def run():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        pool = ConnectionPool(address=address, limit=2)
        conn = await pool.acquire()
        stream = conn.send(
            EncodedRequest(data=b"GET / HTTP/1.1\r\n\r\n", accepts=lambda head: True)
        )
        with contextlib.suppress(AttemptFailure):
            while await stream.read():
                pass
        pool.release(conn)
        await asyncio.sleep(0.05)
        doubts = [pool.start_doubt.exists]
        server.close()
        with pytest.raises(AttemptFailure):
            await pool.acquire()
        return [*doubts, pool.start_doubt.exists]

    assert asyncio.run(run()) == [in_doubt, True]


async def ask(conn):
    stream = conn.send(
        EncodedRequest(data=b"GET / HTTP/1.1\r\n\r\n", accepts=lambda head: True)
    )
    while await stream.read():
        pass


# A connection to a newer start hid that all those of the known one were lost.
@pytest.mark.parametrize("heard_later", [False, True])
def test_loss_of_the_connections_of_a_start_is_noticed_beside_later_ones(heard_later):
    writers = []

    async def respond(reader, writer):
        writers.append(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    async def run():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        pool = ConnectionPool(address=address, limit=2)
        first = await pool.acquire()
        await ask(first)
        second = await pool.acquire()
        if heard_later:
            await ask(first)
        set_reset_on_close(writers[0].transport, enabled=True)
        writers[0].transport.abort()
        await asyncio.sleep(0.05)
        in_doubt = pool.start_doubt.exists
        second.abort()
        server.close()
        return in_doubt

    assert asyncio.run(run()) is not heard_later


@pytest.mark.parametrize(
    ("pause_seconds", "close_seconds", "in_doubt"),
    [(0.2, [0.3, 0.3], False), (0.2, [0.4, 0.2], True), (0.0, [0.3], False)],
)
def test_idle_connections_that_are_closed_together_put_the_start_in_doubt(
    pause_seconds, close_seconds, in_doubt
):
    waits = list(close_seconds)

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await asyncio.sleep(waits.pop(0))
        writer.close()

    async def run():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        pool = ConnectionPool(address=address, limit=2)
        conns = [await pool.acquire() for _ in close_seconds]
        for conn in conns:
            await ask(conn)
            await asyncio.sleep(pause_seconds)
        await asyncio.sleep(0.5)
        server.close()
        return pool.start_doubt.exists

    assert asyncio.run(run()) is in_doubt


# A busy target, which resets connections beyond its limit, counted as cold.
@pytest.mark.parametrize("answered", [False, True])
def test_reset_of_a_connection_without_an_answer_is_not_told_as_a_loss(answered):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if answered:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await reader.readuntil(b"\r\n\r\n")
        set_reset_on_close(writer.transport, enabled=True)
        writer.transport.abort()

    async def run():
        losses = []
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname()[:2])
        pool = ConnectionPool(address=address, limit=1, on_loss=losses.append)
        conn = await pool.acquire()
        with pytest.raises(AttemptFailure):
            for _ in range(2):
                await ask(conn)
        await asyncio.sleep(0.05)
        server.close()
        assert pool.start_doubt.exists
        return bool(losses)

    assert asyncio.run(run()) is answered


def test_connection_that_is_not_answered_puts_the_start_in_doubt():
    async def run(address):
        host, _, port = address.rpartition(":")
        pool = ConnectionPool(
            address=Address(host, int(port)), limit=1, connect_timeout_seconds=0.05
        )
        with pytest.raises(AttemptFailure):
            await pool.acquire(within_seconds=0.01)
        assert not pool.start_doubt.exists
        with pytest.raises(AttemptFailure):
            await pool.acquire()
        return pool.start_doubt.exists

    with unanswering_address() as address:
        assert asyncio.run(run(address))


def test_loss_of_the_last_connection_is_noticed_while_another_is_being_opened():
    async def run():
        with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
            address = Address(*server.getsockname())
            pool = ConnectionPool(address=address, limit=2)
            await pool.acquire()
            accepted, _ = server.accept()
            with socket.create_connection(server.getsockname()):
                # The backlog is full, so that this one waits.
                opening = asyncio.create_task(pool.acquire())
                await asyncio.sleep(0.02)
                assert not pool.start_doubt.exists
                accepted.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                accepted.close()
                await asyncio.sleep(0.02)
                assert not opening.done()
                assert pool.start_doubt.exists
                with pytest.raises(AttemptFailure):
                    await opening

    asyncio.run(run())
