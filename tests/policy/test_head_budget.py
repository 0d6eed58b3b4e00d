"""The sum of the heads of all connections is bounded, and is free again after them."""

from hypothesis import given
from hypothesis import strategies as st

from pimentospool.policy import ORDINARY_HEAD_BYTES, MemoryBudget, head_cost

MEMORY_BYTES = 128_000_000


@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(0, 4_000_000)), max_size=60),
)
def test_heads_stay_within_their_share_and_are_freed(steps):
    """Guards against heads that are counted twice, or never freed."""
    budget = MemoryBudget(process_bytes=MEMORY_BYTES)
    holds = [budget.heads.begin() for _ in range(6)]
    held = [0] * 6
    for index, cost_bytes in steps:
        if holds[index].resize(cost_bytes):
            held[index] = max(0, cost_bytes - ORDINARY_HEAD_BYTES)
        assert budget.heads.used_bytes == budget.used_bytes == sum(held)
        assert budget.used_bytes <= budget.heads.limit_bytes
    for hold in holds:
        assert hold.resize(0)
    assert budget.heads.used_bytes == budget.used_bytes == 0


def test_ordinary_heads_always_fit_and_the_largest_fits_alone():
    """Guards against a bound that refuses ordinary callers beside a crowd."""
    budget = MemoryBudget(process_bytes=MEMORY_BYTES)
    largest = head_cost(lines=4096, size_bytes=16384)
    taken = 0
    while budget.heads.begin().resize(largest):
        taken += 1
    assert taken >= 1
    assert budget.heads.begin().resize(head_cost(lines=30, size_bytes=2000))
