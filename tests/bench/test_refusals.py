"""Load and figures of `pimentospool bench refusals`."""

import msgspec
import pytest

from pimentospool.bench._refusals import (
    NO_REASON,
    LoadPhase,
    ObservedCall,
    RefusalBench,
    RefusalCase,
    plan_calls,
    read_reasons,
    summarize_calls,
)
from pimentospool.standins import CallEnd, PlatformCall

CASE = RefusalCase(rate=40.0, start_seconds=5.0, calm_seconds=10.0, step_seconds=10.0)


def observed(number, *, status, phase=LoadPhase.CALM, slot_share=0.5):
    call = PlatformCall(
        id=f"r-{number}",
        method="GET",
        path="/",
        body=b"",
        node=0,
        sent_at=0.0,
        end=CallEnd.ANSWERED,
        status=status,
    )
    return ObservedCall(phase=phase, slot_share=slot_share, call=call)


def test_calls_follow_the_rate_of_their_phase():
    planned = plan_calls(CASE, seed=1)
    assert planned == sorted(planned, key=lambda item: item.due_seconds)
    start = 0.0
    for phase, seconds, rate in CASE.phases:
        due = [item.due_seconds for item in planned if item.phase is phase]
        assert len(due) == pytest.approx(rate * seconds, rel=0.2)
        assert start <= due[0] <= due[-1] < start + seconds
        start += seconds
    assert {item.node for item in planned} == set(range(CASE.nodes))


def test_seed_determines_the_calls():
    assert plan_calls(CASE, seed=1) == plan_calls(CASE, seed=1)
    assert plan_calls(CASE, seed=1) != plan_calls(CASE, seed=2)


def test_refused_and_failed_calls_are_counted_with_their_slots_and_reasons():
    calls = [
        observed(1, status=200, slot_share=0.2),
        observed(2, status=503, slot_share=0.4),
        observed(3, status=503, slot_share=0.6),
        observed(4, status=502, slot_share=0.8),
        observed(5, status=503, phase=LoadPhase.STEP),
    ]
    reasons = {"r-2": "late", "r-3": "late"}
    _, calm, step = summarize_calls(CASE, calls, reasons)
    assert (calm.calls, calm.refused, calm.failed) == (4, 2, 1)
    assert calm.slot_share == pytest.approx(0.5)
    assert calm.slot_share_refused == pytest.approx(0.5)
    assert calm.reasons == {"late": 2, NO_REASON: 1}
    assert (step.calls, step.refused, step.demand) == (1, 1, 1.0)


def test_phase_without_refusals_has_no_slots_of_refused_calls():
    start, *_ = summarize_calls(CASE, [observed(1, status=200)], {})
    assert (start.calls, start.slot_share_refused, start.reasons) == (0, None, {})


def test_reasons_of_one_limit_are_the_same_text():
    def line(name, request, **fields):
        return msgspec.json.encode({"name": name, "request": request} | fields)

    lines = [
        line("REQUEST_FAILED", "a", reason="overloaded", detail="expected in 1.25 s"),
        line("REQUEST_FAILED", "b", reason="overloaded", detail="expected in 3.70 s"),
        line("REQUEST_REFUSED", "c", reason="no_memory"),
        line("REQUEST_SERVED", "d"),
        b"Traceback (most recent call last):",
    ]
    reasons = read_reasons(lines)
    assert reasons["a"] == reasons["b"] == "expected in #.## s"
    assert reasons["c"] == "no_memory"
    assert set(reasons) == {"a", "b", "c"}


def test_load_beyond_the_slots_is_refused_with_a_reason(runner):
    case = RefusalCase(
        rate=20.0,
        nodes=2,
        targets=1,
        slots=4,
        start_seconds=0.1,
        calm_seconds=0.1,
        step_seconds=2.0,
    )
    figures = runner.run(RefusalBench(case=case, seed=1).run())
    assert [item.phase for item in figures] == ["start", "calm", "step"]
    step = figures[-1]
    assert step.calls == sum(
        planned.phase is LoadPhase.STEP for planned in plan_calls(case, seed=1)
    )
    assert 0 < step.refused < step.calls
    assert NO_REASON not in step.reasons
    assert sum(step.reasons.values()) == step.refused + step.failed
