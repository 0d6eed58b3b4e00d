"""Connections of callers, within the limits of the configuration.

A connection is closed only while no request is in progress on it. A head that has begun
to arrive counts as idle time no more, but has a time of its own.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from pimentospool.gateway import CallerLimits
from pimentospool.platform._counted_connections import (
    READ_ON_BYTES,
    CountedConnection,
    CountedServer,
)

MAX_HEADERS = 4096
"""Most headers of a request; as many as fit in some 16 KB if all are short."""
HEAD_BYTES_RATIO = 2
"""Bytes of a head that has not ended, in relation to the limit on its headers, above
which the connection is closed. Separators and the first line are not in the limit."""
MIN_HEAD_BYTES = 64 * 1024
"""Bytes that such a head may have whatever the limit."""
CHUNKED_END = b"\r\n0\r\n\r\n"
"""Last bytes of a head or chunk, and the last chunk without trailers."""
HEADER_MARGIN_SECONDS = 0.5
"""Time by which a head may be late on its way."""


class CallerConnection(CountedConnection):
    """One connection of a caller."""

    __slots__ = ("_head_bytes", "_head_timer", "_last_bytes", "limits")

    limits: Callable[[], CallerLimits]
    _head_bytes: int
    _head_timer: asyncio.TimerHandle | None
    _last_bytes: bytes
    """The latest bytes that have arrived, as many as `CHUNKED_END` has."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the limits that are in force now."""
        self._head_bytes = 0
        self._head_timer = None
        self._last_bytes = b""
        # A limit of zero states none.
        idle_seconds = self.limits().idle_timeout_seconds
        if idle_seconds > 0:
            self._keepalive_timeout = idle_seconds
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Bound the head of a request until it has ended."""
        if self._close or self._force_close:
            super().data_received(data)
            return
        before, in_body = self._request_count, not self._body.is_eof()
        count = len(CHUNKED_END)
        self._last_bytes = (self._last_bytes + data[-count:])[-count:]
        super().data_received(data)
        if self._request_count != before or in_body:
            self._end_head()
            return
        self._head_bytes += len(data)
        limits = self.limits()
        if self._head_bytes > max(
            MIN_HEAD_BYTES, HEAD_BYTES_RATIO * limits.max_header_bytes
        ):
            self.force_close()
        elif self._head_timer is None and data and limits.header_timeout_seconds > 0:
            self._head_timer = self._loop.call_later(
                limits.header_timeout_seconds + HEADER_MARGIN_SECONDS, self._close_late
            )

    @property
    def _max_discarded_bytes(self) -> int:
        return READ_ON_BYTES + self.limits().max_body_bytes

    @property
    def ended_without_trailers(self) -> bool:
        """Whether the last body, of chunks, has ended without trailers, nor more data.

        The parser reads the last trailer of a request as a header of the next one,
        which may be of another caller if a proxy shares the connection.
        """
        return (
            not self._messages
            and self._body.is_eof()
            and self._last_bytes == CHUNKED_END
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer."""
        self._end_head()
        super().connection_lost(exc)

    def _process_keepalive(self) -> None:
        # Callers may follow a longer limit than that with which they connected.
        longer_seconds = self.limits().idle_timeout_seconds - self._keepalive_timeout
        if longer_seconds > 0:
            self._keepalive_timeout += longer_seconds
            self._next_keepalive_close_time += longer_seconds
        if self._head_timer is None:
            super()._process_keepalive()

    def _end_head(self) -> None:
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_late(self) -> None:
        self._head_timer = None
        if not (self._messages or self._request_in_progress):
            self.force_close()


class CallerServer(CountedServer):
    """Serves callers within the limits of the configuration."""

    connection_class = CallerConnection
    limits: Callable[[], CallerLimits] = CallerLimits

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        conn = super().__call__()
        assert isinstance(conn, CallerConnection)
        conn.limits = self.limits
        return conn


def header_bytes(http: web.BaseRequest) -> int:
    """Return the size of the names and values of a request's headers."""
    return sum(len(name) + len(value) for name, value in http.raw_headers)
