"""Decisions of the gateway: no input or output, no clock and no global random."""

from pimentospool.policy._flights import RegionFlight, TargetFlight
from pimentospool.policy._limits import CustomerLimiter, LimitRefusal
from pimentospool.policy._operations import (
    HeldAnswer,
    Join,
    LedgerLimits,
    OperationCall,
    OperationLedger,
    OperationRef,
    OperationState,
    Replay,
    Start,
)
from pimentospool.policy._orders import (
    FencingTerms,
    OrderPlan,
    PlannedOrder,
    fencing_number,
    fencing_revision,
    plan_orders,
)
from pimentospool.policy._placement import (
    DesiredEngine,
    DesiredModel,
    place_models,
)
from pimentospool.policy._queue import QueueRefusal, Ticket, WaitQueue
from pimentospool.policy._refusals import Refusal, owner_gone
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
    "DesiredEngine",
    "DesiredModel",
    "FencingTerms",
    "HeldAnswer",
    "Join",
    "LedgerLimits",
    "LimitRefusal",
    "OperationCall",
    "OperationLedger",
    "OperationRef",
    "OperationState",
    "OrderPlan",
    "PlannedOrder",
    "QueueRefusal",
    "QuotaShares",
    "Refusal",
    "RegionFlight",
    "RegionRoute",
    "Replay",
    "RetryDecision",
    "RetryPolicy",
    "Route",
    "RouteQuery",
    "RouteReason",
    "RouteRefusal",
    "Router",
    "Score",
    "Start",
    "TargetFlight",
    "TargetRoute",
    "Ticket",
    "WaitQueue",
    "fencing_number",
    "fencing_revision",
    "owner_gone",
    "place_models",
    "plan_orders",
]
