"""Limits of customers on rate, tokens and concurrency; load shedding by priority."""

import random

import pytest

from pimentospool._generated.manifest import Customer, Quota
from pimentospool.errors import Reason
from pimentospool.ids import CustomerId, EntryId
from pimentospool.policy import CustomerLimiter, QuotaShares, _limits
from pimentospool.policy._limits import BURST_SECONDS
from tests.policy._seeded import check_seeds

STORE = CustomerId("store")


def customer(*, rate=10.0, concurrency=1000, tokens=1e9, priority=0):
    quota = Quota(
        requests_per_second=rate, concurrency=concurrency, tokens_per_second=tokens
    )
    return Customer(
        id=STORE,
        key_digests=["0" * 64],
        allowed_regions=["gulf"],
        priority=priority,
        quota=quota,
    )


def make_limiter(clock):
    shares = QuotaShares(entry=EntryId("a"), clock=clock)
    return CustomerLimiter(shares=shares, clock=clock)


def test_retry_after_is_the_time_until_the_rate_admits_again(clock):
    limiter = make_limiter(clock)
    store = customer()
    while (refusal := limiter.admit(store, tokens=1, pressure=0.0)) is None:
        pass
    assert refusal.reason is Reason.QUOTA_EXCEEDED
    clock.now += refusal.retry_after_seconds * 0.9
    assert limiter.admit(store, tokens=1, pressure=0.0) is not None
    clock.now += refusal.retry_after_seconds * 0.2
    assert limiter.admit(store, tokens=1, pressure=0.0) is None


def test_request_counts_as_in_flight_until_it_ends(clock):
    limiter = make_limiter(clock)
    store = customer(concurrency=2)
    assert limiter.admit(store, tokens=1, pressure=0.0) is None
    assert limiter.admit(store, tokens=1, pressure=0.0) is None
    assert limiter.admit(store, tokens=1, pressure=0.0) is not None
    limiter.finished(store)
    assert limiter.admit(store, tokens=1, pressure=0.0) is None


def test_lowest_priority_is_shed_first(clock):
    limiter = make_limiter(clock)
    shed = limiter.admit(customer(priority=9), tokens=1, pressure=0.7)
    assert shed.reason is Reason.OVERLOADED
    assert limiter.admit(customer(priority=0), tokens=1, pressure=0.7) is None


def check_admissions_stay_within_quota(clock, seed):
    """Send random bursts; assert that the admitted ones stay within the quota."""
    rng = random.Random(seed)
    limiter = make_limiter(clock)
    store = customer(rate=5.0, tokens=500.0)
    started_at = clock.now
    admitted = tokens = 0
    for _ in range(400):
        clock.now += rng.choice([0.0, 0.0, 0.01, 0.3])
        requested = rng.randrange(1, 300)
        if limiter.admit(store, tokens=requested, pressure=0.0) is None:
            admitted += 1
            tokens += requested
    elapsed_seconds = clock.now - started_at + BURST_SECONDS
    assert admitted <= 5.0 * elapsed_seconds + 1
    assert tokens <= 500.0 * elapsed_seconds + 300


def test_admissions_stay_within_the_quota(clock):
    def check(seed):
        check_admissions_stay_within_quota(clock, seed)

    check_seeds(check)


def test_quota_check_fails_when_buckets_are_never_debited(clock, monkeypatch):
    monkeypatch.setattr(_limits.TokenBucket, "take", lambda self, amount: None)
    with pytest.raises(AssertionError):
        test_admissions_stay_within_the_quota(clock)
