"""What a caller knows of its operation, and what it may do next."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentospool.errors import Problem, Reason
from pimentospool.verdicts import Verdict

_PASSING = frozenset(
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
_TICKET_ENDED = frozenset({Reason.OWNER_GONE.slug, Reason.OPERATION_EXPIRED.slug})


class NextStep(Enum):
    """What a caller does after an attempt without an answer."""

    RETRY = "retry"
    NEW_TICKET = "new-ticket"
    STOP = "stop"


class AttemptEnd(msgspec.Struct, kw_only=True, frozen=True):
    """The end of an attempt without its answer.

    Parameters
    ----------
    verdict : Verdict
        Whether the operation as a whole may have run, as far as this attempt says.
    attempt_verdict : Verdict
        Whether this attempt may have run it.
    reason : str
        Slug of the gateway's reason; empty without a problem document.
    retry_after_seconds : float or None
        When the gateway asks to come back.
    """

    verdict: Verdict
    attempt_verdict: Verdict
    reason: str = ""
    retry_after_seconds: float | None = None

    @property
    def passing(self) -> bool:
        """Whether another attempt may end otherwise."""
        return not self.reason or self.reason in _PASSING or self.region_barred

    @property
    def region_barred(self) -> bool:
        """Whether the entry VM's region may not see the customer's requests."""
        return (
            self.reason == Reason.REGION_NOT_ALLOWED.slug
            and self.attempt_verdict is Verdict.NOT_RUN
        )


def unanswered(*, sent: bool) -> AttemptEnd:
    """Return the end of an attempt that brought no answer."""
    attempt = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    return AttemptEnd(verdict=Verdict.MAY_HAVE_RUN, attempt_verdict=attempt)


def refused(problem: Problem) -> AttemptEnd:
    """Return the end of an attempt that the gateway refused."""
    return AttemptEnd(
        verdict=problem.verdict,
        attempt_verdict=problem.attempt_verdict or problem.verdict,
        reason=problem.error.type,
        retry_after_seconds=problem.retry_after_seconds,
    )


class History(Protocol):
    """Follows the attempts of one call."""

    @property
    def verdict(self) -> Verdict:
        """Whether the call may have run, as far as all attempts say."""
        ...

    def started(self) -> None:
        """Take note of a new attempt."""
        ...

    def ended(self, end: AttemptEnd) -> NextStep:
        """Take note of an attempt's end and return what may be done next."""
        ...


class RepeatHistory:
    """Attempts of an idempotent call."""

    def __init__(self) -> None:
        self.verdict = Verdict.NOT_RUN

    def started(self) -> None:
        """Take note of a new attempt."""

    def ended(self, end: AttemptEnd) -> NextStep:
        """Take note of an attempt's end and return what may be done next."""
        self.verdict = self.verdict.merge(end.attempt_verdict)
        if end.passing or end.retry_after_seconds is not None:
            return NextStep.RETRY
        return NextStep.STOP


class OperationHistory:
    """Attempts of the only user of one ticket.

    Once every attempt has ended and each is known not to have run, nothing ever
    runs under the ticket, since no request for it is left.
    """

    def __init__(self) -> None:
        self.open_attempts = 0
        self._verdict = Verdict.NOT_RUN

    @property
    def verdict(self) -> Verdict:
        """Whether the operation may have run, as far as all attempts say."""
        if self.open_attempts:
            return self._verdict.merge(Verdict.MAY_HAVE_RUN)
        return self._verdict

    def started(self) -> None:
        """Take note of a new attempt."""
        self.open_attempts += 1

    def ended(self, end: AttemptEnd) -> NextStep:
        """Take note of an attempt's end and return what may be done next."""
        self.open_attempts -= 1
        if end.verdict is Verdict.NOT_RUN:
            self._verdict = Verdict.NOT_RUN
            self.open_attempts = 0
            return NextStep.NEW_TICKET if end.passing else NextStep.STOP
        self._verdict = self._verdict.merge(end.attempt_verdict)
        if end.verdict is Verdict.RAN:
            self._verdict = Verdict.RAN
            return NextStep.STOP
        if end.reason in _TICKET_ENDED and self.verdict is Verdict.NOT_RUN:
            return NextStep.NEW_TICKET
        if end.passing or end.retry_after_seconds is not None:
            return NextStep.RETRY
        return NextStep.STOP
