"""Request rates over the day, and the arrivals planned from them."""

import random

import pytest

from pimentospool.load import ArrivalCurve, plan_arrivals
from pimentospool.manifest import Region

REGIONS = [Region(id="a"), Region(id="b", utc_offset_hours=6)]


def test_each_region_peaks_at_its_own_hour():
    curve = ArrivalCurve(peak_per_second=10.0, day_seconds=24.0, start_hour=0.0)
    hours = range(24)
    peak_a = max(hours, key=lambda hour: curve.rate(REGIONS[0], hour))
    peak_b = max(hours, key=lambda hour: curve.rate(REGIONS[1], hour))
    assert (peak_a, peak_b) == (9, 3)
    assert curve.rate(REGIONS[0], 9) == pytest.approx(10.0)
    assert curve.rate(REGIONS[0], 21) == pytest.approx(2.0)


def test_plan_depends_on_the_seed_and_follows_the_rate():
    curve = ArrivalCurve(peak_per_second=50.0)
    plans = [
        plan_arrivals(curve, REGIONS[:1], seconds=100, rng=random.Random(seed))
        for seed in (1, 1, 2)
    ]
    assert plans[0] == plans[1]
    assert plans[0] != plans[2]
    assert len(plans[0]) == pytest.approx(5000, rel=0.05)
    assert plans[0] == sorted(plans[0], key=lambda arrival: arrival.due_seconds)
