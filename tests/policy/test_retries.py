"""Retry decisions and budgets."""

import random

import pytest

from pimentospool.ids import CustomerId
from pimentospool.policy import RetryDecision, RetryPolicy, _retries
from pimentospool.policy._retries import INITIAL_RETRIES
from pimentospool.verdicts import Verdict
from tests.policy._seeded import check_seeds

STORE = CustomerId("store")


def decide(policy, *, verdict=Verdict.NOT_RUN, idempotent=True, **changes):
    return policy.decide(
        **(
            {
                "customer": STORE,
                "destination": "engine",
                "verdict": verdict,
                "idempotent": idempotent,
                "attempts": 1,
                "remaining_seconds": 5.0,
            }
            | changes
        )
    )


def test_reasons_to_refuse_a_retry():
    policy = RetryPolicy()
    may_have_run = Verdict.MAY_HAVE_RUN
    assert decide(policy, verdict=may_have_run) is RetryDecision.RETRY
    assert decide(policy, idempotent=False) is RetryDecision.RETRY
    refused = decide(policy, verdict=may_have_run, idempotent=False)
    assert refused is RetryDecision.MAY_HAVE_RUN
    assert decide(policy, remaining_seconds=0.0) is RetryDecision.NO_TIME
    assert decide(policy, attempts=4) is RetryDecision.TOO_MANY


def check_retries_stay_in_budget(seed):
    rng = random.Random(seed)
    policy = RetryPolicy()
    policy.ratio = 0.1
    attempts = retries = 0
    for _ in range(600):
        if rng.random() < 0.5:
            attempts += 1
            policy.record_first_attempt(STORE, "engine")
        verdict = rng.choice(list(Verdict))
        idempotent = rng.random() < 0.7
        decision = decide(policy, verdict=verdict, idempotent=idempotent)
        if decision is RetryDecision.RETRY:
            retries += 1
            assert idempotent or verdict is Verdict.NOT_RUN
        assert retries <= INITIAL_RETRIES + 0.1 * attempts


def test_retries_stay_within_the_budget_and_respect_the_verdict():
    check_seeds(check_retries_stay_in_budget)


@pytest.mark.parametrize("mutation", ["budget", "verdict"])
def test_retry_check_fails_for_a_mutated_rule(monkeypatch, mutation):
    if mutation == "budget":
        monkeypatch.setattr(_retries.RetryBudget, "record_retry", lambda self: None)
    else:
        decide_retry = _retries.RetryPolicy.decide

        def decide_as_if_idempotent(self, **given):
            return decide_retry(self, **(given | {"idempotent": True}))

        monkeypatch.setattr(_retries.RetryPolicy, "decide", decide_as_if_idempotent)
    with pytest.raises(AssertionError):
        test_retries_stay_within_the_budget_and_respect_the_verdict()
