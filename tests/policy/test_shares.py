"""Division of quotas among entry VMs by claims."""

import random

import pytest

from pimentospool._generated.loads import RegionSummary
from pimentospool.ids import CustomerId, EntryId
from pimentospool.policy import QuotaShares, _shares
from pimentospool.policy._shares import CLAIM_INTERVAL_SECONDS, MAX_TOTAL_SHARE
from tests.policy._seeded import check_seeds

STORE = CustomerId("store")


class SimulatedFleet:
    """Entry VMs that exchange claims, with delays and network partitions."""

    def __init__(self, seed, clock):
        self.rng = random.Random(seed)
        self.clock = clock
        names = [EntryId(f"e{n}") for n in range(self.rng.randrange(2, 9))]
        self.shares = {n: QuotaShares(entry=n, clock=clock) for n in names}
        for shares in self.shares.values():
            shares.set_entries(names)
        self.in_transit = []
        self.highest_total = 0.0

    def exchange(self, demand, isolated):
        self.clock.now += CLAIM_INTERVAL_SECONDS
        for name, shares in self.shares.items():
            shares.record_demand(STORE, demand.get(name, 0.0) * CLAIM_INTERVAL_SECONDS)
            summary = RegionSummary(
                region="r", entry=name, claims=shares.update_claims()
            )
            for peer, other in self.shares.items():
                if peer != name and (peer in isolated) == (name in isolated):
                    self.in_transit.append((self.rng.randrange(3), other, summary))
        still_in_transit = []
        for delay, other, summary in self.in_transit:
            if delay:
                still_in_transit.append((delay - 1, other, summary))
            else:
                other.receive_claims(summary, self.clock.now)
        self.in_transit = still_in_transit
        total = sum(shares.share(STORE) for shares in self.shares.values())
        self.highest_total = max(self.highest_total, total)

    def run(self):
        names = list(self.shares)
        for _ in range(12):
            demand = {n: self.rng.choice([0.0, 0.05, 2.0]) for n in names}
            isolated = set(self.rng.sample(names, self.rng.randrange(len(names))))
            for _ in range(self.rng.randrange(2, 15)):
                self.exchange(demand, isolated)
        return self.highest_total


def test_total_share_never_exceeds_its_bound(clock):
    def check(seed):
        assert SimulatedFleet(seed, clock).run() <= MAX_TOTAL_SHARE + 1e-6

    check_seeds(check)


def test_bound_check_fails_when_isolated_entries_raise_claims(clock, monkeypatch):
    monkeypatch.setattr(
        _shares.QuotaShares, "_all_claims_are_recent", lambda self, now: True
    )
    monkeypatch.setattr(_shares, "RAISE_GAIN", 8.0)
    with pytest.raises(AssertionError):
        test_total_share_never_exceeds_its_bound(clock)


def test_shares_follow_demand_and_sum_to_one_quota(clock):
    fleet = SimulatedFleet(1, clock)
    names = list(fleet.shares)
    for _ in range(120):
        fleet.exchange({names[0]: 2.0}, set())
    shares = [entry.share(STORE) for entry in fleet.shares.values()]
    assert shares[0] > 0.7
    assert sum(shares) <= 1.0 + 1e-6


def test_isolated_entry_keeps_its_share(clock):
    fleet = SimulatedFleet(2, clock)
    names = list(fleet.shares)
    before = fleet.shares[names[0]].share(STORE)
    for _ in range(100):
        fleet.exchange({name: 2.0 for name in names}, {names[0]})
    assert fleet.shares[names[0]].share(STORE) == pytest.approx(before)
