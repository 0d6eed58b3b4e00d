"""Client library for callers: finds entry VMs, fails over and retries safely."""

from pimentospool.client._attempts import CallAnswer
from pimentospool.client._budget import RetryBudget
from pimentospool.client._client import ClientSettings, GatewayClient
from pimentospool.client._entries import EntryFinder
from pimentospool.client._errors import (
    BrokenStreamError,
    ClientError,
    NoEntryError,
    RefusedError,
    UnansweredError,
)
from pimentospool.client._history import (
    AttemptEnd,
    IdempotentCallHistory,
    NextStep,
    OperationHistory,
)

__all__ = [
    "AttemptEnd",
    "BrokenStreamError",
    "CallAnswer",
    "ClientError",
    "ClientSettings",
    "EntryFinder",
    "GatewayClient",
    "IdempotentCallHistory",
    "NextStep",
    "NoEntryError",
    "OperationHistory",
    "RefusedError",
    "RetryBudget",
    "UnansweredError",
]
