"""Split of quotas over entry VMs by claims."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool._generated.loads import RegionSummary
from pimentospool.ids import CustomerId, EntryId
from pimentospool.policy import QuotaShares, _shares
from pimentospool.policy._shares import BEAT_SECONDS, HIGHEST_SUM
from tests.policy._seeded import SEEDED

STORE = CustomerId("store")


class SharedFleet:
    """Entry VMs that exchange claims with losses, delays and cuts."""

    def __init__(self, seed, clock):
        self.rng = random.Random(seed)
        self.clock = clock
        names = [EntryId(f"e{n}") for n in range(self.rng.randrange(2, 9))]
        self.shares = {n: QuotaShares(entry=n, clock=clock) for n in names}
        for made in self.shares.values():
            made.set_entries(names)
        self.late = []
        self.highest = 0.0

    def beat(self, demand, cut):
        self.clock.now += BEAT_SECONDS
        for name, made in self.shares.items():
            made.used(STORE, demand.get(name, 0.0) * BEAT_SECONDS)
            summary = RegionSummary(region="r", entry=name, claims=made.claims())
            for peer, other in self.shares.items():
                if peer != name and (peer in cut) == (name in cut):
                    self.late.append((self.rng.randrange(3), other, summary))
        waiting = []
        for delay, other, summary in self.late:
            if delay:
                waiting.append((delay - 1, other, summary))
            else:
                other.take(summary, self.clock.now)
        self.late = waiting
        total = sum(made.share(STORE) for made in self.shares.values())
        self.highest = max(self.highest, total)

    def run(self):
        names = list(self.shares)
        for _ in range(12):
            demand = {n: self.rng.choice([0.0, 0.05, 2.0]) for n in names}
            cut = set(self.rng.sample(names, self.rng.randrange(len(names))))
            for _ in range(self.rng.randrange(2, 15)):
                self.beat(demand, cut)
        return self.highest


def test_shares_never_exceed_the_documented_bound(clock):
    @SEEDED
    @given(st.integers(0, 2**32))
    def check(seed):
        assert SharedFleet(seed, clock).run() <= HIGHEST_SUM + 1e-6

    check()


def test_raising_while_cut_off_is_found(clock, monkeypatch):
    monkeypatch.setattr(_shares.QuotaShares, "_hears_all", lambda self, now: True)
    monkeypatch.setattr(_shares, "RAISE_GAIN", 8.0)
    with pytest.raises(AssertionError):
        test_shares_never_exceed_the_documented_bound(clock)


def test_shares_follow_demand_and_sum_to_one_quota(clock):
    fleet = SharedFleet(1, clock)
    names = list(fleet.shares)
    for _ in range(120):
        fleet.beat({names[0]: 2.0}, set())
    shares = [made.share(STORE) for made in fleet.shares.values()]
    assert shares[0] > 0.7
    assert sum(shares) <= 1.0 + 1e-6


def test_a_cut_off_entry_keeps_its_share(clock):
    fleet = SharedFleet(2, clock)
    names = list(fleet.shares)
    before = fleet.shares[names[0]].share(STORE)
    for _ in range(100):
        fleet.beat({name: 2.0 for name in names}, {names[0]})
    assert fleet.shares[names[0]].share(STORE) == pytest.approx(before)
