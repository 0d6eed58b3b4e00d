"""Connections of all pools together stay within their limit."""

import asyncio

import pytest

from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._model import Address
from pimentospool.gateway._open_connections import OpenConnections
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict


def test_idle_connection_of_another_pool_is_closed_for_a_new_one(runner):
    """Guards against idle connections that keep an attempt from its target."""

    async def run():
        server = await asyncio.start_server(lambda *args: None, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        pools = []

        def close_oldest():
            return pools[0].close_oldest()

        shared = OpenConnections(limit=2, close_idle=close_oldest)
        pools += [
            ConnectionPool(address=address, limit=9, open_connections=shared)
            for _ in range(2)
        ]
        conns = [await pools[0].acquire() for _ in range(2)]
        with pytest.raises(AttemptFailure) as caught:
            await pools[1].acquire()
        pools[0].release(conns[0])
        taken = await pools[1].acquire()
        await asyncio.sleep(0.05)
        count = shared.count
        for conn in (*conns, taken):
            conn.abort()
        await asyncio.sleep(0.05)
        server.close()
        return caught.value, count, shared.count

    failure, count, at_end = runner.run(run())
    assert (failure.verdict, failure.cause) == (Verdict.NOT_RUN, FailureCause.REFUSED)
    assert (count, at_end) == (2, 0)
