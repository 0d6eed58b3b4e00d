"""State of one tenant's quota at the entry VM that counts it."""

import msgspec

from pimentospool.gateway._fleet_messages import QuotaCopy
from pimentospool.gateway._model import Tenant
from pimentospool.ids import RegionId
from pimentospool.policy import (
    START_SHARE,
    DemandMeter,
    QuotaBucket,
    RegionWeights,
)
from pimentospool.policy._quota_weights import IDLE_DEMAND_SHARE

START_GRANT_SECONDS = 3.0
"""Time in which a new owner learns its part of the quota: the other entry VMs within
2 s, and the demand of other regions."""


class AccountCopy(msgspec.Struct, frozen=True):
    """State of an account as another owner has sent it, and when it arrived."""

    state: QuotaCopy
    at: float


class Account:
    """One tenant's quota as this entry VM counts it.

    Parameters
    ----------
    tenant : Tenant
        The tenant.
    copy : AccountCopy or None
        State of the predecessor, if it is known.
    rank : int
        Place of this entry VM among the owners.
    window_seconds : float
        Window of the quota.
    now : float
        Monotonic time in seconds.
    """

    __slots__ = (
        "bucket",
        "debt_from",
        "granted",
        "has_news",
        "inherited",
        "last_query_at",
        "meter",
        "rank",
        "standin_since",
        "started_at",
        "to_answer",
        "told_at",
        "told_demand",
        "weights",
    )

    def __init__(
        self,
        *,
        tenant: Tenant,
        copy: AccountCopy | None,
        rank: int,
        window_seconds: float,
        now: float,
    ) -> None:
        self.rank = rank
        self.standin_since = now
        self.debt_from = now if copy is not None else now + window_seconds
        """Time from which no other owner can have left a debt in the same window."""
        self.last_query_at = -1e9
        self.inherited = copy is not None
        self.meter = DemandMeter(
            now=now,
            limit=tenant.rate_per_second,
            rate=copy.state.demand if copy else 0.0,
        )
        self.weights = RegionWeights(
            idle_demand=tenant.rate_per_second * IDLE_DEMAND_SHARE,
            inherited=copy.state.weight if copy else None,
        )
        self.bucket: QuotaBucket | None = None
        self.started_at = now
        self.granted = 0.0
        """Highest capacity of which the start share was granted."""
        self.to_answer: set[RegionId] = set()
        self.told_at = -1e9
        """When the demand was last told to other regions, and what it was."""
        self.told_demand = 0.0
        self.has_news = False
        """Whether another region's demand has changed much and awaits an answer."""

    def grant_burst(self, capacity: float, now: float) -> None:
        """Raise the level by the start share of a capacity that has grown.

        At its start, an owner without a copy has the least weight and a small share of
        it, so its first capacity is a small part of the region's.
        """
        is_new = now - self.started_at < START_GRANT_SECONDS
        if self.bucket is None or self.rank or self.inherited or not is_new:
            return
        if capacity > self.granted:
            self.bucket.refund(START_SHARE * (capacity - self.granted), now)
            self.granted = capacity
