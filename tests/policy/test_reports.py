"""Merging, publishing and exchanging reports."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool._generated.peers import Report
from pimentospool.ids import EntryId
from pimentospool.policy import ReportBook, _reports, newer_report

reports = st.builds(
    Report,
    key=st.sampled_from(["a", "b"]),
    number=st.integers(1, 4),
    producer=st.sampled_from(["e1", "e2"]),
    data=st.sampled_from([b"x", b"y"]),
)


def check_books_agree(received, order):
    first, second = ReportBook(), ReportBook()
    for report in received:
        first.merge(report, now=0.0)
    for report in order:
        before = second.numbers()
        second.merge(report, now=0.0)
        after = second.numbers()
        assert all(after[key] >= number for key, number in before.items())
    for key in ("a", "b"):
        assert first.get(key) == second.get(key)


@given(
    st.lists(reports, max_size=12).flatmap(
        lambda received: st.tuples(
            st.just(received), st.permutations(received + received[:3])
        )
    )
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_books_agree_in_any_order_of_reports(case):
    check_books_agree(*case)


def test_agreement_check_fails_when_the_last_report_wins(monkeypatch):
    monkeypatch.setattr(_reports, "newer_report", lambda a, b: b)
    received = [
        Report(key="a", number=number, producer=EntryId("e"), data=b"")
        for number in (2, 1)
    ]
    with pytest.raises(AssertionError):
        check_books_agree(received, received[::-1])


@given(a=reports, b=reports, c=reports)
@settings(max_examples=200, derandomize=True, deadline=None)
def test_newer_report_is_commutative_and_associative(a, b, c):
    b.key = c.key = a.key
    assert newer_report(a, b) == newer_report(b, a)
    left = newer_report(newer_report(a, b), c)
    assert left == newer_report(a, newer_report(b, c))


def test_published_number_exceeds_the_highest_known_one():
    book = ReportBook()
    known = Report(key="a", number=50, producer=EntryId("e2"), data=b"old")
    book.merge(known, now=0.0)
    published = book.publish("a", b"new", producer=EntryId("e1"), number=7, now=1.0)
    assert published.number == 51
    assert book.get("a").data == b"new"
    assert book.age("a", now=3.0) == 2.0


def test_comparing_numbers_yields_what_each_side_lacks():
    book = ReportBook()
    for key, number in (("a", 1), ("b", 5)):
        report = Report(key=key, number=number, producer=EntryId("e"), data=b"")
        book.merge(report, now=0.0)
    numbers = {"a": 2, "c": 1}
    assert [report.key for report in book.missing_from(numbers)] == ["b"]
    assert book.wanted_from(numbers) == ["a", "c"]
