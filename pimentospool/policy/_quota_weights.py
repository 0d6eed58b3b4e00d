"""Weights of the regions in a tenant's quota, from the demand of each region.

Regions tell each other their demand in numbered messages, and each message
acknowledges what its sender has last heard. A region counts its own demand only as
far as the others are sure to count it: at the lowest value that it has sent since the
one that was last acknowledged. It counts the others' demand as it has last heard it.
So the weights add up to no more than `WEIGHT_SUM` in any mix of delays, losses and
partitions: what a region uses of its own demand never exceeds what any other region
uses of it.
"""

import math
from collections.abc import Collection

import msgspec

from pimentospool.ids import MemberKey, RegionId
from pimentospool.policy._quota_buckets import RecentMaximum

WEIGHT_FLOOR = 0.1
"""Share of the quota that is divided evenly, so that new demand is admitted at once. A
region with all of the demand gets 0.93 of the sum of three regions' weights."""
OVERCOMMIT_SHARE = 0.2
"""Part of the allowed overage that the weights may use; see docs/design/quotas.md."""
DEMAND_SECONDS = 0.7
"""Time constant of the demand, so that weights follow within about a second: messages
and their acknowledgements take up to 0.6 s."""
MAX_DEMAND_SECONDS = 4.0
DEMAND_REQUESTS = 8
"""Large requests at the whole rate that the time constant spans, up to
`MAX_DEMAND_SECONDS`. Over fewer ones, weights would follow chance."""
MIN_DEMAND_AGE_SECONDS = 0.1
"""Time before which a new counter would name far too high a demand."""
IDLE_DEMAND_SHARE = 0.001
"""Share of the rate that each region is assumed to want; idle regions have equal
weights."""
CONTACT_SECONDS = 1.0
"""Time without an acknowledgement after which a region tells another one no new
demand. It could not count a later rise, so a fall would hold until contact returns."""
SENDER_SECONDS = 3.0
"""Time for which several senders of one region count beside the newest one; while the
owner of a tenant changes, there may be two."""
MAX_SENDERS = 4
MAX_UNACKNOWLEDGED = 32


class DemandMeter:
    """Decayed rate of the cost of requests, with those that were refused.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    limit : float
        Rate of the quota in cost per second.
    rate : float
        Demand that is known from a predecessor.
    """

    def __init__(self, *, now: float, limit: float, rate: float = 0.0) -> None:
        self._limit = limit
        self._largest = RecentMaximum(now=now)
        self._seconds = DEMAND_SECONDS
        self._rate = rate
        self._at = now
        # With the demand of a predecessor, the average is complete from the start.
        self._started_at = -math.inf if rate > 0.0 else now

    def record(self, cost: float, now: float) -> None:
        """Count a request."""
        self._decay(now)
        largest = self._largest.record(cost, now)
        seconds = DEMAND_REQUESTS * largest / self._limit
        self._seconds = min(MAX_DEMAND_SECONDS, max(DEMAND_SECONDS, seconds))
        self._rate += cost / self._seconds

    def rate(self, now: float) -> float:
        """Return the demand in cost per second."""
        self._decay(now)
        age = max(MIN_DEMAND_AGE_SECONDS, now - self._started_at)
        return self._rate / -math.expm1(-age / self._seconds)

    def _decay(self, now: float) -> None:
        if now > self._at:
            self._rate *= math.exp((self._at - now) / self._seconds)
            self._at = now


class _Sent(msgspec.Struct):
    number: int
    demand: float
    at: float


class _Heard(msgspec.Struct):
    number: int
    demand: float
    at: float


class _Peer:
    """What another region has been told, has acknowledged and has said."""

    __slots__ = ("acknowledged", "heard", "newest", "unacknowledged")

    def __init__(self) -> None:
        self.acknowledged: _Sent | None = None
        self.unacknowledged: list[_Sent] = []
        self.heard: dict[MemberKey, _Heard] = {}
        self.newest: MemberKey | None = None

    def counted_demand(self) -> float:
        """Return the own demand that the region counts at least."""
        if self.acknowledged is None:
            return 0.0
        lowest = min((sent.demand for sent in self.unacknowledged), default=math.inf)
        return min(self.acknowledged.demand, lowest)

    def heard_demand(self, now: float) -> float:
        """Return the demand of the region; infinite before it was heard of."""
        if self.newest is None:
            return math.inf
        return max(
            item.demand
            for sender, item in self.heard.items()
            if sender == self.newest or now - item.at < SENDER_SECONDS
        )

    def is_silent(self, now: float) -> bool:
        """Whether the region has not acknowledged a message for too long."""
        oldest = self.unacknowledged[0].at if self.unacknowledged else now
        return now - oldest > CONTACT_SECONDS


