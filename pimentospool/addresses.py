"""Free loopback addresses for tests, demos and drills."""

import os
import random
import socket

LOOPBACK = "127.0.0.1"
# The range lies below the kernel's ephemeral ports, so that no outgoing connection and
# no listener on port 0 takes an address before its owner binds it.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 400
_returned_ports: set[int] = set()


def free_addresses(count: int) -> list[str]:
    """Return `count` distinct loopback addresses (IP:port) that no socket is bound to.

    A process gets each address only once.
    """
    ports = range(_FIRST_PORT, _LAST_PORT + 1)
    # Processes that search at the same time start at different ports.
    first_index = os.getpid() * _PORTS_PER_PROCESS + random.randrange(
        _PORTS_PER_PROCESS
    )
    found: list[str] = []
    for offset in range(len(ports)):
        port = ports[(first_index + offset) % len(ports)]
        if len(found) == count:
            break
        if port not in _returned_ports and _is_free(port):
            _returned_ports.add(port)
            found.append(f"{LOOPBACK}:{port}")
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
