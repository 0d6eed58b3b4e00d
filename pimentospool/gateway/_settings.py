"""What one gateway process is told about itself and its bounds."""

import msgspec

from pimentospool.gateway._model import Address
from pimentospool.gateway._placement import SharedBounds
from pimentospool.ids import EntryId, RegionId, ZoneId


class GatewaySettings(msgspec.Struct, kw_only=True, frozen=True):
    """Checked settings of one gateway process."""

    entry: EntryId
    zone: ZoneId
    region: RegionId
    zone_regions: dict[ZoneId, RegionId]
    front: Address
    """Where callers connect."""
    ready: Address
    """Where the readiness check asks."""
    directory: Address
    """Where callers ask for entry VMs."""
    control: Address
    """Where metrics and status are read."""
    peer: Address
    """Where other entry VMs send requests (TCP) and heartbeats (UDP)."""
    seeds: tuple[Address, ...]
    """Peer addresses to join by."""
    store: Address
    """The store to watch."""
    grace_seconds: float
    """Time between SIGTERM and SIGKILL."""
    directory_ttl_seconds: float
    """Time for which callers may keep an answer of the directory."""
    bounds: SharedBounds
