"""Bodies of callers' requests and of their answers, in one copy each."""

from aiohttp import web

from pimentospool.byte_buffers import ByteBuffer
from pimentospool.gateway import MemoryHold

WRITE_BYTES = 64 * 1024
"""Bytes of a body that are handed to the transport at once; it copies what the socket
doesn't take."""


class InvalidRequestError(Exception):
    """The request can't be read; it ends with a bare status.

    Parameters
    ----------
    status : int
        Status of the response.
    detail : str
        Reason for the log.
    """

    def __init__(self, *, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class NoMemoryError(Exception):
    """The request doesn't fit in the memory that is left; it was not passed on."""


def body_length(http: web.BaseRequest) -> int | None:
    """Return the length of the body of a request, None if it isn't known yet."""
    return http.content_length if http.can_read_body else 0


async def read_body(
    http: web.BaseRequest, limit_bytes: int, hold: MemoryHold
) -> bytes | memoryview:
    """Return the body of a request.

    Parameters
    ----------
    http : web.BaseRequest
        The request.
    limit_bytes : int
        Limit on the length of the body.
    hold : MemoryHold
        Memory of the request; it has a known length already.

    Raises
    ------
    InvalidRequestError
        If the body is too long.
    NoMemoryError
        If there is no memory for a body of unknown length.
    """
    length = body_length(http)
    body = ByteBuffer(length or 0)
    while chunk := await http.content.readany():
        if len(body) + len(chunk) > limit_bytes:
            raise InvalidRequestError(status=413, detail="the body is too large")
        if length is None and not hold.grow(len(chunk)):
            raise NoMemoryError
        body.append(chunk)
    return body.take()


async def write_body(resp: web.StreamResponse, body: bytes | memoryview) -> None:
    """Send a body as its caller takes it, and end the response."""
    for start in range(0, len(body), WRITE_BYTES):
        # A view would keep the whole body until the caller has taken the last bytes.
        await resp.write(bytes(body[start : start + WRITE_BYTES]))
    await resp.write_eof()
