"""HTTP requests that aiohttp does not send again by itself.

aiohttp repeats GET, PUT and DELETE on a lost connection, whether or not the call is
idempotent; a connection that is refused at the second try would then look as if
nothing had been sent.
"""

from typing import Any

import aiohttp

TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class UnrepeatedError(aiohttp.ClientError):
    """A transport error of a kind for which aiohttp does not send again.

    Parameters
    ----------
    error : Exception
        The transport error.
    """

    def __init__(self, *, error: Exception) -> None:
        super().__init__(str(error))
        self.error = error


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request one time; a middleware of a client session.

    Raises
    ------
    UnrepeatedError
        With the transport error that ended it.
    """
    try:
        return await handler(req)
    except TRANSPORT_ERRORS as exc:
        raise UnrepeatedError(error=exc) from exc


def open_session(base_url: str | None = None, **options: Any) -> aiohttp.ClientSession:
    """Return a client session that sends each request one time.

    Parameters
    ----------
    base_url : str or None
        What relative addresses of requests begin with.
    **options
        Further options of the session.
    """
    return aiohttp.ClientSession(base_url, middlewares=(send_once,), **options)
