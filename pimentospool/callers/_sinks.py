"""Answer sink that writes to a sanic response."""

from sanic import HTTPResponse
from sanic import Request as HttpRequest

from pimentospool.ids import RequestId
from pimentospool.targets import REQUEST_ID_HEADER


class HttpSink:
    """Sends an answer of the gateway as the response to an HTTP request.

    Parameters
    ----------
    http : sanic.Request
        Request that the response belongs to.
    request_id : RequestId
        Request id that the response carries in its header.
    """

    def __init__(self, *, http: HttpRequest, request_id: RequestId) -> None:
        self.started = False
        self._http = http
        self._headers: dict[str, str] = {REQUEST_ID_HEADER: request_id}
        self._resp: HTTPResponse | None = None

    async def send_whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Send a complete response."""
        self.started = True
        resp = HTTPResponse(
            body, status=status, content_type=content_type, headers=self._headers
        )
        await self._http.respond(resp)
        await resp.eof()

    async def start(self, *, status: int, content_type: str) -> None:
        """Send the header of a streamed response."""
        self.started = True
        self._resp = await self._http.respond(
            status=status, content_type=content_type, headers=self._headers
        )

    async def write(self, data: bytes) -> None:
        """Send a chunk of a streamed response."""
        assert self._resp is not None
        await self._resp.send(data)

    async def finish(self) -> None:
        """End a streamed response."""
        assert self._resp is not None
        await self._resp.eof()
