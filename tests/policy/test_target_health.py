"""Health of a target, by the outcomes of requests sent to it."""

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


def test_slow_target_is_distinguished_from_a_normal_one_with_single_slow_answers(clock):
    normal, slow = TargetHealth(clock=clock), TargetHealth(clock=clock)
    for number in range(40):
        normal.answered(2.8 if number % 10 == 0 else 0.9)
        assert normal.pace == 1.0
    answers = 0
    while slow.pace == 1.0:
        slow.answered(5.0)
        answers += 1
    assert answers <= 3
    for _ in range(20):
        slow.answered(5.0)
    assert slow.pace == pytest.approx(5.0, rel=0.1)


def test_slowness_and_failures_expire_so_that_the_target_is_tried_again(clock):
    health = TargetHealth(clock=clock)
    for _ in range(10):
        health.answered(8.0)
        health.failed()
    assert health.pace > 5
    assert health.failing > 0.4
    clock.now += 8.0
    assert health.pace == 1.0
    assert health.failing == 0.0


def test_unreachable_target_is_ejected_for_longer_each_time(clock):
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
