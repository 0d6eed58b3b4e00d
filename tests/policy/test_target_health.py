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
        normal.record_answer(2.8 if number % 10 == 0 else 0.9)
        assert normal.latency_ratio == 1.0
    answers = 0
    while slow.latency_ratio == 1.0:
        slow.record_answer(5.0)
        answers += 1
    assert answers <= 3
    for _ in range(20):
        slow.record_answer(5.0)
    assert slow.latency_ratio == pytest.approx(5.0, rel=0.1)


def test_slowness_and_failures_expire_so_that_the_target_is_tried_again(clock):
    health = TargetHealth(clock=clock)
    for _ in range(10):
        health.record_answer(8.0)
        health.record_failure()
    assert health.latency_ratio > 5
    assert health.failure_rate > 0.4
    clock.now += 8.0
    assert health.latency_ratio == 1.0
    assert health.failure_rate == 0.0


def test_unreachable_target_is_ejected_for_longer_each_time(clock):
    health = TargetHealth(clock=clock)
    health.record_connect_failure()
    assert health.ejected
    clock.now += 0.6
    assert not health.ejected
    health.record_connect_failure()
    clock.now += 0.6
    assert health.ejected
    clock.now += 0.5
    assert not health.ejected
    health.record_answer(1.0)
    health.record_connect_failure()
    clock.now += 0.6
    assert not health.ejected


def test_longest_quiet_time_holds(clock):
    health = TargetHealth(clock=clock)
    health.record_quiet(4.0)
    health.record_quiet(1.0)
    clock.now += 3.0
    assert health.quiet_seconds == pytest.approx(1.0)
    clock.now += 1.0
    assert health.quiet_seconds == 0.0
