"""Bounded queue of long requests that wait for a target, by deadline."""

import heapq
import math
from itertools import count

import msgspec

DRAIN_SECONDS = 5.0
RETRY_MARGIN_SECONDS = 1.0


class Ticket(msgspec.Struct, order=True, frozen=True):
    """Place in the queue; the earliest deadline is first."""

    deadline: float
    number: int


class QueueRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """Why a request may not wait, and when to ask again."""

    detail: str
    retry_after_seconds: float


class WaitQueue:
    """Requests that wait for room at a target, the earliest deadline first.

    Parameters
    ----------
    length : int
        Requests that may wait at once.
    """

    def __init__(self, *, length: int) -> None:
        self.length = length
        self._heap: list[Ticket] = []
        self._waiting: set[Ticket] = set()
        self._numbers = count()
        self._drain_rate = 0.0
        self._drained_at = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(
        self, *, deadline: float, work_seconds: float, now: float
    ) -> Ticket | QueueRefusal:
        """Return a place, or a refusal where waiting would be in vain.

        Parameters
        ----------
        deadline : float
            When the answer must be whole, in seconds.
        work_seconds : float
            Time that the request needs once it has its turn.
        now : float
            Time in seconds.
        """
        wait = self.expected_wait(deadline, now)
        if len(self._waiting) >= self.length:
            return QueueRefusal(
                detail="the queue of long requests is full",
                retry_after_seconds=max(RETRY_MARGIN_SECONDS, wait),
            )
        late = now + wait + work_seconds - deadline
        if late > 0.0:
            return QueueRefusal(
                detail="the wait would pass the deadline",
                retry_after_seconds=max(RETRY_MARGIN_SECONDS, late),
            )
        ticket = Ticket(deadline, next(self._numbers))
        heapq.heappush(self._heap, ticket)
        self._waiting.add(ticket)
        return ticket

    def pop(self) -> Ticket | None:
        """Take out the ticket with the earliest deadline."""
        while self._heap:
            ticket = heapq.heappop(self._heap)
            if ticket in self._waiting:
                self._waiting.discard(ticket)
                return ticket
        return None

    def cancel(self, ticket: Ticket) -> None:
        """Take out a ticket whose request no longer waits."""
        self._waiting.discard(ticket)

    def served(self, now: float) -> None:
        """Count a ticket that found its target, for the drain rate."""
        decay = math.exp((self._drained_at - now) / DRAIN_SECONDS)
        self._drain_rate = self._drain_rate * decay + 1.0 / DRAIN_SECONDS
        self._drained_at = now

    def expected_wait(self, deadline: float, now: float) -> float:
        """Return the expected time until a ticket with `deadline` has its turn.

        Without recent drain there is nothing to go by, and it is 0.
        """
        decay = math.exp((self._drained_at - now) / DRAIN_SECONDS)
        rate = self._drain_rate * decay
        if rate * DRAIN_SECONDS < 1.0:
            return 0.0
        ahead = sum(ticket.deadline <= deadline for ticket in self._waiting)
        return ahead / rate
