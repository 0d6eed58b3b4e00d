"""Adaptive concurrency of one target, following the measured first token."""

import math

SMOOTHING = 0.2
TOLERANCE = 2.0
LOWEST_GRADIENT = 0.5
HIGHEST_SHARE = 4.0
LOWEST_SHARE = 0.5
FLOOR_SECONDS = 0.05


class ConcurrencyLimit:
    """Bound on own requests at a target.

    The bound shrinks while the time to first token is more than `TOLERANCE` times
    the prefill that the request needed, and grows by its square root otherwise.

    Parameters
    ----------
    slots : int
        Requests that the target batches at once.

    Attributes
    ----------
    value : int
        Own requests that may be in flight.
    """

    def __init__(self, *, slots: int) -> None:
        self.value = 2 * slots
        self._value = 2.0 * slots
        self._highest = HIGHEST_SHARE * slots
        self._lowest = max(1.0, LOWEST_SHARE * slots)

    def measured(
        self, *, first_seconds: float, prefill_seconds: float, in_flight: int
    ) -> None:
        """Follow one measured time to first token."""
        expected = TOLERANCE * (prefill_seconds + FLOOR_SECONDS)
        gradient = expected / max(first_seconds, FLOOR_SECONDS)
        gradient = min(1.0, max(LOWEST_GRADIENT, gradient))
        if gradient == 1.0 and in_flight < self._value / 2:
            return
        aim = self._value * gradient + math.sqrt(self._value)
        aim = max(self._lowest, min(self._highest, aim))
        self._set(self._value + SMOOTHING * (aim - self._value))

    def failed(self) -> None:
        """Follow a refusal or failure of the target."""
        self._set(max(self._lowest, self._value * LOWEST_GRADIENT))

    def _set(self, value: float) -> None:
        self._value = value
        self.value = max(1, int(value))
