"""Adjustments to sanic's handling of connections and requests."""

import asyncio
from collections.abc import Iterator
from typing import Any

from sanic import Request as HttpRequest
from sanic import Sanic
from sanic.exceptions import RequestTimeout, ServiceUnavailable
from sanic.http import Http, Stage
from sanic.server import HttpProtocol
from sanic.server.async_server import AsyncioServer

from pimentospool.log import Event, log_event
from pimentospool.policy import ORDINARY_HEAD_BYTES, head_cost
from pimentospool.tasks import timeout_after_read

_DRAIN_POLL_SECONDS = 0.02
_LINGER_SECONDS = 1.0
"""Time in which bytes that were under way when a connection ended are discarded; a few
round trips between regions."""
HEADS_BYTES = 16_000_000
"""Memory that the heads of all requests may hold beyond that of ordinary ones. One of
8,192 bytes, the largest that sanic reads, costs 1.4 MB at most."""


class HeadsRefusedError(ServiceUnavailable):
    """There is no memory for the header lines of a request; it has not run."""


class CallerProtocol(HttpProtocol):
    """Connection with a fixed timeout for the whole request header.

    Sanic restarts the request timeout with every byte that arrives, so a caller
    that sends a byte now and then could hold its connection for ever. Sanic also
    closes the socket of a caller that is still sending, and the reset that follows
    can discard the response before the caller has read it.
    """

    __slots__ = ("_heads", "_lingering")

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._lingering = False
        self._heads = self.app.ctx.heads.begin()

    def count_head(self, http: HttpRequest) -> None:
        """Count the head of the connection's current request, until the next one.

        Raises
        ------
        HeadsRefusedError
            If there is no memory for it.
        """
        cost_bytes = head_cost(lines=len(http.headers), size_bytes=len(http.head))
        if not self._heads.resize(cost_bytes):
            raise HeadsRefusedError("too many header lines of all requests")
        if cost_bytes > ORDINARY_HEAD_BYTES and self.http is not None:
            # An idle connection would keep its last request.
            self.http.keep_alive = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the head of the last request."""
        super().connection_lost(exc)
        self._heads.resize(0)

    def close(self, timeout: float | None = None) -> None:
        """Stop sending and discard what arrives for a while; a second call closes."""
        transport = self.transport
        if self._lingering or transport is None or transport.is_closing():
            super().close(timeout)
            return
        self._lingering = True
        self.loop.call_later(_LINGER_SECONDS, self.close)
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Process bytes without restarting the timeout of a partly received header."""
        if self._lingering:
            return
        header_started_at = self._time if self._is_reading_header() else None
        super().data_received(data)
        if header_started_at is not None:
            self._time = header_started_at

    def _is_reading_header(self) -> bool:
        return self.http is not None and self.http.stage is Stage.REQUEST


class CallerRequest(HttpRequest):
    """Request with a fixed timeout for the whole body, whose head is counted."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        protocol = self.transport.get_protocol() if self.transport else None
        if isinstance(protocol, CallerProtocol):
            protocol.count_head(self)

    async def receive_body(self) -> None:
        """Read the whole body.

        Raises
        ------
        sanic.exceptions.RequestTimeout
            If the body does not arrive within the request timeout.
        """
        try:
            async with timeout_after_read(self.app.config.REQUEST_TIMEOUT):
                await super().receive_body()
        except TimeoutError as exc:
            raise RequestTimeout("the body did not arrive in time") from exc


def close_after_answer(http: HttpRequest) -> None:
    """Close the connection of `http` once its response is sent."""
    if isinstance(http.stream, Http):
        http.stream.keep_alive = False


def has_peer_certificate(http: HttpRequest) -> bool:
    """Whether the client of the connection presented a trusted certificate."""
    connection = http.transport.get_extra_info("ssl_object")
    return connection is not None and bool(connection.getpeercert())


class ConnectionDrain:
    """Closes the connections of a server without aborting responses in progress.

    Parameters
    ----------
    server : sanic.server.async_server.AsyncioServer
        Server of `CallerProtocol` connections.
    """

    def __init__(self, *, server: AsyncioServer) -> None:
        self._server = server

    async def run(self, limit_seconds: float) -> None:
        """Close each connection once its response is sent; abort the rest at the limit.

        Parameters
        ----------
        limit_seconds : float
            Time after which the connections that are still open are aborted.
        """
        try:
            async with asyncio.timeout(limit_seconds):
                while self._close_idle():
                    await asyncio.sleep(_DRAIN_POLL_SECONDS)
        except TimeoutError:
            log_event(
                Event.ENTRY_DRAIN_EXPIRED, in_progress=len(self._open_connections())
            )
            for conn in self._open_connections():
                conn.abort()

    def _close_idle(self) -> bool:
        """Close connections with nothing left to send; return whether any are open."""
        for conn in self._open_connections():
            if conn.transport and not conn.transport.get_write_buffer_size():
                conn.close_if_idle()
        return bool(self._open_connections())

    def _open_connections(self) -> list[CallerProtocol]:
        return [conn for conn in self._server.connections if conn.transport]


class CallerApp(Sanic):
    """Application without sanic's signals for each request and each body chunk.

    Nothing subscribes to them, and looking up their handlers takes a large part of
    the time that a chunk costs.
    """

    def dispatch(self, event: str, **options: Any) -> Any:
        """Dispatch the signals of the server, but none of those for HTTP requests."""
        if event.startswith(_REQUEST_SIGNAL_PREFIX):
            return _NOT_DISPATCHED
        return super().dispatch(event, **options)


class _CompletedAwaitable:
    """Result of a signal that is not dispatched; awaiting it returns at once."""

    def __await__(self) -> Iterator[Any]:
        return iter(())


_REQUEST_SIGNAL_PREFIX = "http."
_NOT_DISPATCHED = _CompletedAwaitable()
