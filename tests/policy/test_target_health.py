"""What a target's own answers say of it."""

import pytest

from pimentospool.policy import TargetHealth


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


def test_slow_answers_count_sooner_than_fast_ones(clock):
    health = TargetHealth(clock=clock)
    health.answered(5.0)
    assert health.pace == pytest.approx(2.6)
    health.answered(1.0)
    assert 2.0 < health.pace < 2.6


def test_slowness_and_failures_are_forgotten_so_that_the_target_is_tried(clock):
    health = TargetHealth(clock=clock)
    for _ in range(10):
        health.answered(8.0)
        health.failed()
    assert health.pace > 5
    assert health.failing > 0.4
    clock.now += 8.0
    assert health.pace == 1.0
    assert health.failing == 0.0


def test_unreachable_target_is_left_alone_for_longer_each_time(clock):
    health = TargetHealth(clock=clock)
    health.unreachable()
    assert health.ejected
    clock.now += 0.6
    assert not health.ejected
    health.unreachable()
    clock.now += 0.6
    assert health.ejected
    clock.now += 0.5
    assert not health.ejected
    health.answered(1.0)
    health.unreachable()
    clock.now += 0.6
    assert not health.ejected
