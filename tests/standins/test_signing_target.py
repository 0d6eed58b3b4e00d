"""The signing target tells which requests it has executed."""

import asyncio

import pytest

from pimentospool.sockets import set_reset_on_close
from pimentospool.standins import SigningTarget

HEAD = b"POST /book/1 HTTP/1.1\r\nX-Request-Id: r-1\r\nContent-Length: 10\r\n\r\n"
WAIT_SECONDS = 5.0


def close(writer):
    writer.close()


def reset(writer):
    set_reset_on_close(writer.transport, enabled=True)
    writer.transport.abort()


def stay_silent(writer):
    """Leave the connection open."""


@pytest.mark.parametrize("end", [close, reset, stay_silent])
def test_request_whose_body_does_not_arrive_whole_is_not_executed(runner, end):
    async def run():
        target = SigningTarget(instance="t-1")
        await target.start()
        host, _, port = target.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(HEAD + b"12345")
        async with asyncio.timeout(WAIT_SECONDS):
            while not target.received:
                await asyncio.sleep(0.01)
        end(writer)
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await target.close()
        return target.executed_requests

    assert runner.run(run()) == []
