"""What the attempts of one request have shown so far."""

from pimentospool.gateway._model import HttpRoute
from pimentospool.gateway._replies import Refusal, RefusalReason
from pimentospool.ids import RegionId, TargetId
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

MAX_ATTEMPTS = 4
"""Sends of one request, refused ones included."""
DEFAULT_RETRY_SECONDS = 0.5
"""Time to come back after a rejection that states none."""


class Progress:
    """Attempts of one request.

    Parameters
    ----------
    route : HttpRoute
        What the route allows.
    max_targets : int
        Targets that may run the request, as far as this entry VM may use them.
    """

    def __init__(self, *, route: HttpRoute, max_targets: int) -> None:
        self.verdict = Verdict.NOT_RUN
        self.attempts = 0
        self.sent = False
        """Whether a target may have received the request."""
        self.repeat_paid = False
        """Whether the budget of repeats covers the next send; an attempt that reaches
        no target leaves that to the one after it."""
        self.last_event: int | None = None
        """Last event of the stream that the caller was sent."""
        self.events = 0
        """Pieces of a stream that the caller was sent."""
        self.first_event_at: float | None = None
        self.moved_at = 0.0
        """Time of the last piece, or of the request's arrival."""
        self.excluded: set[TargetId] = set()
        self.excluded_regions: set[RegionId] = set()
        self.retry_after_seconds: float | None = None
        self._route = route
        self._max_targets = max_targets
        self._ran_at: set[TargetId] = set()
        self._failure: AttemptFailure | None = None

    def failed(
        self,
        exc: AttemptFailure,
        *,
        target: TargetId | None = None,
        region: RegionId | None = None,
    ) -> None:
        """Record a failed attempt at a target or at another region."""
        self.attempts += 1
        self._failure = exc
        self.verdict = self.verdict.merge(exc.verdict)
        if target is not None:
            if exc.verdict is not Verdict.NOT_RUN:
                self._ran_at.add(target)
            self.excluded.add(target)
        if region is not None:
            self.excluded_regions.add(region)
            if exc.verdict is not Verdict.NOT_RUN:
                # The region's entry VM may have used all targets that were left.
                self._max_targets = len(self._ran_at)

    @property
    def targets_left(self) -> int:
        """Number of further targets that may run the request."""
        return max(0, self._max_targets - len(self._ran_at))

    def may_use(self, target: TargetId) -> bool:
        """Whether the route allows that `target` runs the request as well."""
        return target in self._ran_at or self.targets_left > 0

    def may_repeat(self, *, reply_started: bool) -> bool:
        """Whether another attempt is allowed after the last one."""
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if reply_started:
            return self._route.resumable
        return self.verdict is Verdict.NOT_RUN or self._route.repeatable

    def refusal(self, detail: str, retry_after_seconds: float | None) -> Refusal:
        """Return the final answer if no further attempt is made."""
        cause = self._failure.cause if self._failure is not None else None
        if self._failure is not None:
            detail = (
                f"{detail}; {self._failure.detail}" if detail else str(self._failure)
            )
        if self.verdict is Verdict.NOT_RUN:
            reason = RefusalReason.OVERLOADED
        elif cause is FailureCause.LATE:
            reason = RefusalReason.TIMED_OUT
        else:
            reason = RefusalReason.FAILED
        wait = retry_after_seconds or self.retry_after_seconds or DEFAULT_RETRY_SECONDS
        return Refusal(
            reason=reason,
            verdict=self.verdict,
            detail=detail,
            retry_after_seconds=wait if self.verdict is Verdict.NOT_RUN else None,
            reached_target=self.sent,
        )
