"""Free loopback addresses for tests, demos and drills."""

import random
import socket

LOOPBACK = "127.0.0.1"
_PORTS = range(15000, 32000)
"""Below the ports that the kernel gives to outgoing connections."""


def free_addresses(count: int) -> list[str]:
    """Return `count` different IP:port on loopback that nothing listens on."""
    rng = random.SystemRandom()
    sockets: list[socket.socket] = []
    try:
        while len(sockets) < count:
            sock = socket.socket()
            sockets.append(sock)
            try:
                sock.bind((LOOPBACK, rng.choice(_PORTS)))
            except OSError:
                sockets.pop().close()
        return [f"{LOOPBACK}:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
