"""Persistent HTTP/1.1 connections to targets and peers, without pipelining.

httptools parses the responses. A connection is reused only if its last response ended
exactly where its framing says. Bytes that belong to no request close the connection,
as a faulty peer's extra bytes could otherwise be taken for the next response.
"""

import asyncio
import math
import time
from collections.abc import Callable
from typing import cast

import httptools

from pimentospool.errors import PimentospoolError
from pimentospool.gateway._answer_streams import (
    AnswerHead,
    AnswerStream,
    BodyEnd,
    EncodedRequest,
    Headers,
    find_body_end,
)
from pimentospool.policy import MemoryHold
from pimentospool.sockets import (
    LONG_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    set_receive_buffer,
    set_reset_on_close,
)

DEFAULT_IDLE_SECONDS = 4.0
"""Time after which an idle connection is closed if the server states no timeout."""
MAX_IDLE_SECONDS = 3600
"""Limit on the idle timeout that a server states."""
IDLE_MARGIN_SECONDS = 1.0
"""Subtracted from the idle timeout that a server states in whole seconds."""
MAX_FRAMING_BYTES = 64 * 1024
"""Limit on the bytes of a response that are not part of its body: its head, trailers,
and responses before it that belong to no request. A faulty server sends them without
end."""
MAX_FRAMING_RATIO = 8
"""Bytes of framing that are allowed in addition for each byte of the body; the smallest
chunks take six."""
MAX_CHUNKS = 20_000
CHUNKS_PER_SECOND = 200
BYTES_PER_CHUNK = 24
"""Limit on the chunks of a body: this number, so many more for each second since its
request was sent, and one more for each so many bytes, framing included, so that events
of a stream are not limited. The time to parse a body grows with its chunks, and a
faulty server sends the smallest ones without end."""
MAX_HEADERS = 1000
"""Limit on the headers of a response, trailers included, and of each one before it."""
WRITE_BYTES = 64 * 1024
"""Bytes of a request's body that are handed to the transport at once; it copies what
the socket doesn't take."""
FLUSH_TIMEOUT_SECONDS = 5.0
"""Time for which a server that has answered may take the rest of the request; it is
held meanwhile."""


class ExcessivePartsError(PimentospoolError):
    """A response has too many headers, or chunks; ends its parsing."""


