"""The once rule: explored exhaustively, walked at random, and shown able to fail."""

import random
from functools import partial

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pimentospool.client import NextStep, OperationHistory
from pimentospool.errors import Reason
from pimentospool.modelcheck import ONCE_CASES, OnceCase, OnceModel, explore, walk
from pimentospool.policy import LedgerLimits, OperationLedger, OperationState, Start
from pimentospool.verdicts import Verdict

RENEWING = OnceCase()
ONE_ENTRY = OnceCase(entries=1, pauses=0, faults=1)
UNREACHABLE = OnceCase(restarts=0, pauses=0, faults=1)
SHARED = OnceCase(callers=2, shared=True, attempts=1)
WALKED = OnceCase(
    entries=3,
    callers=3,
    intents=1000,
    attempts=4,
    tickets=3,
    restarts=40,
    pauses=40,
    faults=200,
)
CROWDED = OnceCase(
    entries=1,
    callers=3,
    intents=1000,
    attempts=4,
    restarts=0,
    pauses=0,
    faults=200,
)
TIGHT = LedgerLimits(window=4, records=6, answer_bytes=3)
EXAMPLES = 220
WALK_STEPS = 500


class IgnoresIncarnation(OperationLedger):
    """A restarted owner takes over its earlier life's tickets."""

    def owns(self, ticket):
        return ticket.owner == self.owner


class ForgetsRecords(OperationLedger):
    """Every request starts an execution."""

    def begin(self, ticket, **fields):
        decision = super().begin(ticket, **fields)
        if self.owns(ticket) and not isinstance(decision, Start):
            book = self._customer_ledgers[ticket.call.customer]
            if ticket.sequence in book.records:
                self._forget(ticket.call.customer, book, ticket.sequence)
            return super().begin(ticket, **fields)
        return decision


class ReopensTickets(OperationLedger):
    """NOT_RUN leaves the ticket open."""

    def begin(self, ticket, **fields):
        if self.state(ticket) is OperationState.REFUSED:
            book = self._customer_ledgers[ticket.call.customer]
            self._forget(ticket.call.customer, book, ticket.sequence)
        return super().begin(ticket, **fields)


class TrustsTheSender(OperationLedger):
    """A lost reply counts as not run."""

    def failed(self, ticket, refusal):
        self.not_executed(ticket)
        refusal = not_run(refusal)
        super().failed(ticket, refusal)


class SendsLate(OperationLedger):
    """A paused process sends what it decided before."""

    def mark_sent(self, ticket, *, decided_at, now):
        return super().mark_sent(ticket, decided_at=decided_at, now=decided_at)


class NoFloor(OperationLedger):
    """Forgets old operations and runs them again."""

    def _raise_floor(self, customer, book, floor):
        super()._raise_floor(customer, book, floor)
        book.floor = 0


class RenewsWhenOwnerIsGone(OperationHistory):
    """Takes a new ticket though an attempt may have run."""

    def ended(self, end):
        step = super().ended(end)
        gone = end.reason == Reason.OWNER_GONE.slug
        return NextStep.NEW_TICKET if gone else step


class IgnoresOpenAttempts(OperationHistory):
    """Takes a new ticket while an attempt is still under way."""

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


def walk_once(model, choices, taken=None):
    rest = iter(choices)

    def choose(count):
        if taken is not None:
            taken.append(count)
        return next(rest) * count >> 8

    return walk(model, choose, steps=len(choices))


@pytest.mark.parametrize("name", sorted(ONCE_CASES))
def test_no_violation_in_small_cases(name):
    found = explore(OnceModel(case=ONCE_CASES[name]), depth=12, max_states=6_000)
    assert found.violations == []
    assert found.states > 1_500


def test_whole_case_without_a_violation():
    found = explore(OnceModel(case=UNREACHABLE), depth=60)
    assert found.complete
    assert found.violations == []


@pytest.mark.parametrize(
    ("ledger", "history", "case"),
    [
        (IgnoresIncarnation, OperationHistory, ONE_ENTRY),
        (ForgetsRecords, OperationHistory, SHARED),
        (ReopensTickets, OperationHistory, SHARED),
        (TrustsTheSender, OperationHistory, RENEWING),
        (SendsLate, OperationHistory, RENEWING),
        (OperationLedger, RenewsWhenOwnerIsGone, ONE_ENTRY),
        (OperationLedger, IgnoresOpenAttempts, UNREACHABLE),
    ],
)
def test_exploration_finds_a_break(ledger, history, case):
    model = OnceModel(case=case, make_ledger=ledger, make_history=history)
    found = explore(model, depth=16, max_states=60_000)
    assert found.violations
    assert found.violations[0].trace


walked_steps = []


@settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(choices=st.binary(min_size=WALK_STEPS, max_size=WALK_STEPS))
def walk_all(choices):
    model = OnceModel(case=WALKED, make_ledger=partial(OperationLedger, limits=TIGHT))
    assert walk_once(model, choices, walked_steps) is None


def test_generated_walks_of_many_callers():
    walked_steps.clear()
    walk_all()
    assert len(walked_steps) >= 100_000


@pytest.mark.parametrize("seed", range(3))
def test_seeded_walks_try_the_rule(seed):
    rng = random.Random(seed)
    model = OnceModel(case=WALKED, make_ledger=partial(OperationLedger, limits=TIGHT))
    state = model.initial()
    for _ in range(2000):
        rng.choice(model.steps(state)).apply(state)
        assert model.violations(state) == []
    assert sum(ticket.executions for ticket in state.tickets) > 20
    assert sum(ticket.told_not_run for ticket in state.tickets) > 5


def test_walks_find_a_forgetful_window():
    rng = random.Random(1)
    limits = LedgerLimits(window=1, records=2)
    model = OnceModel(case=CROWDED, make_ledger=partial(NoFloor, limits=limits))
    found = [walk_once(model, rng.randbytes(WALK_STEPS)) for _ in range(40)]
    assert any(found)
