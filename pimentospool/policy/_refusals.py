"""Refusals of requests for operations that get no answer."""

import msgspec

from pimentospool.errors import Reason
from pimentospool.verdicts import Verdict

BUSY_RETRY_AFTER_SECONDS = 1.0
NOT_SENT_RETRY_AFTER_SECONDS = 1.0


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """Why a request for an operation is refused.

    `verdict` covers the operation as a whole: ``NOT_RUN`` is final, as the ticket is
    closed and no later request runs it. `attempt_verdict` covers this request alone.
    """

    reason: Reason
    detail: str
    verdict: Verdict
    attempt_verdict: Verdict
    retry_after_seconds: float | None = None


def owner_gone(detail: str, *, retry: bool = False) -> Refusal:
    """Return the refusal of a request that cannot reach the owner of its ticket."""
    return Refusal(
        reason=Reason.OWNER_GONE,
        detail=detail,
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=Verdict.NOT_RUN,
        retry_after_seconds=BUSY_RETRY_AFTER_SECONDS if retry else None,
    )


def conflict(detail: str, verdict: Verdict) -> Refusal:
    """Return the refusal of a ticket that was used for another request."""
    return Refusal(
        reason=Reason.OPERATION_CONFLICT,
        detail=detail,
        verdict=verdict,
        attempt_verdict=Verdict.NOT_RUN,
    )


def expired() -> Refusal:
    """Return the refusal of a ticket that is older than the remembered window."""
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
        retry_after_seconds=BUSY_RETRY_AFTER_SECONDS if retry else None,
    )


def not_sent(detail: str) -> Refusal:
    """Return the refusal of an operation that can no longer be sent in time."""
    return Refusal(
        reason=Reason.DEADLINE_EXCEEDED,
        detail=detail,
        verdict=Verdict.NOT_RUN,
        attempt_verdict=Verdict.NOT_RUN,
        retry_after_seconds=NOT_SENT_RETRY_AFTER_SECONDS,
    )


def overloaded() -> Refusal:
    """Return the refusal of an operation while the ledger has no room for it."""
    return Refusal(
        reason=Reason.OVERLOADED,
        detail="too many operations are in progress",
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=Verdict.NOT_RUN,
        retry_after_seconds=BUSY_RETRY_AFTER_SECONDS,
    )


def answer_lost() -> Refusal:
    """Return the refusal of an operation that ran but whose answer is not held."""
    return Refusal(
        reason=Reason.OPERATION_EXPIRED,
        detail="the operation ran; its answer is no longer held",
        verdict=Verdict.RAN,
        attempt_verdict=Verdict.RAN,
    )
