"""Failures of operations: verdicts of the whole and of one request."""

from pimentospool._generated.platform import VmRecord
from pimentospool.errors import Problem, Reason, RequestFailure
from pimentospool.policy import Refusal
from pimentospool.verdicts import Verdict

RETRY_SECONDS = 1.0
_REASONS = {reason.slug: reason for reason in Reason}

INTERNAL_REFUSAL = Refusal(
    reason=Reason.INTERNAL,
    detail="unexpected error in the gateway",
    verdict=Verdict.MAY_HAVE_RUN,
    attempt_verdict=Verdict.MAY_HAVE_RUN,
)


def for_operation(exc: RequestFailure) -> RequestFailure:
    """Return `exc` as the answer to a request that names an operation.

    A refusal by anything but the operation's owner says nothing of earlier
    requests for it; its verdict holds for this request only.
    """
    if exc.attempt_verdict is not None:
        return exc
    return RequestFailure(
        reason=exc.reason,
        detail=exc.detail,
        verdict=exc.verdict.merge(Verdict.MAY_HAVE_RUN),
        attempt_verdict=exc.verdict,
        retry_after_seconds=exc.retry_after_seconds,
    )


def attempt_not_run(reason: Reason, detail: str) -> RequestFailure:
    """Return the failure of a request that did not get as far as the owner."""
    return RequestFailure(
        reason=reason,
        detail=detail,
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=Verdict.NOT_RUN,
    )


def failure_of(refusal: Refusal) -> RequestFailure:
    """Return the error that carries `refusal` to the caller."""
    return RequestFailure(
        reason=refusal.reason,
        detail=refusal.detail,
        verdict=refusal.verdict,
        attempt_verdict=refusal.attempt_verdict,
        retry_after_seconds=refusal.retry_after_seconds,
    )


def refusal_of(exc: RequestFailure) -> Refusal:
    """Return what the ledger remembers of `exc`."""
    return Refusal(
        reason=exc.reason,
        detail=exc.detail,
        verdict=exc.verdict,
        attempt_verdict=exc.verdict,
        retry_after_seconds=exc.retry_after_seconds,
    )


def peer_failure(problem: Problem, attempted: Verdict) -> RequestFailure:
    """Return the failure that an owner answered, after hops that ended as `attempted`.

    ``NOT_RUN`` of the operation as a whole is final and covers those hops too.
    """
    answered = problem.attempt_verdict or problem.verdict
    verdict = problem.verdict
    if problem.attempt_verdict is None:
        verdict = verdict.merge(Verdict.MAY_HAVE_RUN)
    if verdict is not Verdict.NOT_RUN:
        answered = answered.merge(attempted)
    return RequestFailure(
        reason=_REASONS.get(problem.type.rpartition(":")[2], Reason.HOP_REFUSED),
        detail=problem.detail,
        verdict=verdict,
        attempt_verdict=answered,
        retry_after_seconds=problem.retry_after_seconds,
    )


def unreachable(peer: VmRecord, attempted: Verdict) -> RequestFailure:
    """Return the failure after hops to the owner that ended as `attempted`."""
    if attempted is Verdict.NOT_RUN:
        reason = Reason.OWNER_GONE
        detail = f"the owner of the ticket, {peer.id}, cannot be reached from here"
    else:
        reason = Reason.OUTCOME_UNKNOWN
        detail = f"the owner of the ticket, {peer.id}, did not answer"
    return RequestFailure(
        reason=reason,
        detail=detail,
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=attempted,
        retry_after_seconds=RETRY_SECONDS,
    )
