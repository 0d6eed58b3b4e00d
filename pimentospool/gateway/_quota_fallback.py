"""Admits requests of tenants from a small part of their quotas without an owner."""

from collections.abc import Callable, Collection

from pimentospool.gateway._admission import QuotaCharge
from pimentospool.gateway._model import Tenant
from pimentospool.gateway._quota_charges import ChargeQuery, OwnedCharge
from pimentospool.gateway._quota_members import QuotaMembers
from pimentospool.gateway._replies import Refusal, RefusalReason
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    START_SHARE,
    BucketDecision,
    BucketLimits,
    QuotaBucket,
    fallback_share,
)
from pimentospool.verdicts import Verdict

UNKNOWN_RETRY_SECONDS = 0.2
"""Retry-After without an owner; by then other owners are asked."""
FALLBACK_LOG_SECONDS = 1.0
"""Shortest time between two log lines on requests of a tenant without an owner."""


class QuotaFallback:
    """Buckets of this entry VM for requests of which no owner replies.

    Parameters
    ----------
    members : QuotaMembers
        Entry VMs among which the part is divided.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, members: QuotaMembers, clock: Callable[[], float]) -> None:
        self._members = members
        self._clock = clock
        self._buckets: dict[int, QuotaBucket] = {}
        self._logged_at: dict[int, float] = {}

    def charge(self, tenant: Tenant, query: ChargeQuery) -> QuotaCharge | Refusal:
        """Admit a request from the small part that needs no owner, or refuse it."""
        now = self._clock()
        share = fallback_share(
            regions=self._members.region_count, known=self._members.known_count
        )
        limits = BucketLimits(
            rate=share * tenant.rate_per_second,
            capacity=share * tenant.burst,
            max_debt=0.0,
            allows_debt=False,
        )
        bucket = self._buckets.get(query.key)
        if bucket is None:
            bucket = QuotaBucket(level=limits.capacity * START_SHARE, now=now)
            self._buckets[query.key] = bucket
        bucket.set_limits(limits, now)
        decision = bucket.charge(query.cost, now, uniform=lambda: 0.0)
        self._log(tenant, query, decision, now)
        if decision.admitted:
            return OwnedCharge(lambda: bucket.refund(query.cost, self._clock()))
        return Refusal(
            reason=RefusalReason.QUOTA_UNKNOWN,
            verdict=Verdict.NOT_RUN,
            retry_after_seconds=UNKNOWN_RETRY_SECONDS,
        )

    def keep_only(self, tenants: Collection[int]) -> None:
        """Forget tenants whose hashes are not among `tenants`."""
        for kept in (self._buckets, self._logged_at):
            for key in kept.keys() - set(tenants):
                del kept[key]

    def _log(
        self, tenant: Tenant, query: ChargeQuery, decision: BucketDecision, now: float
    ) -> None:
        if now - self._logged_at.get(query.key, -1e9) < FALLBACK_LOG_SECONDS:
            return
        self._logged_at[query.key] = now
        log_event(
            Event.QUOTA_FALLBACK,
            tenant=tenant.id,
            cost=query.cost,
            admitted=decision.admitted,
            owner=self._members.owners(query.key)[0].id,
        )
