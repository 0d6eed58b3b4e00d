"""The soak's judge finds each kind of broken promise and accepts what is allowed."""

import pytest

from pimentospool.soak import (
    Arrival,
    Disturbance,
    SoakFault,
    SoakJudge,
    SoakRecord,
    SoakRoute,
    plan_faults,
)
from pimentospool.standins import CallEnd, PlatformCall, ReceivedRequest

ROUTES = (
    SoakRoute(prefix="/look/", method="GET", repeatable=True, limit_seconds=2.0),
    SoakRoute(prefix="/book/", method="POST", repeatable=False, limit_seconds=2.0),
    SoakRoute(prefix="/ask/", method="POST", repeatable=True, limit_seconds=5.0),
    SoakRoute(
        prefix="/home/", method="GET", repeatable=True, limit_seconds=2.0, home="delta"
    ),
)
METHODS = {route.prefix: route.method for route in ROUTES}
EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"


def call(prefix="/book/", *, request_id="c-1", status=200, seconds=0.1, **options):
    method, path = METHODS[prefix], f"{prefix}1"
    headers = {"x-request-id": request_id, "x-response-seal": f"t-1.{request_id}"}
    fields = {
        "id": request_id,
        "method": method,
        "path": path,
        "body": b"",
        "node": 0,
        "sent_at": 10.0,
        "ended_at": 10.0 + seconds,
        "end": CallEnd.ANSWERED,
        "status": status,
        "headers": headers,
        "answer": EVENTS if prefix == "/ask/" else f"t-1 {method} {path} ".encode(),
    }
    return PlatformCall(**fields | options)


def arrival(made, *, target="t-1", region="gulf", at=10.01, **changes):
    whole = (
        EVENTS if made.path == "/ask/1" else f"t-1 {made.method} {made.path} ".encode()
    )
    fields = {
        "method": made.method,
        "path": made.path,
        "body": made.body,
        "whole": whole,
    }
    req = ReceivedRequest(headers={"x-request-id": made.id}, at=at, **fields | changes)
    return Arrival(target=target, region=region, service="desk", request=req)


def broken(calls, arrivals=(), **fields):
    record = SoakRecord(calls=list(calls), arrivals=list(arrivals), **fields)
    judge = SoakJudge(routes=ROUTES, record=record)
    return [item.promise for item in judge.judge()]


def test_whole_answers_break_nothing():
    made = [call(), call("/look/", request_id="c-2"), call("/ask/", request_id="c-3")]
    assert broken(made, [arrival(item) for item in made]) == []


@pytest.mark.parametrize(("prefix", "expected"), [("/book/", 1), ("/look/", 0)])
def test_second_run_of_a_call_that_may_not_be_repeated(prefix, expected):
    made = call(prefix)
    found = broken([made], [arrival(made), arrival(made, target="t-2")])
    assert found == ["runs at most once"] * expected


@pytest.mark.parametrize("status", [429, 503, 408, 421])
def test_refusal_of_a_call_that_ran(status):
    made = call(status=status)
    assert broken([made], [arrival(made)]) == ["a refusal says the truth"]


def test_gateway_failure_promises_nothing():
    made = call(status=502)
    assert broken([made], [arrival(made)]) == []


@pytest.mark.parametrize(
    "spoiled",
    [
        {"answer": b"t-1 POST /book/1"},
        {"answer": b"t-1 POST /book/2 "},
        {"headers": {"x-request-id": "c-9", "x-response-seal": "t-1.c-1"}},
        {"headers": {"x-request-id": "c-1", "x-response-seal": "t-1.c-9"}},
        {"headers": {"x-request-id": "c-1"}},
    ],
)
def test_success_that_is_not_the_targets_answer(spoiled):
    made = call(**spoiled)
    assert broken([made], [arrival(made)]) == ["a success is whole and the call's own"]


@pytest.mark.parametrize("answer", [EVENTS[:-15], EVENTS + EVENTS[15:], EVENTS[15:]])
def test_stream_with_missing_or_repeated_events(answer):
    made = call("/ask/", answer=answer)
    assert broken([made], [arrival(made)]) == ["a success is whole and the call's own"]


@pytest.mark.parametrize(
    "changes", [{"path": "/book/2"}, {"method": "GET"}, {"body": b"x"}]
)
def test_target_gets_something_else(changes):
    made = call()
    found = broken([made], [arrival(made, **changes)])
    assert found == ["targets get what callers sent"]


def test_run_outside_the_home_region():
    made = call("/home/")
    assert broken([made], [arrival(made)]) == ["a route with homes is served there"]
    assert broken([made], [arrival(made, region="delta")]) == []


def test_call_without_an_answer_at_a_calm_node():
    made = call(end=CallEnd.BROKEN, status=0)
    assert broken([made]) == ["a calm node answers"]
    killed = Disturbance(fault=SoakFault.NODE_KILLED, place=0, start=9.0, end=9.5)
    assert broken([made], disturbances=[killed]) == []
    elsewhere = Disturbance(fault=SoakFault.NODE_KILLED, place=1, start=9.0, end=9.5)
    assert broken([made], disturbances=[elsewhere]) == ["a calm node answers"]


def test_calls_held_beyond_the_limit_of_their_route():
    held = [call(request_id=f"c-{n}", status=504, seconds=2.6) for n in range(8)]
    assert broken(held) == ["answers come by the route's limit"]
    assert broken(held[:7]) == []


def test_more_repeats_than_the_budget():
    made = [call("/look/", request_id=f"c-{n}") for n in range(60)]
    twice = [arrival(item, at=at) for item in made for at in (10.01, 10.5)]
    assert broken(made, twice) == []
    thrice = twice + [arrival(item, at=11.0) for item in made]
    assert broken(made, thrice) == ["repeats stay within the budget"]


def test_processes_and_recovery_are_reported():
    found = broken([], process_faults=["ended"], unrecovered=["does not serve"])
    assert found == [
        "processes end only as asked",
        "all nodes serve after the last fault",
    ]


def test_plan_is_a_function_of_its_seed():
    plan = plan_faults(7, seconds=60.0)
    assert plan == plan_faults(7, seconds=60.0)
    assert plan != plan_faults(8, seconds=60.0)
    assert [item.at for item in plan] == sorted(item.at for item in plan)


def test_plans_hold_every_fault():
    seen = {item.fault for seed in range(20) for item in plan_faults(seed, seconds=12)}
    assert seen == set(SoakFault)
