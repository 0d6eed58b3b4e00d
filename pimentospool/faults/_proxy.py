"""TCP proxy that resets connections and delays or drops the bytes it relays."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import Enum

import msgspec

from pimentospool.sockets import set_reset_on_close
from pimentospool.tasks import cancel_tasks

_MAX_READ_BYTES = 64 * 1024
_MAX_QUEUED_CHUNKS = 256

SourceLookup = Callable[[str, str], str]
Tap = Callable[[str, bytes], None]


class Direction(Enum):
    """Direction in which bytes flow through the proxy."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class LinkState(msgspec.Struct, kw_only=True):
    """Faults that the proxy injects into connections.

    Parameters
    ----------
    refuse : bool
        Close new connections at once.
    blackholed : frozenset of Direction
        Directions in which bytes are dropped while the connection stays open.
    delay_seconds : float
        One-way delay of every chunk, added to the delay of the source.
    reset_after_bytes : dict of Direction to int
        Number of bytes after which a connection is reset, by direction.
    """

    refuse: bool = False
    blackholed: frozenset[Direction] = frozenset()
    delay_seconds: float = 0.0
    reset_after_bytes: dict[Direction, int] = msgspec.field(default_factory=dict)


class _Connection:
    """One relayed connection.

    If `blackholed` is set, all further bytes are dropped while the connection stays
    open. `lossy_directions` holds the directions in which bytes were dropped; all
    later bytes are dropped there too, as TCP never delivers bytes after a gap.
    """

    def __init__(
        self, source: str, client: asyncio.StreamWriter, server: asyncio.StreamWriter
    ) -> None:
        self.source = source
        self.blackholed = False
        self.lossy_directions: set[Direction] = set()
        self.writers = {Direction.TO_CLIENT: client, Direction.TO_SERVER: server}

    def reset(self) -> None:
        for writer in self.writers.values():
            if not writer.transport.is_closing():
                set_reset_on_close(writer.transport, enabled=True)
        self.abort()

    def abort(self) -> None:
        """Close both sides; without a reset, unless bytes are left unread."""
        for writer in self.writers.values():
            writer.transport.abort()


class _Chunk(msgspec.Struct):
    """Bytes to deliver at a time of the event loop's clock; None ends the stream."""

    due_at: float
    data: bytes | None


