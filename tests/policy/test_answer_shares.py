"""Shares of answers hold through any order of steps, and no answer waits for ever."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool.policy import MemoryBudget
from pimentospool.policy._answer_shares import (
    FREE_BYTES,
    READ_BYTES,
    SERVICE_SHARE,
    TARGET_SHARE,
)

MAX_ANSWER_BYTES = 8 * READ_BYTES
steps = st.lists(
    st.tuples(
        st.sampled_from(["begin", "read", "read", "read", "reserve", "end", "whole"]),
        st.integers(0, 60),
    ),
    min_size=100,
    max_size=200,
)


def make_budget(process_bytes=200_000_000):
    return MemoryBudget(process_bytes=process_bytes)


def begin(budget, *, target="t", service="s", is_stream=False):
    return budget.begin_answer(is_stream=is_stream, service=service, source=target)


def read(hold, size_bytes=READ_BYTES):
    """Read once; return whether the answer may go on."""
    assert hold.grow(size_bytes)
    return hold.may_read(lambda: None)


def fill_target(budget, *, target="t"):
    """Begin answers that fill the share of a target; return them, the oldest first."""
    holds = [begin(budget, target=target) for _ in range(3)]
    while all(read(hold) for hold in holds):
        pass
    return holds


class Answer:
    """An answer in arrival, and whether it may be read."""

    def __init__(self, budget, number):
        self.service = number % 2
        self.hold = begin(budget, target=number % 6, service=self.service)
        self.size_bytes = 0
        self.readable = True

    def ask(self, size_bytes=READ_BYTES):
        self.readable = self.hold.may_read(self.on_turn, size_bytes)
        return self.readable

    def on_turn(self):
        self.readable = True

    def grow(self, size_bytes):
        if self.size_bytes < MAX_ANSWER_BYTES and self.hold.grow(size_bytes):
            self.size_bytes += size_bytes


@given(steps=steps)
def test_no_order_of_steps_exceeds_the_shares_or_stops_all_answers(steps):
    budget = make_budget(process_bytes=6_000_000)
    answers = []
    for step, number in steps:
        answer = answers[number % len(answers)] if answers else None
        if step == "begin":
            answers.append(Answer(budget, number))
        elif answer is None:
            continue
        elif step == "read" and answer.readable:
            answer.grow(READ_BYTES)
            answer.ask()
        elif step == "reserve" and not answer.size_bytes:
            if answer.ask(MAX_ANSWER_BYTES):
                answer.grow(MAX_ANSWER_BYTES)
        elif step in ("end", "whole"):
            if step == "whole":
                answer.hold.become_whole()
            answer.hold.release()
            answers.remove(answer)
        for service in range(2):
            held = [a for a in answers if a.service == service and a.size_bytes]
            used_bytes = sum(answer.size_bytes for answer in held)
            room_bytes = MAX_ANSWER_BYTES + len(held) * FREE_BYTES
            assert used_bytes <= SERVICE_SHARE * budget.limit_bytes + room_bytes
            assert not held or any(answer.readable for answer in held)
    for answer in answers:
        answer.hold.release()
    assert budget.used_bytes == 0
    assert not budget.answer_shares.waiting
    assert not budget.answer_shares._shares


@pytest.mark.parametrize(
    ("target", "service", "waits"),
    [("t", "s", True), ("u", "s", False), ("t", "r", False)],
)
def test_answers_of_one_target_leave_others_their_share(target, service, waits):
    budget = make_budget()
    fill_target(budget)
    other = begin(budget, target=target, service=service)
    assert read(other, 2 * FREE_BYTES) is not waits
    assert not other.waits_for_others


def test_oldest_answer_goes_on_and_the_others_follow_in_turn():
    budget, turns = make_budget(), []
    oldest, *others = fill_target(budget)
    budget.answer_shares.waiting.clear()
    for hold in others:
        assert not hold.may_read(lambda hold=hold: turns.append(hold), 500_000)
    assert all(read(oldest, 500_000) for _ in range(6))
    assert not turns
    oldest.release()
    assert turns == others


def test_small_answers_and_streams_wait_for_no_share():
    budget = make_budget()
    fill_target(budget)
    small = begin(budget)
    assert small.may_read(lambda: None, FREE_BYTES)
    assert not read(small, FREE_BYTES)
    stream = begin(budget, is_stream=True)
    assert all(read(stream, 100_000) for _ in range(20))
    stream.hold_whole()
    assert not read(stream)


def test_answer_that_waits_for_its_caller_only_is_in_no_share():
    budget = make_budget()
    holds = fill_target(budget)
    later = begin(budget)
    assert not read(later, 2 * FREE_BYTES)
    for hold in holds:
        hold.become_whole()
    assert later.may_read(lambda: None)
    assert budget.used_bytes > TARGET_SHARE * budget.limit_bytes


def test_wait_for_another_targets_answers_is_told_apart():
    budget = make_budget()
    for number in range(2):
        fill_target(budget, target=f"faulty-{number}")
    other = begin(budget, target="sound")
    assert not read(other, 2 * FREE_BYTES)
    assert other.waits_for_others
