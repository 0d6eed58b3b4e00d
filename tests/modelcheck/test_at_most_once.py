"""Operations run at most once: exhaustive exploration and random walks of the model.

Faulty ledgers and histories show that both detect violations.
"""

import random
from functools import partial

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pimentospool.client import NextStep, OperationHistory
from pimentospool.errors import Reason
from pimentospool.modelcheck import (
    AT_MOST_ONCE_CASES,
    AtMostOnceCase,
    AtMostOnceModel,
    explore,
    walk,
)
from pimentospool.policy import LedgerLimits, OperationLedger, OperationState, Start
from pimentospool.verdicts import Verdict

TICKET_RENEWAL = AtMostOnceCase()
ONE_ENTRY = AtMostOnceCase(entries=1, pauses=0, faults=1)
OWNER_UNREACHABLE = AtMostOnceCase(restarts=0, pauses=0, faults=1)
SHARED_TICKET = AtMostOnceCase(callers=2, shared_ticket=True, attempts=1)
LARGE_CASE = AtMostOnceCase(
    entries=3,
    callers=3,
    calls=1000,
    attempts=4,
    tickets=3,
    restarts=40,
    pauses=40,
    faults=200,
)
ONE_ENTRY_MANY_CALLERS = AtMostOnceCase(
    entries=1,
    callers=3,
    calls=1000,
    attempts=4,
    restarts=0,
    pauses=0,
    faults=200,
)
SMALL_LIMITS = LedgerLimits(window=4, records=6, answer_bytes=3)
EXAMPLES = 220
WALK_STEPS = 500


class IgnoresIncarnation(OperationLedger):
    """A restarted owner accepts the tickets of its previous generation."""

    def owns(self, ticket):
        return ticket.owner == self.owner


class ForgetsRecords(OperationLedger):
    """Every request starts an execution, also of a ticket that was used."""

    def begin(self, ticket, **fields):
        decision = super().begin(ticket, **fields)
        if self.owns(ticket) and not isinstance(decision, Start):
            book = self._customer_ledgers[ticket.call.customer]
            if ticket.sequence in book.records:
                self._forget(ticket.call.customer, book, ticket.sequence)
            return super().begin(ticket, **fields)
        return decision


class ReopensTickets(OperationLedger):
    """A ticket can be used again after the verdict NOT_RUN."""

    def begin(self, ticket, **fields):
        if self.state(ticket) is OperationState.REFUSED:
            book = self._customer_ledgers[ticket.call.customer]
            self._forget(ticket.call.customer, book, ticket.sequence)
        return super().begin(ticket, **fields)


class TrustsTheSender(OperationLedger):
    """A lost target response is reported as NOT_RUN."""

    def failed(self, ticket, refusal):
        self.not_executed(ticket)
        refusal = not_run(refusal)
        super().failed(ticket, refusal)


class SendsLate(OperationLedger):
    """A process sends an operation although a pause exceeded its send deadline."""

    def mark_sent(self, ticket, *, decided_at, now):
        return super().mark_sent(ticket, decided_at=decided_at, now=decided_at)


class RunsForgottenOperations(OperationLedger):
    """Runs operations again whose records were evicted from the window."""

    def _raise_floor(self, customer, book, floor):
        super()._raise_floor(customer, book, floor)
        book.floor = 0


class RenewsWhenOwnerIsGone(OperationHistory):
    """Requests a new ticket although an attempt may have run."""

    def record_end(self, end):
        step = super().record_end(end)
        gone = end.reason == Reason.OWNER_GONE.slug
        return NextStep.NEW_TICKET if gone else step


class IgnoresOpenAttempts(OperationHistory):
    """Requests a new ticket while an attempt is still in flight."""

    @property
    def verdict(self):
        return self._verdict


def not_run(refusal):
    return type(refusal)(
        reason=refusal.reason,
        detail="",
        verdict=Verdict.NOT_RUN,
        attempt_verdict=Verdict.NOT_RUN,
    )


def walk_by_choices(model, choices, step_counts=None):
    remaining = iter(choices)

    def choose(count):
        if step_counts is not None:
            step_counts.append(count)
        return next(remaining) * count >> 8

    return walk(model, choose, steps=len(choices))


@pytest.mark.parametrize("name", sorted(AT_MOST_ONCE_CASES))
def test_bounded_exploration_finds_no_violation(name):
    result = explore(
        AtMostOnceModel(case=AT_MOST_ONCE_CASES[name]), depth=12, max_states=6_000
    )
    assert result.violations == []
    assert result.states > 1_500


def test_exhaustive_exploration_finds_no_violation():
    result = explore(AtMostOnceModel(case=OWNER_UNREACHABLE), depth=60)
    assert result.complete
    assert result.violations == []


@pytest.mark.parametrize(
    ("ledger", "history", "case"),
    [
        (IgnoresIncarnation, OperationHistory, ONE_ENTRY),
        (ForgetsRecords, OperationHistory, SHARED_TICKET),
        (ReopensTickets, OperationHistory, SHARED_TICKET),
        (TrustsTheSender, OperationHistory, TICKET_RENEWAL),
        (SendsLate, OperationHistory, TICKET_RENEWAL),
        (OperationLedger, RenewsWhenOwnerIsGone, ONE_ENTRY),
        (OperationLedger, IgnoresOpenAttempts, OWNER_UNREACHABLE),
    ],
)
def test_exploration_detects_faulty_ledger_or_history(ledger, history, case):
    model = AtMostOnceModel(case=case, make_ledger=ledger, make_history=history)
    result = explore(model, depth=16, max_states=60_000)
    assert result.violations
    assert result.violations[0].trace


walked_step_counts = []


@settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(choices=st.binary(min_size=WALK_STEPS, max_size=WALK_STEPS))
def walk_all(choices):
    model = AtMostOnceModel(
        case=LARGE_CASE, make_ledger=partial(OperationLedger, limits=SMALL_LIMITS)
    )
    assert walk_by_choices(model, choices, walked_step_counts) is None


def test_generated_walks_find_no_violation():
    walked_step_counts.clear()
    walk_all()
    assert len(walked_step_counts) >= 100_000


@pytest.mark.parametrize("seed", range(3))
def test_seeded_walks_find_no_violation(seed):
    rng = random.Random(seed)
    model = AtMostOnceModel(
        case=LARGE_CASE, make_ledger=partial(OperationLedger, limits=SMALL_LIMITS)
    )
    state = model.initial()
    for _ in range(2000):
        rng.choice(model.steps(state)).apply(state)
        assert model.violations(state) == []
    assert sum(ticket.executions for ticket in state.tickets) > 20
    assert sum(ticket.reported_not_run for ticket in state.tickets) > 5


def test_walks_detect_rerun_of_evicted_operations():
    rng = random.Random(1)
    limits = LedgerLimits(window=1, records=2)
    model = AtMostOnceModel(
        case=ONE_ENTRY_MANY_CALLERS,
        make_ledger=partial(RunsForgottenOperations, limits=limits),
    )
    result = [walk_by_choices(model, rng.randbytes(WALK_STEPS)) for _ in range(40)]
    assert any(result)
