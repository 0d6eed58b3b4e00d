"""Settings file of a process on the platform."""

import math
import tomllib
from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated

import msgspec

from pimentospool.errors import PimentospoolError
from pimentospool.gateway import (
    Address,
    GatewaySettings,
    PaceLimits,
    QuotaBounds,
    SharedBounds,
)
from pimentospool.ids import EntryId, RegionId, ZoneId
from pimentospool.platform._numbers import parse_count

SETTINGS_VARIABLE = "PIMENTOSPOOL_CONFIG"
DIRECTORY_TTL_SECONDS = 2.0
"""Time for which callers may cache a directory answer; short, so that they soon
notice changes."""
DEFAULT_MEMORY_MB = 300.0
"""Memory of a process whose settings don't state it: that of a small entry VM."""
_MAX_PORT = 65535
_MILLISECONDS_PER_SECOND = 1000.0
_BYTES_PER_MEGABYTE = 1_000_000
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class NodeSettingsError(PimentospoolError):
    """The settings file cannot be read; the message names the invalid field."""


class _ListenAddrs(msgspec.Struct, rename="pascal"):
    front: str
    ready: str
    control: str
    directory: str


class _Bounds(msgspec.Struct, rename="pascal"):
    grace_s: float = 8.0
    config_apply_ms: float = 3000.0
    drain_ms: float = 3000.0
    evacuation_ms: float = 5000.0
    retry_budget_ratio: float = 0.1
    retry_budget_extra: float = 0.0
    budget_window_s: float = 10.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    strict_revoke: bool = False
    revoke_ms: float = 0.0
    quota_window_s: float = 0.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    ttl_max_s: float = msgspec.field(name="ttl_max_s", default=5.0)


class _Platform(msgspec.Struct, rename="pascal"):
    address: str


class _Limits(msgspec.Struct, rename="pascal"):
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: float = 0.0


class _Pace(msgspec.Struct, rename="pascal"):
    """A table of our own; the platform's settings don't have it."""

    min_bytes_per_s: _NonNegative = PaceLimits().min_bytes_per_second
    window_s: _Positive = PaceLimits().window_seconds
    pressed_bytes_per_s: _NonNegative = PaceLimits().pressed_bytes_per_second
    pressed_s: _Positive = PaceLimits().pressed_seconds


class _NodeFile(msgspec.Struct, rename="pascal"):
    """The settings file with the platform's names; the suffix of a time is its unit."""

    node: str
    zone: str
    region: str
    ip: str
    internal_ports: tuple[int, int]
    listen_addrs: _ListenAddrs
    platform: _Platform
    bootstrap: bool = False
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    pace: _Pace = msgspec.field(default_factory=_Pace)
    zones: dict[str, str] = msgspec.field(default_factory=dict)
    seeds: list[str] = msgspec.field(default_factory=list)
    """Control addresses of other machines; their peer addresses have the peer port."""


def read_node_settings(path: Path) -> GatewaySettings:
    """Return the validated settings from the file at `path`.

    Raises
    ------
    NodeSettingsError
        If the file cannot be read, or a field is missing or of the wrong type.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        node = msgspec.convert(raw, _NodeFile)
        return _to_settings(node)
    except (OSError, ValueError, msgspec.ValidationError) as exc:
        raise NodeSettingsError(f"{path}: {exc}") from exc


def parse_address(text: str) -> Address:
    """Return the address in `text`, which has to be of the form IP:PORT.

    Raises
    ------
    ValueError
        If `text` is of another form.
    """
    host, _, port_text = text.rpartition(":")
    port = parse_count(port_text)
    if not _is_ip_address(host) or port is None or not 0 < port <= _MAX_PORT:
        raise ValueError(f"{text!r} is not an address of the form IP:PORT")
    return Address(host, port)


def _is_ip_address(text: str) -> bool:
    try:
        IPv4Address(text)
    except ValueError:
        return False
    return True


def _bandwidth(mbps: float) -> float:
    """Return a bandwidth, 0 for one that no link has."""
    return mbps if 0.0 < mbps < math.inf else 0.0


def _memory_bytes(megabytes: float) -> float:
    """Return a size of memory in bytes, the default for one that no process has."""
    stated = 0.0 < megabytes < math.inf
    return (megabytes if stated else DEFAULT_MEMORY_MB) * _BYTES_PER_MEGABYTE


def _to_settings(node: _NodeFile) -> GatewaySettings:
    listen, bounds = node.listen_addrs, node.bounds
    peer_port = node.internal_ports[0]
    return GatewaySettings(
        entry=EntryId(node.node),
        zone=ZoneId(node.zone),
        region=RegionId(node.region),
        zone_regions={ZoneId(z): RegionId(r) for z, r in node.zones.items()},
        front=parse_address(listen.front),
        ready=parse_address(listen.ready),
        directory=parse_address(listen.directory),
        control=parse_address(listen.control),
        peer=Address(node.ip, peer_port),
        seeds=tuple(
            Address(parse_address(seed).host, peer_port) for seed in node.seeds
        ),
        store=parse_address(node.platform.address),
        first_start=node.bootstrap,
        grace_seconds=bounds.grace_s,
        directory_ttl_seconds=min(DIRECTORY_TTL_SECONDS, bounds.ttl_max_s),
        follow_seconds=min(
            bounds.config_apply_ms, bounds.drain_ms, bounds.evacuation_ms
        )
        / _MILLISECONDS_PER_SECOND,
        link_mbps=_bandwidth(node.limits.link_mbps),
        memory_bytes=_memory_bytes(node.limits.memory_mb),
        max_descriptors=node.limits.max_fds if node.limits.max_fds > 0 else math.inf,
        pace=PaceLimits(
            min_bytes_per_second=node.pace.min_bytes_per_s,
            window_seconds=node.pace.window_s,
            pressed_bytes_per_second=node.pace.pressed_bytes_per_s,
            pressed_seconds=node.pace.pressed_s,
        ),
        revocation_seconds=(
            bounds.revoke_ms / _MILLISECONDS_PER_SECOND
            if bounds.strict_revoke and bounds.revoke_ms > 0
            else math.inf
        ),
        quota_bounds=QuotaBounds(
            window_seconds=bounds.quota_window_s,
            overage=bounds.quota_overage,
            slack=bounds.quota_slack,
        ),
        bounds=SharedBounds(
            retry_ratio=bounds.retry_budget_ratio,
            retry_reserve=bounds.retry_budget_extra,
            retry_window_seconds=bounds.budget_window_s,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
        ),
    )
