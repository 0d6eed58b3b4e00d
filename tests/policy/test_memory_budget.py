"""The limit on bytes in progress holds through any order of starts and ends."""

import math

from hypothesis import given
from hypothesis import strategies as st

from pimentospool.policy import MemoryBudget

PROCESS_BYTES = 300_000_000
SENDER = {"service": "s", "source": "t"}
sizes = st.integers(0, 8_000_000)
steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["request", "chunked", "answer", "grow", "shrink", "share", "release"]
        ),
        sizes,
        st.integers(0, 1_000_000),
    ),
    max_size=200,
)


@given(steps=steps)
def test_no_order_of_steps_exceeds_the_limit_or_loses_bytes(steps):
    budget = MemoryBudget(process_bytes=PROCESS_BYTES)
    holds = []  # Each with its number of users.
    for step, size, index in steps:
        if step == "answer":
            holds.append([budget.begin_answer(is_stream=index % 2 == 0, **SENDER), 1])
        elif step in ("request", "chunked"):
            hold = budget.begin_request(None if step == "chunked" else size)
            if hold is not None:
                holds.append([hold, 1])
        elif holds:
            entry = holds[index % len(holds)]
            if step == "grow":
                before = budget.used_bytes
                grown = entry[0].grow(size)
                assert budget.used_bytes == before + (size if grown else 0)
            elif step == "shrink":
                entry[0].shrink(size)
            elif step == "share":
                entry[0].share()
                entry[1] += 1
            else:
                entry[0].release()
                entry[1] -= 1
                if not entry[1]:
                    holds.remove(entry)
        assert 0 <= budget.used_bytes <= budget.limit_bytes
    for hold, users in holds:
        for _ in range(users):
            hold.release()
    assert budget.used_bytes == 0


def test_each_kind_leaves_room_for_what_is_lost_if_it_finds_none():
    budget = MemoryBudget(process_bytes=PROCESS_BYTES)
    while budget.begin_request(1_000_000):
        pass
    while budget.begin_request(0):
        pass
    answers = [budget.begin_answer(is_stream=False, **SENDER) for _ in range(4)]
    assert all(answer.grow(4_000_000) for answer in answers)
    while answers[0].grow(100_000):
        pass
    assert budget.begin_answer(is_stream=True, **SENDER).grow(16_000_000)


def test_body_of_unknown_length_is_bounded_as_it_arrives():
    budget = MemoryBudget(process_bytes=PROCESS_BYTES)
    hold = budget.begin_request(None)
    while hold.grow(65_536):
        pass
    assert budget.used_bytes < budget.limit_bytes * 0.7


def test_bytes_are_held_until_the_last_user_is_done():
    budget = MemoryBudget(process_bytes=PROCESS_BYTES)
    hold = budget.begin_request(4_000_000)
    hold.share()
    hold.release()
    assert budget.used_bytes > 4_000_000
    hold.release()
    assert budget.used_bytes == 0
    assert hold.grow(1_000)
    assert budget.used_bytes == 0


def test_small_process_still_serves_and_unknown_memory_bounds_nothing():
    assert MemoryBudget(process_bytes=100_000_000).begin_request(10_000_000)
    assert MemoryBudget(process_bytes=math.inf).begin_request(10**12)
