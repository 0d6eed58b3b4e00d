import math

import pytest

from pimentospool.policy import RouteKey, RouteTimes, ends_in_time
from pimentospool.policy._leaving import (
    INITIAL_STREAM_SECONDS,
    INITIAL_WHOLE_SECONDS,
    MAX_ROUTES,
    SAMPLES,
)

STREAM = RouteKey("llm", "ask", True)
OTHER_STREAM = RouteKey("llm", "plan", True)
WHOLE = RouteKey("llm", "look", False)


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    ("expected_seconds", "left_seconds", "ends"),
    [
        (100.0, math.inf, True),
        (0.0, 0.1, True),
        (1.0, 1.2, True),
        (1.0, 1.05, False),
        (1.0, -0.5, False),
    ],
)
def test_leaving_process_begins_what_ends_before_it(
    expected_seconds, left_seconds, ends
):
    result = ends_in_time(expected_seconds=expected_seconds, left_seconds=left_seconds)
    assert result is ends


@pytest.mark.parametrize(
    ("ended", "ages", "expected"),
    [
        ({}, [], INITIAL_STREAM_SECONDS),
        ({}, [1.0], INITIAL_STREAM_SECONDS),
        ({}, [9.0], 9.0),
        ({STREAM: [5.0]}, [0.5], 5.0),
        ({STREAM: [1.0] * 9 + [20.0]}, [], 1.0),
        ({STREAM: [1.0] * 8}, [30.0] * 8, 1.0),
        ({STREAM: [9.0] * SAMPLES + [1.0] * SAMPLES}, [], 1.0),
        ({OTHER_STREAM: [5.0]}, [], 5.0),
        ({STREAM: [1.0], OTHER_STREAM: [5.0]}, [], 1.0),
        ({OTHER_STREAM: [5.0], WHOLE: [0.1]}, [], 5.0),
        ({WHOLE: [0.1]}, [], 0.1),
        ({WHOLE: [0.1]}, [9.0], 9.0),
        ({RouteKey("desk", "ask", True): [0.1]}, [], INITIAL_STREAM_SECONDS),
    ],
)
def test_stream_is_expected_to_take_what_those_of_its_route_took(ended, ages, expected):
    clock = Clock()
    times = RouteTimes(clock=clock)
    for key, lengths in ended.items():
        for seconds in lengths:
            running = times.begin(key)
            clock.now += seconds
            times.end(running, whole=True)
    now = clock.now
    for age in ages:
        clock.now = now - age
        times.begin(STREAM)
    clock.now = now
    assert times.expected_seconds(STREAM) == pytest.approx(expected)


def test_requests_without_a_whole_answer_and_forgotten_routes_tell_nothing():
    clock = Clock()
    times = RouteTimes(clock=clock)
    keys = [RouteKey(f"s-{number}", "look", False) for number in range(MAX_ROUTES + 1)]
    for whole, seconds in ((True, 1.0), (False, 9.0)):
        for key in keys:
            running = times.begin(key)
            clock.now += seconds
            times.end(running, whole=whole)
    assert times.expected_seconds(keys[0]) == INITIAL_WHOLE_SECONDS
    assert times.expected_seconds(keys[-1]) == pytest.approx(1.0)
