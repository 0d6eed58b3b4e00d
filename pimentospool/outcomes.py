"""Outcomes of requests, as sent with the dispatcher's ``request_ended`` signal."""

from collections.abc import Callable

import msgspec

from pimentospool.errors import Reason
from pimentospool.ids import CustomerId, RegionId, RequestId, TargetId
from pimentospool.requests import AnswerSink, GatewayRequest, RequestKind
from pimentospool.verdicts import Verdict


class RequestOutcome(msgspec.Struct, kw_only=True, frozen=True):
    """How one request ended at one entry VM.

    A request that was sent to another region has one outcome at each of the two
    entry VMs; that of the second one has `is_hop` set.
    """

    request_id: RequestId
    customer: CustomerId
    kind: RequestKind
    verdict: Verdict
    is_hop: bool
    attempts: int
    total_seconds: float
    first_byte_seconds: float | None = None
    reason: Reason | None = None
    served_by: TargetId | None = None
    sent_to_region: RegionId | None = None
    answer_bytes: int = 0


class OutcomeRecorder:
    """Records one request from its verification to its end.

    It is an `AnswerSink` that passes everything on to `sink`.

    Parameters
    ----------
    req : GatewayRequest
        Request that is recorded.
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
        self.sent_to_region: RegionId | None = None
        self._req = req
        self._sink = sink
        self._clock = clock
        self._started_at = clock()
        self._first_byte_at: float | None = None
        self._answer_bytes = 0

    @property
    def started(self) -> bool:
        """Whether the start of a response has been sent."""
        return self._sink.started

    async def send_whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Send a complete response."""
        self._count_bytes(body)
        await self._sink.send_whole(status=status, content_type=content_type, body=body)

    async def start(self, *, status: int, content_type: str) -> None:
        """Start a streamed response."""
        await self._sink.start(status=status, content_type=content_type)

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed response."""
        self._count_bytes(data)
        await self._sink.write(data)

    async def finish(self) -> None:
        """End a streamed response."""
        await self._sink.finish()

    def fail(self, *, reason: Reason, verdict: Verdict) -> None:
        """Record that the request ended without its complete response."""
        self.reason = reason
        self.verdict = self.verdict.merge(verdict)

    def outcome(self) -> RequestOutcome:
        """Return the outcome of the request if it ends now."""
        req = self._req
        first_byte_at = self._first_byte_at
        return RequestOutcome(
            request_id=req.id,
            customer=req.customer.id,
            kind=req.kind,
            verdict=self.verdict,
            is_hop=req.hop is not None,
            attempts=self.attempts,
            total_seconds=self._clock() - self._started_at,
            first_byte_seconds=None
            if first_byte_at is None
            else first_byte_at - self._started_at,
            reason=self.reason,
            served_by=self.served_by,
            sent_to_region=self.sent_to_region,
            answer_bytes=self._answer_bytes,
        )

    def _count_bytes(self, data: bytes) -> None:
        if self._first_byte_at is None:
            self._first_byte_at = self._clock()
        self._answer_bytes += len(data)
