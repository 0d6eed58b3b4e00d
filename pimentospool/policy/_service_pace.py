"""Speed of a service's targets, learned from their answers.

The expected time of a request is computed for a reference target. Deployments differ
from it by their hardware, models and work, and an entry VM of a large fleet sends too
few requests to each target to learn that for every one of them by itself.
"""

import math

MIN_STEP = 0.03
"""Least change of the logarithm of the pace with one answer."""
MIN_PACE = 0.1
MAX_PACE = 100.0
"""Pace of a service whose plain requests take 3 s; beyond it, callers have no time."""


class ServicePace:
    """Median of the observed divided by the expected times of a service's answers.

    The pace follows the median, since slow targets, queues and retries stretch single
    answers many times. Each answer moves it up or down by a step that becomes smaller
    with the number of answers.
    """

    def __init__(self) -> None:
        self.value = 1.0
        """Factor on the time that a reference target needs."""
        self._answers = 0
        self._seen_slower = False
        self._seen_faster = False

    def relative(self, ratio: float) -> float:
        """Return how much longer than the service's answers one of `ratio` took.

        It is 1 as long as all answers lay on one side of the pace, which still moves
        towards them: they tell of the service, not of the target that gave them.
        """
        is_learned = self._seen_slower and self._seen_faster
        if not is_learned and MIN_PACE < self.value < MAX_PACE:
            return 1.0
        return ratio / self.value

    def record(self, ratio: float) -> None:
        """Record an answer that took `ratio` times the time of a reference target."""
        self._answers += 1
        step = max(MIN_STEP, 1.0 / self._answers)
        if ratio < self.value:
            self._seen_faster = True
            step = -step
        else:
            self._seen_slower = True
        pace = self.value * math.exp(step)
        self.value = min(MAX_PACE, max(MIN_PACE, pace))
