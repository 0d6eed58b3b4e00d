"""HTTP client for targets and for entry VMs of other regions."""

from pimentospool.targets._client import HOP_TIMEOUT_FACTOR, ExchangeClient
from pimentospool.targets._events import EventBatch, EventBoundary, EventSplitter
from pimentospool.targets._exchange import (
    EVENT_STREAM,
    LAST_EVENT_HEADER,
    NOT_EXECUTED_HEADER,
    PROBLEM_TYPE,
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    Answer,
    Exchange,
    SilenceObserver,
)
from pimentospool.targets._failures import AttemptFailure, FailureCause

__all__ = [
    "EVENT_STREAM",
    "HOP_TIMEOUT_FACTOR",
    "LAST_EVENT_HEADER",
    "NOT_EXECUTED_HEADER",
    "PROBLEM_TYPE",
    "REQUEST_ID_HEADER",
    "VERDICT_HEADER",
    "Answer",
    "AttemptFailure",
    "EventBatch",
    "EventBoundary",
    "EventSplitter",
    "Exchange",
    "ExchangeClient",
    "FailureCause",
    "SilenceObserver",
]
