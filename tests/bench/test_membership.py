"""Simulated fleet of `pimentospool bench membership`."""

import math

from pimentospool.bench._membership import measure_membership


def test_times_of_a_small_fleet_are_measured():
    times = measure_membership(
        entries=16, regions=2, loss=0.05, steady_seconds=5.0, seed=1
    )
    assert times.missing_pairs == 0
    for seconds in (
        times.dead_known_seconds,
        times.restart_known_seconds,
        times.rejoin_seconds,
    ):
        assert 0.0 < seconds < math.inf
    assert times.kilobytes_per_second > 0.0
