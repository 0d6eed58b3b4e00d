"""Retry decisions and budgets."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool.ids import CustomerId
from pimentospool.policy import RetryDecision, RetryPolicy, _retries
from pimentospool.policy._retries import RESERVE
from pimentospool.verdicts import Verdict
from tests.policy._seeded import SEEDED

STORE = CustomerId("store")


def decide(policy, *, verdict=Verdict.NOT_RUN, idempotent=True, **changes):
    return policy.decide(
        **(
            {
                "customer": STORE,
                "holder": "engine",
                "verdict": verdict,
                "idempotent": idempotent,
                "attempts": 1,
                "remaining_seconds": 5.0,
            }
            | changes
        )
    )


def test_reasons_against_a_retry():
    policy = RetryPolicy()
    maybe = Verdict.MAY_HAVE_RUN
    assert decide(policy, verdict=maybe) is RetryDecision.RETRY
    assert decide(policy, idempotent=False) is RetryDecision.RETRY
    never = decide(policy, verdict=maybe, idempotent=False)
    assert never is RetryDecision.MAY_HAVE_RUN
    assert decide(policy, remaining_seconds=0.0) is RetryDecision.NO_TIME
    assert decide(policy, attempts=4) is RetryDecision.TOO_MANY


def retries_in_budget(seed):
    rng = random.Random(seed)
    policy = RetryPolicy()
    policy.ratio = 0.1
    attempts = retries = 0
    for _ in range(600):
        if rng.random() < 0.5:
            attempts += 1
            policy.attempted(STORE, "engine")
        verdict = rng.choice(list(Verdict))
        idempotent = rng.random() < 0.7
        decision = decide(policy, verdict=verdict, idempotent=idempotent)
        if decision is RetryDecision.RETRY:
            retries += 1
            assert idempotent or verdict is Verdict.NOT_RUN
        assert retries <= RESERVE + 0.1 * attempts


def test_retries_keep_to_the_budget_and_the_verdict():
    @SEEDED
    @given(st.integers(0, 2**32))
    def check(seed):
        retries_in_budget(seed)

    check()


@pytest.mark.parametrize("damage", ["budget", "verdict"])
def test_a_damaged_retry_rule_is_found(monkeypatch, damage):
    if damage == "budget":
        monkeypatch.setattr(_retries.RetryBudget, "retried", lambda self: None)
    else:
        decide_retry = _retries.RetryPolicy.decide

        def forgetful(self, **given):
            return decide_retry(self, **(given | {"idempotent": True}))

        monkeypatch.setattr(_retries.RetryPolicy, "decide", forgetful)
    with pytest.raises(AssertionError):
        test_retries_keep_to_the_budget_and_the_verdict()
