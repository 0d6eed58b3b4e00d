"""Bounds on the heartbeat traffic of one entry VM."""

import pytest

from pimentospool.bench._heartbeats import measure_heartbeats
from pimentospool.gateway._fleet import (
    LOAD_ROUNDS,
    MIN_REGION_ROUNDS,
    ZONE_FANOUT,
    ZONE_ROUNDS,
)
from pimentospool.gateway._heartbeats import INTERVAL_SECONDS
from pimentospool.gateway._region_loads import LOAD_REPORTERS
from pimentospool.policy._relays import RELAYS

MAX_DATAGRAM_BYTES = 60_000
"""Largest datagram payload that the network carries, in IP fragments."""
KILOBYTES_PER_SECOND_AT_195 = 25.0
"""Target for control traffic of one entry VM."""


@pytest.mark.parametrize(
    ("entries", "regions"), [(70, 3), (195, 3), (300, 3), (930, 8)]
)
def test_datagrams_of_an_entry_vm_are_bounded_at_any_size(entries, regions):
    cost = measure_heartbeats(entries=entries, regions=regions, busy_targets=40, seed=1)
    gossip = ZONE_FANOUT + 1 / ZONE_ROUNDS + (regions + 1) / MIN_REGION_ROUNDS
    loads = (regions - 1) * (LOAD_REPORTERS + 1) / LOAD_ROUNDS
    assert cost.datagrams_per_second <= (gossip + loads + RELAYS) / INTERVAL_SECONDS
    assert cost.largest_bytes < MAX_DATAGRAM_BYTES


def test_bytes_meet_the_target_at_195_and_grow_no_faster_than_the_fleet():
    costs = {
        entries: measure_heartbeats(
            entries=entries, regions=regions, busy_targets=40, seed=1
        ).kilobytes_per_second
        for entries, regions in [(195, 3), (300, 3), (930, 8)]
    }
    assert costs[195] < KILOBYTES_PER_SECOND_AT_195
    assert costs[930] < 930 / 300 * 1.1 * costs[300]


def test_small_fleet_sends_to_every_other_entry_vm_of_the_region():
    cost = measure_heartbeats(entries=8, regions=2, busy_targets=4, seed=1)
    assert cost.datagrams_per_second > 4 * 3
