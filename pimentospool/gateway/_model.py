"""Types of routed requests and of what the gateway is told about its targets."""

from enum import Enum

import msgspec

from pimentospool.ids import RegionId, ServiceId, TargetId, ZoneId


class RequestKind(Enum):
    """What a route says of repeating its requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


LEAST_EVENT_PATIENCE_SECONDS = 2.0
OBJECTIVES_PATIENCE = 4
GAPS_PATIENCE = 8
"""Callers leave a stream after the longest of two seconds, four times its latency
objective and eight times its longest pause on time (the platform's protocol)."""


class Address(msgspec.Struct, frozen=True):
    """An IPv4 address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class WeightedService(msgspec.Struct, kw_only=True, frozen=True):
    """A service and its share of a route's requests."""

    service: ServiceId
    weight: float


class HttpRoute(msgspec.Struct, kw_only=True, frozen=True):
    """Requests of one host under one path prefix."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    target_latency_seconds: float
    max_targets: int
    """Number of targets that may run one request."""
    priority: int = 0
    """Rank among routes; 0 is the most urgent."""
    resumable: bool = False
    event_gap_seconds: float = 0.0
    """Longest pause between events of a stream that is on time."""
    home_regions: frozenset[RegionId] = frozenset()
    """Regions that may serve the requests; empty allows all."""

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    @property
    def event_patience_seconds(self) -> float:
        """Longest wait for a stream's first or next event before callers leave."""
        return max(
            LEAST_EVENT_PATIENCE_SECONDS,
            OBJECTIVES_PATIENCE * self.target_latency_seconds,
            GAPS_PATIENCE * self.event_gap_seconds,
        )

    def allows(self, region: RegionId) -> bool:
        """Whether targets of `region` may serve the requests."""
        return not self.home_regions or region in self.home_regions


class EngineSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Sizes of the model engines of a service."""

    slots: int
    cache_tokens: int


class ServiceSpec(msgspec.Struct, kw_only=True, frozen=True):
    """What the targets of a service have in common."""

    id: ServiceId
    max_connections: int
    """Connections that one target accepts from all callers together."""
    health_path: str = ""
    cold_seconds: float = 0.0
    cold_requests_per_second: float = 0.0
    engine: EngineSpec | None = None


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds on what a caller may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class Configuration(msgspec.Struct, kw_only=True, frozen=True):
    """One version of the routes and services."""

    version: int
    routes: tuple[HttpRoute, ...]
    services: dict[ServiceId, ServiceSpec]
    limits: CallerLimits = CallerLimits()


class Registration(msgspec.Struct, kw_only=True, frozen=True):
    """What a target has published about itself."""

    id: TargetId
    service: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0
    """Time for which the target stays cold, from when it published this."""
    started_at: int = 0
    """Start of the target, in Unix milliseconds; differs between its lives."""


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other prompts may share."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, kw_only=True, frozen=True):
    """Size and parts of a generation's prompt."""

    tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_key(self) -> str:
        """Id of the longest part chain that other requests may share."""
        if not self.parts:
            return ""
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[0].id


class InboundRequest(msgspec.Struct, kw_only=True):
    """A caller's request whose body has arrived in full.

    `headers` holds what is passed on to a target, without headers that concern one
    connection only and without those that the gateway itself sets. `deadline` and
    `received_at` are times of the loop's clock.
    """

    id: str
    method: str
    path: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    received_at: float
    patience_seconds: float
    """Time from its arrival for which the caller waits; infinite if not given."""
    prompt: Prompt | None = None
    resume_after: int | None = None
    """Event of the stream that the caller received last."""
    hopped: bool = False
    """Whether another entry VM passed the request on."""
    max_targets: int | None = None
    """Targets that may still run a hopped request, as the first entry VM says."""
