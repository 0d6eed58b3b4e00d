"""Split of customers' quotas over the entry VMs, without a coordinator.

A fixed floor of each quota is divided evenly over the known entry VMs. The rest is
claimed: an entry VM publishes its claim and what it wants, lowers its claim for
others at once, and raises it slowly, only into what all others left free and only
while it hears all of them. One that is cut off keeps the claim it had.
"""

import math
from collections.abc import Callable, Iterable

import msgspec

from pimentospool._generated.loads import QuotaClaim, RegionSummary
from pimentospool.ids import CustomerId, EntryId

FLOOR = 0.25
CLAIMABLE = 1.0 - FLOOR
BEAT_SECONDS = 0.5
FRESH_BEATS = 4
RAISE_GAIN = 0.25
HEADROOM = 2.0
DEMAND_SECONDS = 3.0
LOWER_GAIN = 0.5
NEGLIGIBLE = 1e-6

HIGHEST_SUM = FLOOR + CLAIMABLE * (1.0 + FRESH_BEATS * RAISE_GAIN)
"""Bound on the sum of all shares, in quotas, for any mix of fresh and stale views."""


class _Peer(msgspec.Struct):
    heard_at: float = -math.inf
    claims: dict[CustomerId, QuotaClaim] = {}


class _Claim(msgspec.Struct):
    share: float
    demand: float = 0.0
    held: float = 0.0
    used_at: float = 0.0
    rebalanced_at: float = 0.0


class QuotaShares:
    """Parts of all customers' quotas that this entry VM may use.

    Parameters
    ----------
    entry : EntryId
        This entry VM.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, entry: EntryId, clock: Callable[[], float]) -> None:
        self._entry = entry
        self._clock = clock
        self._peers: dict[EntryId, _Peer] = {}
        self._claims: dict[CustomerId, _Claim] = {}

    def set_entries(self, entries: Iterable[EntryId]) -> None:
        """Take over all entry VMs that are not known to be gone.

        One that cannot be reached belongs to them: it may be cut off and serving.
        """
        known = set(entries) - {self._entry}
        for entry in self._peers.keys() - known:
            del self._peers[entry]
        for entry in known - self._peers.keys():
            self._peers[entry] = _Peer()

    def take(self, summary: RegionSummary, now: float) -> None:
        """Take over the claims of another entry VM."""
        peer = self._peers.setdefault(summary.entry, _Peer())
        peer.heard_at = now
        peer.claims = {claim.customer: claim for claim in summary.claims}

    def share(self, customer: CustomerId) -> float:
        """Return the part of the quota that this entry VM may use, from 0 to 1."""
        if not self._peers:
            return 1.0
        claim = self._claims.get(customer)
        claimed = claim.share if claim is not None else self._even()
        return FLOOR / self._count() + claimed

    def used(self, customer: CustomerId, part: float) -> None:
        """Count a request that asks for `part` of one second of the quota."""
        now = self._clock()
        claim = self._claim(customer)
        decay = math.exp((claim.used_at - now) / DEMAND_SECONDS)
        claim.demand = claim.demand * decay + part / DEMAND_SECONDS
        claim.used_at = now

    def holds(self, customer: CustomerId, part: float) -> None:
        """Note the part of the concurrency quota that is in use here."""
        self._claim(customer).held = part

    def claims(self) -> list[QuotaClaim]:
        """Adjust the claims and return those that others need to hear of."""
        if not self._peers:
            return []
        now = self._clock()
        even = self._even()
        published = []
        for customer, claim in self._claims.items():
            wanted = self._wanted(claim, now)
            self._rebalance(customer, claim, wanted, now)
            if wanted > even or abs(claim.share - even) > NEGLIGIBLE:
                published.append(
                    QuotaClaim(customer=customer, share=claim.share, wanted=wanted)
                )
        return published

    def _claim(self, customer: CustomerId) -> _Claim:
        claim = self._claims.get(customer)
        if claim is None:
            claim = _Claim(share=self._even(), used_at=self._clock())
            self._claims[customer] = claim
        return claim

    def _count(self) -> int:
        return len(self._peers) + 1

    def _even(self) -> float:
        return CLAIMABLE / self._count()

    def _wanted(self, claim: _Claim, now: float) -> float:
        demand = claim.demand * math.exp((claim.used_at - now) / DEMAND_SECONDS)
        return max(0.0, HEADROOM * max(demand, claim.held) - FLOOR / self._count())

    def _rebalance(
        self, customer: CustomerId, claim: _Claim, wanted: float, now: float
    ) -> None:
        elapsed = min(BEAT_SECONDS, now - claim.rebalanced_at)
        claim.rebalanced_at = now
        even = self._even()
        others = 0.0
        unmet = 0.0
        for peer in self._peers.values():
            theirs = peer.claims.get(customer)
            others += theirs.share if theirs is not None else even
            unmet += max(0.0, theirs.wanted - theirs.share) if theirs else 0.0
        total = others + claim.share
        if total > CLAIMABLE + NEGLIGIBLE:
            claim.share *= CLAIMABLE / total
        elif wanted < claim.share:
            if unmet > NEGLIGIBLE:
                claim.share -= LOWER_GAIN * min(unmet, claim.share - wanted)
        elif self._hears_all(now):
            spare = (CLAIMABLE - total) * RAISE_GAIN / self._count()
            step = spare * elapsed / BEAT_SECONDS
            claim.share += max(0.0, min(step, wanted - claim.share))

    def _hears_all(self, now: float) -> bool:
        oldest = now - FRESH_BEATS * BEAT_SECONDS
        return all(peer.heard_at >= oldest for peer in self._peers.values())
