"""State of one tenant's quota at the entry VM that counts it."""

import msgspec

from pimentospool.gateway._fleet_messages import QuotaCopy
from pimentospool.gateway._model import Tenant
from pimentospool.ids import RegionId
from pimentospool.policy import DemandMeter, QuotaBucket, RegionWeights
from pimentospool.policy._quota_weights import IDLE_DEMAND_SHARE


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
        "has_news",
        "inherited",
        "last_query_at",
        "meter",
        "rank",
        "standin_since",
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
        self.to_answer: set[RegionId] = set()
        self.told_at = -1e9
        """When the demand was last told to other regions, and what it was."""
        self.told_demand = 0.0
        self.has_news = False
        """Whether another region's demand has changed much and awaits an answer."""
