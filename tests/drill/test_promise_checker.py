"""Each promise is held or broken according to the evidence."""

import pytest
from drill_records import ENTRIES, MANIFEST, make_record

from pimentospool._generated.scenario import FaultKind
from pimentospool.drill import (
    Evidence,
    FaultWindow,
    ObservedHop,
    Promise,
    PromiseChecker,
    Publication,
    RevisionSample,
    TargetExecution,
    all_held,
)
from pimentospool.load import CallKind, CallOutcome
from pimentospool.standins import Execution


def make_execution(name, target, *, at=0.0, first_token=0):
    execution = Execution(
        path="",
        method="POST",
        request_id=f"r-{name}",
        operation_id="",
        body_digest=f"d-{name}",
        at=at,
        first_token=first_token,
    )
    return TargetExecution(target=target, execution=execution)


def make_hop(name, source, destination):
    return ObservedHop(
        request_id=f"r-{name}", source=source, destination=destination, observed_at=0.0
    )


def make_fault(kind, start, end, **changes):
    fields = {"scenario": "s", "region": "gulf", **changes}
    return FaultWindow(kind=kind, start=start, end=end, **fields)


def make_sample(entry, at, revision, accepts=None):
    return RevisionSample(
        entry=entry, sampled_at=at, revision=revision, accepts_probe_key=accepts
    )


def check_promise(promise, **observations):
    evidence = Evidence(manifest=MANIFEST, entry_regions=ENTRIES, **observations)
    results = {
        item.promise: item for item in PromiseChecker(evidence=evidence).results()
    }
    return results[promise]


def assert_checked(promise, *, held, broken):
    """Check evidence that keeps the promise, and evidence that breaks it once."""
    good = check_promise(promise, **held)
    assert good.verdict == "held", good
    bad = check_promise(promise, **broken)
    assert (bad.verdict, bad.broken) == ("broken", 1), bad
    assert len(bad.violations) == 1


def test_promises_without_evidence_are_not_tried():
    evidence = Evidence(manifest=MANIFEST, entry_regions=ENTRIES)
    results = PromiseChecker(evidence=evidence).results()
    assert [item.promise for item in results] == list(Promise)
    assert {item.verdict for item in results} == {"not tried"}
    assert not all_held(results)


def test_allowed_regions():
    records = [make_record("a", customer="home-bound")]
    assert_checked(
        Promise.ALLOWED_REGIONS,
        held={
            "records": records,
            "executions": [make_execution("a", "gulf-engine-1")],
        },
        broken={
            "records": records,
            "executions": [make_execution("a", "delta-engine-1")],
        },
    )


def test_a_hop_outside_the_allowed_regions_counts_without_an_execution():
    records = [make_record("a", customer="home-bound")]
    hops = [make_hop("a", "g1", "p1")]
    assert (
        check_promise(Promise.ALLOWED_REGIONS, records=records, hops=hops).broken == 1
    )


def test_no_loops_between_entry_vms():
    assert_checked(
        Promise.NO_LOOPS,
        held={"hops": [make_hop("a", "g1", "p1"), make_hop("a", "g1", "d1")]},
        broken={"hops": [make_hop("a", "g1", "p1"), make_hop("a", "p1", "g1")]},
    )


def make_executions_at(*targets):
    return [
        make_execution("a", f"gulf-engine-{number}", at=float(at))
        for at, number in enumerate(targets)
    ]


def test_no_loops_between_targets():
    """A broken attempt may be retried at its target; a return to a target is a loop."""
    held = [
        *make_executions_at(1, 1, 2),
        make_execution("a", "gulf-engine-1", at=9.0, first_token=2),
    ]
    assert_checked(
        Promise.NO_LOOPS,
        held={"executions": held},
        broken={"executions": make_executions_at(1, 2, 1)},
    )
    assert_checked(
        Promise.NO_LOOPS,
        held={"executions": make_executions_at(1, 1, 1, 1)},
        broken={"executions": make_executions_at(1, 1, 1, 1, 1)},
    )


def test_isolated_region():
    faults = [make_fault(FaultKind.REGION_ISOLATED, 0.0, 10.0)]
    early = make_record("early", at=1.0, outcome=CallOutcome.REFUSED)
    other = make_record("other", at=5.0, region="delta", outcome=CallOutcome.REFUSED)
    served = [early, other, make_record("a", at=5.0)]
    refused = make_record("b", at=5.0, outcome=CallOutcome.REFUSED)
    assert_checked(
        Promise.ISOLATED_REGION,
        held={"faults": faults, "records": served},
        broken={"faults": faults, "records": [*served, refused]},
    )


@pytest.mark.parametrize("outcome", [CallOutcome.WRONG, CallOutcome.BROKEN])
def test_whole_answers(outcome):
    whole = make_record("a")
    assert_checked(
        Promise.WHOLE_ANSWERS,
        held={"records": [whole]},
        broken={"records": [whole, make_record("b", outcome=outcome)]},
    )


def test_a_cut_is_excused_only_by_the_loss_of_its_entry_vm():
    cut = make_record("a", at=1.0, outcome=CallOutcome.BROKEN)
    for kind, fields, broken in [
        (FaultKind.ENTRY_KILLED, {"entry": "g1"}, 0),
        (FaultKind.ENTRY_KILLED, {"entry": "g2"}, 1),
        (FaultKind.REGION_LOST, {}, 0),
        (FaultKind.REGION_LOST, {"region": "delta"}, 1),
        (FaultKind.ENTRY_REPLACED, {"entry": "g1"}, 1),
    ]:
        faults = [make_fault(kind, 1.05, 3.0, **fields)]
        result = check_promise(Promise.WHOLE_ANSWERS, records=[cut], faults=faults)
        assert result.broken == broken, (kind, fields)


