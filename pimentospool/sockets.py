"""Sockets whose connections end by themselves when the other side falls silent."""

import socket

UNACKNOWLEDGED_MS = 1500
"""Time after which the kernel ends a connection whose bytes are not confirmed."""
KEEPALIVE_IDLE_SECONDS = 1
"""Rest after which the other side is probed, and time between probes."""
KEEPALIVE_PROBES = 2
"""Probes without an answer after which the connection ends."""


def open_socket() -> socket.socket:
    """Return a non-blocking TCP socket that notices a silent connection."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock
