"""Choice of the entry VMs of a region that relay for the others."""

import random

import pytest

from pimentospool.policy import RelayCandidate, choose_relays


def make_candidates(wide, *, size=26, zones=2):
    """Return entry VMs of which those numbered in `wide` have a fast link."""
    keys = random.Random(1).sample(range(2**32), size)
    return [
        RelayCandidate(
            key=key,
            zone=f"gulf-{number % zones}",
            link_mbps=100.0 if number in wide else 5.0,
        )
        for number, key in enumerate(keys)
    ]


@pytest.mark.parametrize("wide", [{3, 8}, {0, 1, 2, 3}, {25, 4, 6}])
def test_relays_have_fast_links_where_each_zone_has_one(wide):
    candidates = make_candidates(wide)
    by_key = {item.key: item for item in candidates}
    relays = [by_key[key] for key in choose_relays(candidates)]
    assert [item.link_mbps for item in relays] == [100.0, 100.0]
    assert len({item.zone for item in relays}) == 2


def test_relays_are_of_different_zones_even_with_one_fast_link():
    candidates = make_candidates({7})
    by_key = {item.key: item for item in candidates}
    first, second = (by_key[key] for key in choose_relays(candidates))
    assert first == candidates[7]
    assert second.zone != first.zone


@pytest.mark.parametrize("wide", [set(), {3, 8}])
def test_relays_do_not_depend_on_the_order_in_which_members_are_known(wide):
    candidates = make_candidates(wide)
    relays = choose_relays(candidates)
    for seed in range(5):
        random.Random(seed).shuffle(candidates)
        assert choose_relays(candidates) == relays


def test_small_region_has_no_relays():
    assert choose_relays(make_candidates({1}, size=12)) == []
