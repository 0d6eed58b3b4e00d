"""Histories of a call's attempts, which decide whether the client may retry."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentospool.errors import Problem, Reason
from pimentospool.verdicts import Verdict

_TRANSIENT_REASONS = frozenset(
    {
        Reason.QUOTA_EXCEEDED.slug,
        Reason.OVERLOADED.slug,
        Reason.NO_TARGET.slug,
        Reason.LEAVING.slug,
        Reason.NOT_READY.slug,
        Reason.HOP_REFUSED.slug,
        Reason.STALE_VIEW.slug,
        Reason.TARGET_FAILED.slug,
        Reason.REQUEST_TIMEOUT.slug,
        Reason.DEADLINE_EXCEEDED.slug,
    }
)
_TICKET_LOST_REASONS = frozenset(
    {Reason.OWNER_GONE.slug, Reason.OPERATION_EXPIRED.slug}
)


class NextStep(Enum):
    """What the client does after an attempt that brought no answer."""

    RETRY = "retry"
    NEW_TICKET = "new-ticket"
    STOP = "stop"


class AttemptEnd(msgspec.Struct, kw_only=True, frozen=True):
    """How an attempt ended without an answer.

    Parameters
    ----------
    verdict : Verdict
        Whether the operation as a whole may have run, judging by this attempt.
    attempt_verdict : Verdict
        Whether this attempt may have run it.
    reason : str
        Slug of the gateway's reason; empty if there was no problem document.
    retry_after_seconds : float or None
        Delay after which the gateway asks for a retry.
    """

    verdict: Verdict
    attempt_verdict: Verdict
    reason: str = ""
    retry_after_seconds: float | None = None

    @property
    def is_transient(self) -> bool:
        """Whether another attempt may succeed."""
        return (
            not self.reason
            or self.reason in _TRANSIENT_REASONS
            or self.region_not_allowed
        )

    @property
    def region_not_allowed(self) -> bool:
        """Whether the customer does not allow its requests in the entry VM's region."""
        return (
            self.reason == Reason.REGION_NOT_ALLOWED.slug
            and self.attempt_verdict is Verdict.NOT_RUN
        )


def end_without_response(*, sent: bool) -> AttemptEnd:
    """Return the end of an attempt that brought no response."""
    attempt_verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    return AttemptEnd(verdict=Verdict.MAY_HAVE_RUN, attempt_verdict=attempt_verdict)


def end_by_refusal(problem: Problem) -> AttemptEnd:
    """Return the end of an attempt that the gateway refused with `problem`."""
    return AttemptEnd(
        verdict=problem.verdict,
        attempt_verdict=problem.attempt_verdict or problem.verdict,
        reason=problem.error.type,
        retry_after_seconds=problem.retry_after_seconds,
    )


class History(Protocol):
    """Records the attempts of one call."""

    @property
    def verdict(self) -> Verdict:
        """Whether the call may have run, judging by all attempts."""
        ...

    def record_start(self) -> None:
        """Record the start of an attempt."""
        ...

    def record_end(self, end: AttemptEnd) -> NextStep:
        """Record the end of an attempt and return what the client may do next."""
        ...


class IdempotentCallHistory:
    """Attempts of an idempotent call, which may be retried after any of them."""

    def __init__(self) -> None:
        self.verdict = Verdict.NOT_RUN

    def record_start(self) -> None:
        """Record the start of an attempt."""

    def record_end(self, end: AttemptEnd) -> NextStep:
        """Record the end of an attempt and return what the client may do next."""
        self.verdict = self.verdict.merge(end.attempt_verdict)
        if end.is_transient or end.retry_after_seconds is not None:
            return NextStep.RETRY
        return NextStep.STOP


class OperationHistory:
    """Attempts under one operation ticket that nobody else uses.

    Once every attempt has ended and each is known not to have run, nothing can run
    under the ticket any more, as no request for it is left.
    """

    def __init__(self) -> None:
        self.open_attempts = 0
        self._verdict = Verdict.NOT_RUN

    @property
    def verdict(self) -> Verdict:
        """Whether the operation may have run, judging by all attempts."""
        if self.open_attempts:
            return self._verdict.merge(Verdict.MAY_HAVE_RUN)
        return self._verdict

    def record_start(self) -> None:
        """Record the start of an attempt."""
        self.open_attempts += 1

    def record_end(self, end: AttemptEnd) -> NextStep:
        """Record the end of an attempt and return what the client may do next."""
        self.open_attempts -= 1
        if end.verdict is Verdict.NOT_RUN:
            self._verdict = Verdict.NOT_RUN
            self.open_attempts = 0
            return NextStep.NEW_TICKET if end.is_transient else NextStep.STOP
        self._verdict = self._verdict.merge(end.attempt_verdict)
        if end.verdict is Verdict.RAN:
            self._verdict = Verdict.RAN
            return NextStep.STOP
        if end.reason in _TICKET_LOST_REASONS and self.verdict is Verdict.NOT_RUN:
            return NextStep.NEW_TICKET
        if end.is_transient or end.retry_after_seconds is not None:
            return NextStep.RETRY
        return NextStep.STOP
