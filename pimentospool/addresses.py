"""Free loopback addresses for tests, demos and drills."""

import socket

LOOPBACK = "127.0.0.1"


def free_addresses(count: int) -> list[str]:
    """Return `count` different IP:port on loopback that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [f"{LOOPBACK}:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
