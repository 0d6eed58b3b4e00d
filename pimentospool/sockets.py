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
RECEIVE_BUFFER_BYTES = 16 * 1024
"""Receive buffer of connections of callers and to targets: the bytes that one which is
not read may hold count as memory of the process. The kernel doubles it for its own use,
and payload may take up all of that."""
LONG_RECEIVE_BUFFER_BYTES = 128 * 1024
"""The same while a long body arrives that is counted in the memory of its request."""
_MILLISECONDS = 1000


def open_socket(
    silence_seconds: float = SILENCE_SECONDS, *, receive_buffer_bytes: int | None = None
) -> socket.socket:
    """Return a non-blocking TCP socket that detects an unresponsive connection.

    Parameters
    ----------
    silence_seconds : float
        Time for which the other side may acknowledge nothing.
    receive_buffer_bytes : int, optional
        Size of the receive buffer; the kernel chooses one by default.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if receive_buffer_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
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


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a bound TCP socket; connections that it accepts have short buffers."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


def set_receive_buffer(transport: asyncio.BaseTransport, size_bytes: int) -> None:
    """Set the size of the receive buffer of a connection, unless it is being closed."""
    if transport.is_closing():
        return
    fileno = transport.get_extra_info("socket").fileno()
    # With family, type and protocol, the object asks the kernel for nothing.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fileno)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)
    finally:
        sock.detach()


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
