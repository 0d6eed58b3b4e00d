"""Parts of answers and odd statuses at an entry VM are no answers for the library."""

import asyncio

import aiohttp
import pytest
from raw_server import RawServer

from pimentospool.client._attempts import Request, Sender
from pimentospool.sockets import set_reset_on_close

PART = b"part of the body"


class OneEntry:
    """Finder that knows one entry VM."""

    def __init__(self, address):
        self._address = address

    async def choose(self):
        return self._address

    def avoid(self, entry):
        pass


async def send(answer, *, body=b"", reset_seconds=None):
    """Return the attempt at a server that sends `answer` before it reads the body."""

    async def script(server, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        if reset_seconds is not None:
            await asyncio.sleep(reset_seconds)
            set_reset_on_close(writer.transport, enabled=True)
            writer.transport.abort()
        else:
            await reader.read()

    async with RawServer(script) as server, aiohttp.ClientSession() as session:
        address = server.url.removeprefix("http://").removesuffix("/call")
        sender = Sender(session=session, entries=OneEntry(address))
        req = Request(method="POST", path="/v1/services/a/b", body=body)
        return await sender.send(req, 5.0)


@pytest.mark.parametrize("reset_seconds", [0.0, 0.3])
@pytest.mark.parametrize("size", [1_000, 3_000_000])
def test_part_of_an_answer_that_is_reset_during_the_upload_is_no_answer(
    runner, size, reset_seconds
):
    """Guards against a reset that is taken for the end of an answer."""
    answer = b"HTTP/1.1 200 OK\r\n\r\n" + PART
    attempt = runner.run(send(answer, body=b"b" * size, reset_seconds=reset_seconds))
    assert attempt.answer is None


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_status_that_no_answer_has_is_no_answer(runner, status):
    """Guards against a status of a faulty server that callers take for an answer."""
    answer = b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 4\r\n\r\nodd."
    assert runner.run(send(answer)).answer is None
