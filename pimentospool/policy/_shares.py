"""Division of customers' quotas among the entry VMs, without a coordinator.

A fixed floor of each quota is divided evenly among the known entry VMs. The rest is
claimed: each entry VM publishes the share that it claims and the share that it wants.
It lowers a claim that it does not need at once when others want more. It raises its
claim slowly, only into what nobody claims, and only while it has recent claims of all
others. An entry VM that is cut off from the others keeps its claim.
"""

import math
from collections.abc import Callable, Iterable

import msgspec

from pimentospool._generated.loads import QuotaClaim, RegionSummary
from pimentospool.ids import CustomerId, EntryId

FLOOR_SHARE = 0.25
CLAIMABLE_SHARE = 1.0 - FLOOR_SHARE
CLAIM_INTERVAL_SECONDS = 0.5
MAX_CLAIM_AGE_INTERVALS = 4
RAISE_GAIN = 0.25
HEADROOM_FACTOR = 2.0
DEMAND_WINDOW_SECONDS = 3.0
LOWER_GAIN = 0.5
SHARE_TOLERANCE = 1e-6

MAX_TOTAL_SHARE = FLOOR_SHARE + CLAIMABLE_SHARE * (
    1.0 + MAX_CLAIM_AGE_INTERVALS * RAISE_GAIN
)
"""Upper bound on the sum of all entry VMs' shares, where 1 is the whole quota.

It holds for any mix of recent and outdated views of the claims.
"""


class _PeerClaims(msgspec.Struct):
    last_seen_at: float = -math.inf
    claims: dict[CustomerId, QuotaClaim] = {}


class _Claim(msgspec.Struct):
    share: float
    demand: float = 0.0
    concurrency_in_use: float = 0.0
    demand_updated_at: float = 0.0
    rebalanced_at: float = 0.0


class QuotaShares:
    """Shares of all customers' quotas that this entry VM may use.

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
        self._peers: dict[EntryId, _PeerClaims] = {}
        self._claims: dict[CustomerId, _Claim] = {}

    def set_entries(self, entries: Iterable[EntryId]) -> None:
        """Set the entry VMs among which the quotas are divided.

        They are all those not known to be gone. An unreachable one counts, as it may
        be cut off and still serve requests.
        """
        known = set(entries) - {self._entry}
        for entry in self._peers.keys() - known:
            del self._peers[entry]
        for entry in known - self._peers.keys():
            self._peers[entry] = _PeerClaims()

    def receive_claims(self, summary: RegionSummary, now: float) -> None:
        """Store the claims of another entry VM, received at `now`."""
        peer = self._peers.setdefault(summary.entry, _PeerClaims())
        peer.last_seen_at = now
        peer.claims = {claim.customer: claim for claim in summary.claims}

    def share(self, customer: CustomerId) -> float:
        """Return the share of the quota that this entry VM may use, from 0 to 1."""
        if not self._peers:
            return 1.0
        claim = self._claims.get(customer)
        claimed = claim.share if claim is not None else self._even_share()
        return FLOOR_SHARE / self._entry_count() + claimed

    def record_demand(self, customer: CustomerId, quota_seconds: float) -> None:
        """Count a request that needs the whole quota for `quota_seconds`."""
        now = self._clock()
        claim = self._local_claim(customer)
        decay = math.exp((claim.demand_updated_at - now) / DEMAND_WINDOW_SECONDS)
        claim.demand = claim.demand * decay + quota_seconds / DEMAND_WINDOW_SECONDS
        claim.demand_updated_at = now

    def set_concurrency_in_use(self, customer: CustomerId, share: float) -> None:
        """Set the share of the concurrency quota that is in use at this entry VM."""
        self._local_claim(customer).concurrency_in_use = share

    def update_claims(self) -> list[QuotaClaim]:
        """Adjust the claims; return those to publish.

        A claim is not published while it is the even share and no more is wanted, as
        others assume just that.
        """
        if not self._peers:
            return []
        now = self._clock()
        even_share = self._even_share()
        published = []
        for customer, claim in self._claims.items():
            wanted = self._wanted_share(claim, now)
            self._rebalance(customer, claim, wanted, now)
            if wanted > even_share or abs(claim.share - even_share) > SHARE_TOLERANCE:
                published.append(
                    QuotaClaim(customer=customer, share=claim.share, wanted=wanted)
                )
        return published

    def _local_claim(self, customer: CustomerId) -> _Claim:
        claim = self._claims.get(customer)
        if claim is None:
            claim = _Claim(share=self._even_share(), demand_updated_at=self._clock())
            self._claims[customer] = claim
        return claim

    def _entry_count(self) -> int:
        return len(self._peers) + 1

    def _even_share(self) -> float:
        return CLAIMABLE_SHARE / self._entry_count()

    def _wanted_share(self, claim: _Claim, now: float) -> float:
        demand = claim.demand * math.exp(
            (claim.demand_updated_at - now) / DEMAND_WINDOW_SECONDS
        )
        return max(
            0.0,
            HEADROOM_FACTOR * max(demand, claim.concurrency_in_use)
            - FLOOR_SHARE / self._entry_count(),
        )

    def _rebalance(
        self, customer: CustomerId, claim: _Claim, wanted: float, now: float
    ) -> None:
        elapsed = min(CLAIM_INTERVAL_SECONDS, now - claim.rebalanced_at)
        claim.rebalanced_at = now
        even_share = self._even_share()
        others_share = 0.0
        unmet_share = 0.0
        for peer in self._peers.values():
            peer_claim = peer.claims.get(customer)
            others_share += peer_claim.share if peer_claim is not None else even_share
            unmet_share += (
                max(0.0, peer_claim.wanted - peer_claim.share) if peer_claim else 0.0
            )
        total_share = others_share + claim.share
        if total_share > CLAIMABLE_SHARE + SHARE_TOLERANCE:
            claim.share *= CLAIMABLE_SHARE / total_share
        elif wanted < claim.share:
            if unmet_share > SHARE_TOLERANCE:
                claim.share -= LOWER_GAIN * min(unmet_share, claim.share - wanted)
        elif self._all_claims_are_recent(now):
            max_step = (
                (CLAIMABLE_SHARE - total_share) * RAISE_GAIN / self._entry_count()
            )
            step = max_step * elapsed / CLAIM_INTERVAL_SECONDS
            claim.share += max(0.0, min(step, wanted - claim.share))

    def _all_claims_are_recent(self, now: float) -> bool:
        oldest = now - MAX_CLAIM_AGE_INTERVALS * CLAIM_INTERVAL_SECONDS
        return all(peer.last_seen_at >= oldest for peer in self._peers.values())
