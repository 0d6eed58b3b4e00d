"""Decoding of values in the platform's store into the types of the gateway."""

import msgspec

from pimentospool.errors import PimentospoolError
from pimentospool.gateway import (
    CallerLimits,
    Configuration,
    EngineSpec,
    HttpRoute,
    QuotaUnit,
    Registration,
    RequestKind,
    ServiceSpec,
    Tenant,
    WeightedService,
    key_digest,
)
from pimentospool.ids import (
    RegionId,
    ServiceId,
    SoftwareVersion,
    TargetId,
    TenantId,
    ZoneId,
)
from pimentospool.platform._settings import parse_address

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
_DRAINING_STATE = "draining"
_SERVER_STATES = ("ready", _DRAINING_STATE)
_KIND_BY_NAME = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}
_TOKEN_UNIT = "tokens"
_MILLISECONDS_PER_SECOND = 1000.0
_MAX_COLD_MILLISECONDS = 3_600_000.0
"""Cold times above an hour come from a faulty writer."""
_MAX_SLOTS = 1_000_000
_MAX_START_MILLISECONDS = 1 << 53
"""Start times above this are no Unix milliseconds; entry VMs can't send each other
integers of more than 64 bits."""
_MAX_VERSION_LENGTH = 64
"""Longest software version, which is sent in headers and datagrams."""
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
"""Errors of a value that can't be read; a deeply nested one raises the last."""


class RecordError(PimentospoolError):
    """A value in the store cannot be decoded."""


class _WeightedService(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_WeightedService] = msgspec.field(default_factory=list)
    max_attempts: int = 1
    """Number of servers that may run a request, not number of times it is sent."""
    resumable: bool = False
    target_gap_ms: float = 0.0
    home_regions: list[str] = msgspec.field(default_factory=list)
    public: bool = False


class _Engine(msgspec.Struct, rename="pascal"):
    slots: int
    kv_cache_tokens: int


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = ""
    max_connections: int = 64
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    unit: str = ""
    uncached_tokens: float = 0.0
    """Cost of a request that doesn't state its tokens; no cache is involved."""
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: list[str] | None = None


class _Config(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None
    """Null is how some writers encode an empty list; earlier builds ignored it."""


class _Server(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    version: str
    slots: int
    cold_left_ms: float
    sequence: int
    """Not used, but without it the entry is another writer's."""
    born: int = msgspec.field(name="born", default=0)


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration encoded in `value`.

    Raises
    ------
    RecordError
        If `value` is malformed or lacks a required field.
    """
    try:
        raw = msgspec.json.decode(value, type=_Config)
        return Configuration(
            version=raw.version,
            routes=tuple(_to_route(route) for route in raw.routes),
            services={ServiceId(item.name): _to_service(item) for item in raw.services},
            limits=CallerLimits(
                max_header_bytes=raw.limits.max_header_bytes,
                max_body_bytes=raw.limits.max_body_bytes,
                header_timeout_seconds=raw.limits.header_timeout_ms
                / _MILLISECONDS_PER_SECOND,
                idle_timeout_seconds=raw.limits.idle_timeout_ms
                / _MILLISECONDS_PER_SECOND,
            ),
            tenants=tuple(_to_tenant(item) for item in raw.tenants or ()),
        )
    except (*_DECODE_ERRORS, KeyError) as exc:
        raise RecordError(f"invalid configuration: {exc!r}") from exc


def decode_registration(server: str, value: bytes) -> Registration:
    """Return the registration that the server with id `server` published.

    Raises
    ------
    RecordError
        If `value` is malformed or lacks a required field.
    """
    # The id is sent in a header of each request.
    if not server.isascii() or not server.isprintable():
        raise RecordError("the server's id is not printable ASCII")
    try:
        raw = msgspec.json.decode(value, type=_Server)
        if raw.state not in _SERVER_STATES:
            raise RecordError(f"unknown server state {raw.state!r}")
        _check_ranges(raw)
        return Registration(
            id=TargetId(server),
            service=ServiceId(raw.service),
            address=parse_address(raw.address),
            zone=ZoneId(raw.zone),
            slots=raw.slots,
            leaving=raw.state == _DRAINING_STATE,
            cold_seconds=raw.cold_left_ms / _MILLISECONDS_PER_SECOND,
            version=SoftwareVersion(raw.version),
            started_at=raw.born,
        )
    except _DECODE_ERRORS as exc:
        raise RecordError(f"invalid server entry: {exc}") from exc


def _check_ranges(raw: _Server) -> None:
    """Raise RecordError for values that no server writes."""
    version = raw.version
    if not (version.isascii() and version.isprintable()):
        raise RecordError("the software version is not printable ASCII")
    if len(version) > _MAX_VERSION_LENGTH:
        raise RecordError("the software version is too long")
    if not 0 <= raw.slots <= _MAX_SLOTS:
        raise RecordError("the slots are out of range")
    if not 0.0 <= raw.cold_left_ms <= _MAX_COLD_MILLISECONDS:
        raise RecordError("the remaining cold time is out of range")
    if not 0 <= raw.born <= _MAX_START_MILLISECONDS:
        raise RecordError("the start time is out of range")


def _to_route(raw: _Route) -> HttpRoute:
    services = tuple(
        WeightedService(service=ServiceId(item.service), weight=item.weight)
        for item in raw.traffic_split
    )
    if not services:
        services = (WeightedService(service=ServiceId(raw.service), weight=1.0),)
    return HttpRoute(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.prefix,
        kind=_KIND_BY_NAME[raw.kind],
        services=services,
        timeout_seconds=raw.timeout_ms / _MILLISECONDS_PER_SECOND,
        target_latency_seconds=raw.target_latency_ms / _MILLISECONDS_PER_SECOND,
        max_targets=raw.max_attempts,
        priority=raw.priority,
        resumable=raw.resumable,
        event_gap_seconds=raw.target_gap_ms / _MILLISECONDS_PER_SECOND,
        home_regions=frozenset(RegionId(region) for region in raw.home_regions),
        public=raw.public,
    )


def _to_tenant(raw: _Tenant) -> Tenant:
    # The name is sent in a header of each request.
    if not raw.name.isprintable():
        raise RecordError("the name of a tenant is not printable")
    return Tenant(
        id=TenantId(raw.name),
        key_digests=frozenset(key_digest(key.encode()) for key in raw.api_keys or ()),
        priority=raw.priority,
        home_regions=frozenset(RegionId(region) for region in raw.home_regions or ()),
        quota_unit=(
            QuotaUnit.TOKENS if raw.unit == _TOKEN_UNIT else QuotaUnit.REQUESTS
        ),
        rate_per_second=raw.rate_per_s,
        burst=raw.burst,
        default_tokens=raw.uncached_tokens,
    )


def _to_service(raw: _Service) -> ServiceSpec:
    engine = None
    if raw.engine is not None:
        engine = EngineSpec(
            slots=raw.engine.slots, cache_tokens=raw.engine.kv_cache_tokens
        )
    return ServiceSpec(
        id=ServiceId(raw.name),
        max_connections=raw.max_connections,
        health_path=raw.health_path,
        cold_seconds=raw.cold_s,
        cold_requests_per_second=raw.cold_per_s,
        engine=engine,
    )
