"""Connections to targets."""

import asyncio
import random
import socket

from gateway_factories import (
    Clock,
    make_record,
    make_registration,
    make_service,
)

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._pools import ConnectionPools

SILENCE_SECONDS = (2.0, 5.0)
"""Longer than a sound target is silent; shorter than it may take to notice a cut."""


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
