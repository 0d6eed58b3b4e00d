"""Finds which entry process opened a loopback connection.

Links between regions are cut by the region that a connection comes from. On loopback
all processes share one address, so the process is found from the kernel's answer about
the one socket (``sock_diag(7)``) and from the descriptors of the processes that the
drill itself started.
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
# Offset in the reply: header, four bytes, the socket's identity, four counters.
_INODE_OFFSET = 16 + 4 + 48 + 16


class SourceFinder:
    """Names the entry process behind a connection.

    Parameters
    ----------
    processes : callable
        Returns the ids of the drill's own processes and their names.
    """

    def __init__(self, *, processes: Callable[[], dict[int, str]]) -> None:
        self._processes = processes

    def source_of(self, client: str, server: str) -> str:
        """Return the name of the process at the client's end, or an empty string.

        Parameters
        ----------
        client, server : str
            IP:port of both ends.
        """
        inode = _socket_inode(client, server)
        if not inode:
            return ""
        link = f"socket:[{inode}]"
        for pid, name in self._processes().items():
            if _holds(pid, link):
                return name
        return ""


def _socket_inode(local: str, remote: str) -> int:
    """Return the inode of the socket between two IPv4 ends; 0 if there is none."""
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
    _, kind, *_ = _HEADER.unpack_from(reply)
    if kind != _SOCK_DIAG_BY_FAMILY:
        return 0
    return int(_INODE.unpack_from(reply, _INODE_OFFSET)[0])


def _holds(pid: int, link: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        return any(_target(folder, name) == link for name in os.listdir(folder))
    except OSError:
        return False


def _target(folder: str, name: str) -> str:
    try:
        return os.readlink(f"{folder}/{name}")
    except OSError:
        return ""
