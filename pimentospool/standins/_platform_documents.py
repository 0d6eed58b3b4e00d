"""Documents that the platform writes: settings, configuration, records of targets."""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from pimentospool.addresses import free_addresses

HOST = "shop.example"
ZONES = {"gulf-a": "gulf", "delta-a": "delta"}
CONFIGURATION_KEY = "op/config"
GRACE_SECONDS = 4
"""Time in which a node must exit after SIGTERM."""
PEER_PORT_COUNT = 16
"""Number of consecutive ports that a VM may use for its peers."""
RETRY_BUDGET_RATIO = 0.2
"""Retries per request that the budget allows in a window."""
RETRY_BUDGET_EXTRA = 56
"""Retries that the budget allows in a window beyond the ratio."""
RETRY_BUDGET_WINDOW_SECONDS = 10


class NodePorts(msgspec.Struct, kw_only=True, frozen=True):
    """Ports of a node; all nodes use the same ports, each on its own address."""

    front: int
    ready: int
    control: int
    directory: int
    peer: int


def free_node_ports() -> NodePorts:
    """Return free ports, with `PEER_PORT_COUNT` consecutive ones for peers."""
    addresses = free_addresses(4 * PEER_PORT_COUNT)
    ports = {int(address.rpartition(":")[2]) for address in addresses}
    for peer in sorted(ports):
        peer_ports = range(peer, peer + PEER_PORT_COUNT)
        if ports.issuperset(peer_ports):
            break
    front, ready, control, directory, *_ = sorted(ports.difference(peer_ports))
    return NodePorts(
        front=front, ready=ready, control=control, directory=directory, peer=peer
    )


def platform_settings(
    ip: str,
    *,
    zone: str,
    store: str,
    seeds: Sequence[str],
    ports: NodePorts,
    first_start: bool = False,
    bounds: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the content of a node's settings file, as the platform writes it.

    Parameters
    ----------
    ip : str
        IP address of the node's VM.
    zone : str
        One of `ZONES`.
    store : str
        IP:port of the store.
    seeds : sequence of str
        IP addresses of the VMs that the node contacts first.
    ports : NodePorts
        Ports of all nodes.
    first_start : bool
        Whether all nodes start for the first time.
    bounds : mapping, optional
        Fields of `Bounds` that override or follow the usual ones.
    """
    return {
        "Node": f"edge-{ip}",
        "Role": "entry",
        "Ip": ip,
        "Zone": zone,
        "Region": ZONES[zone],
        "InternalPorts": [ports.peer, ports.peer + PEER_PORT_COUNT - 1],
        "Seeds": [f"{seed}:{ports.control}" for seed in seeds],
        "Zones": ZONES,
        "Bootstrap": first_start,
        "Unknown": {"field": 1},
        "ListenAddrs": {
            "Front": f"{ip}:{ports.front}",
            "Ready": f"{ip}:{ports.ready}",
            "Control": f"{ip}:{ports.control}",
            "Directory": f"{ip}:{ports.directory}",
        },
        "Limits": {"LinkMbps": 100.0},
        "Bounds": {
            "GraceS": GRACE_SECONDS,
            "RetryBudgetRatio": RETRY_BUDGET_RATIO,
            "RetryBudgetExtra": RETRY_BUDGET_EXTRA,
            "BudgetWindowS": RETRY_BUDGET_WINDOW_SECONDS,
            "ColdOverage": 1.5,
            "ColdSlack": 3,
            "ttl_max_s": 5,
        }
        | dict(bounds or {}),
        "Platform": {"Address": store},
    }


def platform_route(
    prefix: str, kind: str, service: str = "desk", **options: object
) -> dict[str, Any]:
    """Return one route of the configuration; `options` override its fields."""
    return {
        "Name": prefix,
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "HomeRegions": [],
    } | options


def platform_tenant(name: str, *keys: str, **options: object) -> dict[str, Any]:
    """Return one tenant of the configuration; `options` override its fields."""
    return {
        "Name": name,
        "ApiKeys": list(keys),
        "Unit": "tokens",
        "UncachedTokens": 200,
        "RatePerS": 0,
        "Burst": 0,
        "HomeRegions": [],
    } | options


def platform_configuration(
    version: int = 1,
    routes: Sequence[Mapping[str, Any]] | None = None,
    tenants: Sequence[Mapping[str, Any]] = (),
) -> dict[str, Any]:
    """Return a configuration, by default with a route of each kind and no tenants."""
    configuration = _configuration(version, routes)
    return configuration | ({"Tenants": list(tenants)} if tenants else {})


def _configuration(
    version: int, routes: Sequence[Mapping[str, Any]] | None
) -> dict[str, Any]:
    return {
        "Version": version,
        "Routes": routes
        or [
            platform_route("/look/", "idempotent"),
            platform_route("/book/", "non_idempotent", MaxAttempts=1),
            platform_route("/ask/", "streaming", "llm", Resumable=True, TimeoutMs=5000),
            platform_route("/plan/", "streaming", "llm", MaxAttempts=1, TimeoutMs=5000),
            platform_route("/home/", "idempotent", HomeRegions=["delta"]),
        ],
        "Services": [
            {"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 50},
            {
                "Name": "llm",
                "HealthPath": "/healthz",
                "MaxConnections": 50,
                "ColdS": 3.0,
                "ColdPerS": 2.0,
                "Engine": {"Slots": 8, "KvCacheTokens": 100000},
            },
        ],
    }


def target_key(target: str) -> str:
    """Return the key of a target's record in the store."""
    return f"servers/{target}"


def target_entry(
    address: str, *, service: str = "desk", zone: str = "gulf-a", **options: object
) -> dict[str, Any]:
    """Return a target's record in the store; `options` override its fields."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdLeftMs": 0,
        "Sequence": 1,
        "born": 1,
    } | options
