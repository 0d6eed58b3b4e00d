"""Which connections of a listener go on once it is full, driven by random steps."""

from hypothesis import given
from hypothesis import strategies as st

from pimentospool.policy import Admission, ConnectionTable


def full_table(limit, *, stalled=()):
    table = ConnectionTable(limit=limit, has_stalled=lambda conn: conn in stalled)
    for conn in range(limit):
        assert table.admit(conn, now=0.0) == (Admission.FREE, None)
    return table


def test_oldest_without_a_request_ends_first():
    """Guards against silent connections that keep callers with requests out."""
    table = full_table(3)
    table.begin_request(0)
    table.end_request(0)
    assert table.admit(3, now=0.0) == (Admission.REPLACED, 1)
    assert table.admit(4, now=0.0) == (Admission.REPLACED, 2)


def test_longest_idle_ends_if_all_have_had_requests():
    table = full_table(3)
    for conn in (0, 1, 2):
        table.begin_request(conn)
    for conn in (1, 0, 2):
        table.end_request(conn)
    assert table.admit(3, now=0.0) == (Admission.REPLACED, 1)


def test_request_in_progress_goes_on():
    """Guards against requests that are cut for a new connection."""
    table = full_table(2)
    table.begin_request(0)
    table.begin_request(1)
    assert table.admit(2, now=0.0) == (Admission.REFUSED, None)
    assert len(table) == 2


def test_stalled_caller_ends_and_searches_are_bounded():
    table = full_table(3, stalled=(1, 2))
    for conn in (0, 1, 2):
        table.begin_request(conn)
    assert table.admit(3, now=0.0) == (Admission.REPLACED, 1)
    table.begin_request(3)
    assert table.admit(4, now=0.1) == (Admission.REFUSED, None)
    assert table.admit(4, now=0.3) == (Admission.REPLACED, 2)


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
            admission, victim = table.admit(conn, now=0.0)
            assert victim not in busy
            opened.discard(victim)
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
