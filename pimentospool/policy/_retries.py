"""Decision whether a failed request is retried, within retry budgets."""

from collections import defaultdict
from enum import Enum

from pimentospool.ids import CustomerId
from pimentospool.verdicts import Verdict

INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 50.0
MAX_ATTEMPTS = 4


class RetryDecision(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    MAY_HAVE_RUN = "the call is not idempotent and may have run"
    NO_BUDGET = "the retry budget is used up"
    NO_TIME = "no time is left"
    TOO_MANY = "too many attempts"


class RetryBudget:
    """Budget of retries, earned as a ratio of first attempts.

    It starts with `INITIAL_RETRIES` and saves at most `MAX_SAVED_RETRIES`.
    """

    def __init__(self) -> None:
        self._available = INITIAL_RETRIES

    def record_first_attempt(self, ratio: float) -> None:
        """Count a first attempt; it adds `ratio` retries to the budget."""
        self._available = min(MAX_SAVED_RETRIES, self._available + ratio)

    @property
    def allows_retry(self) -> bool:
        """Whether the budget has a retry left."""
        return self._available >= 1.0

    def record_retry(self) -> None:
        """Take one retry from the budget."""
        self._available -= 1.0


class RetryPolicy:
    """Retry decisions, with budgets per customer and per target or region.

    Attributes
    ----------
    ratio : float
        Retries that each first attempt adds to its budgets.
    """

    def __init__(self) -> None:
        self.ratio = 0.1
        self._customers: defaultdict[CustomerId, RetryBudget] = defaultdict(RetryBudget)
        self._destinations: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)

    def record_first_attempt(self, customer: CustomerId, destination: str) -> None:
        """Count the first attempt of a request.

        Parameters
        ----------
        customer : CustomerId
            Customer that sent the request.
        destination : str
            Target or region to which the attempt goes.
        """
        self._customers[customer].record_first_attempt(self.ratio)
        self._destinations[destination].record_first_attempt(self.ratio)

    def decide(
        self,
        *,
        customer: CustomerId,
        destination: str,
        verdict: Verdict,
        idempotent: bool,
        attempts: int,
        remaining_seconds: float,
    ) -> RetryDecision:
        """Return whether to retry a request, and count the retry if so.

        Parameters
        ----------
        customer : CustomerId
            Customer that sent the request.
        destination : str
            Target or region where the last attempt failed.
        verdict : Verdict
            Combined verdict of all attempts so far.
        idempotent : bool
            Whether the request may safely run more than once.
        attempts : int
            Number of attempts so far.
        remaining_seconds : float
            Time left until the request's deadline.
        """
        if verdict is not Verdict.NOT_RUN and not idempotent:
            return RetryDecision.MAY_HAVE_RUN
        if remaining_seconds <= 0.0:
            return RetryDecision.NO_TIME
        if attempts >= MAX_ATTEMPTS:
            return RetryDecision.TOO_MANY
        budgets = (self._customers[customer], self._destinations[destination])
        if not all(budget.allows_retry for budget in budgets):
            return RetryDecision.NO_BUDGET
        for budget in budgets:
            budget.record_retry()
        return RetryDecision.RETRY
