"""Types of routed requests, and of the published configuration and targets."""

from enum import Enum

import msgspec

from pimentospool.ids import (
    EntryId,
    KeyDigest,
    RegionId,
    ServiceId,
    SoftwareVersion,
    TargetId,
    TenantId,
    ZoneId,
)
from pimentospool.policy import MemoryHold


class RequestKind(Enum):
    """Whether and how requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


MIN_CLIENT_EVENT_TIMEOUT_SECONDS = 2.0
CLIENT_TIMEOUT_LATENCY_FACTOR = 4
CLIENT_TIMEOUT_GAP_FACTOR = 8
"""By the platform's protocol, callers disconnect from a stream if no event arrives for
the longest of two seconds, four times the latency objective, and eight times the
longest pause of a stream that is on time."""


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
    """Route for the requests of one host under one path prefix."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    target_latency_seconds: float
    max_targets: int
    """Limit on the number of targets that may run one request."""
    priority: int = 0
    """Priority among routes; 0 is the most urgent."""
    resumable: bool = False
    event_gap_seconds: float = 0.0
    """Longest pause between events of a stream that is on time."""
    home_regions: frozenset[RegionId] = frozenset()
    """Regions that may serve the requests; empty if all may."""
    public: bool = False
    """Whether callers need no API key."""

    @property
    def retryable(self) -> bool:
        """Whether a request that may already have run may be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    @property
    def client_event_timeout_seconds(self) -> float:
        """Longest wait for a stream's first or next event before callers disconnect."""
        return max(
            MIN_CLIENT_EVENT_TIMEOUT_SECONDS,
            CLIENT_TIMEOUT_LATENCY_FACTOR * self.target_latency_seconds,
            CLIENT_TIMEOUT_GAP_FACTOR * self.event_gap_seconds,
        )

    def allows(self, region: RegionId) -> bool:
        """Whether targets of `region` may serve the requests."""
        return not self.home_regions or region in self.home_regions


class EngineSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Capacity of each model engine of a service."""

    slots: int
    cache_tokens: int


class ServiceSpec(msgspec.Struct, kw_only=True, frozen=True):
    """Properties that all targets of a service share."""

    id: ServiceId
    max_connections: int
    """Limit on the connections to one target from all entry VMs together."""
    health_path: str = ""
    cold_seconds: float = 0.0
    cold_requests_per_second: float = 0.0
    engine: EngineSpec | None = None


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Limits on the requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class QuotaUnit(Enum):
    """What a tenant's quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Tenant(msgspec.Struct, kw_only=True, frozen=True):
    """Customer whose callers identify themselves by API keys."""

    id: TenantId
    key_digests: frozenset[KeyDigest] = frozenset()
    """Digests of the API keys; the keys themselves are not kept."""
    priority: int | None = None
    """Priority of the tenant's requests, instead of that of their route."""
    home_regions: frozenset[RegionId] = frozenset()
    """Regions that may serve the requests; empty if all may."""
    quota_unit: QuotaUnit = QuotaUnit.REQUESTS
    rate_per_second: float = 0.0
    """Quota of all entry VMs together; 0 without a limit."""
    burst: float = 0.0
    default_tokens: float = 0.0
    """Cost of a request that doesn't state its tokens."""


class Configuration(msgspec.Struct, kw_only=True, frozen=True):
    """One version of the routes, services and tenants."""

    version: int
    routes: tuple[HttpRoute, ...]
    services: dict[ServiceId, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    tenants: tuple[Tenant, ...] | None = None
    """None if the entry VM that sent the configuration doesn't know tenants."""


class ConfigurationStamp(msgspec.Struct, frozen=True, order=True):
    """Identifies a published configuration; a later one compares greater."""

    version: int
    era: int
    """Era of the source in which the version was published."""


class HopOrigin(msgspec.Struct, kw_only=True, frozen=True):
    """Entry VM at one end of a hop, and the configuration that it follows."""

    entry: EntryId
    stamp: ConfigurationStamp
    can_reroute: bool = False
    """Whether the sender routes the request again if the receiver refuses it."""


class Registration(msgspec.Struct, kw_only=True, frozen=True):
    """Registration that a target publishes about itself."""

    id: TargetId
    service: ServiceId
    address: Address
    zone: ZoneId
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0
    """Time for which the target stays cold after publishing the registration."""
    version: SoftwareVersion = SoftwareVersion("")
    """Version of the target's software."""
    started_at: int = 0
    """Start time of the target in Unix milliseconds; changes with each restart."""


class PromptPart(msgspec.Struct, frozen=True):
    """Part of a prompt that other prompts may also begin with."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, kw_only=True, frozen=True):
    """Size and parts of the prompt of a generation request."""

    tokens: int
    max_output_tokens: int
    length_hint: int = 0
    """The caller's estimate of the output tokens; 0 if it states none."""
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def shared_key(self) -> str:
        """Id of the last part that other requests may share.

        The last of several parts belongs to this request alone.
        """
        if not self.parts:
            return ""
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[0].id


class InboundRequest(msgspec.Struct, kw_only=True):
    """Request of a caller whose body has arrived in full.

    `headers` holds the headers that are passed on to a target: without hop-by-hop
    headers and those that the gateway itself sets. `received_at` is a time of the
    monotonic clock.
    """

    id: str
    method: str
    path: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes | memoryview
    received_at: float
    client_timeout_seconds: float
    """Time from the arrival for which the caller waits; infinite if it states none."""
    caller: bytes = b""
    """What tells the caller from others, if it identifies itself; no API key."""
    credential: KeyDigest | None = None
    """Digest of the API key; None without one, and for more than one."""
    is_vouched: bool = False
    """Whether the entry VM that passed the request on has checked its key and charged
    the tenant's quota."""
    tenant: TenantId | None = None
    """Tenant whose key the request came with, as the dispatcher has found."""
    hides_credentials: bool = False
    """Whether the caller's key, and the tenant that it names, are for the gateway
    alone, as the configuration has tenants."""
    prompt: Prompt | None = None
    resume_after: int | None = None
    """Id of the last event of the stream that the caller received."""
    resumes: str | None = None
    """Id of the request to which the caller got the first event of the stream."""
    stream_version: SoftwareVersion | None = None
    """Software version that the first entry VM requires, as the stream began at it."""
    is_hop: bool = False
    """Whether another entry VM passed the request on to this one."""
    origin: HopOrigin | None = None
    """Entry VM that passed the request on; None for a caller or if it isn't known."""
    memory: MemoryHold | None = None
    """Memory that the request holds until it has ended."""
    max_targets: int | None = None
    """Limit that the first entry VM sets on the targets that may run the request."""

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller got the beginning of the stream by an earlier request."""
        return self.resume_after is not None or self.resumes is not None
