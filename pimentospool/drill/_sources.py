"""Finds which entry process opened a loopback connection.

Links between regions are cut by the region that a connection comes from. On loopback
all processes share one address, so the process is found from the kernel's table of
TCP sockets and from the descriptors of the processes that the drill itself started.
"""

import os
from collections.abc import Callable
from pathlib import Path

_TABLE = Path("/proc/net/tcp")
_LOCAL_FIELD = 1
_INODE_FIELD = 9


class SourceFinder:
    """Names the entry process behind a local TCP port.

    Parameters
    ----------
    processes : callable
        Returns the ids of the drill's own processes and their names.
    """

    def __init__(self, *, processes: Callable[[], dict[int, str]]) -> None:
        self._processes = processes

    def source_of(self, port: int) -> str:
        """Return the name of the process that owns `port`, or an empty string."""
        inode = _socket_inode(port)
        if inode is None:
            return ""
        link = f"socket:[{inode}]"
        for pid, name in self._processes().items():
            if _holds(pid, link):
                return name
        return ""


def _socket_inode(port: int) -> str | None:
    suffix = f":{port:04X}"
    for line in _TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[_LOCAL_FIELD].endswith(suffix) and fields[_INODE_FIELD] != "0":
            return fields[_INODE_FIELD]
    return None


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
