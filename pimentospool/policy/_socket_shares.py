"""How many sockets each listener and the connections to others may have.

Every listener has a number of its own, so that connections to one of them leave room
for the others: a process that is full of callers still answers its readiness check.
"""

from collections.abc import Mapping
from enum import Enum

import msgspec

FILE_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files."""
OWN_DESCRIPTORS = 40
"""Descriptors of the listeners, the datagrams, the event loop, the connections to the
store and those between entry VMs that are not for requests."""
SOCKET_BYTES = 16 * 1024
"""Memory of an idle connection, its parser included, with the bytes of a head."""
MEMORY_SHARE = 0.1
"""Share of the memory of the process that idle connections may take."""
MIN_SOCKETS = 64
"""Sockets that are divided if fewer are left."""


class Listener(Enum):
    """What accepts connections, by who connects."""

    CALLERS = "callers"
    HOPS = "hops"
    VIEWS = "views"
    DIRECTORY = "directory"
    READINESS = "readiness"
    METRICS = "metrics"


SHARES = {
    Listener.CALLERS: 0.38,
    Listener.HOPS: 0.12,
    Listener.VIEWS: 0.1,
    Listener.DIRECTORY: 0.08,
    Listener.READINESS: 0.02,
    Listener.METRICS: 0.02,
}
"""Shares of the sockets by listener; connections to others have the rest."""


class SocketShares(msgspec.Struct, kw_only=True, frozen=True):
    """Limits on the connections of one process."""

    accepted: Mapping[Listener, int]
    """Limit on the connections that each listener has accepted."""
    opened: int
    """Limit on the connections to targets and to entry VMs of other regions."""


def share_sockets(*, max_descriptors: float, process_bytes: float) -> SocketShares:
    """Divide the sockets that a process may have.

    Parameters
    ----------
    max_descriptors : float
        Descriptors that the process may have, infinite if no limit is known.
    process_bytes : float
        Memory that the process may use.
    """
    sockets = max(
        MIN_SOCKETS,
        min(
            max_descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS,
            process_bytes * MEMORY_SHARE / SOCKET_BYTES,
        ),
    )
    accepted = {listener: int(share * sockets) for listener, share in SHARES.items()}
    opened = int(sockets * (1.0 - sum(SHARES.values())))
    return SocketShares(
        accepted={key: max(1, count) for key, count in accepted.items()}, opened=opened
    )
