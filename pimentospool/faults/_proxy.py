"""A TCP proxy that cuts, delays and silences what passes through it."""

import asyncio
from contextlib import suppress
from enum import Enum

import msgspec

_READ_BYTES = 64 * 1024


class Direction(Enum):
    """Which way bytes flow through the proxy."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class LinkState(msgspec.Struct, kw_only=True):
    """What the proxy does to connections.

    Parameters
    ----------
    refuse : bool
        Close new connections at once.
    silent : frozenset of Direction
        Directions in which bytes are dropped without a sign.
    delay_seconds : float
        One-way delay of every piece.
    cut_after : dict of Direction to int
        Bytes of one connection after which it is reset, by direction.
    """

    refuse: bool = False
    silent: frozenset[Direction] = frozenset()
    delay_seconds: float = 0.0
    cut_after: dict[Direction, int] = msgspec.field(default_factory=dict)


class _Connection:
    """One relayed connection; `lost` drops all further bytes without a sign."""

    def __init__(
        self, client: asyncio.StreamWriter, server: asyncio.StreamWriter
    ) -> None:
        self.lost = False
        self.writers = {Direction.TO_CLIENT: client, Direction.TO_SERVER: server}

    def reset(self) -> None:
        for writer in self.writers.values():
            writer.transport.abort()


class FaultProxy:
    """Relays TCP connections from its own address to `upstream`.

    Parameters
    ----------
    upstream : str
        IP:port of the server behind the proxy.
    listen : str
        IP:port to listen on; port 0 takes a free one.
    """

    def __init__(self, *, upstream: str, listen: str = "127.0.0.1:0") -> None:
        self.upstream = upstream
        self.address = listen
        self.state = LinkState()
        self.accepted = 0
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; `address` then holds the real port."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Reset every connection and stop listening."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heal(self) -> None:
        """Pass everything again; lost connections stay lost."""
        self.state = LinkState()

    def cut(self) -> None:
        """Reset every connection and refuse new ones."""
        self.state = LinkState(refuse=True)
        self.reset_connections()

    def blackhole(self, *directions: Direction) -> None:
        """Drop bytes without a sign, both ways by default."""
        self.state = LinkState(silent=frozenset(directions or Direction))

    def lose_connections(self) -> None:
        """Make open connections silent for good while new ones work."""
        for conn in self._connections:
            conn.lost = True

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for conn in list(self._connections):
            conn.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.accepted += 1
        if self.state.refuse:
            writer.transport.abort()
            return
        host, _, port = self.upstream.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        conn = _Connection(writer, upstream[1])
        self._connections.add(conn)
        try:
            await asyncio.gather(
                self._relay(conn, reader, Direction.TO_SERVER),
                self._relay(conn, upstream[0], Direction.TO_CLIENT),
            )
        finally:
            self._connections.discard(conn)
            conn.reset()

    async def _relay(
        self, conn: _Connection, reader: asyncio.StreamReader, direction: Direction
    ) -> None:
        writer = conn.writers[direction]
        passed = 0
        with suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if self.state.delay_seconds:
                    await asyncio.sleep(self.state.delay_seconds)
                if conn.lost or direction in self.state.silent:
                    continue
                limit = self.state.cut_after.get(direction)
                if limit is not None and passed + len(data) > limit:
                    writer.write(data[: max(0, limit - passed)])
                    await writer.drain()
                    conn.reset()
                    return
                passed += len(data)
                writer.write(data)
                await writer.drain()
            if not conn.lost and direction not in self.state.silent:
                writer.write_eof()
