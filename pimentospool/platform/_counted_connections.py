"""Connections whose bytes, time and pace are bounded, on all listeners.

The parser keeps the lines of a head that has not ended, and of the last head until the
next one begins. All that a connection has received and not passed on as a body is
counted by the bytes and lines of it; what exceeds the share is refused as not run, or
ends its connection if the head has not ended.
"""

import asyncio
import itertools
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from multidict import CIMultiDict, CIMultiDictProxy

from pimentospool.gateway import ORDINARY_HEAD_BYTES, HeadBudget, Pace, head_cost
from pimentospool.log import Event, log_event
from pimentospool.platform._bodies import NoMemoryError
from pimentospool.platform._connection_guard import ConnectionGuard, caller_address
from pimentospool.platform._connection_report import EndReason
from pimentospool.platform._headers import (
    HOP_CONFIGURATION_HEADER,
    HOP_ENTRY_HEADER,
    PROMPT_PREFIX_HEADER,
    REQUEST_ID_HEADER,
)
from pimentospool.platform._read_turns import is_long_read
from pimentospool.platform._taking_watch import TakingWatch
from pimentospool.sockets import (
    LONG_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    set_receive_buffer,
)

UNREADABLE_TEXT = "the request can't be read"
MAX_QUEUED_REQUESTS = 2
"""Requests of one connection that are parsed before those ahead of them have ended."""
READ_ON_BYTES = 64 * 1024
"""Bytes that are read after a refusal beside the longest body that is allowed."""
MIN_LINE_BYTES = 4
"""Size of the shortest header line."""
UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
"""Bytes that a connection which is not read may hold unread."""
KEPT_HEADERS = tuple(
    name.decode()
    for name in (REQUEST_ID_HEADER, HOP_ENTRY_HEADER, HOP_CONFIGURATION_HEADER)
)
"""Headers of a refused request that its refusal and the log line need."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CountedConnection(RequestHandler):
    """One connection, whose heads are counted.

    Parameters
    ----------
    manager : CountedServer
        Server of the connection.
    **options
        Options of `RequestHandler`.

    Attributes
    ----------
    is_refused : bool
        Whether the heads didn't fit; requests that have not begun are refused.
    """

    __slots__ = (
        "_awaits_turn",
        "_body",
        "_budget",
        "_costs",
        "_discarded_bytes",
        "_ends",
        "_guard",
        "_heads",
        "_is_answered",
        "_is_wide",
        "_keeps_read",
        "_loose_bytes",
        "_loose_lines",
        "_may_widen",
        "_resumes_later",
        "_sending",
        "_socket",
        "_taking",
        "is_refused",
    )

    def __init__(self, manager: "CountedServer", **options: Any) -> None:
        super().__init__(manager, **options)
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )
        self._guard = manager.guard
        self._budget = manager.heads
        self._heads = self._budget.begin()
        self._costs: deque[int] = deque()
        """Costs of the heads of the requests that have not ended."""
        self._body: StreamReader = EMPTY_PAYLOAD
        """Body of the last request."""
        self._loose_bytes = 0
        """Bytes received since the last head or bytes of a body."""
        self._loose_lines = 0
        self._keeps_read = False
        """Whether the parser keeps the last read until the body, whose buffer is
        counted with its request, has been taken."""
        self._ends = False
        self._is_wide = self._may_widen = False
        self._awaits_turn = self._resumes_later = False
        self._socket: asyncio.Transport | None = None
        """The transport, also while the connection is being closed."""
        self._sending = Pace(limits=manager.guard.pace, clock=self._loop.time)
        """Pace of the body of the request in progress."""
        self._taking: TakingWatch | None = None
        self._discarded_bytes = 0
        self._is_answered = False
        """Whether the last request was answered before the end of its body."""
        self.is_refused = False

    @property
    def must_close(self) -> bool:
        """Whether the connection ends after the response to the current request.

        The parser would keep a large head, and a caller may have asked for another
        protocol.
        """
        is_large = bool(self._costs) and self._costs[0] > ORDINARY_HEAD_BYTES
        return self._ends or is_large

    @property
    def caller(self) -> str:
        """Address of the other side."""
        return caller_address(self.transport)

    def has_stalled(self) -> bool:
        """Return whether its caller holds up a request in progress."""
        # Requests that wait behind another one keep the connection from being idle.
        if self._messages or self._sending.is_too_slow(pressed=True):
            return True
        return self._taking is not None and self._taking.is_too_slow(pressed=True)

    def end(self) -> None:
        """Close the connection at once; unsent bytes are discarded."""
        self.force_close()
        if self._socket is not None:
            self._socket.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection, or close it if there is no room for it."""
        self._socket = cast(asyncio.Transport, transport)
        if not self._guard.admit(self, transport):
            self._force_close = True
            self._socket.abort()
            return
        self._taking = TakingWatch(
            transport=self._socket,
            limits=self._guard.pace,
            loop=self._loop,
            on_slow=lambda: self._guard.end(self, EndReason.SLOW),
        )
        super().connection_made(transport)

    async def start(self) -> None:
        """Serve the requests of the connection until it ends."""
        try:
            await super().start()
        finally:
            self._watch_taking()

    def force_close(self) -> None:
        """Close the connection once what has been written is taken."""
        super().force_close()
        self._watch_taking()

    def pause_writing(self) -> None:
        """Watch how the other side takes what has been written."""
        super().pause_writing()
        self._watch_taking()

    def resume_writing(self) -> None:
        """Watch it no longer, unless the connection ends with the rest."""
        is_closing = self._socket is None or self._socket.is_closing()
        if self._taking is not None and not is_closing:
            self._taking.end()
        super().resume_writing()

    def _watch_taking(self) -> None:
        if self._taking is not None:
            self._taking.begin()

    @property
    def _max_discarded_bytes(self) -> int:
        """Limit on what is discarded after a refusal, so that it can be read."""
        return READ_ON_BYTES

    def _discard(self, size_bytes: int) -> None:
        """Count bytes that follow a refusal; end a connection that sends on."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > self._max_discarded_bytes:
            self._guard.end(self, EndReason.SENT_ON)

    def data_received(self, data: bytes) -> None:
        """Count what arrives, and refuse it if it doesn't fit."""
        if self._force_close or self._close:
            self._discard(len(data))
            return
        body, count_before = self._body, self._request_count
        in_body, body_before = not body.is_eof(), body.total_bytes
        super().data_received(data)
        body_bytes = body.total_bytes - body_before
        if body_bytes and not self._keeps_read:
            # Trailers come after all of a body; what came before it was its framing.
            self._loose_bytes = self._loose_lines = 0
        self._loose_bytes = max(0, self._loose_bytes + len(data) - body_bytes)
        lines = data.count(b"\n")
        self._loose_lines += lines
        if in_body:
            self._sending.move(body_bytes)
            if self._is_answered:
                self._discard(body_bytes)
        if in_body and body.is_eof():
            self._end_body()
        new_requests = self._request_count - count_before
        if new_requests:
            self._guard.begin_request(self)
            self._count_heads(new_requests, data)
            if not self._body.is_eof():
                self._sending.begin()
        if self._messages and not isinstance(self._messages[-1][0], RawRequestMessage):
            # What follows bytes that can't be read can't be read either, and each
            # read of it would queue another error.
            self._ends = self._close = True
        if self._upgraded:
            # Requests after one that asks for another protocol would not be counted.
            self._message_tail = b""
            self._ends = self._close = True
        self._keeps_read = self._reading_paused
        if new_requests:
            body_bytes += self._body.total_bytes
        if is_long_read(
            lines=lines,
            size_bytes=len(data),
            body_bytes=body_bytes,
            is_behind=self._reading_paused,
        ):
            self._wait_for_turn()
        elif self._may_widen and 2 * body_bytes > len(data):
            self.widen()
        if not self._heads.resize(self._cost()):
            self._refuse()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free the heads."""
        self._guard.remove(self)
        if self._taking is not None:
            self._taking.end()
        self._socket = self._taking = None
        super().connection_lost(exc)
        self._costs.clear()
        self._heads.resize(0)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond without what the parser says, as it quotes headers, and API keys."""
        if message is not None:
            message = UNREADABLE_TEXT
        return super().handle_error(request, status, None, message)

    def _wait_for_turn(self) -> None:
        """Read nothing more until the turn of the connection."""
        self._narrow()
        if not self._awaits_turn:
            self._awaits_turn = True
            self._pause_transport_reading()
            self._guard.turns.wait(self)

    def take_turn(self) -> None:
        """Go on reading after a read that took long."""
        self._awaits_turn = False
        if self._resumes_later:
            self._resumes_later = False
            self.resume_reading()
        elif not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on once the reader has caught up, at the connection's turn."""
        if self._awaits_turn:
            self._resumes_later = True
        else:
            super().resume_reading(resume_parser)

    def _resume_transport_reading(self) -> None:
        if not self._awaits_turn:
            super()._resume_transport_reading()

    def widen(self) -> None:
        """Read a long body in larger pieces; it is counted with its request."""
        self._may_widen = False
        if self.transport is not None:
            self._is_wide = True
            set_receive_buffer(self.transport, LONG_RECEIVE_BUFFER_BYTES)

    def widen_later(self) -> None:
        """Do so once a body of unknown length turns out to come in large pieces."""
        self._may_widen = True

    def _narrow(self) -> None:
        self._may_widen = False
        if self._is_wide and self.transport is not None:
            self._is_wide = False
            set_receive_buffer(self.transport, RECEIVE_BUFFER_BYTES)

    def end_request(self) -> None:
        """Count the head of the request that has ended no more, unless it is kept."""
        if self._costs and not self.must_close:
            self._costs.popleft()
            self._heads.resize(self._cost())
        self._narrow()
        if not self._messages:
            self._is_answered = not self._body.is_eof()
            self._guard.end_request(self)

    def _end_body(self) -> None:
        """Close the connection later if the parser has kept long trailers."""
        self._sending.end()
        self._is_answered = False
        self._discarded_bytes = 0
        if self._loose_cost() > ORDINARY_HEAD_BYTES:
            self._ends = True
        else:
            self._loose_bytes = self._loose_lines = 0

    def _count_heads(self, new_requests: int, data: bytes) -> None:
        """Count the heads that have ended, and no longer as loose bytes."""
        counted_bytes = 0
        queued = len(self._messages)
        for index in range(queued - new_requests, queued):
            message, self._body = self._messages[index]
            cost_bytes, size_bytes = _measure_head(message)
            self._costs.append(cost_bytes)
            counted_bytes += size_bytes + self._body.total_bytes
        self._loose_bytes = max(0, self._loose_bytes - counted_bytes)
        if data:
            # Separators are estimated; the error must not grow with each request.
            self._loose_bytes = min(self._loose_bytes, len(data))
            self._loose_lines = data.count(b"\n")

    def _loose_cost(self) -> int:
        if self._keeps_read:
            return 0
        lines = min(self._loose_lines, self._loose_bytes // MIN_LINE_BYTES)
        return head_cost(
            lines=min(lines, self.max_headers), size_bytes=self._loose_bytes
        )

    def _cost(self) -> int:
        # A request without others ahead of it begins at once, and counts its body.
        first = 0 if len(self._costs) > len(self._messages) else 1
        queued = itertools.islice(self._messages, first, None)
        queued_bytes = sum(payload.total_bytes for _, payload in queued)
        is_unread = self._buffer_paused or self._awaits_turn
        unread_bytes = UNREAD_BYTES if is_unread else 0
        return sum(self._costs) + self._loose_cost() + queued_bytes + unread_bytes

    def _refuse(self) -> None:
        """Refuse what has not begun; nothing more of the connection is read."""
        self.is_refused = self._ends = self._close = True
        log_event(
            Event.HEADS_REFUSED,
            requests=len(self._messages),
            cost_bytes=self._cost(),
            held_bytes=self._budget.used_bytes,
        )
        # It keeps the lines of the last head, and of one that has not ended.
        self._parser = None
        self._loose_bytes = self._loose_lines = 0
        # What follows is discarded, so that the sender can read the refusal.
        self._resume_reading_for_buffer()
        if not self._costs:
            self.force_close()
        in_progress = len(self._costs) - len(self._messages)
        for index, (message, payload) in enumerate(self._messages):
            self._costs[in_progress + index] = 0
            if isinstance(message, RawRequestMessage):
                self._messages[index] = (_without_headers(message), payload)
        if not self._messages and not self._body.is_eof():
            self._body.set_exception(NoMemoryError())
        self._heads.resize(self._cost())


class CountedServer(web.Server):
    """Serves connections whose heads are counted.

    Parameters
    ----------
    handler : callable
        Serves one request.
    heads : HeadBudget
        Counts the heads of all connections.
    guard : ConnectionGuard
        Bounds the connections of the listener.
    **options
        Options of `web.Server`.
    """

    connection_class: type[CountedConnection] = CountedConnection

    def __init__(
        self,
        handler: Handler,
        *,
        heads: HeadBudget,
        guard: ConnectionGuard,
        **options: Any,
    ) -> None:
        super().__init__(self._serve, **options)
        self.guard = guard
        self.heads = heads
        self._handler = handler

    def __call__(self) -> CountedConnection:
        """Return the protocol of a new connection."""
        return self.connection_class(self, loop=self._loop, **self._kwargs)

    async def _serve(self, http: web.BaseRequest) -> web.StreamResponse:
        conn = http.protocol
        assert isinstance(conn, CountedConnection)
        try:
            return await self._handler(http)
        finally:
            conn.end_request()


def must_close(http: web.BaseRequest) -> bool:
    """Return whether the connection ends after the response to a request."""
    return isinstance(http.protocol, CountedConnection) and http.protocol.must_close


def widen(http: web.BaseRequest, length: int | None) -> None:
    """Read the body of a request that has been counted in larger pieces."""
    conn = http.protocol
    if not isinstance(conn, CountedConnection):
        return
    if length is None:
        conn.widen_later()
    elif length > RECEIVE_BUFFER_BYTES:
        conn.widen()


def is_refused(http: web.BaseRequest) -> bool:
    """Return whether the heads of the connection of a request didn't fit in memory."""
    return isinstance(http.protocol, CountedConnection) and http.protocol.is_refused


def _measure_head(message: object) -> tuple[int, int]:
    """Return the memory that a head takes, and its size, in bytes."""
    if not isinstance(message, RawRequestMessage):
        return 0, 0
    lines = len(message.raw_headers)
    size_bytes = len(message.path)
    size_bytes += sum(len(name) + len(value) for name, value in message.raw_headers)
    parts = message.headers.get(PROMPT_PREFIX_HEADER.decode(), "").count(",")
    cost_bytes = head_cost(lines=lines, size_bytes=size_bytes, parts=parts)
    return cost_bytes, size_bytes + (MIN_LINE_BYTES - 1) * (lines + 1)


def _without_headers(message: RawRequestMessage) -> RawRequestMessage:
    kept: CIMultiDict[str] = CIMultiDict()
    for name in KEPT_HEADERS:
        if name in message.headers:
            kept[name] = message.headers[name]
    replaced: RawRequestMessage = message._replace(
        headers=CIMultiDictProxy(kept), raw_headers=()
    )
    return replaced
