"""Responses of targets and peers, read while they arrive."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

from pimentospool.policy import AnswerHold, MemoryHold
from pimentospool.sockets import RECEIVE_BUFFER_BYTES
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

MAX_BUFFERED_BYTES = 256 * 1024
"""Unread bytes of a response above which the connection stops reading."""
MAX_STREAMED_BYTES = 64 * 1024
"""The same of a response that is passed on as its caller takes it. The transport to the
caller may hold as much again."""
HEADER_BYTES = 400
"""Memory of a short header until its response is passed on: 22 MB for 60 responses of
900 headers."""
HEADER_BYTE_FACTOR = 3
"""Memory per byte of a header: as bytes, as text and in what is sent."""

Headers = list[tuple[bytes, bytes]]


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header with the lower-case `name`."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class BodyEnd(Enum):
    """What tells the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close of the connection"
    NO_BODY = "no body"


class EncodedRequest(msgspec.Struct, kw_only=True, frozen=True):
    """An encoded request and a check of which response belongs to it."""

    data: bytes
    """Head of the request."""
    accepts: Callable[[AnswerHead], bool]
    """Returns whether a response with this head may belong to the request."""
    body: bytes | memoryview = b""
    """Body of the request; it is not copied."""
    body_hold: MemoryHold | None = None
    """Memory of the body, which is held until the body is sent."""
    answer_hold: AnswerHold | None = None
    """Memory of the response, which grows while the response waits to be read."""
    without_body: bool = False
    """Whether the response has no body, whatever its headers say (HEAD requests)."""


class ReadControl(Protocol):
    """Connection on which a response arrives."""

    def pause(self) -> None:
        """Stop reading from the peer."""

    def resume(self) -> None:
        """Go on reading from the peer."""

    def widen(self) -> None:
        """Read the rest of the response in larger pieces."""

    def abort(self) -> None:
        """Close the connection at once."""


class AnswerStream:
    """One response, read while it arrives on its connection."""

    def __init__(
        self, *, conn: ReadControl, req: EncodedRequest, conn_was_used: bool
    ) -> None:
        self.conn_was_used = conn_was_used
        """Whether the connection carried another exchange before."""
        self.head: AnswerHead | None = None
        self.body_end: BodyEnd | None = None
        self.complete = False
        self.held_back_at: float | None = None
        """Monotonic time in seconds at which it first waited for room."""
        self._conn = conn
        self._accepts = req.accepts
        self.without_body = req.without_body
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._max_buffered_bytes = MAX_STREAMED_BYTES
        self._uncounted_bytes = 0
        """Bytes of the body that the current read has brought."""
        self._hold = req.answer_hold
        self._header_bytes = 0
        """Memory that is counted for headers."""
        self._read_bytes = 0
        """Size of the bytes that the last `read` returned."""
        self._error: AttemptFailure | None = None
        self._waiter: asyncio.Future[None] | None = None

    async def wait_head(self) -> AnswerHead:
        """Return the head once it has arrived.

        Raises
        ------
        AttemptFailure
            If the connection fails first.
        """
        while self.head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self.head

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end.

        The bytes that the last call returned are no longer held.

        Raises
        ------
        AttemptFailure
            If the connection fails before the end of the body.
        """
        if self._hold is not None:
            self._hold.shrink(self._read_bytes)
        self._read_bytes = 0
        while not self._chunks:
            if self.complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        self._read_bytes = len(data)
        self._read_on()
        return data

    async def hold_whole(self, length: int | None) -> bool:
        """Count all of a response that the reader holds until it is whole.

        Answers that fit only in part would otherwise keep each other from being whole.
        It waits, unread, until there is room in the shares of its target and service.

        Parameters
        ----------
        length : int or None
            Length of the body; if it isn't known, the reader counts what it holds.

        Returns
        -------
        bool
            Whether the response fits.
        """
        self._max_buffered_bytes = MAX_BUFFERED_BYTES
        if self._hold is not None:
            self._hold.hold_whole()
        if self._hold is None or length is None:
            return True
        size_bytes = length + min(length, MAX_BUFFERED_BYTES)
        while not (self.complete or self._hold.may_read(self._wake, size_bytes)):
            self._hold_back()
            await self._wait()
            if self._error is not None:
                raise self._error
        self._conn.resume()
        if not self._hold.grow(size_bytes):
            return False
        if length > RECEIVE_BUFFER_BYTES:
            self._conn.widen()
        self._hold = None
        return True

    def accepts(self, head: AnswerHead) -> bool:
        """Whether a response with `head` may belong to the request."""
        return self._accepts(head)

    def feed_head(self, head: AnswerHead, body_end: BodyEnd) -> None:
        """Store the head of the response and wake the reader."""
        if self._error is not None:
            return
        self.head = head
        self.body_end = body_end
        self._wake()

    def count_header(self, name: bytes, value: bytes) -> bool:
        """Count a header, or trailer, as it arrives; return whether it fits."""
        size_bytes = HEADER_BYTES + HEADER_BYTE_FACTOR * (len(name) + len(value))
        if not self._count(size_bytes):
            return False
        self._header_bytes += size_bytes
        return True

    def drop_headers(self) -> None:
        """Count the headers no more of a response that belongs to no request."""
        if self._hold is not None:
            self._hold.shrink(self._header_bytes)
        self._header_bytes = 0

    def feed_body(self, data: bytes) -> None:
        """Append bytes of the body and wake the reader; `end_read` counts them."""
        if self._error is not None:
            return
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._uncounted_bytes += len(data)
        self._wake()

    def end_read(self) -> None:
        """Count what a read of the connection has brought, however many chunks.

        A response that doesn't fit in memory fails.
        """
        if self._count_body():
            self._read_on()

    def _count_body(self) -> bool:
        size_bytes, self._uncounted_bytes = self._uncounted_bytes, 0
        return size_bytes > 0 and self._count(size_bytes)

    def _count(self, size_bytes: int) -> bool:
        """Count bytes that have arrived; if they don't fit, fail and return False."""
        if self._hold is None or self._hold.grow(size_bytes):
            return True
        self.fail("no memory for the answer", FailureCause.NO_MEMORY)
        self._chunks.clear()
        self._conn.abort()
        return False

    def _read_on(self) -> None:
        """Read from the connection only while the response has room for more."""
        if self._buffered_bytes > self._max_buffered_bytes and not self.complete:
            self._conn.pause()
        elif self.complete or self._hold is None or self._hold.may_read(self._read_on):
            self._conn.resume()
        else:
            self._hold_back()

    def _hold_back(self) -> None:
        self._conn.pause()
        if self.held_back_at is None:
            self.held_back_at = time.monotonic()

    def finish(self) -> None:
        """Mark the response as complete, unless it has failed."""
        self._count_body()
        self.complete = self._error is None
        self._conn.resume()
        self._wake()

    def fail(self, detail: str, cause: FailureCause = FailureCause.BROKEN) -> None:
        """Mark the response as failed, unless it is complete."""
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


def stated_length(head: AnswerHead) -> int | None:
    """Return the length of the body that a response states, None if it states none."""
    value = head.get(b"content-length") or b""
    return int(value) if value.isdigit() else None


def find_body_end(head: AnswerHead) -> BodyEnd:
    """Return what tells the end of the body of a response with `head`."""
    if head.status in (204, 304):
        return BodyEnd.NO_BODY
    if head.get(b"transfer-encoding") is not None:
        return BodyEnd.CHUNKS
    return BodyEnd.CLOSE if head.get(b"content-length") is None else BodyEnd.LENGTH
