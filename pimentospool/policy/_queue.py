"""Bounded queue of long requests that wait for a target, ordered by deadline."""

import heapq
import math
from itertools import count

import msgspec

DRAIN_RATE_WINDOW_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 1.0


class QueueTicket(msgspec.Struct, order=True, frozen=True):
    """Position of a request in the queue, ordered by deadline, then by arrival."""

    deadline: float
    number: int


class QueueRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """Why a request may not wait, and when to retry it."""

    detail: str
    retry_after_seconds: float


class WaitQueue:
    """Requests that wait for capacity at a target, the earliest deadline first.

    Parameters
    ----------
    capacity : int
        Requests that may wait at once.
    """

    def __init__(self, *, capacity: int) -> None:
        self.capacity = capacity
        self._heap: list[QueueTicket] = []
        self._waiting: set[QueueTicket] = set()
        self._numbers = count()
        self._drain_rate_per_second = 0.0
        self._drained_at = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(
        self, *, deadline: float, work_seconds: float, now: float
    ) -> QueueTicket | QueueRefusal:
        """Queue a request, or refuse it if it could not be served before its deadline.

        Parameters
        ----------
        deadline : float
            Time in seconds by which the answer must be complete.
        work_seconds : float
            Time that the request needs after it leaves the queue.
        now : float
            Current time in seconds.

        Returns
        -------
        QueueTicket or QueueRefusal
            The request's position, or why it may not wait.
        """
        wait_seconds = self.expected_wait_seconds(deadline, now)
        if len(self._waiting) >= self.capacity:
            return QueueRefusal(
                detail="the queue of long requests is full",
                retry_after_seconds=max(MIN_RETRY_AFTER_SECONDS, wait_seconds),
            )
        overrun_seconds = now + wait_seconds + work_seconds - deadline
        if overrun_seconds > 0.0:
            return QueueRefusal(
                detail="the wait would pass the deadline",
                retry_after_seconds=max(MIN_RETRY_AFTER_SECONDS, overrun_seconds),
            )
        ticket = QueueTicket(deadline, next(self._numbers))
        heapq.heappush(self._heap, ticket)
        self._waiting.add(ticket)
        return ticket

    def pop(self) -> QueueTicket | None:
        """Remove and return the ticket with the earliest deadline, if any waits."""
        while self._heap:
            ticket = heapq.heappop(self._heap)
            if ticket in self._waiting:
                self._waiting.discard(ticket)
                return ticket
        return None

    def cancel(self, ticket: QueueTicket) -> None:
        """Remove the ticket of a request that no longer waits."""
        self._waiting.discard(ticket)

    def record_served(self, now: float) -> None:
        """Count a request that left the queue for a target, for the drain rate."""
        decay = math.exp((self._drained_at - now) / DRAIN_RATE_WINDOW_SECONDS)
        self._drain_rate_per_second = (
            self._drain_rate_per_second * decay + 1.0 / DRAIN_RATE_WINDOW_SECONDS
        )
        self._drained_at = now

    def expected_wait_seconds(self, deadline: float, now: float) -> float:
        """Return the expected time in the queue of a request with `deadline`.

        It is 0 without recent departures, as there is no rate to estimate it from.
        """
        decay = math.exp((self._drained_at - now) / DRAIN_RATE_WINDOW_SECONDS)
        rate = self._drain_rate_per_second * decay
        if rate * DRAIN_RATE_WINDOW_SECONDS < 1.0:
            return 0.0
        ahead = sum(ticket.deadline <= deadline for ticket in self._waiting)
        return ahead / rate
