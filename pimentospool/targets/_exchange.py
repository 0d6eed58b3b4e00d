"""HTTP exchanges, and reading and validation of their responses."""

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress
from types import TracebackType
from typing import Protocol, Self

import aiohttp
import msgspec

from pimentospool.sending import TRANSPORT_ERRORS
from pimentospool.targets._events import MAX_EVENT_BYTES, EventBatch, EventSplitter
from pimentospool.targets._failures import (
    AttemptFailure,
    FailureCause,
    transport_failure,
)
from pimentospool.targets._watchdog import ReadWatchdog
from pimentospool.verdicts import Verdict

NOT_EXECUTED_HEADER = "X-Not-Executed"
VERDICT_HEADER = "X-Verdict"
REQUEST_ID_HEADER = "X-Request-Id"
LAST_EVENT_HEADER = "Last-Event-ID"
EVENT_STREAM = "text/event-stream"
PROBLEM_TYPE = "application/problem+json"
MAX_BODY_BYTES = 32 * 1024 * 1024
"""Limit on a response that is held until it is whole, twice as long as sound ones; a
faulty target sends one without end."""
_TOO_MANY_REQUESTS = 429
_MIN_STATUS, _MAX_STATUS = 100, 599
"""Range of statuses (RFC 9110, section 15); a faulty target sends others."""
_SERVER_ERROR = 500


class SilenceObserver(Protocol):
    """Decides what follows from the silence of the other side."""

    def begin_wait(self, timeout_seconds: float) -> None:
        """Record that a part of the response is waited for.

        Parameters
        ----------
        timeout_seconds : float
            Time after which the other side counts as silent.
        """
        ...

    def end_wait(self) -> None:
        """Record that the part has arrived."""
        ...


