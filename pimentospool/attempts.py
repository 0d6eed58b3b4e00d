"""Failed attempts of one request, and the error that it ends with after them."""

from pimentospool.errors import Reason, RequestFailure
from pimentospool.ids import EntryId, RegionId, TargetId
from pimentospool.policy import RegionRoute, RouteRefusal, TargetRoute
from pimentospool.requests import GatewayRequest
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

RETRY_AFTER_SECONDS = 1.0
_TRANSPORT_CAUSES = (
    FailureCause.UNREACHABLE,
    FailureCause.BROKEN,
    FailureCause.SILENT,
)
_ENTRY_VM_REASONS = (Reason.STALE_VIEW, Reason.LEAVING, Reason.NOT_READY)
"""Reasons that concern one entry VM; others of its region may serve the request."""


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
