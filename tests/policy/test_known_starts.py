"""Starts of targets whose entries lapse and return."""

import pytest

from pimentospool.policy import LAPSED_SECONDS, MAX_LAPSED_STARTS, KnownStarts


@pytest.fixture
def forgotten():
    return []


@pytest.fixture
def starts(clock, forgotten):
    return KnownStarts(clock=clock, forget=forgotten.append)


def test_start_is_kept_while_its_entry_lapses_and_returns(clock, starts, forgotten):
    for _ in range(3):
        starts.register("i-1", 1)
        starts.lapse("i-1")
        clock.now += LAPSED_SECONDS - 1.0
    assert starts.counts("i-1", 1)
    assert forgotten == []


def test_new_start_replaces_the_earlier_one(starts, forgotten):
    starts.register("i-1", 1)
    starts.register("i-1", 2)
    assert forgotten == ["i-1"]
    assert not starts.counts("i-1", 1)
    assert starts.counts("i-1", 2)


def test_start_that_stays_away_is_forgotten(clock, starts, forgotten):
    for target in ("i-1", "i-2"):
        starts.register(target, 1)
    starts.lapse("i-1")
    clock.now += LAPSED_SECONDS
    starts.lapse("i-2")
    assert forgotten == ["i-1"]
    assert not starts.is_known("i-1")
    assert starts.is_known("i-2")


def test_starts_that_lapsed_first_are_forgotten_above_the_limit(starts, forgotten):
    for number in range(MAX_LAPSED_STARTS + 3):
        starts.register(f"i-{number}", 1)
        starts.lapse(f"i-{number}")
    assert forgotten == ["i-0", "i-1", "i-2"]


def test_registered_starts_are_not_limited(clock, starts, forgotten):
    for number in range(2 * MAX_LAPSED_STARTS):
        starts.register(f"i-{number}", 1)
    clock.now += 2 * LAPSED_SECONDS
    starts.lapse("i-0")
    assert forgotten == []


def test_target_that_never_registered_is_not_remembered(starts):
    starts.lapse("i-1")
    assert not starts.is_known("i-1")
