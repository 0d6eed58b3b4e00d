"""Failures of operations, with verdicts of the operation and of the one request."""

from pimentospool._generated.platform import VmRecord
from pimentospool.errors import Problem, Reason, RequestFailure
from pimentospool.policy import Refusal
from pimentospool.verdicts import Verdict

RETRY_AFTER_SECONDS = 1.0
_REASONS = {reason.slug: reason for reason in Reason}

INTERNAL_REFUSAL = Refusal(
    reason=Reason.INTERNAL,
    detail="unexpected error in the gateway",
    verdict=Verdict.MAY_HAVE_RUN,
    attempt_verdict=Verdict.MAY_HAVE_RUN,
)


def operation_failure(exc: RequestFailure) -> RequestFailure:
    """Return `exc` as the failure of a request that names an operation.

    Only the operation's owner knows the outcome of earlier requests for it. A failure
    from elsewhere keeps its verdict for this one request, but says that the operation
    as a whole may have run.
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


def failure_before_owner(reason: Reason, detail: str) -> RequestFailure:
    """Return the failure of a request that did not reach the operation's owner."""
    return RequestFailure(
        reason=reason,
        detail=detail,
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=Verdict.NOT_RUN,
    )


def failure_from_refusal(refusal: Refusal) -> RequestFailure:
    """Return the failure that reports `refusal` to the caller."""
    return RequestFailure(
        reason=refusal.reason,
        detail=refusal.detail,
        verdict=refusal.verdict,
        attempt_verdict=refusal.attempt_verdict,
        retry_after_seconds=refusal.retry_after_seconds,
    )


def refusal_from_failure(exc: RequestFailure) -> Refusal:
    """Return `exc` in the form that the ledger stores."""
    return Refusal(
        reason=exc.reason,
        detail=exc.detail,
        verdict=exc.verdict,
        attempt_verdict=exc.verdict,
        retry_after_seconds=exc.retry_after_seconds,
    )


def owner_failure(problem: Problem, hops_verdict: Verdict) -> RequestFailure:
    """Return the failure that the owner answered.

    Parameters
    ----------
    problem : Problem
        Answer of the owner.
    hops_verdict : Verdict
        Verdict of earlier hops of the same request. An owner's ``NOT_RUN`` for the
        whole operation is final and holds for those hops too.
    """
    attempt_verdict = problem.attempt_verdict or problem.verdict
    verdict = problem.verdict
    if problem.attempt_verdict is None:
        verdict = verdict.merge(Verdict.MAY_HAVE_RUN)
    if verdict is not Verdict.NOT_RUN:
        attempt_verdict = attempt_verdict.merge(hops_verdict)
    return RequestFailure(
        reason=_REASONS.get(problem.type.rpartition(":")[2], Reason.HOP_REFUSED),
        detail=problem.detail,
        verdict=verdict,
        attempt_verdict=attempt_verdict,
        retry_after_seconds=problem.retry_after_seconds,
    )


def owner_unreachable(owner: VmRecord, hops_verdict: Verdict) -> RequestFailure:
    """Return the failure of a request whose hops brought no answer of the owner.

    Parameters
    ----------
    owner : VmRecord
        Owner of the operation.
    hops_verdict : Verdict
        Verdict of the hops.
    """
    if hops_verdict is Verdict.NOT_RUN:
        reason = Reason.OWNER_GONE
        detail = f"the owner of the ticket, {owner.id}, cannot be reached from here"
    else:
        reason = Reason.OUTCOME_UNKNOWN
        detail = f"the owner of the ticket, {owner.id}, did not answer"
    return RequestFailure(
        reason=reason,
        detail=detail,
        verdict=Verdict.MAY_HAVE_RUN,
        attempt_verdict=hops_verdict,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
