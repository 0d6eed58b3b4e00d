"""What a request for an operation is told when it gets no answer."""

import msgspec

from pimentospool.errors import Reason
from pimentospool.verdicts import Verdict

BUSY_RETRY_SECONDS = 1.0
PAUSE_RETRY_SECONDS = 1.0


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """Refuse the request.

    `verdict` speaks of the operation as a whole: ``NOT_RUN`` is final, the ticket is
    closed and no later request runs it. `attempt_verdict` speaks of this request.
    """

    reason: Reason
    detail: str
    verdict: Verdict
    attempt_verdict: Verdict
    retry_after_seconds: float | None = None


def owner_gone(detail: str, *, retry: bool = False) -> Refusal:
    """Return the refusal of a request that reached no incarnation that may send."""
    return Refusal(
        reason=Reason.OWNER_GONE,
        detail=detail,
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=Verdict.NOT_RUN,
        retry_after_seconds=BUSY_RETRY_SECONDS if retry else None,
    )


def conflict(detail: str, verdict: Verdict) -> Refusal:
    """Return the refusal of a ticket that is used for something else."""
    return Refusal(
        reason=Reason.OPERATION_CONFLICT,
        detail=detail,
        verdict=verdict,
        attempt_verdict=Verdict.NOT_RUN,
    )


def expired() -> Refusal:
    """Return the refusal of a ticket below the window."""
    return Refusal(
        reason=Reason.OPERATION_EXPIRED,
        detail="the ticket is too old; whether it ran is no longer known",
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=Verdict.NOT_RUN,
    )


def unknown(detail: str, *, retry: bool = False) -> Refusal:
    """Return the refusal of an operation that may have run."""
    return Refusal(
        reason=Reason.OUTCOME_UNKNOWN,
        detail=detail,
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=Verdict.MAY_HAVE_RUN,
        retry_after_seconds=BUSY_RETRY_SECONDS if retry else None,
    )


def not_sent(detail: str) -> Refusal:
    """Return the refusal of an operation whose time to send has passed."""
    return Refusal(
        reason=Reason.DEADLINE_EXCEEDED,
        detail=detail,
        verdict=Verdict.NOT_RUN,
        attempt_verdict=Verdict.NOT_RUN,
        retry_after_seconds=PAUSE_RETRY_SECONDS,
    )


def overloaded() -> Refusal:
    """Return the refusal of an operation for which there is no room now."""
    return Refusal(
        reason=Reason.OVERLOADED,
        detail="too many operations are in progress",
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=Verdict.NOT_RUN,
        retry_after_seconds=BUSY_RETRY_SECONDS,
    )


def answer_lost() -> Refusal:
    """Return the refusal of an operation that ran and whose answer is gone."""
    return Refusal(
        reason=Reason.OPERATION_EXPIRED,
        detail="the operation ran; its answer is no longer held",
        verdict=Verdict.RAN,
        attempt_verdict=Verdict.RAN,
    )
