"""Which connections of a listener go on once it is full, driven by random steps."""

from hypothesis import given
from hypothesis import strategies as st

from pimentospool.policy import Admission, ConnectionTable


def full_table(limit, *, stalled=()):
    table = ConnectionTable(limit=limit, has_stalled=lambda conn: conn in stalled)
    for conn in range(limit):
        assert table.admit(conn, now=0.0) == (Admission.FREE, [])
    return table


def test_oldest_without_a_request_ends_first():
    """Guards against silent connections that keep callers with requests out."""
    table = full_table(3)
    table.begin_request(0)
    table.end_request(0)
    assert table.admit(3, now=0.0) == (Admission.REPLACED, [1])
    assert table.admit(4, now=0.0) == (Admission.REPLACED, [2])


def test_longest_idle_ends_if_all_have_had_requests():
    table = full_table(3)
    for conn in (0, 1, 2):
        table.begin_request(conn)
    for conn in (1, 0, 2):
        table.end_request(conn)
    assert table.admit(3, now=0.0) == (Admission.REPLACED, [1])


def test_request_in_progress_goes_on():
    """Guards against requests that are cut for a new connection."""
    table = full_table(2)
    table.begin_request(0)
    table.begin_request(1)
    assert table.admit(2, now=0.0) == (Admission.REFUSED, [])
    assert len(table) == 2


def test_stalled_callers_end_together_and_searches_are_bounded():
    """Guards against places that a crowd fills again one by one."""
    stalled = {1, 2}
    table = full_table(3, stalled=stalled)
    for conn in (0, 1, 2):
        table.begin_request(conn)
    assert table.admit(3, now=0.0) == (Admission.REPLACED, [1, 2])
    table.begin_request(3)
    table.admit(4, now=0.1)
    table.begin_request(4)
    stalled.add(4)
    assert table.admit(5, now=0.2) == (Admission.REFUSED, [])
    assert table.admit(5, now=0.3) == (Admission.REPLACED, [4])


@given(
    st.integers(1, 5),
    st.lists(
        st.tuples(st.sampled_from(["open", "begin", "end", "close"]), st.integers(0, 9))
    ),
)
def test_limit_holds_and_busy_connections_stay(limit, steps):
    table = ConnectionTable(limit=limit, has_stalled=lambda conn: False)
    busy, opened = set(), set()
    for step, conn in steps:
        if step == "open" and conn not in opened:
            admission, victims = table.admit(conn, now=0.0)
            assert not busy.intersection(victims)
            opened.difference_update(victims)
            if admission is not Admission.REFUSED:
                opened.add(conn)
        elif step == "begin":
            table.begin_request(conn)
            busy |= {conn} & opened
        elif step == "end":
            table.end_request(conn)
            busy.discard(conn)
        elif step == "close":
            table.remove(conn)
            opened.discard(conn)
            busy.discard(conn)
        assert len(table) == len(opened) <= limit
