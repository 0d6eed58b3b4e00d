"""A node never returns to an older revision: exhaustive exploration of the model.

Faulty revision books show that the exploration detects violations.
"""

import pytest

from pimentospool.modelcheck import RevisionsCase, RevisionsModel, explore
from pimentospool.policy import RevisionBook

SMALL_CASE = RevisionsCase(messages=1)


class TakesAnything(RevisionBook):
    """Accepts any revision, older ones included."""

    def wants(self, head):
        return True

    def accept(self, head):
        self.active = head
        return True


class IgnoresDigests(RevisionBook):
    """Keeps the first of two revisions with the same number."""

    def wants(self, head):
        return head.number > self.active.number


class ForgetsRefusals(RevisionBook):
    """Activates a refused revision."""

    def refuse(self, head, faults):
        self.active = head


def test_exhaustive_exploration_finds_no_violation():
    result = explore(RevisionsModel(case=SMALL_CASE), depth=60)
    assert result.complete
    assert result.violations == []
    assert result.states > 1_000


@pytest.mark.parametrize("book", [TakesAnything, IgnoresDigests, ForgetsRefusals])
def test_exploration_detects_faulty_book(book):
    assert explore(RevisionsModel(case=SMALL_CASE, make_book=book), depth=10).violations


def test_exploration_detects_restarted_node_that_asks_no_peer():
    model = RevisionsModel(case=SMALL_CASE, asks_peers=False)
    assert explore(model, depth=10).violations
