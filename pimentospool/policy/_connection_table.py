"""Which connections of a listener go on once it has as many as it may have.

A new connection takes the place of one that serves no request: first of one that has
not sent a whole request yet, as callers send theirs at once, then of the one that was
idle for longest. A connection with a request in progress goes on, unless its caller
neither sends the body nor takes the answer. All of these end together: single places
would be taken by the next ones of a crowd. If there is none, the new connection is
closed unread.
"""

from collections.abc import Callable, Hashable
from enum import Enum
from typing import Generic, TypeVar

C = TypeVar("C", bound=Hashable)

SCAN_INTERVAL_SECONDS = 0.25
"""Least time between two searches of all requests in progress."""


class Admission(Enum):
    """What becomes of a new connection."""

    FREE = "there is room"
    REPLACED = "another one ends for it"
    REFUSED = "it is closed"


class ConnectionTable(Generic[C]):
    """Connections that a listener has accepted, by what they do.

    Parameters
    ----------
    limit : int
        Limit on the connections.
    has_stalled : callable
        Returns whether the caller of a request in progress holds it up.
    """

    def __init__(self, *, limit: int, has_stalled: Callable[[C], bool]) -> None:
        self.limit = limit
        self._has_stalled = has_stalled
        self._unheard: dict[C, None] = {}
        """Those without a whole request so far, the oldest first."""
        self._idle: dict[C, None] = {}
        """Those that are kept after a request, the longest idle first."""
        self._busy: dict[C, None] = {}
        """Those with a request in progress."""
        self._scanned_at = float("-inf")

    def __len__(self) -> int:
        return len(self._unheard) + len(self._idle) + len(self._busy)

    def admit(self, conn: C, *, now: float) -> tuple[Admission, list[C]]:
        """Decide on a new connection; return also those that have to end for it."""
        victims: list[C] = []
        admission = Admission.FREE
        if len(self) >= self.limit:
            victims = self._find_victims(now)
            if not victims:
                return Admission.REFUSED, []
            admission = Admission.REPLACED
        for victim in victims:
            self.remove(victim)
        self._unheard[conn] = None
        return admission, victims

    def begin_request(self, conn: C) -> None:
        """Record that a whole request has arrived on a connection."""
        if conn in self:
            self.remove(conn)
            self._busy[conn] = None

    def end_request(self, conn: C) -> None:
        """Record that a connection has no request in progress any more."""
        if conn in self._busy:
            del self._busy[conn]
            self._idle[conn] = None

    def remove(self, conn: C) -> None:
        """Forget a connection that has ended."""
        for group in (self._unheard, self._idle, self._busy):
            group.pop(conn, None)

    def __contains__(self, conn: C) -> bool:
        return conn in self._unheard or conn in self._idle or conn in self._busy

    def _find_victims(self, now: float) -> list[C]:
        for group in (self._unheard, self._idle):
            if group:
                return [next(iter(group))]
        if now - self._scanned_at < SCAN_INTERVAL_SECONDS:
            return []
        self._scanned_at = now
        return [conn for conn in self._busy if self._has_stalled(conn)]
