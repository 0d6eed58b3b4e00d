"""What is read from the headers of servers' responses."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool.gateway import AnswerHead
from pimentospool.platform._exchange import PlatformDialect


def read_limit(*values):
    headers = [(b"server-limit", value) for value in values]
    return PlatformDialect().request_limit(AnswerHead(200, headers))


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ((), math.inf),
        ((b"1.3",), 1.3),
        ((b" 20 ",), 20.0),
        ((b"0",), 0.0),
        ((b"4", b"2.5", b"many"), 2.5),
        ((b"nan",), None),
        ((b"-1",), None),
        ((b"1e9",), None),
        ((b"",), None),
    ],
)
def test_limit_of_a_server_is_the_lowest_that_can_be_read(values, limit):
    assert read_limit(*values) == limit


@given(st.binary())
def test_arbitrary_limit_is_a_number_or_unreadable(value):
    limit = read_limit(value)
    assert limit is None or 0.0 <= limit < math.inf


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ((), None),
        ((b"2.5",), 2.5),
        ((b"0",), 0.0),
        ((b"3", b"7", b"soon"), 7.0),
        ((b"Wed, 21 Oct 2026 07:28:00 GMT",), None),
    ],
)
@pytest.mark.parametrize("proof", [True, False])
def test_server_wants_quiet_if_it_rejects_a_request_and_says_how_long(
    values, seconds, proof
):
    headers = [(b"retry-after", value) for value in values]
    if proof:
        headers.append((b"x-not-executed", b"1"))
    quiet_seconds = PlatformDialect().quiet_seconds(AnswerHead(503, headers))
    assert quiet_seconds == (seconds if proof else None)


@pytest.mark.parametrize(
    ("status", "body", "start"),
    [
        (200, b'{"born":7,"Busy":false}', 7),
        (200, b'{"born":7.5}', None),
        (200, b'{"born":"7"}', None),
        (200, b'{"Busy":false}', None),
        (200, b"[" * 100_000, None),
        (404, b'{"born":7}', None),
    ],
)
def test_odd_report_of_a_server_proves_no_start(status, body, start):
    assert PlatformDialect().reported_start(AnswerHead(status, []), body) == start


@given(st.binary())
def test_arbitrary_report_proves_no_start(body):
    assert PlatformDialect().reported_start(AnswerHead(200, []), body) is None
