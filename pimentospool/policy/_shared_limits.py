"""This entry VM's share of limits that hold for all entry VMs together.

Entry VMs apply their shares without coordination. Each share is a part of the limit
divided by the number of recently known entry VMs, those that are gone included, so the
sum of the shares stays within the limit while the member list is partitioned or stale.
Entry VMs that start during a partition know only the members on their side; to allow
for them, a part of the limit is left unused.
"""

import hashlib
from collections import deque
from collections.abc import Callable, Iterable

from pimentospool.ids import EntryId, TargetId

RATIO_SAFETY_FACTOR = 0.75
"""Part of the allowed ratio that is used, as the limit holds in any sliding window."""
COMPLETE_VIEW_SHARE = 0.5
"""Part of the reserve that entry VMs share which have known all regions. Others that
have not take at most three quarters of it in place of these, in three regions."""
MIN_MEMBER_COUNT = 8
"""Minimum number of entry VMs by which the reserve is divided, as a process that has
just started may not know the others yet."""
COLD_RATE_SAFETY_FACTOR = 0.5
"""Part of a cold target's allowed rate that is used, as a process that has just started
may not know the other entry VMs yet."""
STARTUP_DELAY_SECONDS = 2.0
"""Time after its start in which a process sends no requests to cold targets, as it may
not know the other entry VMs yet; it spans several rounds of heartbeats."""
MIN_COLD_INTERVAL_SECONDS = 1.2
"""Minimum time between two requests of one entry VM to a cold target; longer than the
second over which the limit is counted."""


class SharedRetryBudget:
    """Retries of one service: a share of its requests, and a reserve beyond it.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request, over all entry VMs.
    reserve : float
        Retries allowed beyond that in one window, over all entry VMs.
    regions : int
        Regions of the deployment, which may have started partitioned from each other.
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
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        # At the start, all regions may be partitioned from each other, and a single
        # entry VM from all of them.
        self._partial_view_reserve = reserve / (regions + 1)
        self._reserve = reserve * COMPLETE_VIEW_SHARE
        self._window_seconds = window_seconds
        self._clock = clock
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._request_times.append(self._clock())

    def acquire(self, members: int, *, complete: bool = False) -> bool:
        """Return whether a retry is allowed, and record it if so; see `covers`."""
        if not self.covers(members, complete=complete):
            return False
        self._retry_times.append(self._clock())
        return True

    def covers(self, members: int, *, complete: bool = False) -> bool:
        """Return whether a retry is allowed.

        Parameters
        ----------
        members : int
            Number of entry VMs that share the limit, as far as this one knows.
        complete : bool
            Whether this entry VM has known some of all regions since its start. Its
            count then includes those that a partition hides.
        """
        self._drop_old(self._clock())
        if complete:
            share = self._reserve / members
        else:
            share = self._partial_view_reserve / max(members, MIN_MEMBER_COUNT)
        allowed = self._ratio * len(self._request_times) + share
        return len(self._retry_times) + 1 <= allowed

    def _drop_old(self, now: float) -> None:
        oldest = now - self._window_seconds
        for times in (self._request_times, self._retry_times):
            while times and times[0] < oldest:
                times.popleft()


class ColdStartLimiter:
    """Limits the requests that this entry VM sends to targets in their cold start.

    Only as many of a region's entry VMs send to one cold target as its rate allows.
    They are chosen by rendezvous hashing, so all entry VMs agree on them. Those that
    are not heard keep their places: they may be cut off, frozen, or of an earlier
    build, and send in their places. Others in these places would be senders beyond
    those whose delayed requests the limit allows for.

    Parameters
    ----------
    entry : EntryId
        Id of this entry VM.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, entry: EntryId, clock: Callable[[], float]) -> None:
        self._entry = entry
        self._clock = clock
        self._ready_at = clock() + STARTUP_DELAY_SECONDS
        self._last_sent_at: dict[TargetId, float] = {}
        """When requests were last allowed or sent."""
        self._confirmed_at: dict[TargetId, float] = {}
        """When requests and checks were last sent."""

    def acquire(
        self,
        target: TargetId,
        *,
        limit_per_second: float,
        members: Iterable[EntryId],
    ) -> bool:
        """Return whether the cold `target` may get a request, and record it if so.

        Parameters
        ----------
        target : TargetId
            The target.
        limit_per_second : float
            Requests in a second that it may get from all entry VMs.
        members : iterable of EntryId
            Entry VMs of the region that this one has known, itself included.
        """
        now = self._clock()
        self._drop_old(now)
        if now < self._ready_at or target in self._last_sent_at:
            return False
        sender_count = int(limit_per_second * COLD_RATE_SAFETY_FACTOR)
        ranked = sorted(members, key=lambda entry: _rendezvous_weight(target, entry))
        if self._entry not in ranked[:sender_count]:
            return False
        self._last_sent_at[target] = now
        return True

    def confirm(self, target: TargetId) -> bool:
        """Return whether an allowed request may be sent now, and record it if so.

        It may have waited for a connection, and another one for the same.
        """
        now = self._clock()
        self._drop_old(now)
        if target in self._confirmed_at:
            return False
        self._last_sent_at[target] = self._confirmed_at[target] = now
        return True

    def record(self, target: TargetId) -> None:
        """Record a health check or another question to `target`.

        The target may be cold, and counts it as a request.
        """
        now = self._clock()
        self._last_sent_at[target] = self._confirmed_at[target] = now

    def _drop_old(self, now: float) -> None:
        for times in (self._last_sent_at, self._confirmed_at):
            for target, sent_at in list(times.items()):
                if now - sent_at >= MIN_COLD_INTERVAL_SECONDS:
                    del times[target]


def responsible_entry(target: TargetId, members: Iterable[EntryId]) -> EntryId | None:
    """Return the entry VM that is responsible for `target`, None without members.

    It is chosen by rendezvous hashing, so all entry VMs with the same list agree on it.
    """
    return min(
        members, key=lambda entry: _rendezvous_weight(target, entry), default=None
    )


def _rendezvous_weight(target: TargetId, entry: EntryId) -> bytes:
    return hashlib.blake2b(f"{target}/{entry}".encode(), digest_size=8).digest()
