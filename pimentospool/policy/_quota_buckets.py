"""Token buckets of tenants' quotas, kept by one entry VM for a whole region.

A request may cost more than a bucket holds, so a bucket may go into debt by one
request. A refusal names a time by which the requests refused before it could have been
admitted too, so that callers that come back then don't meet.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

START_SHARE = 0.5
"""Share of its burst with which a bucket starts whose predecessor isn't known."""
MAX_WAIT_SECONDS = 4.0
"""Longest time over which the returns of refused requests are spread. Later, the level
depends more on new requests than on those that were refused."""
MIN_WAIT_SECONDS = 0.01
"""Shortest wait that is named; an earlier retry would only repeat the query."""
LARGEST_SECONDS = 10.0
"""Span for which the largest request is remembered."""
DECISION_SECONDS = 1.0
"""Time for which decisions are kept for repeated queries, which end after 160 ms."""
REFUND_SECONDS = 30.0
"""Time for which a refund is known, so that a late copy of it gives nothing back."""
MAX_DECISIONS = 20_000
"""Decisions kept; beyond it a repeated query is charged again, which admits less."""

Key = TypeVar("Key")
Decision = TypeVar("Decision")


class BucketDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a request is admitted."""

    admitted: bool
    wait_seconds: float = 0.0
    """Time after which a refused request should come back."""
    level: float = 0.0
    """Level of the bucket after the decision."""


class RecentMaximum:
    """Largest cost of the requests of the last one to two spans of time.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._current = self._previous = 0.0
        self._began_at = now

    def record(self, cost: float, now: float) -> float:
        """Count a request; return the largest cost."""
        if now - self._began_at > LARGEST_SECONDS:
            is_recent = now - self._began_at <= 2 * LARGEST_SECONDS
            self._previous = self._current if is_recent else 0.0
            self._current, self._began_at = 0.0, now
        self._current = max(self._current, cost)
        return max(self._current, self._previous)


class BucketLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a bucket may admit for now."""

    rate: float
    """Cost per second by which the level rises."""
    capacity: float
    """Highest level."""
    max_debt: float
    """Depth to which requests may take the level below zero. Since requests of all
    costs are admitted from the same level on, which leaves room for the largest one,
    small requests don't keep out large ones."""
    allows_debt: bool = True
    """Whether a request may cost more than the level. Where a predecessor or another
    owner may have left a debt in the same window, a second one is not allowed."""
    expected_rate: float = 0.0
    """Rate that is expected soon, by which waits are computed if it is higher."""


class QuotaBucket:
    """Level of one tenant's quota in one region.

    Parameters
    ----------
    level : float
        Level at the start.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, *, level: float, now: float) -> None:
        self._level = level
        self._limits: BucketLimits | None = None
        self._saved_for = 0.0
        self._largest = RecentMaximum(now=now)
        self._at = now
        self._free_at = now

    def level(self, now: float) -> float:
        """Return the level at `now`."""
        self._refill(now)
        return self._level

    def set_limits(self, limits: BucketLimits, now: float) -> None:
        """Apply new limits; a level above a lower capacity is cut at once."""
        self._refill(now)
        self._limits = limits
        self._refill(now)

    def charge(
        self, cost: float, now: float, *, uniform: Callable[[], float]
    ) -> BucketDecision:
        """Take `cost` if the level allows it.

        Parameters
        ----------
        cost : float
            Cost of the request.
        now : float
            Monotonic time in seconds.
        uniform : callable
            Returns a random number from 0 to 1, which spreads long waits.
        """
        limits = self._limits
        assert limits is not None
        self._refill(now)
        needed = cost
        if limits.allows_debt:
            # A request that costs more than may ever be owed has to find the rest.
            largest = self._largest.record(min(cost, limits.max_debt), now)
            needed = max(largest, cost) - limits.max_debt
        if self._level >= needed:
            self._level -= cost
            if cost >= self._saved_for:
                self._saved_for = 0.0
            return BucketDecision(admitted=True, level=self._level)
        if not limits.allows_debt:
            # Without debt, a level above the capacity is the only way to admit a
            # request that costs more than the capacity.
            self._saved_for = max(self._saved_for, min(cost, limits.max_debt))
        wait = self._wait(cost, needed - self._level, now, uniform)
        return BucketDecision(admitted=False, wait_seconds=wait, level=self._level)

    def refund(self, cost: float, now: float) -> None:
        """Give back the cost of a request that did not run."""
        self._refill(now)
        self._level += cost
        self._refill(now)

    def _refill(self, now: float) -> None:
        limits = self._limits
        if limits is None:
            self._at = now
            return
        capacity = limits.capacity
        if not limits.allows_debt:
            capacity = max(capacity, self._saved_for)
        level = self._level + limits.rate * max(0.0, now - self._at)
        self._level = min(capacity, level)
        self._at = now

    def _wait(
        self, cost: float, deficit: float, now: float, uniform: Callable[[], float]
    ) -> float:
        limits = self._limits
        assert limits is not None
        rate = max(limits.rate, limits.expected_rate)
        if rate <= 0.0:
            return MAX_WAIT_SECONDS
        earliest = deficit / rate
        if self._level + deficit > max(limits.capacity, self._saved_for):
            # The bucket never holds this much, so the request takes no turn.
            return max(earliest, MAX_WAIT_SECONDS)
        self._free_at = max(self._free_at, now + earliest)
        wait = self._free_at - now
        if wait > max(earliest, MAX_WAIT_SECONDS):
            wait = earliest + uniform() * max(0.0, MAX_WAIT_SECONDS - earliest)
        else:
            self._free_at += cost / rate
        return max(wait, MIN_WAIT_SECONDS)


class RecentDecisions(Generic[Key, Decision]):
    """Decisions on queries that may come again; bounded in number and age.

    Parameters
    ----------
    seconds : float
        Time for which a decision is kept.
    """

    def __init__(self, *, seconds: float = DECISION_SECONDS) -> None:
        self._seconds = seconds
        self._decisions: OrderedDict[Key, tuple[float, Decision]] = OrderedDict()

    def get(self, key: Key) -> Decision | None:
        """Return the decision on a query, None if it is new."""
        item = self._decisions.get(key)
        return None if item is None else item[1]

    def add(self, key: Key, decision: Decision, now: float) -> None:
        """Keep a decision; drop those that are too old or too many."""
        self._decisions[key] = (now, decision)
        while self._decisions:
            at, _ = next(iter(self._decisions.values()))
            if now - at <= self._seconds and len(self._decisions) <= MAX_DECISIONS:
                return
            self._decisions.popitem(last=False)

    def pop(self, key: Key) -> Decision | None:
        """Remove and return a decision, None if it isn't kept."""
        item = self._decisions.pop(key, None)
        return None if item is None else item[1]
