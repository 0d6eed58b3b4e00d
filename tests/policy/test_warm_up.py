"""Load of a target that has started or recovered, by its answers."""

from gateway_factories import Clock

from pimentospool.policy import WarmUp
from pimentospool.policy._warm_up import (
    FOLLOW_SECONDS,
    INITIAL_LIMIT,
    LOWERED_SECONDS,
    MAX_SECONDS,
    MIN_LIMIT,
)


def make_warm_up(slots=64):
    clock = Clock()
    return WarmUp(slots=slots, clock=clock), clock


def answer(warm_up, ratio, count):
    for _ in range(count):
        warm_up.record_answer(ratio, running=int(warm_up.limit))


def test_timely_answers_raise_the_limit_up_to_the_slots():
    """Against a target that is idle although it answers as fast as the others."""
    warm_up, _ = make_warm_up()
    assert warm_up.allows(3)
    assert not warm_up.allows(4)
    answer(warm_up, 1.0, 8)
    assert warm_up.allows(19)
    assert 0.0 < warm_up.share < 1.0
    answer(warm_up, 1.0, 40)
    assert warm_up.over
    assert warm_up.allows(500)
    assert warm_up.share == 1.0


def test_slow_answers_and_failures_lower_the_limit_once_for_each_phase():
    """Against a target that is overloaded, and one limited to nothing by one phase."""
    warm_up, clock = make_warm_up()
    answer(warm_up, 1.0, 10)
    raised = warm_up.limit
    answer(warm_up, 10.0, 20)
    slowed = warm_up.limit
    assert raised * 0.5 < slowed < raised
    clock.now += LOWERED_SECONDS
    warm_up.record_failure()
    assert warm_up.limit < slowed
    for _ in range(20):
        clock.now += LOWERED_SECONDS
        warm_up.record_failure()
    assert warm_up.limit == MIN_LIMIT
    assert warm_up.allows(0)


def test_answers_at_a_low_load_do_not_raise_the_limit():
    """Against a limit that no load has shown to be right."""
    warm_up, _ = make_warm_up()
    for _ in range(50):
        warm_up.record_answer(1.0, running=1)
    assert warm_up.limit == INITIAL_LIMIT


def test_limit_follows_what_others_run_for_some_time():
    """Against entry VMs that learn nothing as the others use the whole limit."""
    warm_up, clock = make_warm_up()
    for running in (20, 16, 25):
        assert not warm_up.allows(running)
        clock.now += FOLLOW_SECONDS / 2
    assert warm_up.allows(15)
    assert not warm_up.allows(16)


def test_warm_up_ends_without_load():
    """Against a limit that holds for good at a target that got few requests."""
    warm_up, clock = make_warm_up()
    clock.now += MAX_SECONDS
    assert warm_up.over
    assert make_warm_up(slots=2)[0].over
