"""Scores of the candidates for a request, in milliseconds."""

from enum import Enum

import msgspec

from pimentospool._generated.manifest import Limits, Weights

NEAR_EQUAL_MS = 5.0
NEAR_EQUAL_RATIO = 0.1


class RouteReason(Enum):
    """Why a candidate was chosen."""

    ONLY_CANDIDATE = "only candidate"
    LOWEST_SCORE = "lowest score"
    NEAR_EQUAL = "better of two near-equals"
    PREFIX_HIT = "longest expected prefix hit"
    PROBE = "probe after failures"
    NOT_SERVED_HERE = "not served in the own region"


class Score(msgspec.Struct, frozen=True):
    """Score of one candidate, the lower the better; all parts are in milliseconds.

    ``first_ms`` is the expected time to first token: the wait, the prefill and the
    link. The other parts are costs by the manifest's weights: ``cost_ms`` for the work
    on the target, ``away_ms`` for leaving the region, ``blocking_ms`` for the delay of
    other requests by the prefill, and ``failure_ms`` for recent failures.
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


class ScoreParameters(msgspec.Struct, kw_only=True, frozen=True):
    """Weights and limits of the manifest that turn expected times into scores."""

    weights: Weights
    limits: Limits

    def latency_factor(self, *, short: bool) -> float:
        """Return the weight of the expected time to first token."""
        return self.weights.tail_latency if short else self.weights.long_latency

    def sent_away_cost_ms(self) -> float:
        """Return the cost of a request that leaves the region, in milliseconds."""
        return self.weights.sent_away_ms + self.limits.away_margin_ms


def near_equal_limit_ms(best_ms: float) -> float:
    """Return the highest score that counts as equal to the best one."""
    return best_ms + max(NEAR_EQUAL_MS, NEAR_EQUAL_RATIO * best_ms)


def near_equals(scores: list[Score]) -> list[Score]:
    """Return the scores that count as equal to the best one."""
    limit_ms = near_equal_limit_ms(min(score.total_ms for score in scores))
    return [score for score in scores if score.total_ms <= limit_ms]
