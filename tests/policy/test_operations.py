"""Decisions of the operation ledger."""

import pytest

from pimentospool.errors import Reason
from pimentospool.ids import CustomerId, EntryId, Incarnation, RegionId, ServiceId
from pimentospool.policy import (
    HeldAnswer,
    Join,
    LedgerLimits,
    OperationCall,
    OperationLedger,
    OperationState,
    Refusal,
    Replay,
    Start,
    owner_gone,
)
from pimentospool.verdicts import Verdict

CALL = OperationCall(
    customer=CustomerId("stores"),
    service=ServiceId("payment"),
    method="POST",
    path="cards/charge",
)
ANSWER = HeldAnswer(status=200, content_type="application/json", body=b"{}")
SEND_BY = 100.0


def make_ledger(incarnation="a", **limits):
    return OperationLedger(
        owner=EntryId("gulf-1"),
        region=RegionId("gulf"),
        incarnation=Incarnation(incarnation),
        limits=LedgerLimits(**limits),
    )


def begin(ledger, ticket, *, call=CALL, digest="d", send_by=SEND_BY):
    return ledger.begin(ticket, call=call, digest=digest, send_by=send_by)


def send(ledger, ticket, *, decided_at=0.0, now=0.0):
    return ledger.mark_sent(ticket, decided_at=decided_at, now=now)


def run_operation(ledger, call=CALL, answer=ANSWER):
    ticket = ledger.issue(call)
    assert begin(ledger, ticket, call=call) == Start()
    assert send(ledger, ticket) is None
    ledger.answered(ticket, answer)
    return ticket


def test_first_request_starts_and_later_ones_join_or_replay():
    ledger = make_ledger()
    ticket = ledger.issue(CALL)
    assert begin(ledger, ticket) == Start()
    assert begin(ledger, ticket) == Join()
    assert send(ledger, ticket) is None
    assert begin(ledger, ticket) == Join()
    ledger.answered(ticket, ANSWER)
    assert begin(ledger, ticket) == Replay(answer=ANSWER)
    assert ledger.outcome(ticket) == Replay(answer=ANSWER)


def test_second_send_is_refused_unless_the_first_is_proved_not_run():
    ledger = make_ledger()
    ticket = ledger.issue(CALL)
    begin(ledger, ticket)
    assert send(ledger, ticket) is None
    assert send(ledger, ticket).verdict is Verdict.MAY_HAVE_RUN
    ledger.not_executed(ticket)
    assert send(ledger, ticket) is None


def test_not_run_verdict_closes_the_ticket():
    ledger = make_ledger()
    ticket = ledger.issue(CALL)
    begin(ledger, ticket)
    refusal = send(ledger, ticket, now=SEND_BY)
    assert refusal.verdict is Verdict.NOT_RUN
    ledger.failed(ticket, refusal)
    assert begin(ledger, ticket) == refusal
    assert send(ledger, ticket).verdict is Verdict.MAY_HAVE_RUN


def test_send_is_refused_after_a_pause_since_the_decision():
    ledger = make_ledger(pause_seconds=2.0)
    ticket = ledger.issue(CALL)
    begin(ledger, ticket)
    assert send(ledger, ticket, decided_at=0.0, now=2.5).verdict is Verdict.NOT_RUN
    assert send(ledger, ticket, decided_at=2.5, now=2.6) is None


def test_refusal_after_a_send_without_proof_counts_as_may_have_run():
    ledger = make_ledger()
    ticket = ledger.issue(CALL)
    begin(ledger, ticket)
    send(ledger, ticket)
    refused = Refusal(
        reason=Reason.NO_TARGET,
        detail="",
        verdict=Verdict.NOT_RUN,
        attempt_verdict=Verdict.NOT_RUN,
    )
    ledger.failed(ticket, refused)
    assert ledger.outcome(ticket).verdict is Verdict.MAY_HAVE_RUN


def test_ticket_of_an_earlier_incarnation_is_never_run():
    ticket = make_ledger("a").issue(CALL)
    successor = make_ledger("b")
    refusal = begin(successor, ticket)
    assert refusal.reason is Reason.OWNER_GONE
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert refusal.attempt_verdict is Verdict.NOT_RUN
    assert send(successor, ticket) is not None
    assert owner_gone("").reason is Reason.OWNER_GONE


