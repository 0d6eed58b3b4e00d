"""Decisions of the gateway: no input or output, no clock and no global random."""

from pimentospool.policy._flights import RegionFlight, TargetFlight
from pimentospool.policy._limits import CustomerLimiter, LimitRefusal
from pimentospool.policy._queue import QueueRefusal, Ticket, WaitQueue
from pimentospool.policy._retries import RetryDecision, RetryPolicy
from pimentospool.policy._routes import (
    RegionRoute,
    RouteQuery,
    RouteRefusal,
    TargetRoute,
)
from pimentospool.policy._routing import Route, Router
from pimentospool.policy._scores import RouteReason, Score
from pimentospool.policy._shares import QuotaShares

__all__ = [
    "CustomerLimiter",
    "LimitRefusal",
    "QueueRefusal",
    "QuotaShares",
    "RegionFlight",
    "RegionRoute",
    "RetryDecision",
    "RetryPolicy",
    "Route",
    "RouteQuery",
    "RouteReason",
    "RouteRefusal",
    "Router",
    "Score",
    "TargetFlight",
    "TargetRoute",
    "Ticket",
    "WaitQueue",
]
