"""Limits of customers on rate, tokens and concurrency; load shedding by priority."""

from collections.abc import Callable

import msgspec

from pimentospool.errors import Reason
from pimentospool.ids import CustomerId
from pimentospool.manifest import Customer
from pimentospool.policy._shares import QuotaShares

BURST_SECONDS = 5.0
SHED_THRESHOLD_STEP = 0.05
CONCURRENCY_RETRY_AFTER_SECONDS = 1.0
SHED_RETRY_AFTER_SECONDS = 2.0


class LimitRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """Why a customer's request is refused, and when to retry it."""

    reason: Reason
    detail: str
    retry_after_seconds: float


class TokenBucket:
    """Token bucket whose rate may change between calls.

    Its capacity is what the rate yields in `BURST_SECONDS`, and at least 1.

    Parameters
    ----------
    now : float
        Time in seconds of its creation; it starts full.
    """

    def __init__(self, *, now: float) -> None:
        self._level: float | None = None
        self._refilled_at = now

    def refill(self, rate: float, now: float) -> None:
        """Add the tokens that `rate` per second yields since the last call."""
        burst = max(1.0, rate * BURST_SECONDS)
        if self._level is None:
            self._level = burst
        gained = max(0.0, now - self._refilled_at) * rate
        self._level = min(burst, self._level + gained)
        self._refilled_at = now

    def wait_seconds(self, amount: float, rate: float) -> float:
        """Return the time until `amount` may be taken; 0 if it may be taken now.

        An amount above the capacity may be taken from a full bucket, whose level then
        becomes negative.
        """
        level = self._level or 0.0
        burst = max(1.0, rate * BURST_SECONDS)
        return max(0.0, (min(amount, burst) - level) / rate)

    def take(self, amount: float) -> None:
        """Remove tokens; the level may become negative."""
        self._level = (self._level or 0.0) - amount


class _CustomerUsage:
    def __init__(self, *, now: float) -> None:
        self.request_bucket = TokenBucket(now=now)
        self.token_bucket = TokenBucket(now=now)
        self.in_flight = 0


class CustomerLimiter:
    """Admits customers' requests at the entry VM where they arrive.

    Parameters
    ----------
    shares : QuotaShares
        Shares of the quotas that this entry VM may use.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, shares: QuotaShares, clock: Callable[[], float]) -> None:
        self._shares = shares
        self._clock = clock
        self._usage: dict[CustomerId, _CustomerUsage] = {}

    def admit(
        self, customer: Customer, *, tokens: int, pressure: float
    ) -> LimitRefusal | None:
        """Count a request and return None, or return why it is refused.

        Parameters
        ----------
        customer : Customer
            Sender of the request.
        tokens : int
            Prompt tokens and the most answer tokens of the request.
        pressure : float
            Load of the entry VM, such as the used share of its queue; 1 is full.
        """
        now = self._clock()
        quota = customer.quota
        usage = self._usage.get(customer.id)
        if usage is None:
            usage = self._usage[customer.id] = _CustomerUsage(now=now)
        quota_seconds = max(
            1.0 / quota.requests_per_second, tokens / quota.tokens_per_second
        )
        self._shares.record_demand(customer.id, quota_seconds)
        share = self._shares.share(customer.id)
        rate = quota.requests_per_second * share
        token_rate = quota.tokens_per_second * share
        usage.request_bucket.refill(rate, now)
        usage.token_bucket.refill(token_rate, now)
        retry_after_seconds = max(
            usage.request_bucket.wait_seconds(1.0, rate),
            usage.token_bucket.wait_seconds(tokens, token_rate),
        )
        if retry_after_seconds > 0.0:
            return LimitRefusal(
                reason=Reason.QUOTA_EXCEEDED,
                detail="the customer's rate is used up at this entry VM",
                retry_after_seconds=retry_after_seconds,
            )
        if usage.in_flight >= max(1, int(quota.concurrency * share)):
            return LimitRefusal(
                reason=Reason.QUOTA_EXCEEDED,
                detail="too many of the customer's requests are in progress here",
                retry_after_seconds=CONCURRENCY_RETRY_AFTER_SECONDS,
            )
        if pressure > shed_threshold(customer.priority):
            return LimitRefusal(
                reason=Reason.OVERLOADED,
                detail="requests of this priority are refused under the present load",
                retry_after_seconds=SHED_RETRY_AFTER_SECONDS,
            )
        usage.request_bucket.take(1.0)
        usage.token_bucket.take(tokens)
        self._change_in_flight(customer, usage, 1)
        return None

    def finished(self, customer: Customer) -> None:
        """Count an admitted request as ended."""
        self._change_in_flight(customer, self._usage[customer.id], -1)

    def in_flight(self, customer: CustomerId) -> int:
        """Return the customer's admitted requests in progress."""
        usage = self._usage.get(customer)
        return usage.in_flight if usage is not None else 0

    def _change_in_flight(
        self, customer: Customer, usage: _CustomerUsage, delta: int
    ) -> None:
        usage.in_flight += delta
        self._shares.set_concurrency_in_use(
            customer.id, usage.in_flight / customer.quota.concurrency
        )


def shed_threshold(priority: int) -> float:
    """Return the pressure above which requests of `priority` are refused.

    The higher the number, the earlier a request is shed.
    """
    return 1.0 - SHED_THRESHOLD_STEP * priority