class Exchange(msgspec.Struct, kw_only=True):
    """A request as it is sent to a target or to another entry VM.

    `timeout_seconds` bounds the whole exchange, `first_byte_timeout_seconds` the wait
    for the first byte of the response. With a `silence_observer`, only
    `timeout_seconds` ends the exchange. An `idempotent` exchange may run twice. The
    response to a hop (`is_hop`) may be a problem document, which has a verdict of its
    own.
    `before_sending` is called without an await before the first byte is handed to a
    socket; if it raises, nothing is sent and the exception is passed on.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    timeout_seconds: float
    first_byte_timeout_seconds: float
    idempotent: bool
    is_hop: bool = False
    before_sending: Callable[[], None] | None = None
    silence_observer: SilenceObserver | None = None


class Answer:
    """Response of which the status and the headers have arrived.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
        Response whose body has not been read yet.
    exchange : Exchange
        The request.
    deadline : float
        Time of the loop's clock at which reading is aborted.
    progress_timeout_seconds : float
        Longest wait for each chunk of the body after the first.
    """

    def __init__(
        self,
        *,
        resp: aiohttp.ClientResponse,
        exchange: Exchange,
        deadline: float,
        progress_timeout_seconds: float,
    ) -> None:
        self.status = resp.status
        self.content_type = resp.headers.get("Content-Type", "application/json")
        self._resp = resp
        self._splitter = EventSplitter()
        self._observer = exchange.silence_observer
        self._wait_timeout_seconds = exchange.first_byte_timeout_seconds
        self._progress_timeout_seconds = progress_timeout_seconds
        observed = self._observer is not None
        self._watchdog = ReadWatchdog(
            on_timeout=resp.close,
            first_timeout_seconds=math.inf
            if observed
            else exchange.first_byte_timeout_seconds,
            later_timeout_seconds=math.inf if observed else progress_timeout_seconds,
            deadline=deadline,
        )

    def __enter__(self) -> Self:
        self._watchdog.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._watchdog.stop()

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of server-sent events."""
        return self.content_type.startswith(EVENT_STREAM)

    @property
    def is_refusal(self) -> bool:
        """Whether the response is a problem document of another entry VM."""
        return VERDICT_HEADER in self._resp.headers

    async def body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        AttemptFailure
            If the body ends early, stalls, is too long, or has no framing that shows
            its end.
        """
        self._require_framing()
        _check_size(self._resp.content_length or 0)
        body = bytearray()
        while chunk := await self._read():
            _check_size(len(body) + len(chunk))
            body += chunk
        return bytes(body)

    async def next_events(self) -> EventBatch | None:
        """Return the events that arrive next, None at the end of the body.

        Raises
        ------
        AttemptFailure
            If the body ends within an event, stalls, or an event is too long.
        """
        splitter = self._splitter
        while chunk := await self._read():
            batch = splitter.feed(chunk)
            if batch is not None:
                return batch
            if splitter.pending_bytes > MAX_EVENT_BYTES:
                raise _broken_exchange("an event of the stream is too long")
        if splitter.pending_bytes:
            raise _broken_exchange("the stream ended within an event")
        return None

    async def drain(self) -> None:
        """Read the end of the body, so that the connection can be reused.

        A failure here is ignored, as the caller already has the end event. Silence
        isn't observed any more, as no other attempt is needed.
        """
        self._observer = None
        with suppress(AttemptFailure, TimeoutError):
            async with asyncio.timeout(self._progress_timeout_seconds):
                await self.next_events()

    async def _read(self) -> bytes:
        watchdog = self._watchdog
        watchdog.is_reading = True
        if self._observer is not None:
            self._observer.begin_wait(self._wait_timeout_seconds)
        try:
            chunk: bytes = await self._resp.content.readany()
        except TRANSPORT_ERRORS as exc:
            raise self._read_failure(exc) from exc
        watchdog.record_progress()
        if self._observer is not None:
            self._observer.end_wait()
            self._wait_timeout_seconds = self._progress_timeout_seconds
        return chunk

    def _read_failure(self, exc: Exception) -> AttemptFailure:
        cause = self._watchdog.timeout_cause
        if cause is None:
            return transport_failure(exc, Verdict.MAY_HAVE_RUN)
        return AttemptFailure(
            detail="the answer stopped without an end",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=cause,
        )

    def _require_framing(self) -> None:
        headers = self._resp.headers
        codings = headers.get("Transfer-Encoding", "").lower()
        # Any other last coding ends with the connection (RFC 9112, section 6.3).
        if "Content-Length" in headers or codings.endswith("chunked"):
            return
        if self._resp.status not in (204, 304):
            raise _broken_exchange("the answer does not say how long it is")


def check_answer(resp: aiohttp.ClientResponse, exchange: Exchange) -> None:
    """Raise unless `resp` is a response to `exchange` that may be forwarded.

    Raises
    ------
    AttemptFailure
        With ``NOT_RUN`` for a refusal that proves that nothing ran. With
        ``MAY_HAVE_RUN`` for a response to another request, a response with a content
        encoding that was not requested, and a server error without such a proof.
    """
    answer_id = resp.headers.get(REQUEST_ID_HEADER)
    if answer_id and answer_id != exchange.request_id:
        raise AttemptFailure(
            detail="the answer belongs to another request",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=FailureCause.FOREIGN_ANSWER,
        )
    if not _MIN_STATUS <= resp.status <= _MAX_STATUS:
        raise _broken_exchange(f"the answer has the status {resp.status}")
    if exchange.is_hop and VERDICT_HEADER in resp.headers:
        return
    if resp.status >= 400 and NOT_EXECUTED_HEADER in resp.headers:
        raise AttemptFailure(
            detail=f"the target refused the request with status {resp.status}",
            verdict=Verdict.NOT_RUN,
            cause=FailureCause.REFUSED,
        )
    if resp.status >= _SERVER_ERROR or resp.status == _TOO_MANY_REQUESTS:
        raise AttemptFailure(
            detail=f"the target answered with status {resp.status}",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=FailureCause.TARGET_ERROR,
        )
    if resp.headers.get("Content-Encoding", "identity") != "identity":
        raise _broken_exchange(
            "the target encoded its answer though nothing asked for it"
        )


def _check_size(size_bytes: int) -> None:
    if size_bytes > MAX_BODY_BYTES:
        raise _broken_exchange(f"the answer is longer than {MAX_BODY_BYTES} bytes")


def _broken_exchange(detail: str) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.MAY_HAVE_RUN)


def deadline_after(seconds: float) -> float:
    """Return the time of the loop's clock that is `seconds` from now."""
    return asyncio.get_running_loop().time() + seconds
