"""This entry VM's share of bounds that hold for all entry VMs together.

Shares are safe alone: each is a part of the bound divided by the number of entry VMs
that were known lately, gone ones included, so that the sum stays inside the bound
while the member list is split or stale. Entry VMs that start while they are cut off
know only their own side; for them a part of the bound is left unused.
"""

import hashlib
from collections import deque
from collections.abc import Callable, Iterable

from pimentospool.ids import EntryId, TargetId

RATIO_USED = 0.75
"""Part of the allowed ratio that is used; windows of the bound slide."""
LEAST_MEMBERS = 8
"""Number of entry VMs that the reserve is divided by at least; a process that has
just started may not know the others yet."""
COLD_USED = 0.5
"""Part of a cold target's rate that is used, for the same reason."""
SETTLE_SECONDS = 2.0
"""Time after its start in which a process sends nothing to cold targets, as it may not
know the other entry VMs yet; several rounds of heartbeats."""
COLD_INTERVAL_SECONDS = 1.2
"""Least time between two requests of one entry VM to a cold target; above the
second over which the bound is counted."""


class RepeatBudget:
    """Repeated sends of one service, as a share of its requests and a reserve.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request, over all entry VMs.
    reserve : float
        Repeats allowed beyond that in one window, over all entry VMs.
    regions : int
        Regions that may have started apart from each other.
    window_seconds : float
        Length of the sliding window.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        ratio: float,
        reserve: float,
        regions: int,
        window_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self._ratio = ratio * RATIO_USED
        # All regions may be apart at the start, and a single VM beside them.
        self._reserve = reserve / (regions + 1)
        self._window_seconds = window_seconds
        self._clock = clock
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def request_sent(self) -> None:
        """Count the first send of a request."""
        self._requests.append(self._clock())

    def take(self, members: int) -> bool:
        """Count a repeat if the share of one of `members` entry VMs allows it."""
        now = self._clock()
        self._drop_old(now)
        share = self._reserve / max(members, LEAST_MEMBERS)
        if len(self._repeats) + 1 > self._ratio * len(self._requests) + share:
            return False
        self._repeats.append(now)
        return True

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_seconds
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()


class ColdShares:
    """Which requests this entry VM may send to cold targets.

    Of a region's entry VMs, only as many send to one cold target as its rate
    allows; the order is that of rendezvous hashing, the same everywhere.

    Parameters
    ----------
    own : EntryId
        This entry VM.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, own: EntryId, clock: Callable[[], float]) -> None:
        self._own = own
        self._clock = clock
        self._settled_at = clock() + SETTLE_SECONDS
        self._last: dict[TargetId, float] = {}

    def take(
        self, target: TargetId, *, bound_per_second: float, members: Iterable[EntryId]
    ) -> bool:
        """Count a request to the cold `target` if it is allowed."""
        now = self._clock()
        self._drop_old(now)
        if now < self._settled_at or target in self._last:
            return False
        senders = int(bound_per_second * COLD_USED)
        ranked = sorted(members, key=lambda entry: _weight(target, entry))
        if self._own not in ranked[:senders]:
            return False
        self._last[target] = now
        return True

    def _drop_old(self, now: float) -> None:
        for target, sent_at in list(self._last.items()):
            if now - sent_at >= COLD_INTERVAL_SECONDS:
                del self._last[target]


def first_sender(target: TargetId, members: Iterable[EntryId]) -> EntryId | None:
    """Return the entry VM that all agree on to act for `target`, if there is one."""
    return min(members, key=lambda entry: _weight(target, entry), default=None)


def _weight(target: TargetId, entry: EntryId) -> bytes:
    return hashlib.blake2b(f"{target}/{entry}".encode(), digest_size=8).digest()
