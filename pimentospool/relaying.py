"""Relay of responses from targets and other entry VMs to the caller."""

from collections.abc import Callable

import msgspec

from pimentospool.errors import Problem
from pimentospool.policy import (
    RegionFlight,
    RegionRoute,
    StreamPosition,
    TargetFlight,
    TargetRoute,
)
from pimentospool.requests import AnswerSink
from pimentospool.targets import Answer, AttemptFailure, EventBatch, FailureCause
from pimentospool.verdicts import Verdict

_OK = 200


class StreamRelay:
    """A stream to the caller that can continue from another source after a failure.

    Parameters
    ----------
    resume_after : int or None
        Number of the last event that the caller already has.
    """

    def __init__(self, *, resume_after: int | None) -> None:
        self._position = StreamPosition(resume_after=resume_after)

    @property
    def last_id(self) -> int | None:
        """Number of the last event that the caller has, None if it has none."""
        return self._position.last_id

    @property
    def resumable(self) -> bool:
        """Whether another source can continue after the last event sent."""
        return self.last_id is not None and self._position.can_continue

    def can_continue_at(self, route: TargetRoute | RegionRoute) -> bool:
        """Whether `route` can continue after the events that the caller already has."""
        if self.last_id is None or isinstance(route, RegionRoute):
            return True
        return route.target.resumes

    async def run(self, answer: Answer, sink: AnswerSink) -> None:
        """Relay the events of `answer` to `sink` up to and including the end event.

        Raises
        ------
        AttemptFailure
            If the stream fails before its end event, or does not continue what the
            caller has; only complete events were sent.
        """
        if answer.status != _OK or not answer.is_stream:
            raise _unknown_outcome_failure("the answer is no stream of events")
        resumed_from = self.last_id
        continues = resumed_from is not None
        while (batch := await answer.next_events()) is not None:
            failure = _failure_from_error_event(batch)
            if failure is not None:
                raise failure
            if resumed_from is not None and batch.first_id is not None:
                batch = _continue_after(resumed_from, batch)
                resumed_from = None
            if continues:
                self._check_events(batch)
            await self._send(answer, batch, sink)
            if batch.done:
                await sink.finish()
                await answer.drain()
                return
        raise _unknown_outcome_failure("the stream ended before its end event")

    async def _send(self, answer: Answer, batch: EventBatch, sink: AnswerSink) -> None:
        if not sink.started:
            await sink.start(status=answer.status, content_type=answer.content_type)
        # The sink refuses what another attempt has answered; the position stays then.
        await sink.write(batch.data)
        self._position.record(batch.without_end)

    def _check_events(self, batch: EventBatch) -> None:
        fault = self._position.events_fault(batch.without_end, at_start=False)
        if fault is not None:
            raise _unknown_outcome_failure(fault)


class AttemptSink:
    """Sink of one attempt, whose first part answers the request.

    Parameters
    ----------
    sink : AnswerSink
        Where the answer goes.
    flight : TargetFlight or RegionFlight
        The router's record of the attempt in progress.
    claim : callable
        Called before each part; ends the request's other attempt, or raises an
        `AttemptFailure` if that one has answered.
    """

    def __init__(
        self,
        *,
        sink: AnswerSink,
        flight: TargetFlight | RegionFlight,
        claim: Callable[[], None],
    ) -> None:
        self._sink = sink
        self._flight = flight
        self._claim = claim

    @property
    def started(self) -> bool:
        """Whether the start of a response has been sent."""
        return self._sink.started

    async def send_whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Send a complete response."""
        self._claim()
        self._flight.first_token()
        await self._sink.send_whole(status=status, content_type=content_type, body=body)

    async def start(self, *, status: int, content_type: str) -> None:
        """Start a streamed response."""
        self._claim()
        await self._sink.start(status=status, content_type=content_type)

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed response."""
        self._claim()
        self._flight.first_token()
        await self._sink.write(data)

    async def finish(self) -> None:
        """End a streamed response."""
        await self._sink.finish()


async def relay_body(answer: Answer, sink: AnswerSink) -> None:
    """Send the body of `answer` to `sink` once it has arrived whole.

    Raises
    ------
    AttemptFailure
        If the body does not arrive whole; nothing was sent.
    """
    body = await answer.body()
    await sink.send_whole(
        status=answer.status, content_type=answer.content_type, body=body
    )


async def hop_failure(answer: Answer) -> AttemptFailure:
    """Return the failure in the error response of another entry VM."""
    return failure_from_problem(await answer.body())


def failure_from_problem(data: bytes) -> AttemptFailure:
    """Return the failure that the problem document in `data` describes."""
    try:
        problem = msgspec.json.decode(data, type=Problem)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _unknown_outcome_failure(
            "the other side failed with no readable problem"
        )
    return AttemptFailure(
        detail=problem.detail,
        verdict=problem.verdict,
        cause=FailureCause.REFUSED,
        problem=problem,
    )


def _failure_from_error_event(batch: EventBatch) -> AttemptFailure | None:
    error = batch.error
    return None if error is None else failure_from_problem(error)


def _continue_after(number: int, batch: EventBatch) -> EventBatch:
    """Return `batch` without event `number`, as the continuation after it.

    Raises
    ------
    AttemptFailure
        If the next event does not directly follow `number`.
    """
    rest = batch.without_event(number)
    if rest.first_id not in (None, number + 1):
        raise _unknown_outcome_failure(
            "the stream was not resumed after its last event"
        )
    return rest


def _unknown_outcome_failure(detail: str) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.MAY_HAVE_RUN)
