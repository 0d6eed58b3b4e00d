"""Free loopback addresses for tests, demos and drills."""

import random
import socket

LOOPBACK = "127.0.0.1"
# Below the range from which the kernel takes the ports of outgoing connections and
# of listeners on port 0, so that none of these takes an address before its owner.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000


def free_addresses(count: int) -> list[str]:
    """Return `count` different IP:port on loopback that nothing listens on."""
    rng = random.SystemRandom()
    ports = range(_FIRST_PORT, _LAST_PORT + 1)
    found: list[str] = []
    for port in rng.sample(ports, len(ports)):
        if len(found) == count:
            break
        if _is_free(port):
            found.append(f"{LOOPBACK}:{port}")
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
