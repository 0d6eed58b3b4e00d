"""Reading of streamed answers to their end mark."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from pimentospool.client._errors import BrokenStreamError, RefusedError
from pimentospool.errors import Problem
from pimentospool.verdicts import Verdict

_DATA = b"data: "
_DONE = b"[DONE]"
_ERROR = b"event: error"
_EVENT_END = b"\n\n"


async def read_events(
    resp: aiohttp.ClientResponse, *, timeout_seconds: float
) -> AsyncIterator[bytes]:
    """Yield the data of each event up to the end mark.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
        Response with a body of server-sent events.
    timeout_seconds : float
        Longest silence.

    Raises
    ------
    ClientError
        If the stream ends, breaks or falls silent before its end mark.
    """
    rest = b""
    while True:
        piece = await _read_piece(resp, timeout_seconds)
        if not piece:
            raise _broken("the stream ended before its end mark")
        *events, rest = (rest + piece).split(_EVENT_END)
        for event in events:
            if event.startswith(_ERROR):
                raise _refused(event)
            data = event.partition(_DATA)[2]
            if data == _DONE:
                return
            if data:
                yield data


async def _read_piece(resp: aiohttp.ClientResponse, timeout_seconds: float) -> bytes:
    try:
        async with asyncio.timeout(timeout_seconds):
            return await resp.content.readany()
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        raise _broken(f"the stream broke: {exc!r}") from exc


def _broken(detail: str) -> BrokenStreamError:
    return BrokenStreamError(detail=detail, verdict=Verdict.RAN)


def _refused(event: bytes) -> BrokenStreamError | RefusedError:
    data = event.partition(_DATA)[2]
    try:
        problem = msgspec.json.decode(data, type=Problem)
    except msgspec.DecodeError:
        return _broken("the stream ended in an unreadable error")
    return RefusedError(problem=problem, verdict=problem.verdict)