class RegionWeights:
    """Weight of the own region in one tenant's quota.

    Parameters
    ----------
    idle_demand : float
        Demand that each region is assumed to have at least.
    inherited : float or None
        Weight that a predecessor had, used until all regions have acknowledged a
        message of this owner.
    """

    def __init__(self, *, idle_demand: float, inherited: float | None = None) -> None:
        self._idle_demand = idle_demand
        self._inherited = inherited
        self._peers: dict[RegionId, _Peer] = {}

    def outgoing(
        self, region: RegionId, demand: float, *, number: int, now: float
    ) -> float:
        """Record that `region` is told the own demand; return the value to tell."""
        peer = self._peers.setdefault(region, _Peer())
        if peer.acknowledged is not None and peer.is_silent(now):
            demand = peer.counted_demand()
        sent = peer.unacknowledged
        sent.append(_Sent(number, demand, now))
        if len(sent) > MAX_UNACKNOWLEDGED:
            # The lower of both demands is counted until the later is acknowledged.
            first = sent.pop(0)
            sent[0] = _Sent(sent[0].number, min(first.demand, sent[0].demand), first.at)
        return demand

    def repeated(self, region: RegionId) -> tuple[int, float] | None:
        """Return number and value of the demand that `region` counts already.

        It is None if a newer one was sent, or none was acknowledged.
        """
        peer = self._peers.get(region)
        if peer is None or peer.acknowledged is None or peer.unacknowledged:
            return None
        return peer.acknowledged.number, peer.acknowledged.demand

    def acknowledge(self, region: RegionId, number: int) -> None:
        """Record that `region` counts the demand of a message, or a later one."""
        peer = self._peers.get(region)
        if peer is None:
            return
        for index, sent in enumerate(peer.unacknowledged):
            if sent.number == number:
                peer.acknowledged = sent
                del peer.unacknowledged[: index + 1]
                return

    def learn(
        self,
        region: RegionId,
        sender: MemberKey,
        *,
        number: int,
        demand: float,
        now: float,
    ) -> bool:
        """Record the demand of another region; return whether it is a newer one."""
        peer = self._peers.setdefault(region, _Peer())
        known = peer.heard.get(sender)
        if known is not None and known.number >= number:
            return False
        if known is None and len(peer.heard) >= MAX_SENDERS:
            oldest = min(peer.heard, key=lambda key: peer.heard[key].at)
            del peer.heard[oldest]
        peer.heard[sender] = _Heard(number, demand, now)
        peer.newest = sender
        return True

    def heard_demand(self, region: RegionId, now: float) -> float:
        """Return the demand of `region`; infinite before it was heard of."""
        peer = self._peers.get(region)
        return math.inf if peer is None else peer.heard_demand(now)

    def last_heard(self, region: RegionId) -> tuple[MemberKey, int]:
        """Return sender and number of the newest message of `region`, or zeros."""
        peer = self._peers.get(region)
        if peer is None or peer.newest is None:
            return MemberKey(0), 0
        return peer.newest, peer.heard[peer.newest].number

    def is_settled(self, regions: Collection[RegionId], demand: float) -> bool:
        """Whether `regions` have acknowledged `demand`, and have none themselves."""
        for region in regions:
            peer = self._peers.get(region)
            if peer is None or peer.acknowledged is None or peer.unacknowledged:
                return False
            if max(demand, peer.acknowledged.demand) > self._idle_demand:
                return False
            if any(item.demand > self._idle_demand for item in peer.heard.values()):
                return False
        return True

    def is_unanswered(self, region: RegionId, now: float, seconds: float) -> bool:
        """Whether `region` has not acknowledged a message for `seconds`."""
        peer = self._peers.get(region)
        sent = peer.unacknowledged if peer is not None else []
        return bool(sent) and now - sent[0].at > seconds

    def weight(
        self, regions: Collection[RegionId], *, overage: float, now: float
    ) -> float:
        """Return the weight of the own region.

        Parameters
        ----------
        regions : collection of RegionId
            The other regions that count.
        overage : float
            Share by which the quota may be exceeded in a window.
        now : float
            Monotonic time in seconds.
        """
        peers = [self._peers.get(region) for region in regions]
        if (
            self._inherited is not None
            and peers
            and any(peer is None or peer.acknowledged is None for peer in peers)
        ):
            return self._inherited
        self._inherited = None
        own = min((peer.counted_demand() if peer else 0.0 for peer in peers), default=1)
        share = self._share(own, regions, now)
        return region_weight(share, len(peers) + 1, overage=overage)

    def expected_weight(
        self,
        demand: float,
        regions: Collection[RegionId],
        *,
        overage: float,
        now: float,
    ) -> float:
        """Return the weight that follows once all regions know the own `demand`."""
        share = self._share(demand, regions, now)
        return region_weight(share, len(regions) + 1, overage=overage)

    def _share(self, own: float, regions: Collection[RegionId], now: float) -> float:
        others = 0.0
        for region in regions:
            peer = self._peers.get(region)
            others += math.inf if peer is None else peer.heard_demand(now)
            others += self._idle_demand
        own += self._idle_demand
        return own / (own + others)


def region_weight(share: float, regions: int, *, overage: float) -> float:
    """Return the weight of a region with `share` of the demand.

    The weights of all `regions` add up to 1 and `OVERCOMMIT_SHARE` of the overage.
    """
    weight = WEIGHT_FLOOR / regions + (1.0 - WEIGHT_FLOOR) * share
    return weight * (1.0 + OVERCOMMIT_SHARE * overage)
