"""The active revision never goes back, whatever revisions arrive in which order."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool._generated.peers import RevisionHead
from pimentospool.policy import RevisionBook, _revisions, is_newer

heads = st.builds(RevisionHead, number=st.integers(1, 6), digest=st.sampled_from("abc"))


def is_valid(head):
    """Stand in for validation, which has the same result on every node."""
    return (head.number + ord(head.digest)) % 3 != 0


def receive(book, head):
    if book.wants(head):
        if is_valid(head):
            book.accept(head)
        else:
            book.refuse(head, ["models[0].id: wrong"])


def check_nodes_agree(received, order):
    """Assert that nodes agree after receiving the same revisions in any order."""
    first, second = RevisionBook(), RevisionBook()
    for head in received:
        receive(first, head)
    for head in order:
        before = second.active
        receive(second, head)
        assert not is_newer(before, second.active)
    assert first.active == second.active
    valid = [(head.number, head.digest) for head in received if is_valid(head)]
    expected = max(valid, default=(0, ""))
    assert (first.active.number, first.active.digest) == expected


@given(
    st.lists(heads, max_size=12).flatmap(
        lambda received: st.tuples(
            st.just(received), st.permutations(received + received[:3])
        )
    )
)
@settings(max_examples=400, derandomize=True, deadline=None)
def test_active_revision_is_the_highest_accepted_one(case):
    check_nodes_agree(*case)


def test_agreement_check_fails_when_digests_are_ignored(monkeypatch):
    monkeypatch.setattr(_revisions, "is_newer", lambda a, b: a.number > b.number)
    received = [RevisionHead(number=1, digest="c"), RevisionHead(number=1, digest="a")]
    with pytest.raises(AssertionError):
        check_nodes_agree(received, received[::-1])


def test_agreement_check_fails_when_a_lower_revision_is_accepted(monkeypatch):
    monkeypatch.setattr(_revisions, "is_newer", lambda a, b: True)
    received = [RevisionHead(number=6, digest="a"), RevisionHead(number=1, digest="a")]
    with pytest.raises(AssertionError):
        check_nodes_agree(received, received)


def test_refused_revision_is_not_wanted_again():
    book = RevisionBook()
    head = RevisionHead(number=2, digest="a")
    book.refuse(head, ["targets[0].zone: 'x' is not declared"])
    assert not book.wants(head)
    assert book.wants(RevisionHead(number=2, digest="b"))
    assert book.refused[0].faults


def test_conflict_is_one_number_with_two_digests():
    book = RevisionBook()
    book.accept(RevisionHead(number=2, digest="a"))
    assert book.conflicts(RevisionHead(number=2, digest="b"))
    assert not book.conflicts(RevisionHead(number=2, digest="a"))
    assert not book.conflicts(RevisionHead(number=3, digest="b"))
