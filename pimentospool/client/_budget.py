"""Bound on retries as a share of calls."""


class RetryBudget:
    """Allows retries up to a share of the calls made.

    Parameters
    ----------
    ratio : float
        Retries allowed per call.
    burst : float
        Retries allowed at the start, and the most that are saved up.
    """

    def __init__(self, *, ratio: float = 0.1, burst: float = 10.0) -> None:
        self._ratio = ratio
        self._burst = burst
        self._saved = burst

    def count_call(self) -> None:
        """Count a call's first attempt."""
        self._saved = min(self._burst, self._saved + self._ratio)

    def take_retry(self) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
