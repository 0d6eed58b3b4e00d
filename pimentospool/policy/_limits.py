"""Limits of customers: rate, tokens and concurrency, and shedding by priority."""

from collections.abc import Callable

import msgspec

from pimentospool.errors import Reason
from pimentospool.ids import CustomerId
from pimentospool.manifest import Customer
from pimentospool.policy._shares import QuotaShares

BURST_SECONDS = 5.0
SHED_STEP = 0.05
CONCURRENCY_RETRY_SECONDS = 1.0
SHED_RETRY_SECONDS = 2.0


class LimitRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """Why a customer's request is refused, and when to ask again."""

    reason: Reason
    detail: str
    retry_after_seconds: float


class TokenBucket:
    """Tokens that refill at a rate up to a bound; the rate may change.

    Parameters
    ----------
    now : float
        Time in seconds at which it is full.
    """

    def __init__(self, *, now: float) -> None:
        self._level: float | None = None
        self._at = now

    def refill(self, rate: float, now: float) -> None:
        """Add what `rate` tokens a second gave since the last call."""
        burst = max(1.0, rate * BURST_SECONDS)
        if self._level is None:
            self._level = burst
        gained = max(0.0, now - self._at) * rate
        self._level = min(burst, self._level + gained)
        self._at = now

    def wait_seconds(self, amount: float, rate: float) -> float:
        """Return the time until `amount` may be taken; 0 if it may be now.

        More than the bucket holds may be taken from a full one; it then owes.
        """
        level = self._level or 0.0
        burst = max(1.0, rate * BURST_SECONDS)
        return max(0.0, (min(amount, burst) - level) / rate)

    def take(self, amount: float) -> None:
        """Take tokens out."""
        self._level = (self._level or 0.0) - amount


class _Usage:
    def __init__(self, *, now: float) -> None:
        self.requests = TokenBucket(now=now)
        self.tokens = TokenBucket(now=now)
        self.in_flight = 0


class CustomerLimiter:
    """Admits customers' requests at the entry VM where they arrive.

    Parameters
    ----------
    shares : QuotaShares
        Parts of the quotas that this entry VM may use.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, shares: QuotaShares, clock: Callable[[], float]) -> None:
        self._shares = shares
        self._clock = clock
        self._usage: dict[CustomerId, _Usage] = {}

    def admit(
        self, customer: Customer, *, tokens: int, pressure: float
    ) -> LimitRefusal | None:
        """Count a request and return None, or say why it is refused.

        Parameters
        ----------
        customer : Customer
            Who sends it.
        tokens : int
            Prompt and answer tokens that it asks for.
        pressure : float
            Load of the entry VM's queues and targets; 1 is full.
        """
        now = self._clock()
        quota = customer.quota
        usage = self._usage.get(customer.id)
        if usage is None:
            usage = self._usage[customer.id] = _Usage(now=now)
        part = max(1.0 / quota.requests_per_second, tokens / quota.tokens_per_second)
        self._shares.used(customer.id, part)
        share = self._shares.share(customer.id)
        rate = quota.requests_per_second * share
        token_rate = quota.tokens_per_second * share
        usage.requests.refill(rate, now)
        usage.tokens.refill(token_rate, now)
        wait = max(
            usage.requests.wait_seconds(1.0, rate),
            usage.tokens.wait_seconds(tokens, token_rate),
        )
        if wait > 0.0:
            return LimitRefusal(
                reason=Reason.QUOTA_EXCEEDED,
                detail="the customer's rate is used up at this entry VM",
                retry_after_seconds=wait,
            )
        if usage.in_flight >= max(1, int(quota.concurrency * share)):
            return LimitRefusal(
                reason=Reason.QUOTA_EXCEEDED,
                detail="too many of the customer's requests are in progress here",
                retry_after_seconds=CONCURRENCY_RETRY_SECONDS,
            )
        if pressure > shed_threshold(customer.priority):
            return LimitRefusal(
                reason=Reason.OVERLOADED,
                detail="requests of this priority are refused under the present load",
                retry_after_seconds=SHED_RETRY_SECONDS,
            )
        usage.requests.take(1.0)
        usage.tokens.take(tokens)
        self._count(customer, usage, 1)
        return None

    def finished(self, customer: Customer) -> None:
        """Count an admitted request as ended."""
        self._count(customer, self._usage[customer.id], -1)

    def in_flight(self, customer: CustomerId) -> int:
        """Return the customer's admitted requests in progress."""
        usage = self._usage.get(customer)
        return usage.in_flight if usage is not None else 0

    def _count(self, customer: Customer, usage: _Usage, change: int) -> None:
        usage.in_flight += change
        self._shares.holds(customer.id, usage.in_flight / customer.quota.concurrency)


def shed_threshold(priority: int) -> float:
    """Return the pressure above which requests of `priority` are refused."""
    return 1.0 - SHED_STEP * priority
