"""Failures of an exchange, with what each says of its execution."""

from enum import Enum

from pimentospool.errors import PimentospoolError, Problem, Reason
from pimentospool.verdicts import Verdict


class FailureCause(Enum):
    """How an exchange failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    LATE = "late"
    FOREIGN_ANSWER = "foreign-answer"
    TARGET_ERROR = "target-error"


class AttemptFailure(PimentospoolError):
    """An exchange that brought no whole answer.

    Parameters
    ----------
    detail : str
        What failed.
    verdict : Verdict
        Whether the target may have run the request.
    cause : FailureCause
        How the exchange failed.
    problem : Problem or None
        What the entry VM of a hop answered.
    """

    def __init__(
        self,
        *,
        detail: str,
        verdict: Verdict,
        cause: FailureCause = FailureCause.BROKEN,
        problem: Problem | None = None,
    ) -> None:
        super().__init__(f"{detail} ({verdict.value})")
        self.detail = detail
        self.verdict = verdict
        self.cause = cause
        self.problem = problem

    def has_reason(self, *reasons: Reason) -> bool:
        """Whether the entry VM of a hop gave one of `reasons`."""
        if self.problem is None:
            return False
        return self.problem.error.type in [reason.slug for reason in reasons]


def transport_failure(exc: Exception, verdict: Verdict) -> AttemptFailure:
    """Return the failure that a transport error stands for."""
    if verdict is Verdict.NOT_RUN:
        cause = FailureCause.UNREACHABLE
    elif isinstance(exc, TimeoutError):
        cause = FailureCause.SILENT
    else:
        cause = FailureCause.BROKEN
    return AttemptFailure(detail=_describe(exc), verdict=verdict, cause=cause)


def _describe(exc: BaseException) -> str:
    return f"{type(exc).__name__}: {exc}" if str(exc) else type(exc).__name__
