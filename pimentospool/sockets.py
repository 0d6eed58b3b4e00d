"""TCP sockets whose connections time out when the other side stops responding."""

import socket

UNACKNOWLEDGED_TIMEOUT_MS = 1500
"""Time after which the kernel closes a connection whose bytes are unacknowledged."""
KEEPALIVE_IDLE_SECONDS = 1
"""Idle time before the first keepalive probe, and time between probes."""
KEEPALIVE_PROBES = 2
"""Unanswered probes after which the kernel closes the connection."""


def open_socket() -> socket.socket:
    """Return a non-blocking TCP socket that detects an unresponsive connection."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock
