"""Pools of connections, one an address and life of a target."""

import math

from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._model import Address, Registration, ServiceSpec
from pimentospool.ids import RegionId, TargetId

PEER_CONNECTIONS = 128
"""Most connections to one entry VM of another region."""
PEER_CONNECT_SECONDS = 0.6
"""Longest wait for a connection to another region, several round trips."""
CONNECTION_SHARE = 0.8
"""Part of a target's connections that all entry VMs use together; closed ones take
a moment to be forgotten there."""


class Pools:
    """Connections to targets and to entry VMs.

    Parameters
    ----------
    region : RegionId
        Region whose entry VMs share the targets' connections.
    fleet : Fleet
        The entry VMs.
    """

    def __init__(self, *, region: RegionId, fleet: Fleet) -> None:
        self._region = region
        self._fleet = fleet
        self._targets: dict[TargetId, ConnectionPool] = {}
        self._peers: dict[Address, ConnectionPool] = {}

    def to_target(
        self, registration: Registration, service: ServiceSpec
    ) -> ConnectionPool:
        """Return the pool of a target's life."""
        members = max(1, len(self._fleet.known_ids(self._region)))
        share = service.max_connections * CONNECTION_SHARE / members
        limit = max(1, math.floor(share))
        pool = self._targets.get(registration.id)
        if pool is None or pool.address != registration.address:
            if pool is not None:
                pool.retire()
            pool = ConnectionPool(address=registration.address, limit=limit)
            self._targets[registration.id] = pool
        pool.limit = limit
        return pool

    def to_peer(self, address: Address) -> ConnectionPool:
        """Return the pool of an entry VM."""
        pool = self._peers.get(address)
        if pool is None:
            pool = ConnectionPool(
                address=address,
                limit=PEER_CONNECTIONS,
                connect_seconds=PEER_CONNECT_SECONDS,
            )
            self._peers[address] = pool
        return pool

    def forget(self, target: TargetId) -> None:
        """Close the connections of a removed target once they are not in use."""
        pool = self._targets.pop(target, None)
        if pool is not None:
            pool.retire()
