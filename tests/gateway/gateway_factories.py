"""Factories of the objects that tests of the gateway share."""

from pimentospool.gateway import (
    Address,
    Configuration,
    EngineSpec,
    HttpRoute,
    InboundRequest,
    Registration,
    RequestKind,
    ServiceSpec,
    Tenant,
    WeightedService,
)
from pimentospool.gateway._fleet_messages import (
    EntryRecord,
    GossipMessage,
    encode_vector,
)
from pimentospool.policy import EntryState

HOST = "shop.example"


class Clock:
    """Monotonic clock that a test advances by hand."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


def make_route(prefix="/", *, services=("desk",), host=HOST, **options):
    fields = {
        "name": prefix,
        "kind": RequestKind.IDEMPOTENT,
        "timeout_seconds": 2.0,
        "target_latency_seconds": 0.3,
        "max_targets": 2,
    } | options
    weighted_services = tuple(
        WeightedService(service=name, weight=1.0) for name in services
    )
    return HttpRoute(host=host, prefix=prefix, services=weighted_services, **fields)


def make_service(name="desk", *, engine=False, **options):
    spec = EngineSpec(slots=64, cache_tokens=250_000) if engine else None
    fields = {"max_connections": 100} | options
    return ServiceSpec(id=name, engine=spec, **fields)


def make_configuration(*routes, version=1, services=None, tenants=()):
    specs = services or [make_service()]
    return Configuration(
        version=version,
        routes=routes or (make_route(),),
        services={item.id: item for item in specs},
        tenants=tenants,
    )


def make_tenant(name="acme", *, key_digests=(), home_regions=(), **options):
    return Tenant(
        id=name,
        key_digests=frozenset(key_digests),
        home_regions=frozenset(home_regions),
        **options,
    )


def make_registration(target="i-1", *, port=9000, **options):
    fields = {"service": "desk", "zone": "gulf-a", "slots": 6} | options
    return Registration(id=target, address=Address("127.0.0.1", port), **fields)


def make_request(path="/", **options):
    fields = {
        "id": "r-1",
        "method": "GET",
        "host": HOST,
        "headers": [],
        "body": b"",
        "received_at": 0.0,
        "client_timeout_seconds": 2.0,
    } | options
    return InboundRequest(path=path, **fields)


def make_record(entry="e-1", *, region="gulf", **options):
    port = 7000 + sum(entry.encode())
    fields = {"generation": 1, "zone": f"{region}-a"} | options
    return EntryRecord(
        id=entry,
        region=region,
        front=Address("127.0.0.1", port),
        peer=Address("127.0.0.1", port + 1),
        **fields,
    )


def announce(fleet, record, *, state=EntryState.READY, heartbeat=1, loads=None):
    """Let `fleet` receive a heartbeat of `record`."""
    vector = encode_vector([record.key], [heartbeat << 2 | state])
    return fleet.receive(GossipMessage(sender=record, vector=vector, loads=loads))
