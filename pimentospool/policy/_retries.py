"""Whether a failed attempt may be made again."""

from collections import defaultdict
from enum import Enum

from pimentospool.ids import CustomerId
from pimentospool.verdicts import Verdict

RESERVE = 10.0
CEILING = 50.0
MOST_ATTEMPTS = 4


class RetryDecision(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    MAY_HAVE_RUN = "the call is not idempotent and may have run"
    NO_BUDGET = "the retry budget is used up"
    NO_TIME = "no time is left"
    TOO_MANY = "too many attempts"


class RetryBudget:
    """Retries as a share of first attempts, with a small reserve."""

    def __init__(self) -> None:
        self._level = RESERVE

    def attempted(self, ratio: float) -> None:
        """Count a first attempt; it earns `ratio` of a retry."""
        self._level = min(CEILING, self._level + ratio)

    @property
    def allows(self) -> bool:
        """Whether a retry may be made."""
        return self._level >= 1.0

    def retried(self) -> None:
        """Count a retry."""
        self._level -= 1.0


class RetryPolicy:
    """Retry budgets per customer and per failed target or region."""

    def __init__(self) -> None:
        self.ratio = 0.1
        self._customers: defaultdict[CustomerId, RetryBudget] = defaultdict(RetryBudget)
        self._holders: defaultdict[str, RetryBudget] = defaultdict(RetryBudget)

    def attempted(self, customer: CustomerId, holder: str) -> None:
        """Count the first attempt of a request, at a target or region."""
        self._customers[customer].attempted(self.ratio)
        self._holders[holder].attempted(self.ratio)

    def decide(
        self,
        *,
        customer: CustomerId,
        holder: str,
        verdict: Verdict,
        idempotent: bool,
        attempts: int,
        remaining_seconds: float,
    ) -> RetryDecision:
        """Return whether to try again, and count the retry if so.

        Parameters
        ----------
        customer : CustomerId
            Whose request it is.
        holder : str
            Target or region where the last attempt failed.
        verdict : Verdict
            Joint verdict of all attempts.
        idempotent : bool
            Whether the call may run twice.
        attempts : int
            Attempts made so far.
        remaining_seconds : float
            Time to the request's deadline.
        """
        if verdict is not Verdict.NOT_RUN and not idempotent:
            return RetryDecision.MAY_HAVE_RUN
        if remaining_seconds <= 0.0:
            return RetryDecision.NO_TIME
        if attempts >= MOST_ATTEMPTS:
            return RetryDecision.TOO_MANY
        budgets = (self._customers[customer], self._holders[holder])
        if not all(budget.allows for budget in budgets):
            return RetryDecision.NO_BUDGET
        for budget in budgets:
            budget.retried()
        return RetryDecision.RETRY
