"""TCP sockets whose connections time out when the other side stops responding."""

import asyncio
import os
import socket
import struct

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


def set_reset_on_close(transport: asyncio.BaseTransport, *, enabled: bool) -> None:
    """Set whether a close of the connection resets it and discards unsent bytes."""
    # uvloop exposes no option of the socket; a duplicate shares them.
    fileno = os.dup(transport.get_extra_info("socket").fileno())
    with socket.socket(fileno=fileno) as sock:
        linger = struct.pack("ii", enabled, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
