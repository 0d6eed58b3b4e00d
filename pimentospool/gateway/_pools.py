"""Connection pools, one for each target instance and each peer address."""

import math
from collections.abc import Callable
from functools import partial

from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._model import Address, Registration, ServiceSpec
from pimentospool.gateway._open_connections import OpenConnections
from pimentospool.ids import RegionId, TargetId

MAX_PEER_CONNECTIONS = 128
"""Limit on the connections to one entry VM of another region."""
TARGET_SILENCE_SECONDS = 4.0
"""Time for which a target may acknowledge nothing. A sound one may fall silent for a
second or so, and its answers go on after that. Three keepalive probes fit in: they are
only lost together in a silence of two seconds."""
PEER_CONNECT_TIMEOUT_SECONDS = 0.6
"""Connect timeout to another region; several round trips."""
USABLE_CONNECTIONS_SHARE = 0.8
"""Share of a target's connection limit that all entry VMs use together. The target
counts closed connections for a moment longer."""


class ConnectionPools:
    """Connections to targets and to entry VMs.

    Parameters
    ----------
    region : RegionId
        Region whose entry VMs share the targets' connections.
    fleet : Fleet
        Membership of the entry VMs.
    max_connections : float
        Limit on the connections of all pools together.
    on_loss : callable
        Called with a target that may have started again, and with whether there was a
        connection to it before.
    on_reached : callable
        Called with a target to which a connection was opened.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        fleet: Fleet,
        max_connections: float = math.inf,
        on_loss: Callable[[TargetId, bool], None] = lambda target, was_connected: None,
        on_reached: Callable[[TargetId], None] = lambda target: None,
    ) -> None:
        self._region = region
        self._fleet = fleet
        self._on_loss = on_loss
        self._on_reached = on_reached
        self.open_connections = OpenConnections(
            limit=max_connections, close_idle=self._close_longest_idle
        )
        self._target_pools: dict[TargetId, ConnectionPool] = {}
        self._peer_pools: dict[Address, ConnectionPool] = {}

    def target_pool(
        self, registration: Registration, service: ServiceSpec
    ) -> ConnectionPool:
        """Return the pool of a target, a new one if its address has changed."""
        members = max(1, len(self._fleet.known_ids(self._region)))
        share = service.max_connections * USABLE_CONNECTIONS_SHARE / members
        limit = max(1, math.floor(share))
        pool = self._target_pools.get(registration.id)
        if pool is None or pool.address != registration.address:
            if pool is not None:
                pool.drain()
            pool = ConnectionPool(
                address=registration.address,
                limit=limit,
                silence_seconds=TARGET_SILENCE_SECONDS,
                open_connections=self.open_connections,
                on_loss=partial(self._on_loss, registration.id),
                on_reached=partial(self._on_reached, registration.id),
            )
            self._target_pools[registration.id] = pool
        pool.limit = limit
        return pool

    def peer_pool(self, address: Address) -> ConnectionPool:
        """Return the pool of the entry VM at `address`."""
        pool = self._peer_pools.get(address)
        if pool is None:
            pool = ConnectionPool(
                address=address,
                limit=MAX_PEER_CONNECTIONS,
                connect_timeout_seconds=PEER_CONNECT_TIMEOUT_SECONDS,
                open_connections=self.open_connections,
            )
            self._peer_pools[address] = pool
        return pool

    def _close_longest_idle(self) -> bool:
        pools = [*self._target_pools.values(), *self._peer_pools.values()]
        oldest = min(pools, key=lambda pool: pool.idle_since, default=None)
        return oldest is not None and oldest.close_oldest()

    def close_idle(self, target: TargetId) -> None:
        """Close the idle connections to a target, which may have gone silent, too."""
        pool = self._target_pools.get(target)
        if pool is not None:
            pool.close_idle()

    def drain_target(self, target: TargetId) -> None:
        """Close the connections of a removed target as soon as they are idle."""
        pool = self._target_pools.pop(target, None)
        if pool is not None:
            pool.drain()
