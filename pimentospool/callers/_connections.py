"""What the gateway changes of sanic's handling of connections and requests."""

import asyncio
from collections.abc import Iterator
from typing import Any

from sanic import Request as HttpRequest
from sanic import Sanic
from sanic.exceptions import RequestTimeout
from sanic.http import Http, Stage
from sanic.server import HttpProtocol
from sanic.server.async_server import AsyncioServer

from pimentospool.log import Event, log_event

_POLL_SECONDS = 0.02


class CallerProtocol(HttpProtocol):
    """Connection whose request header has a fixed time in which to arrive.

    Sanic counts the request timeout from the last byte; a caller that sends one
    byte now and then would hold its connection for ever.
    """

    def data_received(self, data: bytes) -> None:
        """Take bytes; those of a header that has begun do not extend its time."""
        begun_at = self._time if self._in_header() else None
        super().data_received(data)
        if begun_at is not None:
            self._time = begun_at

    def _in_header(self) -> bool:
        return self.http is not None and self.http.stage is Stage.REQUEST


class CallerRequest(HttpRequest):
    """Request whose body has a fixed time in which to arrive."""

    async def receive_body(self) -> None:
        """Read the whole body.

        Raises
        ------
        sanic.exceptions.RequestTimeout
            If it does not arrive in time.
        """
        try:
            async with asyncio.timeout(self.app.config.REQUEST_TIMEOUT):
                await super().receive_body()
        except TimeoutError as exc:
            raise RequestTimeout("the body did not arrive in time") from exc


def close_after_answer(http: HttpRequest) -> None:
    """Let the connection of `http` end with its answer."""
    if isinstance(http.stream, Http):
        http.stream.keep_alive = False


def peer_certificate(http: HttpRequest) -> bool:
    """Whether the other side of the connection has shown a trusted certificate."""
    connection = http.transport.get_extra_info("ssl_object")
    return connection is not None and bool(connection.getpeercert())


class ConnectionDrain:
    """Ends the connections of a server without cutting what is in progress.

    Parameters
    ----------
    server : sanic.server.async_server.AsyncioServer
        Server of `CallerProtocol` connections.
    """

    def __init__(self, *, server: AsyncioServer) -> None:
        self._server = server

    async def run(self, limit_seconds: float) -> None:
        """Close each connection once its answer is sent; cut the rest at the limit."""
        try:
            async with asyncio.timeout(limit_seconds):
                while self._close_idle():
                    await asyncio.sleep(_POLL_SECONDS)
        except TimeoutError:
            log_event(Event.ENTRY_DRAIN_EXPIRED, in_progress=len(self._open()))
            for conn in self._open():
                conn.abort()

    def _close_idle(self) -> bool:
        """Close connections with nothing left to send; return whether some remain."""
        for conn in self._open():
            if conn.transport and not conn.transport.get_write_buffer_size():
                conn.close_if_idle()
        return bool(self._open())

    def _open(self) -> list[CallerProtocol]:
        return [conn for conn in self._server.connections if conn.transport]


class CallerApp(Sanic):
    """Application without sanic's signals of each request and each piece.

    Nothing listens to them, and their look-up is a large part of a piece's cost.
    """

    def dispatch(self, event: str, **options: Any) -> Any:
        """Pass on the server's signals only."""
        if event.startswith(_REQUEST_SIGNALS):
            return _NOTHING
        return super().dispatch(event, **options)


class _Nothing:
    def __await__(self) -> Iterator[Any]:
        return iter(())


_REQUEST_SIGNALS = "http."
_NOTHING = _Nothing()
