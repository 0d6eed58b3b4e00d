"""Health of one target, judged by its own answers.

Answers the load of slow, failing and silent targets whose health checks are good.
"""

from collections.abc import Callable

EJECT_SECONDS = 0.5
"""Time without new requests after the first failed connection; it doubles."""
MAX_EJECT_SECONDS = 4.0
"""Longest time without new requests; a returned target is then found."""
SMOOTHING = 0.2
"""Weight of the newest observation."""
STEADY_PACE = 1.6
"""Pace up to which a target counts as an ordinary one. One in ten first events of an
ordinary target takes 2.8 times what was expected, so that single ones say little."""
RELAX_SECONDS = 4.0
"""Time in which an old observation loses most of its weight, so that a target that
was slow is tried again."""
INITIAL_TURN_SECONDS = 2.0
"""Time for which a generation holds its slot, until some have ended."""
MIN_PACE = 0.4
MAX_PACE = 20.0


class TargetHealth:
    """Failures and pace of one target.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ejected_until = 0.0
        self._failures_in_row = 0
        self._failing = 0.0
        self._pace = 1.0
        self.turn_seconds = INITIAL_TURN_SECONDS
        """Mean time for which a request held its slot."""
        self._observed_at = clock()

    @property
    def ejected(self) -> bool:
        """Whether the target gets no requests for now."""
        return self._clock() < self._ejected_until

    @property
    def doubtful(self) -> bool:
        """Whether the last connection could not be opened and none was since."""
        return self._failures_in_row > 0

    @property
    def failing(self) -> float:
        """Share of failed answers, from 0 to 1."""
        return self._failing * self._weight()

    @property
    def pace(self) -> float:
        """Observed against expected time to the first byte; above 1 is slow."""
        pace = self._recent_pace()
        return pace if pace > STEADY_PACE else 1.0

    def answered(self, pace: float) -> None:
        """Record a good answer that took `pace` times what was expected."""
        self._failures_in_row = 0
        self._observe(min(MAX_PACE, max(MIN_PACE, pace)), failed=False)

    def ended(self, seconds: float) -> None:
        """Record that a request has left its slot after `seconds`."""
        self.turn_seconds += SMOOTHING * (seconds - self.turn_seconds)

    def failed(self) -> None:
        """Record an answer that failed or broke off."""
        self._observe(self._pace, failed=True)

    def unreachable(self) -> None:
        """Record a connection that could not be opened."""
        duration = min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2**self._failures_in_row)
        self._failures_in_row = min(self._failures_in_row + 1, 8)
        self._ejected_until = self._clock() + duration

    def _observe(self, pace: float, *, failed: bool) -> None:
        # A mean of ratios: twice as slow and twice as fast cancel out.
        known = self._recent_pace()
        self._pace = known * (pace / known) ** SMOOTHING
        self._failing = self.failing + SMOOTHING * (float(failed) - self.failing)
        self._observed_at = self._clock()

    def _recent_pace(self) -> float:
        return 1.0 + (self._pace - 1.0) * self._weight()

    def _weight(self) -> float:
        age = self._clock() - self._observed_at
        return max(0.0, 1.0 - age / (2 * RELAX_SECONDS))
