"""Load that a target may get after its start or recovery, found by its answers.

A target that has just started reads its weights and fills its caches, and one that was
unreachable may come back slow. How long that takes, and what it can bear meanwhile,
differs by deployment, and the target doesn't say. So it begins with few requests, and
each answer that is as fast as those of warm targets at their load lets it have more.
"""

from collections.abc import Callable

INITIAL_LIMIT = 4.0
"""Requests in progress at first. One would make the rise wait for a single answer."""
MIN_LIMIT = 1.0
TIMELY_RATIO = 4.0
"""Time to the first byte up to which an answer is timely, as a multiple of that of the
service's targets at the same load. One in ten of a normal target takes 2.8 times as
long, and some targets are half as fast as others for good. With 1.6 an engine that took
20 s to become as fast as the others served a third fewer streams."""
SLOW_RATIO = 8.0
"""The same above which it is slow."""
RAISE_PER_ANSWER = 2.0
"""Rise with each timely answer, which triples the limit in the time of one answer."""
SLOW_FACTOR = 0.7
FAILURE_FACTOR = 0.5
"""Factors on the limit with a slow answer, and with an error or a rejection."""
USED_SHARE = 0.5
"""Share of the limit that has to be in use for an answer to raise it; at a lower load
it doesn't show what the target can bear."""
FOLLOW_SECONDS = 1.0
"""Time for which other entry VMs have to run more requests at a target than the limit
before it follows them: they have seen answers that this one has not."""
MAX_SECONDS = 60.0
"""Time after the start or the last lowering at which the warm-up is over. A target that
got few requests in all of it is as well known as the others."""
LOWERED_SECONDS = 1.0
"""Time after a lowering in which another one does nothing. The requests that one slow
phase delays tell of the same."""


class WarmUp:
    """Limit on the requests in progress at one start of a target.

    The requests of all entry VMs count, as far as this one knows them.

    Parameters
    ----------
    slots : int
        Requests that the target runs at a time; at this limit the warm-up is over.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, slots: int, clock: Callable[[], float]) -> None:
        self._slots = slots
        self._clock = clock
        self._lowered_at = float("-inf")
        self._trusted_at = clock() + MAX_SECONDS
        self.active = True
        """Whether the target is still cold, or its last connection failed."""
        self._above_since: float | None = None
        self._least_above = 0
        self.limit = INITIAL_LIMIT
        """Requests in progress that the target may have."""

    @property
    def over(self) -> bool:
        """Whether the target may get as many requests as any other."""
        return self.limit >= self._slots or self._clock() >= self._trusted_at

    @property
    def share(self) -> float:
        """Share of the warm-up that is done, from 0 to 1."""
        if self.over:
            return 1.0
        rise = max(self._slots - INITIAL_LIMIT, 1.0)
        return min(1.0, max(0.0, (self.limit - INITIAL_LIMIT) / rise))

    def allows(self, running: int) -> bool:
        """Return whether the target may get another request.

        Parameters
        ----------
        running : int
            Requests in progress there, of all entry VMs.
        """
        if self.over:
            return True
        self._follow(running)
        return running < int(self.limit)

    def record_answer(self, ratio: float, *, running: int) -> None:
        """Record the first byte of an answer.

        Parameters
        ----------
        ratio : float
            Its time, divided by that which warm targets need at the same load.
        running : int
            Requests that were in progress as it was sent, itself included.
        """
        if ratio > SLOW_RATIO:
            self._lower(SLOW_FACTOR)
        elif ratio <= TIMELY_RATIO and running >= self.limit * USED_SHARE:
            self.limit = min(self.limit + RAISE_PER_ANSWER, float(self._slots))

    def record_failure(self) -> None:
        """Record an error, a rejection or a broken answer."""
        self._lower(FAILURE_FACTOR)

    def _lower(self, factor: float) -> None:
        now = self._clock()
        if now - self._lowered_at >= LOWERED_SECONDS:
            self._lowered_at = now
            self._trusted_at = now + MAX_SECONDS
            self.limit = max(MIN_LIMIT, self.limit * factor)
        self._above_since = None

    def _follow(self, running: int) -> None:
        now = self._clock()
        if running <= self.limit:
            self._above_since = None
            return
        if self._above_since is None:
            self._above_since, self._least_above = now, running
        self._least_above = min(self._least_above, running)
        if now - self._above_since >= FOLLOW_SECONDS:
            self.limit = float(min(self._least_above, self._slots))
            self._above_since = None
