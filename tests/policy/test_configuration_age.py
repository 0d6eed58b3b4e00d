"""Age of the configuration in force, and whom to ask for it."""

import math
import random

import pytest

from pimentospool.policy import ConfigurationAge, choose_query_receivers
from pimentospool.policy._configuration_age import MAX_PENDING, QueryReach


class Fixture:
    def __init__(self, clock, *, bound_seconds=5.0):
        self.stamp = (1, 1)
        self.age = ConfigurationAge(
            bound_seconds=bound_seconds, clock=clock, stamp=lambda: self.stamp
        )


def test_confirmation_lasts_for_the_bound_less_the_margin(clock):
    age = Fixture(clock).age
    assert not age.is_confirmed
    age.confirm(clock.now, source="store")
    clock.now += 4.7
    assert age.is_confirmed
    clock.now += 0.1
    assert not age.is_confirmed


def test_confirmation_never_moves_back_and_needs_a_configuration(clock):
    fixture = Fixture(clock)
    fixture.stamp = None
    fixture.age.confirm(99.0, source="store")
    assert fixture.age.latest is None
    fixture.stamp = (1, 1)
    fixture.age.confirm(99.0, source="store")
    fixture.age.confirm(98.0, source="e-2")
    assert fixture.age.latest.at == 99.0


@pytest.mark.parametrize("newer", [(2, 1), (1, 2)], ids=["version", "era"])
def test_confirmation_of_a_newer_configuration_counts_once_that_is_active(clock, newer):
    fixture = Fixture(clock)
    fixture.age.receive(99.0, stamp=newer, source="e-2")
    assert fixture.age.latest is None
    fixture.stamp = newer
    assert fixture.age.latest.at == 99.0
    assert not fixture.age.pending


def test_pending_confirmations_are_bounded(clock):
    fixture = Fixture(clock)
    for number in range(2, 20):
        fixture.age.receive(80.0 + number, stamp=(number, 1), source="e-2")
    assert len(fixture.age.pending) == MAX_PENDING
    fixture.stamp = (19, 1)
    assert fixture.age.latest.at == 99.0


def test_queries_reach_further_as_the_confirmation_gets_older(clock):
    age = Fixture(clock).age
    age.confirm(clock.now, source="store")
    reached = []
    for seconds in (0.5, 0.7, 2.1, 2.6):
        clock.now = 100.0 + seconds
        reached.append([age.reach(reads_source=reads) for reads in (False, True)])
    none, relay, region, remote = QueryReach
    assert reached == [[none, none], [relay, none], [region, none], [remote] * 2]


def test_all_is_confirmed_and_nobody_is_asked_without_a_bound(clock):
    age = Fixture(clock, bound_seconds=math.inf).age
    assert age.is_confirmed
    assert not age.is_old
    assert age.reach(reads_source=False) is QueryReach.NONE


def test_relays_are_asked_before_others_and_other_regions_last():
    def receivers(reach, relays=("r-1", "r-2")):
        return choose_query_receivers(
            reach,
            relays=relays,
            region=["e-1", "e-2", "e-3"],
            remote=["f-1"],
            rng=random.Random(1),
        )

    assert receivers(QueryReach.NONE) == []
    assert set(receivers(QueryReach.RELAY)) < {"r-1", "r-2"}
    assert set(receivers(QueryReach.RELAY, ())) < {"e-1", "e-2", "e-3"}
    assert len(receivers(QueryReach.REGION)) == 4
    assert receivers(QueryReach.REMOTE)[-1] == "f-1"
