"""Decisions of the gateway: no input or output, no clock and no global random."""

from pimentospool.policy._operations import (
    HeldAnswer,
    Join,
    LedgerLimits,
    OperationCall,
    OperationLedger,
    OperationState,
    Replay,
    Start,
    Ticket,
)
from pimentospool.policy._refusals import Refusal, owner_gone
from pimentospool.policy._routing import (
    RegionRoute,
    RouteQuery,
    Router,
    RouteRefusal,
    TargetRoute,
)

__all__ = [
    "HeldAnswer",
    "Join",
    "LedgerLimits",
    "OperationCall",
    "OperationLedger",
    "OperationState",
    "Refusal",
    "RegionRoute",
    "Replay",
    "RouteQuery",
    "RouteRefusal",
    "Router",
    "Start",
    "TargetRoute",
    "Ticket",
    "owner_gone",
]
