"""Avoidance of failing targets, and the slow start of returning ones."""

import math
from enum import Enum

FAILURES_TO_OPEN = 3
FIRST_OPEN_SECONDS = 1.0
LONGEST_OPEN_SECONDS = 30.0
PENALTY_MS = 2000.0
PENALTY_DECAY_SECONDS = 5.0
RAMP_SECONDS = 10.0
RAMP_START = 0.1
NEGLIGIBLE_SCORE = 0.01


class Circuit(Enum):
    """State of the circuit breaker of a target or region."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class Health:
    """Recent failures of one target or region as seen from here.

    Attributes
    ----------
    quiet : bool
        Whether nothing at all is held against it.
    """

    def __init__(self) -> None:
        self.quiet = True
        self._failures = 0
        self._openings = 0
        self._score = 0.0
        self._scored_at = 0.0
        self._open_until = 0.0
        self._probing = False
        self._ramp_from = -math.inf

    def circuit(self, now: float) -> Circuit:
        """Return the state of the circuit breaker."""
        if self._failures < FAILURES_TO_OPEN:
            return Circuit.CLOSED
        if now < self._open_until or self._probing:
            return Circuit.OPEN
        return Circuit.PROBING

    def started(self, now: float) -> None:
        """Count a request; in the probing state it is the only one."""
        if self.circuit(now) is Circuit.PROBING:
            self._probing = True

    def succeeded(self, now: float) -> None:
        """Close the circuit after an answer; a target that was open ramps up."""
        if self._failures >= FAILURES_TO_OPEN:
            self._ramp_from = now
        self._failures = 0
        self._openings = 0
        self._probing = False
        if not self.quiet:
            self._settle(now)

    def ended(self) -> None:
        """Count a request that showed neither health nor failure."""
        self._probing = False

    def failed(self, now: float) -> None:
        """Count a failure; the third in a row opens the circuit."""
        self.quiet = False
        self._score = self._decayed_score(now) + 1.0
        self._scored_at = now
        self._failures += 1
        self._probing = False
        if self._failures >= FAILURES_TO_OPEN:
            length = FIRST_OPEN_SECONDS * 2**self._openings
            self._openings = min(self._openings + 1, 8)
            self._open_until = now + min(length, LONGEST_OPEN_SECONDS)

    def returned(self, now: float) -> None:
        """Begin the slow start of a target that was away."""
        self.quiet = False
        self._ramp_from = now

    def penalty_ms(self, now: float) -> float:
        """Return the price of recent failures in milliseconds."""
        if not self._score:
            return 0.0
        return PENALTY_MS * self._decayed_score(now)

    def ramp(self, now: float) -> float:
        """Return the share of its capacity that it may be given, up to 1."""
        age = now - self._ramp_from
        if age >= RAMP_SECONDS:
            return 1.0
        return RAMP_START + (1.0 - RAMP_START) * age / RAMP_SECONDS

    def _settle(self, now: float) -> None:
        ramped = now - self._ramp_from >= RAMP_SECONDS
        if ramped and self._decayed_score(now) < NEGLIGIBLE_SCORE:
            self.quiet = True
            self._score = 0.0

    def _decayed_score(self, now: float) -> float:
        return self._score * math.exp((self._scored_at - now) / PENALTY_DECAY_SECONDS)
