"""Kept HTTP/1.1 connections to targets and peers, one request at a time on each.

Parsing is httptools'. A connection is used again only if its last answer ended
exactly: bytes that belong to no request close it, as a fault of the other side
might otherwise be taken for the answer to the next request.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools
import msgspec

from pimentospool.gateway._model import Address
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

CONNECT_SECONDS = 0.35
"""Longest wait for a connection within a region, where a round trip takes less than
ten milliseconds; a target without power does not answer at all."""
UNACKNOWLEDGED_MS = 1500
"""Time after which the kernel ends a connection whose bytes are not confirmed."""
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_PROBES = 2
IDLE_SECONDS = 4.0
"""Longest rest of a connection whose server states no timeout."""
IDLE_MARGIN_SECONDS = 1.0
"""Taken off a stated idle timeout, which is rounded to whole seconds."""
MAX_BUFFERED_BYTES = 256 * 1024
"""Unread bytes of an answer at which the connection stops reading."""

Headers = list[tuple[bytes, bytes]]


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of an answer; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header with the lower-case `name`."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class WireRequest(msgspec.Struct, kw_only=True, frozen=True):
    """A request in bytes, and the test of which answer belongs to it."""

    data: bytes
    accepts: Callable[[AnswerHead], bool]
    """Whether an answer's head may belong to this request."""
    without_body: bool = False
    """Whether the answer has no body whatever its headers say (HEAD)."""