class Connection(asyncio.Protocol):
    """One connection; `send` may be called again once the response is complete."""

    def __init__(self) -> None:
        self.closed = False
        self.lost = False
        """Whether it ended though neither side had announced that."""
        self.closed_idle = False
        """Whether the peer has closed it while no response was outstanding."""
        self.closed_unheard = False
        """Whether it has ended unexpectedly, after an earlier response, before any byte
        of the outstanding one."""
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self.opened_at = self.heard_at = time.monotonic()
        self.on_closed: Callable[[Connection], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._stream: AnswerStream | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: Headers = []
        self._header_count = 0
        self._ignoring_message = False
        self._must_close = False
        self._was_used = False
        self._peer_closed = False
        self._paused = False
        self._is_wide = False
        self._received_bytes = 0
        """Bytes received since the last request was sent."""
        self._body_bytes = 0
        self._chunks = 0
        self._max_chunks = math.inf
        self._sent_at = 0.0
        self._unsent = memoryview(b"")
        """Rest of the request's body."""
        self._unsent_hold: MemoryHold | None = None
        self._writing_paused = False
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return not (self.closed or self._must_close or self._stream is not None)

    @property
    def closed_by_peer(self) -> bool:
        """Whether the peer has closed or reset the connection."""
        return self._peer_closed

    @property
    def busy(self) -> bool:
        """Whether a response is outstanding or unfinished."""
        return self._stream is not None

    def send(self, req: EncodedRequest) -> AnswerStream:
        """Write `req` and return the stream of its response."""
        assert self._transport is not None
        assert self._stream is None
        self._stream = AnswerStream(conn=self, req=req, conn_was_used=self._was_used)
        self._was_used = True
        self._parser = httptools.HttpResponseParser(self)
        self._received_bytes = self._body_bytes = self._chunks = 0
        self._sent_at = time.monotonic()
        self._unsent = memoryview(req.body)
        if req.body_hold is not None and req.body:
            self._unsent_hold = req.body_hold
            self._unsent_hold.share()
        self._transport.write(req.data)
        self._write_unsent()
        return self._stream

    def pause_writing(self) -> None:
        """Send no more of the body until `resume_writing`."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Go on sending the body."""
        self._writing_paused = False
        self._write_unsent()

    def _write_unsent(self) -> None:
        assert self._transport is not None
        while self._unsent and not self._writing_paused:
            if self._transport.is_closing():
                self._drop_unsent()
                return
            data, self._unsent = self._unsent[:WRITE_BYTES], self._unsent[WRITE_BYTES:]
            # A view would keep the whole body until the last bytes are sent.
            self._transport.write(bytes(data))
        if not self._unsent:
            self._drop_unsent()
            if self._closing:
                self._transport.close()

    def _drop_unsent(self) -> None:
        self._unsent = memoryview(b"")
        if self._unsent_hold is not None:
            self._unsent_hold.release()
            self._unsent_hold = None

    def close(self) -> None:
        """Close once all buffered data is written, or can't be."""
        self._must_close = True
        if self._transport is None or self._closing:
            return
        self._closing = True
        if self._unsent or self._transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_TIMEOUT_SECONDS, self._transport.abort)
        if not self._unsent:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection and discard buffered data.

        A server may take the end of the data that it receives for a sender that still
        reads, and run on; it is also sent only after all data before it.
        """
        self._must_close = True
        if self._transport is None:
            return
        if not self._transport.is_closing():
            set_reset_on_close(self._transport, enabled=True)
        self._drop_unsent()
        self._transport.abort()

    def pause(self) -> None:
        """Stop reading until `resume`."""
        if not self._paused and not self.closed and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        if self._paused and not self.closed and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def widen(self) -> None:
        """Read the rest of the response in larger pieces; its bytes are counted."""
        if not self.closed and self._transport is not None:
            self._is_wide = True
            set_receive_buffer(self._transport, LONG_RECEIVE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; unexpected bytes close the connection."""
        if self._closing and self._stream is None:
            return
        if self._stream is None or self._parser is None:
            self.abort()
            return
        stream = self._stream
        self.heard_at = time.monotonic()
        self._received_bytes += len(data)
        self._max_chunks = (
            MAX_CHUNKS
            + CHUNKS_PER_SECOND * (self.heard_at - self._sent_at)
            + self._received_bytes // BYTES_PER_CHUNK
        )
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            stream.fail(f"the answer is not HTTP: {exc}")
            self.abort()
            return
        stream.end_read()
        if stream.complete:
            self._end_exchange()
        elif self._has_excess_framing:
            stream.fail(f"{self._received_bytes} bytes without the answer")
            self.abort()

    @property
    def _has_excess_framing(self) -> bool:
        framing_bytes = self._received_bytes - self._body_bytes
        return framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._body_bytes

    def eof_received(self) -> bool:
        """Close the connection when the peer has closed it."""
        self._peer_closed = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the response: as complete only if the peer's close ends its body."""
        self.closed = True
        self._drop_unsent()
        self._peer_closed |= isinstance(exc, ConnectionError)
        stream, self._stream = self._stream, None
        unfinished = stream is not None and not stream.complete
        announced = self._closing or (self._must_close and not unfinished)
        self.lost = (self._peer_closed or exc is not None) and not announced
        self.closed_idle = self.lost and exc is None and not unfinished
        self.closed_unheard = (
            self.lost and unfinished and self.opened_at < self.heard_at <= self._sent_at
        )
        if stream is not None and not stream.complete:
            ends_by_close = stream.body_end is BodyEnd.CLOSE
            if exc is None and self._peer_closed and ends_by_close:
                stream.finish()
                self.lost = False
            else:
                reason = "" if exc is None else f": {type(exc).__name__}"
                stream.fail(f"the connection was lost{reason}")
        if self.on_closed is not None:
            self.on_closed(self)

    def _end_exchange(self) -> None:
        assert self._transport is not None
        if self._unsent or self._transport.get_write_buffer_size():
            # The server responded before reading the whole request. The rest is still
            # sent, but the connection isn't reused.
            self._must_close = True
        self._stream = None
        self._parser = None
        if self._must_close:
            self.close()
        elif self._is_wide:
            self._is_wide = False
            set_receive_buffer(self._transport, RECEIVE_BUFFER_BYTES)

    # Callbacks called by httptools.

    def on_message_begin(self) -> None:
        """Reset the parser state; a second message belongs to no request."""
        if self._stream is not None and self._stream.complete:
            self._must_close = True
        elif self._stream is not None:
            self._stream.drop_headers()
        self._header_count = 0
        self._headers = []
        self._ignoring_message = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or count a trailer, which is not passed on."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            detail = f"over {MAX_HEADERS} headers"
            if self._stream is not None:
                self._stream.fail(detail)
            raise ExcessivePartsError(detail)
        if self._stream is not None and not self._stream.count_header(name, value):
            raise ExcessivePartsError("no memory for the headers")
        if self._stream is None or self._stream.head is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decide whether the message is the response to the request."""
        assert self._parser is not None
        stream = self._stream
        if stream is None or stream.complete:
            self._ignoring_message = True
            return
        head = AnswerHead(self._parser.get_status_code(), self._headers)
        if 100 <= head.status < 200:
            self._ignoring_message = True
            return
        if not stream.accepts(head):
            self._ignoring_message = True
            self._must_close = True
            return
        self._read_idle_timeout(head)
        stream.feed_head(head, find_body_end(head))
        if stream.without_body:
            self._must_close = True
            stream.finish()

    def on_body(self, data: bytes) -> None:
        """Pass bytes of the body to the response."""
        if not self._ignoring_message and self._stream is not None:
            self._body_bytes += len(data)
            self._chunks += 1
            if self._chunks > self._max_chunks:
                detail = f"{self._chunks} chunks for {self._body_bytes} bytes"
                self._stream.fail(detail)
                raise ExcessivePartsError(detail)
            self._stream.feed_body(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self._ignoring_message or self._stream is None or self._parser is None:
            return
        if not self._parser.should_keep_alive():
            self._must_close = True
        self._stream.finish()

    def _read_idle_timeout(self, head: AnswerHead) -> None:
        value = head.get(b"keep-alive")
        if value is None:
            return
        for item in value.split(b","):
            name, _, seconds = item.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                stated_seconds = min(int(seconds[:6]), MAX_IDLE_SECONDS)
                self.idle_seconds = max(
                    stated_seconds - IDLE_MARGIN_SECONDS, stated_seconds / 2
                )
