"""Passive health check of one target, by the outcomes of requests sent to it.

This finds slow, failing and silent targets whose own health checks still pass.
"""

from collections.abc import Callable

FIRST_EJECTION_SECONDS = 0.5
"""Ejection after the first failed connection; each further one in a row doubles it."""
MAX_EJECTION_SECONDS = 4.0
"""Longest ejection; after it, the target is tried, as it may be reachable again."""
SMOOTHING_FACTOR = 0.2
"""Weight of the newest observation."""
NORMAL_LATENCY_RATIO = 1.6
"""Latency ratio up to which a target counts as normal. One in ten first events of a
normal target takes 2.8 times the expected time, so single ones say little."""
OBSERVATION_HALF_LIFE_SECONDS = 4.0
"""Age at which an observation has half its weight. The weight falls linearly to zero,
so that a target that was slow is tried again."""
INITIAL_SLOT_HOLD_SECONDS = 2.0
"""Assumed time for which a request holds a slot, before requests have ended."""
MIN_LATENCY_RATIO = 0.4
MAX_LATENCY_RATIO = 20.0


class TargetHealth:
    """Failure rate, latency ratio and ejection of one target.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ejected_until = 0.0
        self._quiet_until = 0.0
        self._consecutive_connect_failures = 0
        self._failure_rate = 0.0
        self._latency_ratio = 1.0
        self.slot_hold_seconds = INITIAL_SLOT_HOLD_SECONDS
        """Mean time for which a request holds a slot."""
        self._observed_at = clock()

    @property
    def ejected(self) -> bool:
        """Whether the target is ejected: it receives no requests for now."""
        return self._clock() < self._ejected_until

    @property
    def quiet_seconds(self) -> float:
        """Time for which the target still wants no requests of this entry VM."""
        return max(0.0, self._quiet_until - self._clock())

    @property
    def last_connect_failed(self) -> bool:
        """Whether the last connection could not be opened, without an answer since."""
        return self._consecutive_connect_failures > 0

    @property
    def failure_rate(self) -> float:
        """Recent share of failed answers, from 0 to 1."""
        return self._failure_rate * self._observation_weight()

    @property
    def latency_ratio(self) -> float:
        """Observed divided by expected time to first byte.

        This is 1 for a target within the normal range, and above it for a slow one.
        """
        latency_ratio = self._recent_latency_ratio()
        return latency_ratio if latency_ratio > NORMAL_LATENCY_RATIO else 1.0

    def record_answer(self, latency_ratio: float) -> None:
        """Record an answer.

        Parameters
        ----------
        latency_ratio : float
            Observed divided by expected time to first byte.
        """
        self._consecutive_connect_failures = 0
        self._observe(
            min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, latency_ratio)), failed=False
        )

    def record_end(self, seconds: float) -> None:
        """Record that a request has released its slot after `seconds`."""
        self.slot_hold_seconds += SMOOTHING_FACTOR * (seconds - self.slot_hold_seconds)

    def record_failure(self) -> None:
        """Record an answer that failed or was cut off."""
        self._observe(self._latency_ratio, failed=True)

    def record_quiet(self, seconds: float) -> None:
        """Record that the target has rejected a request and wants none for `seconds`.

        Of several such times the one that ends last holds.
        """
        self._quiet_until = max(self._quiet_until, self._clock() + seconds)

    def record_connect_failure(self) -> None:
        """Record a connection that could not be opened, and eject the target."""
        ejection_seconds = min(
            MAX_EJECTION_SECONDS,
            FIRST_EJECTION_SECONDS * 2**self._consecutive_connect_failures,
        )
        self._consecutive_connect_failures = min(
            self._consecutive_connect_failures + 1, 8
        )
        self._ejected_until = self._clock() + ejection_seconds

    def _observe(self, latency_ratio: float, *, failed: bool) -> None:
        # The geometric mean makes twice as slow and twice as fast cancel out.
        recent = self._recent_latency_ratio()
        self._latency_ratio = recent * (latency_ratio / recent) ** SMOOTHING_FACTOR
        self._failure_rate = self.failure_rate + SMOOTHING_FACTOR * (
            float(failed) - self.failure_rate
        )
        self._observed_at = self._clock()

    def _recent_latency_ratio(self) -> float:
        return 1.0 + (self._latency_ratio - 1.0) * self._observation_weight()

    def _observation_weight(self) -> float:
        age = self._clock() - self._observed_at
        return max(0.0, 1.0 - age / (2 * OBSERVATION_HALF_LIFE_SECONDS))
