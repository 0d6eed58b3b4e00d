"""Routing of HTTP requests by host and path to registered targets.

A gateway process keeps the published routes, services and targets (`RoutingState`),
finds its peers by heartbeats (`Fleet`), and gives every request one final response
(`Dispatcher`). The adapter of a deployment reads the published data and implements
the encoding of requests and responses (`TargetDialect`).
"""

from pimentospool.gateway._access import knows_tenants
from pimentospool.gateway._answer_streams import AnswerHead
from pimentospool.gateway._dialect import AnswerClass, HopRefusal, TargetDialect
from pimentospool.gateway._directory import EntryDirectory
from pimentospool.gateway._dispatch import Dispatcher
from pimentospool.gateway._facts import (
    ConfigurationPublished,
    DatedFact,
    EvacuationChanged,
    Fact,
    FactBatch,
    FactPosition,
    FactSnapshot,
    FactSource,
    HistoryLostError,
    SourceError,
    SourceRestoredError,
    TargetDeregistered,
    TargetRegistered,
    TargetUnreadable,
)
from pimentospool.gateway._model import (
    Address,
    CallerLimits,
    Configuration,
    ConfigurationStamp,
    EngineSpec,
    HopOrigin,
    HttpRoute,
    InboundRequest,
    Prompt,
    PromptPart,
    QuotaUnit,
    Registration,
    RequestKind,
    ServiceSpec,
    Tenant,
    WeightedService,
)
from pimentospool.gateway._placement import SharedBounds
from pimentospool.gateway._process import Gateway
from pimentospool.gateway._replies import (
    LEAVING_RETRY_AFTER_SECONDS,
    Refusal,
    RefusalReason,
    Reply,
)
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.gateway._settings import GatewaySettings, QuotaBounds
from pimentospool.gateway._view_exchange import view_address
from pimentospool.policy import (
    KEY_DIGEST_BYTES,
    ORDINARY_HEAD_BYTES,
    Admission,
    ConnectionTable,
    EntryState,
    HeadBudget,
    Listener,
    MemoryHold,
    Pace,
    PaceLimits,
    head_cost,
    key_digest,
)

__all__ = [
    "KEY_DIGEST_BYTES",
    "LEAVING_RETRY_AFTER_SECONDS",
    "ORDINARY_HEAD_BYTES",
    "Address",
    "Admission",
    "AnswerClass",
    "AnswerHead",
    "CallerLimits",
    "Configuration",
    "ConfigurationPublished",
    "ConfigurationStamp",
    "ConnectionTable",
    "DatedFact",
    "Dispatcher",
    "EngineSpec",
    "EntryDirectory",
    "EntryState",
    "EvacuationChanged",
    "Fact",
    "FactBatch",
    "FactPosition",
    "FactSnapshot",
    "FactSource",
    "Gateway",
    "GatewaySettings",
    "HeadBudget",
    "HistoryLostError",
    "HopOrigin",
    "HopRefusal",
    "HttpRoute",
    "InboundRequest",
    "Listener",
    "MemoryHold",
    "Pace",
    "PaceLimits",
    "Prompt",
    "PromptPart",
    "QuotaBounds",
    "QuotaUnit",
    "Refusal",
    "RefusalReason",
    "Registration",
    "Reply",
    "RequestKind",
    "RoutingState",
    "ServiceSpec",
    "SharedBounds",
    "SourceError",
    "SourceRestoredError",
    "TargetDeregistered",
    "TargetDialect",
    "TargetRegistered",
    "TargetUnreadable",
    "Tenant",
    "WeightedService",
    "head_cost",
    "key_digest",
    "knows_tenants",
    "view_address",
]
