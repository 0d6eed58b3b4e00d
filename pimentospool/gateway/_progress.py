"""State of one request across its attempts."""

from pimentospool.gateway._model import HttpRoute
from pimentospool.gateway._replies import Refusal, RefusalReason
from pimentospool.gateway._running_attempts import RunningAttempts
from pimentospool.ids import RegionId, SoftwareVersion, TargetId
from pimentospool.policy import StreamPosition
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

MAX_ATTEMPTS = 4
"""Limit on the attempts of one request, refused ones included."""
DEFAULT_RETRY_SECONDS = 0.5
"""Retry-After of a refusal if neither the placement nor a target states one."""


class RequestProgress:
    """Result of the attempts of one request so far.

    Parameters
    ----------
    route : HttpRoute
        Route of the request.
    max_targets : int
        Number of targets that this entry VM may let run the request.
    resume_after : int or None
        Id of the last event that the caller has from an earlier request.
    """

    def __init__(
        self, *, route: HttpRoute, max_targets: int, resume_after: int | None = None
    ) -> None:
        self.verdict = Verdict.NOT_RUN
        self.running = RunningAttempts()
        self.attempts = 0
        """Number of attempts that have ended."""
        self.reached_target = False
        """Whether a target may have received the request, even if it rejected it."""
        self.retry_granted = False
        """Whether the retry budget was charged for the next send. An attempt that
        reaches no target leaves the grant to the following attempt."""
        self.position = StreamPosition(resume_after=resume_after)
        """How far the caller has the stream."""
        self.stream_version: SoftwareVersion | None = None
        """Software version that began the stream, None before its first event."""
        self.chunks_sent = 0
        """Chunks of a stream that were sent to the caller."""
        self.events_sent = 0
        """Events of a stream that were sent to the caller, comments not counted if it
        is resumable."""
        self.write_seconds = 0.0
        """Time for which the caller did not take the stream as fast as it came."""
        self.first_event_at: float | None = None
        self.last_progress_at = 0.0
        """Time of the last chunk, or of the request's arrival before the first one."""
        self.excluded_targets: set[TargetId] = set()
        self.excluded_regions: set[RegionId] = set()
        self.unreachable_targets: set[TargetId] = set()
        self._regions_out_of_contact: set[RegionId] = set()
        self.retry_after_seconds: float | None = None
        self._route = route
        self._max_targets = max_targets
        self._may_have_run_targets: set[TargetId] = set()
        self._last_failure: AttemptFailure | None = None

    def record_failure(
        self,
        exc: AttemptFailure,
        *,
        target: TargetId | None = None,
        region: RegionId | None = None,
        out_of_contact: bool = False,
    ) -> None:
        """Record a failed attempt at a target or at another region.

        `out_of_contact` tells that the entry VM there reaches no target, but another
        one of the region may, which is asked once.
        """
        self.attempts += 1
        # The frames of its traceback hold bodies, and refer to it in turn.
        exc.__traceback__ = exc.__context__ = exc.__cause__ = None
        self._last_failure = exc
        self.verdict = self.verdict.merge(exc.verdict)
        if target is not None:
            if exc.verdict is not Verdict.NOT_RUN:
                self._may_have_run_targets.add(target)
            self.excluded_targets.add(target)
            if exc.cause is FailureCause.UNREACHABLE:
                self.unreachable_targets.add(target)
        if region is not None:
            if not out_of_contact or region in self._regions_out_of_contact:
                self.excluded_regions.add(region)
            self._regions_out_of_contact.add(region)
            if exc.verdict is not Verdict.NOT_RUN:
                # The entry VM there may have sent it to all remaining targets.
                self._max_targets = len(self._may_have_run_targets)

    @property
    def tried_targets(self) -> set[TargetId]:
        """Targets that have been sent the request."""
        return self.excluded_targets | self.running.targets

    @property
    def targets_left(self) -> int:
        """Number of further targets that may run the request."""
        used = self._may_have_run_targets | self.running.targets
        return max(0, self._max_targets - len(used))

    def may_use(self, target: TargetId) -> bool:
        """Whether `target` may be sent the request within the limit on targets."""
        used = self._may_have_run_targets | self.running.targets
        return target in used or self.targets_left > 0

    def may_retry(self, *, reply_started: bool) -> bool:
        """Whether the route and the attempts so far allow another attempt."""
        if self.attempts + len(self.running) >= MAX_ATTEMPTS:
            return False
        failure = self._last_failure
        if failure is not None and failure.cause is FailureCause.NO_MEMORY:
            return False
        if reply_started:
            return self._route.resumable and self.position.can_continue
        may_have_run = self.running or self.verdict is not Verdict.NOT_RUN
        return not may_have_run or self._route.retryable

    def refusal(
        self,
        detail: str,
        retry_after_seconds: float | None,
        *,
        in_contact: bool = True,
    ) -> Refusal:
        """Return the refusal to send if no further attempt is made."""
        cause = self._last_failure.cause if self._last_failure is not None else None
        if self._last_failure is not None:
            detail = (
                f"{detail}; {self._last_failure.detail}"
                if detail
                else str(self._last_failure)
            )
        if self.verdict is Verdict.NOT_RUN:
            reason = RefusalReason.OVERLOADED
        elif cause is FailureCause.LATE:
            reason = RefusalReason.TIMED_OUT
        else:
            reason = RefusalReason.FAILED
        wait_seconds = (
            retry_after_seconds or self.retry_after_seconds or DEFAULT_RETRY_SECONDS
        )
        return Refusal(
            reason=reason,
            verdict=self.verdict,
            detail=detail,
            retry_after_seconds=wait_seconds
            if self.verdict is Verdict.NOT_RUN
            else None,
            reached_target=self.reached_target,
            in_contact=in_contact or self.reached_target,
        )