class AnswerStream:
    """One answer as it arrives on its connection."""

    def __init__(self, *, conn: "Connection", req: WireRequest) -> None:
        self.head: AnswerHead | None = None
        self.complete = False
        self._conn = conn
        self._accepts = req.accepts
        self.without_body = req.without_body
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._error: AttemptFailure | None = None
        self._waiter: asyncio.Future[None] | None = None

    async def wait_head(self) -> AnswerHead:
        """Return the head once it has arrived.

        Raises
        ------
        AttemptFailure
            If the connection fails before.
        """
        while self.head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self.head

    async def read(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end.

        Raises
        ------
        AttemptFailure
            If the body breaks off.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        self._conn.resume()
        return data

    def accepts(self, head: AnswerHead) -> bool:
        """Whether an answer's head may belong to the request."""
        return self._accepts(head)

    def feed_head(self, head: AnswerHead) -> None:
        """Take the head of the answer."""
        self.head = head
        self._wake()

    def feed(self, data: bytes) -> None:
        """Take bytes of the body."""
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED_BYTES:
            self._conn.pause()
        self._wake()

    def finish(self) -> None:
        """Take the end of the answer."""
        self.complete = True
        self._wake()

    def fail(self, detail: str, cause: FailureCause = FailureCause.BROKEN) -> None:
        """End the answer without its end."""
        if not self.complete and self._error is None:
            self._error = AttemptFailure(
                detail=detail, verdict=Verdict.MAY_HAVE_RUN, cause=cause
            )
            self._wake()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Connection(asyncio.Protocol):
    """One connection; `send` may be called again once its answer is complete."""

    def __init__(self) -> None:
        self.closed = False
        self.reused = False
        self.idle_seconds = IDLE_SECONDS
        self.on_closed: Callable[[Connection], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._stream: AnswerStream | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: Headers = []
        self._skipping = False
        self._framed = True
        self._spoiled = False
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    @property
    def reusable(self) -> bool:
        """Whether the next request may travel on this connection."""
        return not (self.closed or self._spoiled or self._stream is not None)

    @property
    def busy(self) -> bool:
        """Whether an answer is still to come or to end."""
        return self._stream is not None

    def send(self, req: WireRequest) -> AnswerStream:
        """Hand `req` to the socket and return its answer to come."""
        assert self._transport is not None
        assert self._stream is None
        self._stream = AnswerStream(conn=self, req=req)
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(req.data)
        return self._stream

    def close(self) -> None:
        """Close once all is written."""
        self._spoiled = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._spoiled = True
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if not self._paused and not self.closed and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self._paused and not self.closed and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer; other bytes close the connection."""
        if self._stream is None or self._parser is None:
            self.abort()
            return
        stream = self._stream
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._spoiled = True
            stream.fail(f"the answer is not HTTP: {exc}")
            self.abort()
            return
        if stream.complete:
            self._end_exchange()

    def eof_received(self) -> bool:
        """Close when the other side does."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer: whole if only its connection's end marks its end."""
        self.closed = True
        stream, self._stream = self._stream, None
        if stream is not None and not stream.complete:
            in_body = stream.head is not None and not self._skipping
            if exc is None and in_body and not self._framed:
                stream.finish()
            else:
                reason = "" if exc is None else f": {type(exc).__name__}"
                stream.fail(f"the connection was lost{reason}")
        if self.on_closed is not None:
            self.on_closed(self)

    def _end_exchange(self) -> None:
        assert self._transport is not None
        if self._transport.get_write_buffer_size():
            # The answer came before the body was read; it is still sent in full.
            self._spoiled = True
        self._stream = None
        self._parser = None
        if self._spoiled:
            self.close()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Begin a message; a second one belongs to no request."""
        if self._stream is not None and self._stream.complete:
            self._spoiled = True
        self._headers = []
        self._skipping = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decide whether the message is the awaited answer."""
        assert self._parser is not None
        stream = self._stream
        if stream is None or stream.complete:
            self._skipping = True
            return
        head = AnswerHead(self._parser.get_status_code(), self._headers)
        if head.status < 200:
            self._skipping = True
            return
        if not stream.accepts(head):
            self._skipping = True
            self._spoiled = True
            return
        length = head.get(b"content-length")
        coding = head.get(b"transfer-encoding")
        self._framed = (
            length is not None or coding is not None or head.status in (204, 304)
        )
        self._read_idle_timeout(head)
        stream.feed_head(head)
        if stream.without_body:
            self._spoiled = True
            stream.finish()

    def on_body(self, data: bytes) -> None:
        """Take bytes of the body."""
        if not self._skipping and self._stream is not None:
            self._stream.feed(data)

    def on_message_complete(self) -> None:
        """Finish the answer."""
        if self._skipping or self._stream is None or self._parser is None:
            return
        if not self._framed or not self._parser.should_keep_alive():
            self._spoiled = True
        self._stream.finish()

    def _read_idle_timeout(self, head: AnswerHead) -> None:
        value = head.get(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            name, _, seconds = item.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                stated = int(seconds)
                self.idle_seconds = max(stated - IDLE_MARGIN_SECONDS, stated / 2)


class ConnectionPool:
    """Connections to one address.

    Parameters
    ----------
    address : Address
        Where they lead.
    limit : int
        Most connections at a time.
    connect_seconds : float
        Longest wait for a new one.
    """

    def __init__(
        self,
        *,
        address: Address,
        limit: int,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        self.address = address
        self.limit = limit
        self._connect_seconds = connect_seconds
        self.opened = 0
        self._idle: list[Connection] = []
        self._timers: dict[Connection, asyncio.TimerHandle] = {}
        self._count = 0
        self._retired = False

    @property
    def exhausted(self) -> bool:
        """Whether no further request can be sent now."""
        return self._count >= self.limit and not self._idle

    async def acquire(self) -> Connection:
        """Return a connection with no request on it.

        Raises
        ------
        AttemptFailure
            If none can be opened; nothing was sent then.
        """
        while self._idle:
            conn = self._idle.pop()
            self._timers.pop(conn).cancel()
            if conn.reusable:
                conn.reused = True
                return conn
        if self._count >= self.limit:
            raise _unreachable("all connections are in use", FailureCause.REFUSED)
        self._count += 1
        try:
            return await self._open()
        except BaseException:
            self._count -= 1
            raise

    def release(self, conn: Connection) -> None:
        """Take back a connection; one with an unfinished answer is closed."""
        if not conn.reusable or self._retired:
            if conn.busy:
                conn.abort()
            elif not conn.closed:
                conn.close()
            return
        self._idle.append(conn)
        loop = asyncio.get_running_loop()
        self._timers[conn] = loop.call_later(conn.idle_seconds, self._expire, conn)

    def discard_idle(self) -> None:
        """Close all connections without a request."""
        for conn in list(self._idle):
            self._expire(conn)

    def retire(self) -> None:
        """Close each connection as soon as it has no request."""
        self._retired = True
        self.discard_idle()

    def _expire(self, conn: Connection) -> None:
        if conn in self._idle:
            self._idle.remove(conn)
            self._timers.pop(conn).cancel()
        conn.close()

    def _closed(self, conn: Connection) -> None:
        self._count -= 1
        if conn in self._idle:
            self._idle.remove(conn)
            self._timers.pop(conn).cancel()

    async def _open(self) -> Connection:
        loop = asyncio.get_running_loop()
        sock = _new_socket()
        try:
            async with asyncio.timeout(self._connect_seconds):
                await loop.sock_connect(sock, (self.address.host, self.address.port))
                _, conn = await loop.create_connection(Connection, sock=sock)
        except (OSError, TimeoutError) as exc:
            sock.close()
            raise _unreachable(f"no connection: {exc!r}") from exc
        except BaseException:
            sock.close()
            raise
        self.opened += 1
        conn.on_closed = self._closed
        return conn


def _unreachable(
    detail: str, cause: FailureCause = FailureCause.UNREACHABLE
) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.NOT_RUN, cause=cause)


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock
