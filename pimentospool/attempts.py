"""Attempts of one request, and the error that it ends with after failed ones."""

import asyncio
import math

from pimentospool.errors import Reason, RequestFailure
from pimentospool.ids import EntryId, RegionId, TargetId
from pimentospool.outcomes import OutcomeRecorder
from pimentospool.policy import (
    RegionFlight,
    RegionRoute,
    RouteRefusal,
    TargetFlight,
    TargetRoute,
)
from pimentospool.relaying import StreamRelay
from pimentospool.requests import GatewayRequest
from pimentospool.running_attempts import Attempt, ConcurrentAttempts
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.traces import Span, SpanAttribute
from pimentospool.verdicts import Verdict

RETRY_AFTER_SECONDS = 1.0
_TRANSPORT_CAUSES = (
    FailureCause.UNREACHABLE,
    FailureCause.BROKEN,
    FailureCause.SILENT,
)
_ENTRY_VM_REASONS = (Reason.STALE_VIEW, Reason.LEAVING, Reason.NOT_READY)
"""Reasons that concern one entry VM; others of its region may serve the request."""


class RoutedAttempt(Attempt):
    """One attempt at a target or in another region; observes its silence.

    Parameters
    ----------
    route : TargetRoute or RegionRoute
        Where the request is sent.
    flight : TargetFlight or RegionFlight
        The router's record of the attempt.
    span : Span
        Span of the attempt.
    """

    def __init__(
        self,
        *,
        route: TargetRoute | RegionRoute,
        flight: TargetFlight | RegionFlight,
        span: Span,
    ) -> None:
        super().__init__()
        self.route = route
        self.flight = flight
        self.span = span
        self.url = ""
        """Address to which the request is sent."""

    def begin_wait(self, timeout_seconds: float) -> None:
        """Record that a part of the response is waited for."""
        self.stall_seconds = timeout_seconds
        self.expect_part(asyncio.get_running_loop().time())

    def end_wait(self) -> None:
        """Record that the part has arrived."""
        self.stalls_at = math.inf

    def release(self) -> None:
        """End the attempt's span and its flight."""
        self.span.end()
        self.flight.finish()

    def fail(self, exc: AttemptFailure) -> None:
        """Record how the attempt failed in its span, and at the router."""
        self.span.set(SpanAttribute.VERDICT, exc.verdict.value)
        self.span.set(SpanAttribute.CAUSE, exc.cause.value)
        if exc.problem is None and (self.stalled or not self.superseded):
            self.flight.failed()


class RequestProgress:
    """One request on its way through its attempts.

    Parameters
    ----------
    req : GatewayRequest
        The request.
    record : OutcomeRecorder
        Passes the answer on to the caller.
    """

    def __init__(self, *, req: GatewayRequest, record: OutcomeRecorder) -> None:
        self.req = req
        self.record = record
        self.relay = StreamRelay(resume_after=req.resume_after)
        self.failed = FailedAttempts()
        self.running: ConcurrentAttempts[RoutedAttempt] = ConcurrentAttempts()
        self.standby_at = 0.0
        """Earliest time of the next check whether a second attempt may begin."""
        self.sent_again_beside = False
        """Whether an attempt has begun beside one at the same destination."""

    @property
    def may_continue(self) -> bool:
        """Whether another attempt can go on after what the caller already has."""
        return not self.record.started or self.relay.resumable

    def claim_reply(self, attempt: RoutedAttempt) -> None:
        """Let `attempt` answer the request; cancel the other one.

        Raises
        ------
        AttemptFailure
            If the other one has answered.
        """
        if attempt.superseded:
            raise superseded_failure()
        self.running.claim_reply(attempt)
        self.record_destination(attempt)

    def record_destination(self, attempt: RoutedAttempt) -> None:
        """Record where the request is served."""
        route = attempt.route
        if isinstance(route, TargetRoute):
            self.record.served_by = route.target.id
        else:
            self.record.sent_to_region = route.region

    def record_failure(self, attempt: RoutedAttempt, exc: AttemptFailure) -> None:
        """Record that `attempt` failed or that another one answered before it."""
        if attempt.superseded and not attempt.stalled:
            self.failed.record_superseded(exc)
        else:
            self.failed.record_failure(attempt.route, exc)
        if self.req.send_guard is not None:
            self.req.send_guard.attempt_failed(exc.verdict)


def superseded_failure() -> AttemptFailure:
    """Return the failure of an attempt beside which another one answered."""
    return AttemptFailure(
        detail="another attempt answered first",
        verdict=Verdict.MAY_HAVE_RUN,
        cause=FailureCause.SILENT,
    )


class FailedAttempts:
    """Failed attempts of one request.

    `excluded_targets`, `excluded_regions` and `tried_entries` are not tried again.
    """

    def __init__(self) -> None:
        self.excluded_targets: set[TargetId] = set()
        self.excluded_regions: set[RegionId] = set()
        self.tried_entries: set[EntryId] = set()
        self.verdict = Verdict.NOT_RUN
        self.count = 0
        self._detail = ""
        self._transport_failed = False
        self._exclusions_reset = False

    def record_failure(
        self, route: TargetRoute | RegionRoute, exc: AttemptFailure
    ) -> None:
        """Record that the attempt at `route` failed."""
        self.count += 1
        self.verdict = self.verdict.merge(exc.verdict)
        self._detail = exc.detail
        is_transport = exc.cause in _TRANSPORT_CAUSES
        self._transport_failed |= is_transport
        entry_only = is_transport or exc.has_reason(*_ENTRY_VM_REASONS)
        if isinstance(route, TargetRoute) or not entry_only:
            self.exclude(route)

    def record_superseded(self, exc: AttemptFailure) -> None:
        """Record that an attempt was cancelled as another one answered before it."""
        self.count += 1
        self.verdict = self.verdict.merge(exc.verdict)

    def exclude(self, route: TargetRoute | RegionRoute) -> None:
        """Exclude the target or region of `route` from further attempts."""
        if isinstance(route, TargetRoute):
            self.excluded_targets.add(route.target.id)
        else:
            self.excluded_regions.add(route.region)

    def reset_exclusions(self, req: GatewayRequest) -> bool:
        """Clear the exclusions once, if a connection failed, and return whether.

        A request that may have run starts over only if it is idempotent.
        """
        if self._exclusions_reset or not self._transport_failed:
            return False
        if self.verdict is not Verdict.NOT_RUN and not req.idempotent:
            return False
        self._exclusions_reset = True
        self.excluded_targets.clear()
        self.excluded_regions.clear()
        self.tried_entries.clear()
        return True

    def failure_error(self, req: GatewayRequest) -> RequestFailure:
        """Return the error of a request whose last attempt failed."""
        may_retry = self.verdict is Verdict.NOT_RUN or req.idempotent
        return RequestFailure(
            reason=Reason.TARGET_FAILED,
            detail=self._detail,
            verdict=self.verdict,
            retry_after_seconds=RETRY_AFTER_SECONDS if may_retry else None,
        )

    def refusal_error(self, route: RouteRefusal) -> RequestFailure:
        """Return the error of a request for which no destination is left."""
        return RequestFailure(
            reason=route.reason,
            detail=self._detail or route.detail,
            verdict=self.verdict,
            retry_after_seconds=route.retry_after_seconds,
        )

    def deadline_error(self) -> RequestFailure:
        """Return the error of a request whose deadline has passed."""
        return RequestFailure(
            reason=Reason.DEADLINE_EXCEEDED,
            detail=self._detail or "the deadline passed before the request was sent",
            verdict=self.verdict,
        )
