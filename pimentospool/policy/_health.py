"""Circuit breaker, failure penalty and slow start of one target or region."""

import math
from enum import Enum

FAILURES_TO_OPEN = 3
FIRST_OPEN_SECONDS = 1.0
MAX_OPEN_SECONDS = 30.0
FAILURE_PENALTY_MS = 2000.0
PENALTY_DECAY_SECONDS = 5.0
SLOW_START_SECONDS = 10.0
INITIAL_SHARE = 0.1
NEGLIGIBLE_FAILURE_SCORE = 0.01


class CircuitState(Enum):
    """State of the circuit breaker; ``PROBING`` (half-open) admits one request."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class Health:
    """Health of one target or region, from the outcomes of this entry VM's requests.

    Attributes
    ----------
    unimpaired : bool
        Whether there is no failure to account for and no slow start in progress.
    """

    def __init__(self) -> None:
        self.unimpaired = True
        self._consecutive_failures = 0
        self._consecutive_openings = 0
        self._failure_score = 0.0
        self._failure_score_at = 0.0
        self._open_until = 0.0
        self._probe_in_flight = False
        self._slow_start_at = -math.inf

    def circuit_state(self, now: float) -> CircuitState:
        """Return the state of the circuit breaker."""
        if self._consecutive_failures < FAILURES_TO_OPEN:
            return CircuitState.CLOSED
        if now < self._open_until or self._probe_in_flight:
            return CircuitState.OPEN
        return CircuitState.PROBING

    def record_start(self, now: float) -> None:
        """Record that a request is sent; in the probing state, it is the only one."""
        if self.circuit_state(now) is CircuitState.PROBING:
            self._probe_in_flight = True

    def record_success(self, now: float) -> None:
        """Close the circuit after an answer, with a slow start if it was open."""
        if self._consecutive_failures >= FAILURES_TO_OPEN:
            self._slow_start_at = now
        self._consecutive_failures = 0
        self._consecutive_openings = 0
        self._probe_in_flight = False
        if not self.unimpaired:
            self._update_unimpaired(now)

    def record_inconclusive_end(self) -> None:
        """Record the end of a request that proved neither success nor failure."""
        self._probe_in_flight = False

    def record_failure(self, now: float) -> None:
        """Record a failure; the third in a row opens the circuit."""
        self.unimpaired = False
        self._failure_score = self._decayed_failure_score(now) + 1.0
        self._failure_score_at = now
        self._consecutive_failures += 1
        self._probe_in_flight = False
        if self._consecutive_failures >= FAILURES_TO_OPEN:
            open_seconds = FIRST_OPEN_SECONDS * 2**self._consecutive_openings
            self._consecutive_openings = min(self._consecutive_openings + 1, 8)
            self._open_until = now + min(open_seconds, MAX_OPEN_SECONDS)

    def begin_slow_start(self, now: float) -> None:
        """Begin the slow start of a target that receives requests again."""
        self.unimpaired = False
        self._slow_start_at = now

    def penalty_ms(self, now: float) -> float:
        """Return what recent failures add to the score, in milliseconds."""
        if not self._failure_score:
            return 0.0
        return FAILURE_PENALTY_MS * self._decayed_failure_score(now)

    def capacity_share(self, now: float) -> float:
        """Return the usable share of the capacity; below 1 during the slow start."""
        age = now - self._slow_start_at
        if age >= SLOW_START_SECONDS:
            return 1.0
        return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age / SLOW_START_SECONDS

    def _update_unimpaired(self, now: float) -> None:
        slow_start_over = now - self._slow_start_at >= SLOW_START_SECONDS
        if (
            slow_start_over
            and self._decayed_failure_score(now) < NEGLIGIBLE_FAILURE_SCORE
        ):
            self.unimpaired = True
            self._failure_score = 0.0

    def _decayed_failure_score(self, now: float) -> float:
        return self._failure_score * math.exp(
            (self._failure_score_at - now) / PENALTY_DECAY_SECONDS
        )
