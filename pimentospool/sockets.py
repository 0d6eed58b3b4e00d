"""TCP sockets whose connections time out when the other side stops responding."""

import asyncio
import os
import select
import socket
import struct

SILENCE_SECONDS = 1.5
"""Time after which the kernel closes a connection whose peer acknowledges nothing,
neither bytes nor keepalive probes."""
KEEPALIVE_IDLE_SECONDS = 1
"""Idle time before the first keepalive probe, and time between probes."""
_MILLISECONDS = 1000


def open_socket(silence_seconds: float = SILENCE_SECONDS) -> socket.socket:
    """Return a non-blocking TCP socket that detects an unresponsive connection.

    Parameters
    ----------
    silence_seconds : float
        Time for which the other side may acknowledge nothing.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # It also decides when keepalive probes give up, whatever their count.
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(silence_seconds * _MILLISECONDS),
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_SECONDS)
    return sock


def set_reset_on_close(transport: asyncio.BaseTransport, *, enabled: bool) -> None:
    """Set whether a close of the connection resets it and discards unsent bytes."""
    # uvloop exposes no option of the socket; a duplicate shares them.
    fileno = os.dup(transport.get_extra_info("socket").fileno())
    with socket.socket(fileno=fileno) as sock:
        linger = struct.pack("ii", enabled, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def peer_has_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side has closed or reset the connection.

    It is seen here before the event loop has read what arrived ahead of the close.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
