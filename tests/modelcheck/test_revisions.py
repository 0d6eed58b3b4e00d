"""The never-back rule, explored exhaustively and shown able to fail."""

import pytest

from pimentospool.modelcheck import RevisionsCase, RevisionsModel, explore
from pimentospool.policy import RevisionBook

SMALL = RevisionsCase(messages=1)


class TakesAnything(RevisionBook):
    """Adopts whatever the platform shows."""

    def wants(self, head):
        return True

    def accept(self, head):
        self.active = head
        return True


class IgnoresDigests(RevisionBook):
    """Keeps the first of two revisions with one number."""

    def wants(self, head):
        return head.number > self.active.number


class ForgetsRefusals(RevisionBook):
    """Puts a refused revision in force."""

    def refuse(self, head, faults):
        self.active = head


def test_whole_case_without_a_violation():
    found = explore(RevisionsModel(case=SMALL), depth=60)
    assert found.complete
    assert found.violations == []
    assert found.states > 1_000


@pytest.mark.parametrize("book", [TakesAnything, IgnoresDigests, ForgetsRefusals])
def test_exploration_finds_a_broken_book(book):
    assert explore(RevisionsModel(case=SMALL, make_book=book), depth=10).violations


def test_exploration_finds_a_fresh_node_that_asks_no_peer():
    model = RevisionsModel(case=SMALL, asks_peers=False)
    assert explore(model, depth=10).violations
