"""One HTTP exchange and the reading of its answer."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

import aiohttp
import msgspec

from pimentospool.sending import TRANSPORT_ERRORS
from pimentospool.targets._events import MAX_EVENT_BYTES, EventBatch, EventSplitter
from pimentospool.targets._failures import (
    AttemptFailure,
    FailureCause,
    transport_failure,
)
from pimentospool.targets._watchdog import SilenceWatchdog
from pimentospool.verdicts import Verdict

NOT_EXECUTED_HEADER = "X-Not-Executed"
VERDICT_HEADER = "X-Verdict"
REQUEST_ID_HEADER = "X-Request-Id"
LAST_EVENT_HEADER = "Last-Event-ID"
EVENT_STREAM = "text/event-stream"
PROBLEM_TYPE = "application/problem+json"
_TOO_MANY_REQUESTS = 429
_SERVER_ERROR = 500


class Exchange(msgspec.Struct, kw_only=True):
    """A request as it is sent to a target or to another entry VM.

    `timeout_seconds` bounds the whole exchange, `answer_seconds` the wait for the
    first byte of its answer. A `repeatable` exchange may run twice; one `to_entry`
    may be answered with a problem document, which carries its own verdict.
    `before_sending` is called with no await before the first byte is handed to a
    socket; what it raises ends the exchange unsent.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    timeout_seconds: float
    answer_seconds: float
    repeatable: bool
    to_entry: bool = False
    before_sending: Callable[[], None] | None = None


class Answer:
    """An answer whose status has arrived.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
        Response whose body is still to be read.
    exchange : Exchange
        The request.
    deadline : float
        Time of the loop's clock at which the answer is given up.
    progress_timeout_seconds : float
        Longest silence after the first piece of the body.
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
        self._watchdog = SilenceWatchdog(
            on_silence=resp.close,
            first_seconds=exchange.answer_seconds,
            later_seconds=progress_timeout_seconds,
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
        """Whether the answer is a stream of events."""
        return self.content_type.startswith(EVENT_STREAM)

    @property
    def is_refusal(self) -> bool:
        """Whether an entry VM answered with a problem document of its own."""
        return VERDICT_HEADER in self._resp.headers

    async def body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        AttemptFailure
            If the body ends early, stays silent, or cannot be known to be whole.
        """
        self._check_length_known()
        pieces = []
        while piece := await self._read():
            pieces.append(piece)
        return b"".join(pieces)

    async def next_events(self) -> EventBatch | None:
        """Return the events that arrive next, or None at the end of the body.

        Raises
        ------
        AttemptFailure
            If the body ends within an event or stays silent for too long.
        """
        splitter = self._splitter
        while piece := await self._read():
            batch = splitter.feed(piece)
            if batch is not None:
                return batch
            if splitter.pending_bytes > MAX_EVENT_BYTES:
                raise _broken("an event of the stream is too long")
        if splitter.pending_bytes:
            raise _broken("the stream ended within an event")
        return None

    async def _read(self) -> bytes:
        watchdog = self._watchdog
        watchdog.reading = True
        try:
            piece: bytes = await self._resp.content.readany()
        except TRANSPORT_ERRORS as exc:
            raise self._failure(exc) from exc
        watchdog.progressed()
        return piece

    def _failure(self, exc: Exception) -> AttemptFailure:
        cause = self._watchdog.expired
        if cause is None:
            return transport_failure(exc, Verdict.MAY_HAVE_RUN)
        return AttemptFailure(
            detail="the answer stopped without an end",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=cause,
        )

    def _check_length_known(self) -> None:
        headers = self._resp.headers
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            return
        if self._resp.status not in (204, 304):
            raise _broken("the answer does not say how long it is")


def check_answer(resp: aiohttp.ClientResponse, exchange: Exchange) -> None:
    """Raise unless `resp` is an answer to `exchange` that may be passed on.

    Raises
    ------
    AttemptFailure
        For a proven refusal (``NOT_RUN``), for an answer to another request, for
        an answer that is encoded though nothing asked for that, and for a server
        error without proof that nothing ran (all ``MAY_HAVE_RUN``).
    """
    answered = resp.headers.get(REQUEST_ID_HEADER)
    if answered and answered != exchange.request_id:
        raise AttemptFailure(
            detail="the answer belongs to another request",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=FailureCause.FOREIGN_ANSWER,
        )
    if exchange.to_entry and VERDICT_HEADER in resp.headers:
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
        raise _broken("the target encoded its answer though nothing asked for it")


def _broken(detail: str) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.MAY_HAVE_RUN)


def deadline_after(seconds: float) -> float:
    """Return the time of the loop's clock `seconds` from now."""
    return asyncio.get_running_loop().time() + seconds
