"""Failures of an exchange, and whether the target may have run the request."""

from enum import Enum

from pimentospool.errors import PimentospoolError, Problem, Reason
from pimentospool.verdicts import Verdict


class FailureCause(Enum):
    """How an exchange failed.

    ``UNREACHABLE``: the target was not reached. ``REFUSED``: the target, the entry VM
    of a hop or this entry VM refused the request. ``BROKEN``: the connection failed or
    the response was invalid. ``SILENT``: a read timed out. ``LATE``: the deadline of
    the request passed. ``FOREIGN_ANSWER``: the response belongs to another request.
    ``TARGET_ERROR``: the target responded with an error. ``NO_MEMORY``: this entry VM
    has no memory for the response.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    LATE = "late"
    FOREIGN_ANSWER = "foreign-answer"
    TARGET_ERROR = "target-error"
    NO_MEMORY = "no-memory"


class AttemptFailure(PimentospoolError):
    """An exchange that ended without a complete response.

    Parameters
    ----------
    detail : str
        Description of the failure, for logs and for the caller.
    verdict : Verdict
        Whether the target may have run the request.
    cause : FailureCause
        How the exchange failed.
    problem : Problem or None
        Problem document with which the entry VM of a hop responded.
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

    def after(self, verdict: Verdict) -> "AttemptFailure":
        """Return the failure of an exchange whose earlier send ended with `verdict`."""
        return AttemptFailure(
            detail=self.detail,
            verdict=verdict.merge(self.verdict),
            cause=self.cause,
            problem=self.problem,
        )

    def has_reason(self, *reasons: Reason) -> bool:
        """Whether the entry VM of a hop responded with one of `reasons`."""
        if self.problem is None:
            return False
        return self.problem.error.type in [reason.slug for reason in reasons]


def transport_failure(exc: Exception, verdict: Verdict) -> AttemptFailure:
    """Return the failure of an exchange that ended with a transport error.

    Without a byte sent (`verdict` is ``NOT_RUN``) the target counts as unreachable.
    """
    if verdict is Verdict.NOT_RUN:
        cause = FailureCause.UNREACHABLE
    elif isinstance(exc, TimeoutError):
        cause = FailureCause.SILENT
    else:
        cause = FailureCause.BROKEN
    return AttemptFailure(detail=_describe(exc), verdict=verdict, cause=cause)


def _describe(exc: BaseException) -> str:
    return f"{type(exc).__name__}: {exc}" if str(exc) else type(exc).__name__
