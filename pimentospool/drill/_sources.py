"""Finds which entry process opened a loopback connection.

A link between two regions is cut for the connections that come from one of them. On
loopback all processes share one address, so the address does not tell which process a
connection comes from. ``sock_diag(7)`` gives the inode of the client's socket, and the
file descriptors of the processes that the drill started show which one has it open.
"""

import os
import socket
import struct
from collections.abc import Callable

_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ALL_STATES = 0xFFFFFFFF
_NO_COOKIE = 0xFFFFFFFF
_REPLY_BYTES = 8192
_HEADER = struct.Struct("=IHHII")
_REQUEST = struct.Struct("=BBBBI")
_PORTS_AND_ADDRESSES = struct.Struct("!HH16s16s")
_INTERFACE_AND_COOKIE = struct.Struct("=III")
_INODE = struct.Struct("=I")
# Bytes before the inode: netlink header, four 1-byte fields, the socket's identity
# (ports, addresses, interface, cookie), four 4-byte counters.
_INODE_OFFSET = 16 + 4 + 48 + 16


class SourceFinder:
    """Identifies the entry process that opened a connection.

    Parameters
    ----------
    processes : callable
        Returns the names of the processes to search, by process id.
    """

    def __init__(self, *, processes: Callable[[], dict[int, str]]) -> None:
        self._processes = processes

    def source_of(self, client: str, server: str) -> str:
        """Return the name of the client's process, or an empty string if unknown.

        Parameters
        ----------
        client, server : str
            IP:port of both ends of the connection.
        """
        inode = _socket_inode(client, server)
        if not inode:
            return ""
        socket_link = f"socket:[{inode}]"
        for pid, name in self._processes().items():
            if _has_open_socket(pid, socket_link):
                return name
        return ""


def _socket_inode(local: str, remote: str) -> int:
    """Return the inode of an IPv4 connection's local socket; 0 if there is none."""
    local_ip, _, local_port = local.rpartition(":")
    remote_ip, _, remote_port = remote.rpartition(":")
    body = _REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL_STATES)
    body += _PORTS_AND_ADDRESSES.pack(
        int(local_port),
        int(remote_port),
        socket.inet_aton(local_ip),
        socket.inet_aton(remote_ip),
    )
    body += _INTERFACE_AND_COOKIE.pack(0, _NO_COOKIE, _NO_COOKIE)
    length = _HEADER.size + len(body)
    header = _HEADER.pack(length, _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(header + body)
        reply = netlink.recv(_REPLY_BYTES)
    _, message_type, *_ = _HEADER.unpack_from(reply)
    if message_type != _SOCK_DIAG_BY_FAMILY:
        return 0
    return int(_INODE.unpack_from(reply, _INODE_OFFSET)[0])


def _has_open_socket(pid: int, socket_link: str) -> bool:
    fd_folder = f"/proc/{pid}/fd"
    try:
        return any(
            _read_link(fd_folder, name) == socket_link for name in os.listdir(fd_folder)
        )
    except OSError:
        return False


def _read_link(fd_folder: str, name: str) -> str:
    try:
        return os.readlink(f"{fd_folder}/{name}")
    except OSError:
        return ""
