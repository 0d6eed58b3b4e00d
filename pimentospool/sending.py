"""Client sessions without the automatic retries of aiohttp.

aiohttp retries GET, PUT and DELETE after a lost connection, whether or not the call is
idempotent. If the connection of the retry is then refused, it looks as if nothing had
been sent.
"""

from typing import Any

import aiohttp

TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class WrappedTransportError(aiohttp.ClientError):
    """A transport error, wrapped so that aiohttp does not retry the request.

    Parameters
    ----------
    error : Exception
        The original transport error.
    """

    def __init__(self, *, error: Exception) -> None:
        super().__init__(str(error))
        self.error = error


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request once; used as a middleware of client sessions.

    Raises
    ------
    WrappedTransportError
        If a transport error occurs; it holds that error.
    """
    try:
        return await handler(req)
    except TRANSPORT_ERRORS as exc:
        raise WrappedTransportError(error=exc) from exc


async def read_body(resp: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a response.

    Raises
    ------
    ValueError
        If it is longer than `max_bytes`.
    """
    chunks = []
    size = 0
    async for chunk in resp.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise ValueError(f"the response is longer than {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def open_session(base_url: str | None = None, **options: Any) -> aiohttp.ClientSession:
    """Return a client session that sends each request only once.

    Parameters
    ----------
    base_url : str or None
        URL to which the paths of requests are relative.
    **options
        Further options of `aiohttp.ClientSession`.
    """
    return aiohttp.ClientSession(base_url, middlewares=(send_once,), **options)