def test_not_run_claims_are_checked_by_request_id_and_by_digest():
    records = [make_record("a", outcome=CallOutcome.REFUSED, verdict="not-run")]
    true_claim = check_promise(Promise.NOT_RUN_IS_TRUE, records=records)
    assert (true_claim.tried, true_claim.broken) == (2, 0)
    executions = [make_execution("a", "gulf-engine-1")]
    false_claim = check_promise(
        Promise.NOT_RUN_IS_TRUE, records=records, executions=executions
    )
    assert (false_claim.tried, false_claim.broken) == (2, 2)
    other_id = make_execution("a", "gulf-engine-1")
    other_id.execution.request_id = "another"
    found_by_digest = check_promise(
        Promise.NOT_RUN_IS_TRUE, records=records, executions=[other_id]
    )
    assert (found_by_digest.tried, found_by_digest.broken) == (2, 1)
    unknown = check_promise(
        Promise.NOT_RUN_IS_TRUE, records=records, executions_known=False
    )
    assert unknown.verdict == "not tried"


def test_at_most_once():
    evidence = {
        "records": [make_record("a", at=1.0, kind=CallKind.NON_IDEMPOTENT)],
        "faults": [make_fault(FaultKind.LINK_CUT, 0.0, 2.0)],
    }
    one_execution = [make_execution("a", "gulf-desk-1")]
    two_executions = [*one_execution, make_execution("a", "delta-desk-1")]
    assert_checked(
        Promise.AT_MOST_ONCE,
        held={**evidence, "executions": one_execution},
        broken={**evidence, "executions": two_executions},
    )
    without_failure = {**evidence, "faults": [], "executions": one_execution}
    assert check_promise(Promise.AT_MOST_ONCE, **without_failure).verdict == "not tried"
    idempotent = [make_record("a", at=1.0, kind=CallKind.IDEMPOTENT)]
    idempotent_evidence = {
        **evidence,
        "records": idempotent,
        "executions": two_executions,
    }
    assert check_promise(Promise.AT_MOST_ONCE, **idempotent_evidence).broken == 0


def test_leaving_target():
    leaving = make_fault(FaultKind.TARGET_LEAVING, 0.0, 10.0, target="gulf-engine-1")
    in_time = make_execution("a", "gulf-engine-1", at=1.5)
    elsewhere = make_execution("b", "gulf-engine-2", at=5.0)
    late = make_execution("c", "gulf-engine-1", at=2.5)
    assert_checked(
        Promise.LEAVING_TARGET,
        held={"faults": [leaving], "executions": [in_time, elsewhere]},
        broken={"faults": [leaving], "executions": [in_time, elsewhere, late]},
    )
    idle = check_promise(Promise.LEAVING_TARGET, faults=[leaving], executions=[in_time])
    assert idle.verdict == "not tried"


def test_graceful_shutdown():
    replaced = make_fault(FaultKind.ENTRY_REPLACED, 5.0, 8.0, entry="g1", exit_code=0)
    ended = make_record("a", at=4.9, seconds=1.0)
    after = make_record("b", at=5.5, outcome=CallOutcome.BROKEN)
    cut = make_record("c", at=4.9, seconds=0.5, outcome=CallOutcome.BROKEN)
    assert_checked(
        Promise.GRACEFUL_SHUTDOWN,
        held={"faults": [replaced], "records": [ended, after]},
        broken={"faults": [replaced], "records": [ended, after, cut]},
    )
    killed = make_fault(FaultKind.ENTRY_REPLACED, 5.0, 8.0, entry="g1", exit_code=-9)
    assert check_promise(Promise.GRACEFUL_SHUTDOWN, faults=[killed]).broken == 1


PUBLICATIONS = [Publication(revision=2, published_at=10.0, acceptable=True)]


def test_a_revision_becomes_active_in_time():
    before = [make_sample("g1", 1.0, 1)]
    assert_checked(
        Promise.CONFIGURATION,
        held={
            "publications": PUBLICATIONS,
            "samples": [*before, make_sample("g1", 14.5, 2)],
        },
        broken={
            "publications": PUBLICATIONS,
            "samples": [*before, make_sample("g1", 14.5, 1)],
        },
    )


def test_a_revision_is_due_after_the_failure_that_blocks_it():
    samples = [
        make_sample("g1", 14.5, 1),
        make_sample("g1", 17.0, 1),
        make_sample("g1", 19.5, 2),
    ]
    service_down = make_fault(FaultKind.CONFIGURATION_DOWN, 9.0, 15.0)
    other_entry_paused = make_fault(FaultKind.ENTRY_PAUSED, 9.0, 15.0, entry="g2")
    evidence = {"publications": PUBLICATIONS, "samples": samples}
    assert (
        check_promise(Promise.CONFIGURATION, faults=[service_down], **evidence).broken
        == 0
    )
    assert (
        check_promise(
            Promise.CONFIGURATION, faults=[other_entry_paused], **evidence
        ).broken
        == 1
    )


@pytest.mark.parametrize(
    "violation",
    [
        make_sample("g1", 3.0, 1),
        make_sample("g1", 3.0, 3),
        make_sample("g1", 3.0, 4, False),
    ],
    ids=["went back", "refused revision", "does not follow"],
)
def test_configuration_never_goes_back(violation):
    published = [Publication(revision=3, published_at=0.0, acceptable=False)]
    good = [
        make_sample("g1", 1.0, 2),
        make_sample("g1", 2.0, 0),
        make_sample("g1", 2.5, 2),
    ]
    assert_checked(
        Promise.CONFIGURATION,
        held={"publications": published, "samples": good},
        broken={"publications": published, "samples": [*good, violation]},
    )