@pytest.mark.parametrize("change", ["digest", "path", "customer"])
def test_reuse_of_a_ticket_for_another_request_is_a_conflict(change):
    ledger = make_ledger()
    ticket = run_operation(ledger)
    digest, call = "d", CALL
    if change == "digest":
        digest = "other"
    elif change == "path":
        call = OperationCall(
            customer=CALL.customer,
            service=CALL.service,
            method="POST",
            path="pickups/book",
        )
    else:
        call = OperationCall(
            customer=CustomerId("other"),
            service=CALL.service,
            method="POST",
            path=CALL.path,
        )
    refusal = begin(ledger, ticket, call=call, digest=digest)
    assert refusal.reason is Reason.OPERATION_CONFLICT
    assert refusal.verdict is not Verdict.NOT_RUN


def test_tickets_below_the_window_are_never_run():
    ledger = make_ledger(window=4)
    unused = ledger.issue(CALL)
    finished = run_operation(ledger)
    running = ledger.issue(CALL)
    begin(ledger, running)
    for _ in range(8):
        ledger.issue(CALL)
    for ticket in (unused, finished):
        refusal = begin(ledger, ticket)
        assert refusal.reason is Reason.OPERATION_EXPIRED
        assert refusal.verdict is Verdict.MAY_HAVE_RUN
        assert ledger.state(ticket) is None
    assert begin(ledger, running) == Join()
    ledger.answered(running, ANSWER)
    assert begin(ledger, running) == Replay(answer=ANSWER)
    ledger.issue(CALL)
    assert ledger.record_count == 0


def test_held_answers_are_bounded_and_dropped_ones_keep_their_verdict():
    ledger = make_ledger(answer_bytes=100, answer_bytes_each=60)
    large = HeldAnswer(status=200, content_type="", body=b"x" * 50)
    tickets = [run_operation(ledger, answer=large) for _ in range(5)]
    assert ledger.held_bytes <= 100
    assert begin(ledger, tickets[0]).verdict is Verdict.RAN
    assert begin(ledger, tickets[4]) == Replay(answer=large)
    huge = HeldAnswer(status=200, content_type="", body=b"x" * 61)
    assert (
        ledger.state(run_operation(ledger, answer=huge)) is OperationState.ANSWER_LOST
    )


def test_records_are_bounded_and_evicted_from_the_largest_customer():
    ledger = make_ledger(records=50)
    other = OperationCall(
        customer=CustomerId("other"), service=CALL.service, method="POST", path="p"
    )
    other_ticket = run_operation(ledger, call=other)
    for _ in range(500):
        run_operation(ledger)
    assert ledger.record_count <= 50
    assert begin(ledger, other_ticket, call=other) == Replay(answer=ANSWER)


def test_operation_is_refused_while_all_records_are_running():
    ledger = make_ledger(records=3)
    tickets = [ledger.issue(CALL) for _ in range(4)]
    decisions = [begin(ledger, ticket) for ticket in reversed(tickets)]
    assert decisions[:3] == [Start()] * 3
    assert decisions[3].attempt_verdict is Verdict.NOT_RUN
    assert decisions[3].verdict is Verdict.MAY_HAVE_RUN


def test_full_ledger_evicts_ended_operations_behind_running_ones():
    ledger = make_ledger(records=32)
    running = [ledger.issue(CALL) for _ in range(2)]
    for ticket in running:
        assert begin(ledger, ticket) == Start()
    for _ in range(100):
        run_operation(ledger)
    assert ledger.record_count <= 32
    assert all(ledger.state(ticket) is OperationState.RUNNING for ticket in running)


def test_full_ledger_evicts_operations_that_ended_below_the_floor():
    ledger = make_ledger(records=8)
    late = [ledger.issue(CALL) for _ in range(8)]
    for ticket in late:
        assert begin(ledger, ticket) == Start()
    refused = ledger.issue(CALL)
    assert isinstance(begin(ledger, refused), Refusal)
    ledger.issue(CALL)
    for ticket in late:
        assert send(ledger, ticket) is None
        ledger.answered(ticket, ANSWER)
    for _ in range(20):
        run_operation(ledger)
    assert isinstance(begin(ledger, late[0]), Refusal)


def test_operation_that_is_evicted_is_never_started_again():
    ledger = make_ledger(records=4)
    tickets = [run_operation(ledger) for _ in range(20)]
    for ticket in tickets[:-4]:
        assert begin(ledger, ticket) != Start()
