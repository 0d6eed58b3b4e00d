"""Speed of a service's targets, learned from answers."""

import random

import pytest

from pimentospool.policy import ServicePace
from pimentospool.policy._target_health import NORMAL_LATENCY_RATIO


@pytest.mark.parametrize("true_pace", [0.3, 1.0, 2.5, 33.0])
def test_pace_is_learned_within_thirty_answers(true_pace):
    pace, rng = ServicePace(), random.Random(1)
    for _ in range(30):
        pace.record(true_pace * rng.lognormvariate(0.0, 0.4))
    assert pace.value == pytest.approx(true_pace, rel=0.35)


def test_slow_targets_and_queues_barely_move_the_pace():
    pace, rng = ServicePace(), random.Random(2)
    for _ in range(400):
        slow = rng.random() < 0.15
        pace.record(rng.lognormvariate(0.0, 0.3) * (8.0 if slow else 1.0))
    assert pace.value == pytest.approx(1.0, rel=0.3)


def test_pace_stays_within_its_bounds():
    pace = ServicePace()
    for _ in range(10_000):
        pace.record(1e9)
    assert pace.value == 100.0
    for _ in range(10_000):
        pace.record(0.0)
    assert pace.value == 0.1


@pytest.mark.parametrize("ratio", [33.0, 0.4])
def test_answers_that_teach_the_pace_say_nothing_of_single_targets(ratio):
    pace = ServicePace()
    for _ in range(40):
        assert pace.relative(ratio) <= NORMAL_LATENCY_RATIO
        pace.record(ratio)


def test_slow_target_stands_out_once_answers_lie_on_both_sides_of_the_pace():
    pace = ServicePace()
    for ratio in (1.2, 0.9, 1.1):
        pace.record(ratio)
    assert pace.relative(8.0) == pytest.approx(8.0 / pace.value)


def test_slow_target_stands_out_where_the_pace_has_reached_its_bound():
    pace = ServicePace()
    while pace.value < 100.0:
        pace.record(1e3)
    assert pace.relative(1e3) == pytest.approx(10.0)
