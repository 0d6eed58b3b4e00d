"""Outcomes of routed requests, for metrics."""

from enum import Enum

import msgspec

from pimentospool.verdicts import Verdict


class RoutedResult(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    CALLER_LEFT = "caller-left"


class RoutedOutcome(msgspec.Struct, kw_only=True, frozen=True):
    """Outcome of one request that has ended."""

    result: RoutedResult
    kind: str
    """Kind of the route; empty if no route matched."""
    verdict: Verdict
    attempts: int
    is_hop: bool
    first_byte_seconds: float | None
    seconds: float
