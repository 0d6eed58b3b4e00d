"""Retry budget: bounds retries to a share of the calls."""


class RetryBudget:
    """Token bucket that allows retries up to a share of the calls.

    Parameters
    ----------
    ratio : float
        Retries allowed per call.
    burst : float
        Retries allowed at the start, and the most that can accumulate.
    """

    def __init__(self, *, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._available_retries = burst

    def count_call(self) -> None:
        """Count a call's first attempt."""
        self._available_retries = min(
            self._burst, self._available_retries + self._ratio
        )

    def take_retry(self) -> bool:
        """Take a retry from the budget, and return whether one was left."""
        if self._available_retries < 1.0:
            return False
        self._available_retries -= 1.0
        return True
