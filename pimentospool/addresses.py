"""Free loopback addresses for tests, demos and drills."""

import os
import random
import socket

LOOPBACK = "127.0.0.1"
# Below the range from which the kernel takes the ports of outgoing connections and
# of listeners on port 0, so that none of these takes an address before its owner.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 400
_given: set[int] = set()


def free_addresses(count: int) -> list[str]:
    """Return `count` different IP:port on loopback that nothing listens on."""
    ports = range(_FIRST_PORT, _LAST_PORT + 1)
    # Processes that search at the same time begin at different places.
    first = os.getpid() * _PORTS_PER_PROCESS + random.randrange(_PORTS_PER_PROCESS)
    found: list[str] = []
    for step in range(len(ports)):
        port = ports[(first + step) % len(ports)]
        if len(found) == count:
            break
        if port not in _given and _is_free(port):
            _given.add(port)
            found.append(f"{LOOPBACK}:{port}")
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
