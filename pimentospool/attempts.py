"""Failed attempts of one request, and what may be said and done after them."""

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
_ENTRY_REASONS = (Reason.STALE_VIEW, Reason.LEAVING, Reason.NOT_READY)


class Attempts:
    """Failed attempts of one request.

    `targets`, `regions` and `entries` are tried no more.
    """

    def __init__(self) -> None:
        self.targets: set[TargetId] = set()
        self.regions: set[RegionId] = set()
        self.entries: set[EntryId] = set()
        self.verdict = Verdict.NOT_RUN
        self.count = 0
        self._detail = ""
        self._transport_failed = False
        self._second_round = False

    def failed(self, route: TargetRoute | RegionRoute, exc: AttemptFailure) -> None:
        """Record that the attempt at `route` failed."""
        self.count += 1
        self.verdict = self.verdict.merge(exc.verdict)
        self._detail = exc.detail
        transport = exc.cause in _TRANSPORT_CAUSES
        self._transport_failed |= transport
        one_entry = transport or exc.has_reason(*_ENTRY_REASONS)
        if isinstance(route, TargetRoute) or not one_entry:
            self.exclude(route)

    def exclude(self, route: TargetRoute | RegionRoute) -> None:
        """Try `route` no more."""
        if isinstance(route, TargetRoute):
            self.targets.add(route.target.id)
        else:
            self.regions.add(route.region)

    def start_second_round(self, req: GatewayRequest) -> bool:
        """Permit everything once more after failures of connections alone."""
        if self._second_round or not self._transport_failed:
            return False
        if self.verdict is not Verdict.NOT_RUN and not req.idempotent:
            return False
        self._second_round = True
        self.targets.clear()
        self.regions.clear()
        self.entries.clear()
        return True

    def failure(self, req: GatewayRequest) -> RequestFailure:
        """Return the end of a request after its last failed attempt."""
        repeatable = self.verdict is Verdict.NOT_RUN or req.idempotent
        return RequestFailure(
            reason=Reason.TARGET_FAILED,
            detail=self._detail,
            verdict=self.verdict,
            retry_after_seconds=RETRY_AFTER_SECONDS if repeatable else None,
        )

    def refusal(self, route: RouteRefusal) -> RequestFailure:
        """Return the end of a request that has nowhere left to go."""
        return RequestFailure(
            reason=route.reason,
            detail=self._detail or route.detail,
            verdict=self.verdict,
            retry_after_seconds=route.retry_after_seconds,
        )

    def late(self) -> RequestFailure:
        """Return the end of a request whose deadline has passed."""
        return RequestFailure(
            reason=Reason.DEADLINE_EXCEEDED,
            detail=self._detail or "the deadline passed before the request was sent",
            verdict=self.verdict,
        )
