"""Shares of common bounds under every split of the member list."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool.policy import ColdShares, RepeatBudget, first_sender

RATIO, RESERVE, WINDOW, REGIONS = 0.2, 56, 10.0, 3
COLD_BOUND = 2.3 * 1.5 + 3


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_budget(clock):
    return RepeatBudget(
        ratio=RATIO,
        reserve=RESERVE,
        regions=REGIONS,
        window_seconds=WINDOW,
        clock=clock,
    )


def partitions(items):
    """Yield every split of `items` into groups."""
    if not items:
        yield []
        return
    first, rest = items[0], items[1:]
    for smaller in partitions(rest):
        for number, group in enumerate(smaller):
            yield [*smaller[:number], [first, *group], *smaller[number + 1 :]]
        yield [[first], *smaller]


def taken(budget, members, limit=1000):
    count = 0
    while count < limit and budget.take(members):
        count += 1
    return count


@pytest.mark.parametrize("size", range(1, 9))
def test_sum_of_repeats_stays_inside_the_bound_under_every_split(size):
    clock = Clock()
    counts = {known: taken(make_budget(clock), known) for known in range(1, size + 1)}
    for groups in partitions(list(range(size))):
        # Members that never knew those of other groups divide by their own group.
        total = sum(len(group) * counts[len(group)] for group in groups)
        assert total <= RESERVE, groups


def halves(names):
    """Yield every split of `names` into two sides."""
    for size in range(len(names) // 2 + 1):
        for side in itertools.combinations(names, size):
            yield set(side), set(names) - set(side)


def cold_count(names, lists):
    """Return how many entry VMs send at one moment, with these member lists."""
    clock = Clock()
    shares = {name: ColdShares(own=name, clock=clock) for name in names}
    clock.now += 2.0
    return sum(
        shares[name].take("i-1", bound_per_second=COLD_BOUND, members=lists[name])
        for name in names
    )


@pytest.mark.parametrize("size", range(1, 9))
def test_cold_rate_is_kept_whoever_has_forgotten_the_other_side(size):
    """Each entry VM remembers the whole list, or started while the list was split."""
    names = [f"edge-{number}" for number in range(size)]
    for sides in halves(names):
        own_side = {name: side for side in sides for name in side}
        for count in range(size + 1):
            for forgetful in itertools.combinations(names, count):
                lists = {
                    name: own_side[name] if name in forgetful else names
                    for name in names
                }
                assert cold_count(names, lists) <= COLD_BOUND


def test_processes_that_have_just_started_send_nothing_to_cold_targets():
    """Seed 703501580805 of trouble-1, tsuzumi-loop-grown: all restarted at once."""
    clock = Clock()
    names = [f"edge-{number}" for number in range(22)]
    shares = {name: ColdShares(own=name, clock=clock) for name in names}
    clock.now += 0.4
    taken = [
        shares[name].take("i-1", bound_per_second=COLD_BOUND, members=[name])
        for name in names
    ]
    assert not any(taken)


def test_one_entry_sends_to_a_cold_target_less_than_once_a_second():
    clock = Clock()
    shares = ColdShares(own="edge-1", clock=clock)
    clock.now += 2.0
    sent = []
    for _ in range(100):
        if shares.take("i-1", bound_per_second=COLD_BOUND, members=["edge-1"]):
            sent.append(clock.now)
        clock.now += 0.05
    assert len(sent) == 4
    assert all(later - sooner > 1.0 for sooner, later in itertools.pairwise(sent))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["request", "repeat", "wait"]),
            st.floats(0.0, 3.0),
        ),
        max_size=250,
    )
)
def test_repeats_follow_requests_in_every_sliding_window(steps):
    clock = Clock()
    budget = make_budget(clock)
    requests, repeats = [], []
    for step, seconds in steps:
        if step == "request":
            budget.request_sent()
            requests.append(clock.now)
        elif step == "repeat":
            if budget.take(8):
                repeats.append(clock.now)
        else:
            clock.now += seconds
    for end in repeats:
        inside = [at for at in repeats if end - WINDOW < at <= end]
        asked = [at for at in requests if end - WINDOW <= at <= end]
        assert len(inside) <= RATIO * len(asked) + RESERVE / 8


def test_budget_allows_some_repeats_to_a_process_that_has_just_started():
    clock = Clock()
    budget = make_budget(clock)
    assert budget.take(1)
    for _ in range(20):
        budget.request_sent()
    assert taken(budget, 8) == 3


def test_one_entry_acts_for_a_target_whatever_the_order_of_the_list():
    names = [f"edge-{number}" for number in range(6)]
    chosen = {first_sender("i-1", order) for order in itertools.permutations(names)}
    assert len(chosen) == 1
    assert first_sender("i-1", []) is None
