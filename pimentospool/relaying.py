"""Relay of answers from targets and other entry VMs to the caller."""

import msgspec

from pimentospool.errors import Problem
from pimentospool.policy import RegionFlight, RegionRoute, TargetFlight, TargetRoute
from pimentospool.requests import AnswerSink
from pimentospool.targets import Answer, AttemptFailure, EventBatch, FailureCause
from pimentospool.verdicts import Verdict

_OK = 200


class StreamRelay:
    """A stream on its way to the caller; it outlives failures of its source.

    Parameters
    ----------
    resume_after : int or None
        Number of the last event that the caller already has.
    """

    def __init__(self, *, resume_after: int | None) -> None:
        self.last_id = resume_after

    @property
    def resumable(self) -> bool:
        """Whether another source can continue after the last event sent."""
        return self.last_id is not None

    def continues_at(self, route: TargetRoute | RegionRoute) -> bool:
        """Whether `route` can go on with what the caller already has."""
        if self.last_id is None or isinstance(route, RegionRoute):
            return True
        return route.target.resumes

    async def run(self, answer: Answer, sink: AnswerSink) -> None:
        """Relay the events of `answer` to `sink` up to the end event.

        Raises
        ------
        AttemptFailure
            If the stream fails before its end event; whole events were sent on.
        """
        if answer.status != _OK or not answer.is_stream:
            raise _failure("the answer is no stream of events")
        resumed_from = self.last_id
        while (batch := await answer.next_events()) is not None:
            failure = _source_failure(batch)
            if failure is not None:
                raise failure
            if resumed_from is not None and batch.first_id is not None:
                batch = _continue_after(resumed_from, batch)
                resumed_from = None
            await self._send(answer, batch, sink)
            if batch.done:
                await sink.finish()
                await _read_to_end(answer)
                return
        raise _failure("the stream ended before its end event")

    async def _send(self, answer: Answer, batch: EventBatch, sink: AnswerSink) -> None:
        if not sink.started:
            await sink.start(status=answer.status, content_type=answer.content_type)
        last_id = batch.last_id
        if last_id is not None:
            self.last_id = last_id
        await sink.write(batch.data)


class FlightSink:
    """Tells routing of the first bytes of an answer on its way to the sink.

    Parameters
    ----------
    sink : AnswerSink
        Where the answer goes.
    flight : TargetFlight or RegionFlight
        The attempt, as routing follows it.
    """

    def __init__(
        self, *, sink: AnswerSink, flight: TargetFlight | RegionFlight
    ) -> None:
        self._sink = sink
        self._flight = flight

    @property
    def started(self) -> bool:
        """Whether the start of an answer has been sent."""
        return self._sink.started

    async def whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Send a whole answer."""
        self._flight.first_token()
        await self._sink.whole(status=status, content_type=content_type, body=body)

    async def start(self, *, status: int, content_type: str) -> None:
        """Begin a streamed answer."""
        await self._sink.start(status=status, content_type=content_type)

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        self._flight.first_token()
        await self._sink.write(data)

    async def finish(self) -> None:
        """End a streamed answer."""
        await self._sink.finish()


async def relay_whole(answer: Answer, sink: AnswerSink) -> None:
    """Send the whole body of `answer` to `sink`, or nothing.

    Raises
    ------
    AttemptFailure
        If the body does not arrive whole.
    """
    body = await answer.body()
    await sink.whole(status=answer.status, content_type=answer.content_type, body=body)


async def hop_failure(answer: Answer) -> AttemptFailure:
    """Return the failure that another entry VM answered with."""
    return problem_failure(await answer.body())


def problem_failure(data: bytes) -> AttemptFailure:
    """Return the failure that a problem document tells of."""
    try:
        problem = msgspec.json.decode(data, type=Problem)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _failure("the other side failed with no readable problem")
    return AttemptFailure(
        detail=problem.detail,
        verdict=problem.verdict,
        cause=FailureCause.REFUSED,
        problem=problem,
    )


def _source_failure(batch: EventBatch) -> AttemptFailure | None:
    error = batch.error
    return None if error is None else problem_failure(error)


def _continue_after(number: int, batch: EventBatch) -> EventBatch:
    """Return `batch` as the continuation of a stream after event `number`."""
    rest = batch.without_event(number)
    if rest.first_id not in (None, number + 1):
        raise _failure("the stream was not resumed after its last event")
    return rest


async def _read_to_end(answer: Answer) -> None:
    """Let the connection be used again where the body ends as it should."""
    try:
        await answer.next_events()
    except AttemptFailure:
        return


def _failure(detail: str) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.MAY_HAVE_RUN)
