"""Kept HTTP/1.1 connections to targets and peers, one request at a time on each.

Parsing is httptools'. A connection is used again only if its last answer ended
exactly: bytes that belong to no request close it, as a fault of the other side
might otherwise be taken for the answer to the next request.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools
import msgspec

from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

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
