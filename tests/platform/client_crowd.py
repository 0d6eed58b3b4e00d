"""A crowd of clients outside the limits, and what a node holds meanwhile."""

import asyncio
import contextlib
import os
import re
import socket
from pathlib import Path

from pimentospool.gateway._view_exchange import view_address
from pimentospool.platform import read_node_settings

RESERVED_DESCRIPTORS = 200
"""Descriptors of `MaxFds` that are kept for files; sockets share the others."""
SAMPLE_SECONDS = 0.05
RECONNECT_SECONDS = 0.2
PIECE_PAUSE_SECONDS = 0.05
"""Pause of a client after each piece that it sends without end."""
SLOW_READ_BYTES = 1024
SLOW_READ_SECONDS = 0.1
CLIENT_BUFFER_BYTES = 8 * 1024
"""Receive buffer of a client; an answer that it does not read waits elsewhere."""
LISTENING = "0A"


class ClientClass:
    """What each client of a class sends, and how it reads.

    Parameters
    ----------
    opening : callable
        Returns the bytes that the client with a number sends first.
    piece : bytes
        Bytes that it sends without end after them, if there are any.
    reads : str
        "all", "slowly" or "nothing".
    listener : str
        Listener to which the clients connect.
    pause_seconds : float
        Pause after each piece.
    ending : str
        What follows the opening if there are no pieces: "none", "close" (of its own
        direction only) or "reset".
    """

    def __init__(
        self,
        opening,
        piece=b"",
        *,
        reads="nothing",
        listener="front",
        pause_seconds=PIECE_PAUSE_SECONDS,
        ending="none",
    ):
        self.opening = opening
        self.piece = piece
        self.reads = reads
        self.listener = listener
        self.pause_seconds = pause_seconds
        self.ending = ending

    def at(self, listener):
        """Return the same class at another listener."""
        return ClientClass(
            self.opening,
            self.piece,
            reads=self.reads,
            listener=listener,
            pause_seconds=self.pause_seconds,
            ending=self.ending,
        )


class ClientCrowd:
    """Clients of one or several classes, which connect again once they are cut off.

    Parameters
    ----------
    classes : list of ClientClass
        Classes, to which the clients belong in turn.
    addresses : dict
        Addresses of the listeners by name.
    count : int
        Number of clients.

    Attributes
    ----------
    statuses : dict of str to int
        Status of the first answer to the request with an id, as far as it was read.
    """

    def __init__(self, classes, addresses, count):
        self.statuses = {}
        self._classes = classes
        self._addresses = addresses
        self._count = count
        self._tasks = []
        self._next_id = 0

    async def __aenter__(self):
        for number in range(self._count):
            kind = self._classes[number % len(self._classes)]
            self._tasks.append(asyncio.create_task(self._run(kind)))
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, kind):
        address = self._addresses[kind.listener]
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
            # What is left unread must not keep the connection after its end.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            with contextlib.suppress(OSError), sock:
                loop = asyncio.get_running_loop()
                await loop.sock_connect(sock, (address.host, address.port))
                await self._misbehave(kind, sock)
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _misbehave(self, kind, sock):
        self._next_id += 1
        request_id = f"crowd-{self._next_id}"
        reading = asyncio.create_task(self._read(kind, sock, request_id))
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, kind.opening(request_id.encode()))
            while kind.piece:
                await loop.sock_sendall(sock, kind.piece)
                await asyncio.sleep(kind.pause_seconds)
            if kind.ending == "reset":
                return
            if kind.ending == "close":
                sock.shutdown(socket.SHUT_WR)
            await reading
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    async def _read(self, kind, sock, request_id):
        if kind.reads == "nothing":
            await asyncio.Event().wait()
        loop = asyncio.get_running_loop()
        start = b""
        while data := await loop.sock_recv(sock, SLOW_READ_BYTES):
            if len(start) < SLOW_READ_BYTES:
                start += data
                if found := re.match(rb"HTTP/1\.[01] (\d+)", start):
                    self.statuses.setdefault(request_id, int(found[1]))
            if kind.reads == "slowly":
                await asyncio.sleep(SLOW_READ_SECONDS)


class NodeWatch:
    """Samples what a node holds: memory, bytes that it has not read, descriptors.

    Parameters
    ----------
    node : NodeProcess
        The node.

    Attributes
    ----------
    most_bytes : int
        Most memory, bytes in its sockets that it has not read included.
    most_unread_bytes : int
        Most bytes that it has not read.
    most_sockets : int
        Most sockets and pipes.
    most_descriptors : int
        Most descriptors of any kind.
    """

    def __init__(self, node):
        self.most_bytes = self.most_unread_bytes = 0
        self.most_sockets = self.most_descriptors = 0
        self._proc = node.proc
        self._host = address_text(listener_addresses(node)["front"].host)
        self._task = None

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info):
        self._task.cancel()

    async def _run(self):
        while self._proc.poll() is None:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def sample(self):
        """Take one sample."""
        links = descriptor_links(self._proc.pid)
        inodes = {link[8:-1] for link in links if link.startswith("socket:[")}
        unread = unread_bytes(self._host, inodes)
        resident = resident_bytes(self._proc.pid)
        self.most_bytes = max(self.most_bytes, resident + unread)
        self.most_unread_bytes = max(self.most_unread_bytes, unread)
        sockets = sum(link.startswith(("socket:", "pipe:")) for link in links)
        self.most_sockets = max(self.most_sockets, sockets)
        self.most_descriptors = max(self.most_descriptors, len(links))


def listener_addresses(node):
    """Return the addresses of all listeners of a node by name."""
    cfg = read_node_settings(node.settings_path)
    names = ("front", "peer", "directory", "ready", "control")
    return {name: getattr(cfg, name) for name in names} | {
        "view": view_address(cfg.peer)
    }


def descriptor_links(pid):
    """Return what the descriptors of a process refer to."""
    links = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        with contextlib.suppress(OSError):
            links.append(os.readlink(f"/proc/{pid}/fd/{name}"))
    return links


def resident_bytes(pid):
    """Return the memory that a process holds."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) * 1024


def address_text(host):
    """Return an IP address as the kernel's tables write it."""
    return socket.inet_aton(host)[::-1].hex().upper()


def unread_bytes(host, inodes):
    """Return the bytes that sockets with these inodes, or at this host, hold unread.

    A connection that has not been accepted has no inode yet.
    """
    total = 0
    for table in ("tcp", "udp"):
        for line in Path(f"/proc/net/{table}").read_text().splitlines()[1:]:
            fields = line.split()
            is_own = fields[1].startswith(host + ":") or fields[9] in inodes
            if is_own and fields[3] != LISTENING:
                total += int(fields[4].partition(":")[2], 16)
    return total
