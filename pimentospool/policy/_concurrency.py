"""Adaptive concurrency limit of a target, driven by its time to first token."""

import math

SMOOTHING = 0.2
LATENCY_TOLERANCE = 2.0
MIN_GRADIENT = 0.5
MAX_REQUESTS_PER_SLOT = 4.0
MIN_REQUESTS_PER_SLOT = 0.5
LATENCY_FLOOR_SECONDS = 0.05


class ConcurrencyLimit:
    """Limit on the requests that this entry VM has in flight at a target.

    Each measurement moves it towards its value times a gradient, plus its square root.
    The gradient is the tolerated time to first token over the measured one, from
    `MIN_GRADIENT` to 1; tolerated is `LATENCY_TOLERANCE` times the expected prefill.

    Parameters
    ----------
    slots : int
        Requests that the target processes in one batch.

    Attributes
    ----------
    value : int
        Requests of this entry VM that may be in flight.
    """

    def __init__(self, *, slots: int) -> None:
        self.value = 2 * slots
        self._exact_value = 2.0 * slots
        self._maximum = MAX_REQUESTS_PER_SLOT * slots
        self._minimum = max(1.0, MIN_REQUESTS_PER_SLOT * slots)

    def record_first_token(
        self, *, first_seconds: float, prefill_seconds: float, in_flight: int
    ) -> None:
        """Adjust the limit to one measured time to first token.

        Parameters
        ----------
        first_seconds : float
            Measured time to first token.
        prefill_seconds : float
            Expected prefill time of the request.
        in_flight : int
            Requests of this entry VM in flight at the target. Below half of the
            limit, a fast response says nothing about a higher limit.
        """
        expected_seconds = LATENCY_TOLERANCE * (prefill_seconds + LATENCY_FLOOR_SECONDS)
        gradient = expected_seconds / max(first_seconds, LATENCY_FLOOR_SECONDS)
        gradient = min(1.0, max(MIN_GRADIENT, gradient))
        if gradient == 1.0 and in_flight < self._exact_value / 2:
            return
        desired = self._exact_value * gradient + math.sqrt(self._exact_value)
        desired = max(self._minimum, min(self._maximum, desired))
        self._set(self._exact_value + SMOOTHING * (desired - self._exact_value))

    def record_failure(self) -> None:
        """Lower the limit after a refusal or failure of the target."""
        self._set(max(self._minimum, self._exact_value * MIN_GRADIENT))

    def _set(self, value: float) -> None:
        self._exact_value = value
        self.value = max(1, int(value))