class FaultProxy:
    """Relays TCP connections from its own address to `upstream`.

    Connections may be grouped by their source, the client that opened them. Methods
    that inject faults affect the connections of one source, or by default all.

    Parameters
    ----------
    upstream : str
        IP:port of the server behind the proxy.
    listen : str
        IP:port to listen on; port 0 selects a free one.
    source_of : callable, optional
        Returns the name of a connection's source, given the IP:port of the client
        and that of the proxy.
    tap : callable, optional
        Called with the source and the data of each chunk received from a client.
    delays : dict of str to float, optional
        Permanent one-way delay of each source in seconds.
    """

    def __init__(
        self,
        *,
        upstream: str,
        listen: str = "127.0.0.1:0",
        source_of: SourceLookup | None = None,
        tap: Tap | None = None,
        delays: dict[str, float] | None = None,
    ) -> None:
        self.upstream = upstream
        self.address = listen
        self.state = LinkState()
        self.accepted_connections = 0
        self._source_of = source_of
        self._tap = tap
        self._delays = delays or {}
        self._source_states: dict[str, LinkState] = {}
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening; `address` then holds the actual port."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Reset every connection and stop listening."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        await cancel_tasks(self._tasks)

    def set_state(self, state: LinkState, *, source: str | None = None) -> None:
        """Apply the faults of `state` to the connections of `source`, or to all."""
        if source is None:
            self.state = state
            self._source_states.clear()
        else:
            self._source_states[source] = state

    def heal(self, *, source: str | None = None) -> None:
        """Clear the link's faults.

        Connections that lost bytes or were blackholed deliver nothing more.
        """
        self.set_state(LinkState(), source=source)

    def cut(self, *, source: str | None = None) -> None:
        """Reset every connection and refuse new ones."""
        self.set_state(LinkState(refuse=True), source=source)
        self.reset_connections(source=source)

    def blackhole(self, *directions: Direction, source: str | None = None) -> None:
        """Drop bytes while connections stay open, in both directions by default.

        A connection that lost bytes in a direction delivers nothing more in it, even
        after `heal`.
        """
        blackholed = frozenset(directions or Direction)
        self.set_state(LinkState(blackholed=blackholed), source=source)

    def lose_connections(self, *, source: str | None = None) -> None:
        """Blackhole the open connections for good; new connections work."""
        for conn in self._connections_of(source):
            conn.blackholed = True

    def reset_connections(self, *, source: str | None = None) -> None:
        """Reset every open connection."""
        for conn in list(self._connections_of(source)):
            conn.reset()

    def _connections_of(self, source: str | None) -> Iterator[_Connection]:
        for conn in self._connections:
            if source is None or conn.source == source:
                yield conn

    def _state_of(self, source: str) -> LinkState:
        return self._source_states.get(source, self.state)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.accepted_connections += 1
        source = ""
        if self._source_of is not None:
            peer = writer.get_extra_info("peername")
            client = "{}:{}".format(*peer) if peer else ""
            source = self._source_of(client, self.address) if client else ""
        if self._state_of(source).refuse:
            writer.transport.abort()
            return
        host, _, port = self.upstream.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        conn = _Connection(source, writer, upstream[1])
        self._connections.add(conn)
        try:
            # asyncio's stream server logs a cancelled connection handler as an error.
            with suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self._relay(conn, reader, Direction.TO_SERVER),
                    self._relay(conn, upstream[0], Direction.TO_CLIENT),
                )
        finally:
            self._connections.discard(conn)
            conn.abort()

    async def _relay(
        self, conn: _Connection, reader: asyncio.StreamReader, direction: Direction
    ) -> None:
        chunks: asyncio.Queue[_Chunk] = asyncio.Queue(maxsize=_MAX_QUEUED_CHUNKS)
        reader_task = asyncio.create_task(
            self._read_chunks(conn, reader, direction, chunks)
        )
        try:
            await self._write_chunks(conn, direction, chunks)
        finally:
            reader_task.cancel()
            await asyncio.gather(reader_task, return_exceptions=True)

    async def _read_chunks(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        direction: Direction,
        chunks: "asyncio.Queue[_Chunk]",
    ) -> None:
        loop = asyncio.get_running_loop()
        source_delay = self._delays.get(conn.source, 0.0)
        with suppress(OSError):
            while data := await reader.read(_MAX_READ_BYTES):
                if self._tap is not None and direction is Direction.TO_SERVER:
                    self._tap(conn.source, data)
                delay = source_delay + self._state_of(conn.source).delay_seconds
                await chunks.put(_Chunk(loop.time() + delay, data))
        await chunks.put(_Chunk(loop.time() + source_delay, None))

    async def _write_chunks(
        self, conn: _Connection, direction: Direction, chunks: "asyncio.Queue[_Chunk]"
    ) -> None:
        loop = asyncio.get_running_loop()
        writer = conn.writers[direction]
        written_bytes = 0
        with suppress(OSError):
            while True:
                chunk = await chunks.get()
                if chunk.due_at > loop.time():
                    await asyncio.sleep(chunk.due_at - loop.time())
                state = self._state_of(conn.source)
                dropped = conn.blackholed or direction in (
                    state.blackholed | conn.lossy_directions
                )
                if writer.transport.is_closing():
                    return
                if chunk.data is None:
                    break
                if dropped:
                    conn.lossy_directions.add(direction)
                    continue
                limit_bytes = state.reset_after_bytes.get(direction)
                if (
                    limit_bytes is not None
                    and written_bytes + len(chunk.data) > limit_bytes
                ):
                    writer.write(chunk.data[: max(0, limit_bytes - written_bytes)])
                    await writer.drain()
                    conn.abort()
                    return
                written_bytes += len(chunk.data)
                writer.write(chunk.data)
                await writer.drain()
            if not dropped:
                writer.write_eof()
