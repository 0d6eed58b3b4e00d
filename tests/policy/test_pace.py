"""Slowest pace of the other side of a connection."""

from hypothesis import given
from hypothesis import strategies as st

from pimentospool.policy import Pace, PaceLimits

LIMITS = PaceLimits(
    min_bytes_per_second=100.0,
    window_seconds=10.0,
    pressed_bytes_per_second=500.0,
    pressed_seconds=3.0,
)


class Clock:
    def __init__(self):
        self.now = 50.0

    def __call__(self):
        return self.now


def begun():
    clock = Clock()
    pace = Pace(limits=LIMITS, clock=clock)
    pace.begin()
    return pace, clock


def test_nothing_is_waited_for_before_begin_and_after_end():
    """Guards against slow streams of which all that was sent has been taken."""
    pace, clock = begun()
    pace.end()
    clock.now += 60.0
    assert not pace.is_too_slow(pressed=True)


def test_stalled_side_has_a_shorter_window_while_there_is_no_room():
    pace, clock = begun()
    clock.now += 3.0
    assert pace.is_too_slow(pressed=True)
    assert not pace.is_too_slow()
    clock.now += 7.0
    assert pace.is_too_slow()


@given(st.lists(st.floats(0.01, 5.0), min_size=1))
def test_side_at_the_pace_is_never_too_slow(steps):
    pace, clock = begun()
    for seconds in steps:
        clock.now += seconds
        pace.move(int(100.0 * seconds) + 1)
        assert not pace.is_too_slow()


@given(st.lists(st.floats(0.01, 5.0), min_size=1))
def test_side_at_the_pressed_pace_is_never_too_slow(steps):
    pace, clock = begun()
    for seconds in steps:
        clock.now += seconds
        pace.move(int(500.0 * seconds) + 1)
        assert not pace.is_too_slow(pressed=True)
