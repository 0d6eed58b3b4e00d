"""How requests ended; the dispatcher's ``request_ended`` signal carries it."""

from collections.abc import Callable

import msgspec

from pimentospool.errors import Reason
from pimentospool.ids import CustomerId, RegionId, RequestId, TargetId
from pimentospool.requests import AnswerSink, GatewayRequest, RequestKind
from pimentospool.verdicts import Verdict


class RequestOutcome(msgspec.Struct, kw_only=True, frozen=True):
    """The end of one request at one entry VM; times in seconds.

    A request that was sent to another region ends once at each of the two entry
    VMs; the second one has `hopped` set.
    """

    request_id: RequestId
    customer: CustomerId
    kind: RequestKind
    verdict: Verdict
    hopped: bool
    attempts: int
    total_seconds: float
    first_seconds: float | None = None
    reason: Reason | None = None
    served_by: TargetId | None = None
    sent_to: RegionId | None = None
    answer_bytes: int = 0


class OutcomeRecorder:
    """Follows one request from its verification to its end.

    It is the sink of the request's answer: everything passes through to `sink`.

    Parameters
    ----------
    req : GatewayRequest
        Request that is followed.
    sink : AnswerSink
        Where the answer goes.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self, *, req: GatewayRequest, sink: AnswerSink, clock: Callable[[], float]
    ) -> None:
        self.attempts = 0
        self.verdict = Verdict.NOT_RUN
        self.reason: Reason | None = None
        self.served_by: TargetId | None = None
        self.sent_to: RegionId | None = None
        self._req = req
        self._sink = sink
        self._clock = clock
        self._started_at = clock()
        self._first_at: float | None = None
        self._answer_bytes = 0

    @property
    def started(self) -> bool:
        """Whether the caller has received the start of an answer."""
        return self._sink.started

    async def whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Send a whole answer."""
        self._count(body)
        await self._sink.whole(status=status, content_type=content_type, body=body)

    async def start(self, *, status: int, content_type: str) -> None:
        """Begin a streamed answer."""
        await self._sink.start(status=status, content_type=content_type)

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        self._count(data)
        await self._sink.write(data)

    async def finish(self) -> None:
        """End a streamed answer."""
        await self._sink.finish()

    def fail(self, *, reason: Reason, verdict: Verdict) -> None:
        """Record that the request ended without its whole answer."""
        self.reason = reason
        self.verdict = self.verdict.merge(verdict)

    def outcome(self) -> RequestOutcome:
        """Return how the request ended, if it ends now."""
        req = self._req
        first = self._first_at
        return RequestOutcome(
            request_id=req.id,
            customer=req.customer.id,
            kind=req.kind,
            verdict=self.verdict,
            hopped=req.hop is not None,
            attempts=self.attempts,
            total_seconds=self._clock() - self._started_at,
            first_seconds=None if first is None else first - self._started_at,
            reason=self.reason,
            served_by=self.served_by,
            sent_to=self.sent_to,
            answer_bytes=self._answer_bytes,
        )

    def _count(self, data: bytes) -> None:
        if self._first_at is None:
            self._first_at = self._clock()
        self._answer_bytes += len(data)
