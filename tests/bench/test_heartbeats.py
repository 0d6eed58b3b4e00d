"""Bounds on the heartbeat traffic of one entry VM."""

from pimentospool.bench._heartbeats import measure_heartbeats
from pimentospool.gateway._fleet import FANOUT, REMOTE_FANOUT, REPORT_FANOUT

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram payload that the network carries, in IP fragments."""


def test_datagrams_of_an_entry_vm_are_bounded_at_any_size():
    sizes = [(70, 3), (300, 3), (930, 8)]
    costs = [
        measure_heartbeats(entries=n, regions=r, busy_targets=40, seed=1)
        for n, r in sizes
    ]
    max_per_second = 2 * (REPORT_FANOUT + FANOUT) + 4 / 3 * REMOTE_FANOUT
    assert all(cost.datagrams_per_second <= max_per_second + 0.1 for cost in costs)
    assert costs[2].kilobytes_per_second < 1.3 * costs[1].kilobytes_per_second
    assert all(cost.largest_bytes < MAX_DATAGRAM_BYTES for cost in costs)


def test_small_fleet_sends_to_every_other_entry_vm_of_the_region():
    cost = measure_heartbeats(entries=8, regions=2, busy_targets=4, seed=1)
    assert FANOUT >= 3
    assert cost.datagrams_per_second > 4 * 3
