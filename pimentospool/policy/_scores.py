"""Scores of the candidates for a request, in milliseconds."""

from enum import Enum

import msgspec

from pimentospool._generated.manifest import Limits, Weights

NEAR_EQUAL_MS = 5.0
NEAR_EQUAL_SHARE = 0.1


class RouteReason(Enum):
    """Why a candidate was chosen."""

    ONLY_CANDIDATE = "only candidate"
    LOWEST_SCORE = "lowest score"
    NEAR_EQUAL = "better of two near-equals"
    PREFIX_HIT = "longest expected prefix hit"
    PROBE = "probe after failures"
    NOT_SERVED_HERE = "not served in the own region"


class Score(msgspec.Struct, frozen=True):
    """Price of one candidate; every part is in milliseconds.

    ``first_ms`` is the expected time to first token. The other parts are the
    manifest's prices: the work on the target, leaving the region, the delay put on
    other requests by the prefill, and recent failures.
    """

    candidate: str
    total_ms: float
    first_ms: float
    wait_ms: float
    prefill_ms: float
    link_ms: float
    cost_ms: float
    away_ms: float
    blocking_ms: float
    failure_ms: float
    hit_tokens: float
    has_room: bool
    in_flight: float

    def __str__(self) -> str:
        return (
            f"{self.candidate}: {self.total_ms:.1f} ms (first token "
            f"{self.first_ms:.1f}: wait {self.wait_ms:.1f}, prefill "
            f"{self.prefill_ms:.1f}, link {self.link_ms:.1f}; cost "
            f"{self.cost_ms:.1f}, away {self.away_ms:.1f}, blocking "
            f"{self.blocking_ms:.1f}, failures {self.failure_ms:.1f}; "
            f"{self.hit_tokens:.0f} tokens cached)"
        )


class Prices(msgspec.Struct, kw_only=True, frozen=True):
    """What the manifest makes of expected times."""

    weights: Weights
    limits: Limits

    def latency_factor(self, *, short: bool) -> float:
        """Return the factor on the expected time to first token."""
        return self.weights.tail_latency if short else self.weights.long_latency

    def away_ms(self) -> float:
        """Return the price of a request that leaves the region."""
        return self.weights.sent_away_ms + self.limits.away_margin_ms


def near_bound(best_ms: float) -> float:
    """Return the highest score that cannot be told from the best one."""
    return best_ms + max(NEAR_EQUAL_MS, NEAR_EQUAL_SHARE * best_ms)


def near_equals(scores: list[Score]) -> list[Score]:
    """Return the scores that are too close to the best one to tell apart."""
    bound = near_bound(min(score.total_ms for score in scores))
    return [score for score in scores if score.total_ms <= bound]
