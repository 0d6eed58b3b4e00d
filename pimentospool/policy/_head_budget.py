"""Limit on the memory that the heads of requests hold on all connections together.

A head of many short lines takes up to a hundred times its bytes once it is parsed. No
limit on one request separates such heads from valid ones, so their sum is bounded: what
exceeds the cost of an ordinary head is counted against a share of the memory of
requests and answers. Ordinary heads are part of the memory of their requests and are
never refused for it.
"""

from typing import Protocol

LINE_BYTES = 640
"""Memory of a header line beside its bytes, in the parser and in the request. Measured
with a crowd of 200: 250 bytes for a repeated name of one letter, 510 for distinct
names; values of two and more bytes take 110 more."""
BYTE_FACTOR = 6
"""Memory per byte of a head: it is held as bytes and as text, whose characters take up
to four bytes, and encoded for the target."""
PART_BYTES = 256
"""Memory of a part of a prompt."""
ORDINARY_HEAD_BYTES = 32 * 1024
"""Cost of the heads of one connection that isn't counted: that of 40 lines of 1 KB
together. `REQUEST_BYTES` covers it."""
HEAD_SHARE = 0.3
"""Share of the limit of requests and answers that heads may hold beyond that. A head of
16 KB costs 2.6 MB at most, so that some are served at once on the smallest entry VM."""


def head_cost(*, lines: int, size_bytes: int, parts: int = 0) -> int:
    """Return the memory in bytes that a head takes.

    Parameters
    ----------
    lines : int
        Number of its header lines.
    size_bytes : int
        Its size.
    parts : int
        Number of parts of the prompt that it describes.
    """
    return lines * LINE_BYTES + size_bytes * BYTE_FACTOR + parts * PART_BYTES


class Growing(Protocol):
    """Bytes that are counted in the memory of requests and answers."""

    def grow(self, size_bytes: int) -> bool:
        """Count more bytes; return False, and count nothing, if they don't fit."""

    def shrink(self, size_bytes: int) -> None:
        """Free bytes."""


class HeadBudget:
    """Counts the memory of heads against their share.

    Parameters
    ----------
    limit_bytes : float
        Memory that heads may hold together, beyond that of ordinary ones.
    hold : Growing, optional
        Counts the same bytes with those of requests and answers.

    Attributes
    ----------
    used_bytes : int
        Bytes that they hold now.
    """

    def __init__(self, *, limit_bytes: float, hold: Growing | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._hold = hold

    def grow(self, size_bytes: int) -> bool:
        """Count more bytes; return False, and count nothing, if they don't fit."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        if self._hold is not None and not self._hold.grow(size_bytes):
            return False
        self.used_bytes += size_bytes
        return True

    def shrink(self, size_bytes: int) -> None:
        """Free bytes."""
        self.used_bytes -= size_bytes
        if self._hold is not None:
            self._hold.shrink(size_bytes)

    def begin(self) -> "HeadHold":
        """Return the hold of the heads of a connection."""
        return HeadHold(budget=self)


class HeadHold:
    """Memory of the heads of one connection.

    Parameters
    ----------
    budget : HeadBudget
        Counts the heads of all connections.
    """

    def __init__(self, *, budget: HeadBudget) -> None:
        self._budget = budget
        self._size_bytes = 0

    def resize(self, cost_bytes: int) -> bool:
        """Hold heads of a cost; return False, and change nothing, if they don't fit."""
        size_bytes = max(0, cost_bytes - ORDINARY_HEAD_BYTES)
        if size_bytes > self._size_bytes:
            if not self._budget.grow(size_bytes - self._size_bytes):
                return False
        elif size_bytes < self._size_bytes:
            self._budget.shrink(self._size_bytes - size_bytes)
        self._size_bytes = size_bytes
        return True
