"""Reader of streamed responses, up to the end event."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from pimentospool.client._errors import BrokenStreamError, RefusedError
from pimentospool.errors import Problem
from pimentospool.verdicts import Verdict

_DATA = b"data: "
_END_DATA = b"[DONE]"
_ERROR_EVENT = b"event: error"
_EVENT_SEPARATOR = b"\n\n"


async def read_events(
    resp: aiohttp.ClientResponse, *, timeout_seconds: float
) -> AsyncIterator[bytes]:
    """Yield the data of each event before the end event.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
        Response with a body of server-sent events.
    timeout_seconds : float
        Longest time between two parts of the stream.

    Raises
    ------
    ClientError
        If the stream ends, breaks or stalls before its end event.
    """
    incomplete = b""
    while True:
        chunk = await _read_chunk(resp, timeout_seconds)
        if not chunk:
            raise _broken_stream("the stream ended before its end mark")
        *events, incomplete = (incomplete + chunk).split(_EVENT_SEPARATOR)
        for event in events:
            if event.startswith(_ERROR_EVENT):
                raise _stream_error(event)
            data = event.partition(_DATA)[2]
            if data == _END_DATA:
                return
            if data:
                yield data


async def _read_chunk(resp: aiohttp.ClientResponse, timeout_seconds: float) -> bytes:
    try:
        async with asyncio.timeout(timeout_seconds):
            return await resp.content.readany()
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        raise _broken_stream(f"the stream broke: {exc!r}") from exc


def _broken_stream(detail: str) -> BrokenStreamError:
    return BrokenStreamError(detail=detail, verdict=Verdict.RAN)


def _stream_error(event: bytes) -> BrokenStreamError | RefusedError:
    data = event.partition(_DATA)[2]
    try:
        problem = msgspec.json.decode(data, type=Problem)
    except msgspec.DecodeError:
        return _broken_stream("the stream ended in an unreadable error")
    return RefusedError(problem=problem, verdict=problem.verdict)
