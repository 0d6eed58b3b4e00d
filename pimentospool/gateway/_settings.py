"""Settings of one gateway process."""

import math

import msgspec

from pimentospool.gateway._model import Address
from pimentospool.gateway._placement import SharedBounds
from pimentospool.ids import EntryId, RegionId, ZoneId
from pimentospool.policy import PaceLimits


class QuotaBounds(msgspec.Struct, kw_only=True, frozen=True):
    """Tolerance of the quotas of tenants, over all entry VMs together.

    In any window, a tenant's requests cost at most its nominal quota, and this more.
    """

    window_seconds: float = 0.0
    """Length of a window; 0 if the deployment has no quotas."""
    overage: float = 0.0
    """Share of the nominal quota of a window."""
    slack: float = 0.0
    """Cost, in the unit of the tenant's quota."""


class GatewaySettings(msgspec.Struct, kw_only=True, frozen=True):
    """Validated settings of one gateway process."""

    entry: EntryId
    zone: ZoneId
    region: RegionId
    zone_regions: dict[ZoneId, RegionId]
    front: Address
    """Address at which callers connect."""
    ready: Address
    """Address of the readiness check."""
    directory: Address
    """Address at which callers look up entry VMs."""
    control: Address
    """Address of the metrics and status pages."""
    peer: Address
    """Address for requests (TCP) and heartbeats (UDP) of other entry VMs."""
    seeds: tuple[Address, ...]
    """Peer addresses of other entry VMs to contact first."""
    store: Address
    """Address of the platform's store."""
    first_start: bool
    """Whether all entry VMs start for the first time."""
    grace_seconds: float
    """Time between SIGTERM and SIGKILL."""
    directory_ttl_seconds: float
    """Time for which callers may cache a response of the directory."""
    follow_seconds: float
    """Time within which a published change has to be followed."""
    link_mbps: float
    """Bandwidth of this VM's link in Mbit/s, 0 if it isn't known."""
    memory_bytes: float
    """Memory that the process may use; it is ended if it uses more."""
    bounds: SharedBounds
    max_descriptors: float = math.inf
    """Descriptors that the process may have; infinite if no limit is stated."""
    pace: PaceLimits = PaceLimits()
    """Slowest pace at which callers and others may send bodies and take answers."""
    revocation_seconds: float = math.inf
    """Time after which a withdrawn API key must not be accepted by any entry VM, in
    contact with the store or not; infinite without such a bound."""
    quota_bounds: QuotaBounds = QuotaBounds()

    @property
    def expects_tenants(self) -> bool:
        """Whether only a deployment whose configurations have tenants has these."""
        return (
            math.isfinite(self.revocation_seconds)
            or self.quota_bounds.window_seconds > 0.0
        )
