"""Further attempts that a request may make after failed ones."""

from gateway_factories import make_route

from pimentospool.gateway import RefusalReason
from pimentospool.gateway._progress import RequestProgress
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict


def failure(verdict, cause=FailureCause.BROKEN):
    return AttemptFailure(detail="test", verdict=verdict, cause=cause)


def test_a_hop_that_may_have_run_uses_up_the_targets():
    progress = RequestProgress(route=make_route(max_targets=2), max_targets=2)
    progress.record_failure(failure(Verdict.MAY_HAVE_RUN), target="i-1")
    assert progress.targets_left == 1
    progress.record_failure(failure(Verdict.MAY_HAVE_RUN), region="delta")
    assert progress.targets_left == 0
    assert progress.may_use("i-1")
    assert not progress.may_use("i-2")


def test_a_refused_hop_uses_up_no_target():
    progress = RequestProgress(route=make_route(max_targets=1), max_targets=1)
    progress.record_failure(
        failure(Verdict.NOT_RUN, FailureCause.REFUSED), region="delta"
    )
    assert progress.may_use("i-1")
    assert progress.excluded_regions == {"delta"}


def test_two_entry_vms_of_a_region_that_reach_no_target_are_asked():
    progress = RequestProgress(route=make_route(max_targets=1), max_targets=1)
    for excluded in (set(), {"delta"}):
        progress.record_failure(
            failure(Verdict.NOT_RUN, FailureCause.REFUSED),
            region="delta",
            out_of_contact=True,
        )
        assert progress.excluded_regions == excluded


def test_rejections_may_go_to_more_targets_than_may_run():
    progress = RequestProgress(route=make_route(max_targets=1), max_targets=1)
    progress.record_failure(
        failure(Verdict.NOT_RUN, FailureCause.REFUSED), target="i-1"
    )
    assert progress.may_use("i-2")


def test_refusal_says_not_run_only_if_nothing_may_have_run():
    progress = RequestProgress(route=make_route(), max_targets=2)
    progress.record_failure(
        failure(Verdict.NOT_RUN, FailureCause.REFUSED), target="i-1"
    )
    refusal = progress.refusal("", None)
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.retry_after_seconds > 0
    progress.record_failure(failure(Verdict.MAY_HAVE_RUN), target="i-2")
    refusal = progress.refusal("", None)
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.reason is RefusalReason.FAILED
    assert refusal.retry_after_seconds is None


def test_non_idempotent_request_is_not_retried_once_it_may_have_run():
    route = make_route(kind=make_route().kind.NON_IDEMPOTENT)
    progress = RequestProgress(route=route, max_targets=2)
    progress.record_failure(failure(Verdict.NOT_RUN), target="i-1")
    assert progress.may_retry(reply_started=False)
    progress.record_failure(failure(Verdict.MAY_HAVE_RUN), target="i-2")
    assert not progress.may_retry(reply_started=False)
