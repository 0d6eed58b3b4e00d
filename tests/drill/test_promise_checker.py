"""Each promise is judged as held, and as broken by a deliberate break."""

import pytest
from drill_records import ENTRIES, MANIFEST, make_record

from pimentospool._generated.scenario import FaultKind
from pimentospool.drill import (
    Evidence,
    FaultWindow,
    HopSeen,
    Judge,
    Promise,
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
    return HopSeen(
        request_id=f"r-{name}", source=source, destination=destination, at=0.0
    )


def make_fault(kind, start, end, **changes):
    fields = {"scenario": "s", "region": "gulf", **changes}
    return FaultWindow(kind=kind, start=start, end=end, **fields)


def sample(entry, at, revision, accepts=None):
    return RevisionSample(entry=entry, at=at, revision=revision, accepts_newest=accepts)


def judge(promise, **seen):
    evidence = Evidence(manifest=MANIFEST, entry_regions=ENTRIES, **seen)
    results = {item.promise: item for item in Judge(evidence=evidence).results()}
    return results[promise]


def check(promise, *, held, broken):
    """Judge evidence that keeps the promise, and evidence that breaks it once."""
    good = judge(promise, **held)
    assert good.verdict == "held", good
    bad = judge(promise, **broken)
    assert (bad.verdict, bad.broken) == ("broken", 1), bad
    assert len(bad.violations) == 1


def test_nothing_seen_is_not_tried():
    evidence = Evidence(manifest=MANIFEST, entry_regions=ENTRIES)
    results = Judge(evidence=evidence).results()
    assert [item.promise for item in results] == list(Promise)
    assert {item.verdict for item in results} == {"not tried"}
    assert not all_held(results)


def test_allowed_regions():
    records = [make_record("a", customer="home-bound")]
    check(
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


def test_a_hop_out_of_the_allowed_regions_counts_without_an_execution():
    records = [make_record("a", customer="home-bound")]
    hops = [make_hop("a", "g1", "p1")]
    assert judge(Promise.ALLOWED_REGIONS, records=records, hops=hops).broken == 1


def test_no_loops():
    check(
        Promise.NO_LOOPS,
        held={"hops": [make_hop("a", "g1", "p1"), make_hop("a", "g1", "d1")]},
        broken={"hops": [make_hop("a", "g1", "p1"), make_hop("a", "p1", "g1")]},
    )


def run_at(*targets):
    return [
        make_execution("a", f"gulf-engine-{number}", at=float(at))
        for at, number in enumerate(targets)
    ]


def test_no_loops_between_targets():
    """A broken attempt may be made again at its target; a return is a loop."""
    held = [
        *run_at(1, 1, 2),
        make_execution("a", "gulf-engine-1", at=9.0, first_token=2),
    ]
    check(
        Promise.NO_LOOPS,
        held={"executions": held},
        broken={"executions": run_at(1, 2, 1)},
    )
    check(
        Promise.NO_LOOPS,
        held={"executions": run_at(1, 1, 1, 1)},
        broken={"executions": run_at(1, 1, 1, 1, 1)},
    )


def test_isolated_region():
    faults = [make_fault(FaultKind.REGION_ISOLATED, 0.0, 10.0)]
    early = make_record("early", at=1.0, outcome=CallOutcome.REFUSED)
    other = make_record("other", at=5.0, region="delta", outcome=CallOutcome.REFUSED)
    served = [early, other, make_record("a", at=5.0)]
    refused = make_record("b", at=5.0, outcome=CallOutcome.REFUSED)
    check(
        Promise.ISOLATED_REGION,
        held={"faults": faults, "records": served},
        broken={"faults": faults, "records": [*served, refused]},
    )


@pytest.mark.parametrize("outcome", [CallOutcome.WRONG, CallOutcome.BROKEN])
def test_whole_answers(outcome):
    whole = make_record("a")
    check(
        Promise.WHOLE_ANSWERS,
        held={"records": [whole]},
        broken={"records": [whole, make_record("b", outcome=outcome)]},
    )


def test_a_cut_is_explained_only_by_the_loss_of_its_own_entry_vm():
    cut = make_record("a", at=1.0, outcome=CallOutcome.BROKEN)
    for kind, fields, broken in [
        (FaultKind.ENTRY_KILLED, {"entry": "g1"}, 0),
        (FaultKind.ENTRY_KILLED, {"entry": "g2"}, 1),
        (FaultKind.REGION_LOST, {}, 0),
        (FaultKind.REGION_LOST, {"region": "delta"}, 1),
        (FaultKind.ENTRY_REPLACED, {"entry": "g1"}, 1),
    ]:
        faults = [make_fault(kind, 1.05, 3.0, **fields)]
        result = judge(Promise.WHOLE_ANSWERS, records=[cut], faults=faults)
        assert result.broken == broken, (kind, fields)


def test_not_run_is_true():
    records = [make_record("a", outcome=CallOutcome.REFUSED, verdict="not-run")]
    honest = judge(Promise.NOT_RUN_IS_TRUE, records=records)
    assert (honest.tried, honest.broken) == (2, 0)
    ran = [make_execution("a", "gulf-engine-1")]
    lied = judge(Promise.NOT_RUN_IS_TRUE, records=records, executions=ran)
    assert (lied.tried, lied.broken) == (2, 2)
    other_id = make_execution("a", "gulf-engine-1")
    other_id.execution.request_id = "another"
    found = judge(Promise.NOT_RUN_IS_TRUE, records=records, executions=[other_id])
    assert (found.tried, found.broken) == (2, 1)
    unknown = judge(Promise.NOT_RUN_IS_TRUE, records=records, executions_known=False)
    assert unknown.verdict == "not tried"


def test_at_most_once():
    seen = {
        "records": [make_record("a", at=1.0, kind=CallKind.NON_IDEMPOTENT)],
        "faults": [make_fault(FaultKind.LINK_CUT, 0.0, 2.0)],
    }
    once = [make_execution("a", "gulf-desk-1")]
    twice = [*once, make_execution("a", "delta-desk-1")]
    check(
        Promise.AT_MOST_ONCE,
        held={**seen, "executions": once},
        broken={**seen, "executions": twice},
    )
    calm = {**seen, "faults": [], "executions": once}
    assert judge(Promise.AT_MOST_ONCE, **calm).verdict == "not tried"
    repeatable = [make_record("a", at=1.0, kind=CallKind.IDEMPOTENT)]
    allowed = {**seen, "records": repeatable, "executions": twice}
    assert judge(Promise.AT_MOST_ONCE, **allowed).broken == 0


def test_leaving_target():
    left = make_fault(FaultKind.TARGET_LEAVING, 0.0, 10.0, target="gulf-engine-1")
    in_time = make_execution("a", "gulf-engine-1", at=1.5)
    elsewhere = make_execution("b", "gulf-engine-2", at=5.0)
    late = make_execution("c", "gulf-engine-1", at=2.5)
    check(
        Promise.LEAVING_TARGET,
        held={"faults": [left], "executions": [in_time, elsewhere]},
        broken={"faults": [left], "executions": [in_time, elsewhere, late]},
    )
    idle = judge(Promise.LEAVING_TARGET, faults=[left], executions=[in_time])
    assert idle.verdict == "not tried"


def test_graceful_shutdown():
    replaced = make_fault(FaultKind.ENTRY_REPLACED, 5.0, 8.0, entry="g1", exit_code=0)
    ended = make_record("a", at=4.9, seconds=1.0)
    after = make_record("b", at=5.5, outcome=CallOutcome.BROKEN)
    cut = make_record("c", at=4.9, seconds=0.5, outcome=CallOutcome.BROKEN)
    check(
        Promise.GRACEFUL_SHUTDOWN,
        held={"faults": [replaced], "records": [ended, after]},
        broken={"faults": [replaced], "records": [ended, after, cut]},
    )
    killed = make_fault(FaultKind.ENTRY_REPLACED, 5.0, 8.0, entry="g1", exit_code=-9)
    assert judge(Promise.GRACEFUL_SHUTDOWN, faults=[killed]).broken == 1


PUBLISHED = [Publication(revision=2, at=10.0, acceptable=True)]


def test_configuration_comes_into_force():
    before = [sample("g1", 1.0, 1)]
    check(
        Promise.CONFIGURATION,
        held={"publications": PUBLISHED, "samples": [*before, sample("g1", 14.5, 2)]},
        broken={"publications": PUBLISHED, "samples": [*before, sample("g1", 14.5, 1)]},
    )


def test_configuration_is_due_after_the_failure_that_hid_it():
    samples = [sample("g1", 14.5, 1), sample("g1", 17.0, 1), sample("g1", 19.5, 2)]
    down = make_fault(FaultKind.CONFIGURATION_DOWN, 9.0, 15.0)
    other = make_fault(FaultKind.ENTRY_PAUSED, 9.0, 15.0, entry="g2")
    seen = {"publications": PUBLISHED, "samples": samples}
    assert judge(Promise.CONFIGURATION, faults=[down], **seen).broken == 0
    assert judge(Promise.CONFIGURATION, faults=[other], **seen).broken == 1


@pytest.mark.parametrize(
    "breaking",
    [sample("g1", 3.0, 1), sample("g1", 3.0, 3), sample("g1", 3.0, 4, False)],
    ids=["went back", "refused revision", "does not follow"],
)
def test_configuration_never_goes_back(breaking):
    published = [Publication(revision=3, at=0.0, acceptable=False)]
    good = [sample("g1", 1.0, 2), sample("g1", 2.0, 0), sample("g1", 2.5, 2)]
    check(
        Promise.CONFIGURATION,
        held={"publications": published, "samples": good},
        broken={"publications": published, "samples": [*good, breaking]},
    )
