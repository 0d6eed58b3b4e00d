"""A TCP proxy that cuts, delays and silences what passes through it."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import Enum

import msgspec

from pimentospool.tasks import cancel_tasks

_READ_BYTES = 64 * 1024
_QUEUED_PIECES = 256

SourceOf = Callable[[str, str], str]
Tap = Callable[[str, bytes], None]


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
    """One relayed connection.

    `lost` drops all further bytes without a sign. `broken` holds directions in which
    bytes were dropped: TCP passes nothing on after bytes that it could not deliver.
    """

    def __init__(
        self, source: str, client: asyncio.StreamWriter, server: asyncio.StreamWriter
    ) -> None:
        self.source = source
        self.lost = False
        self.broken: set[Direction] = set()
        self.writers = {Direction.TO_CLIENT: client, Direction.TO_SERVER: server}

    def reset(self) -> None:
        for writer in self.writers.values():
            writer.transport.abort()


class _Piece(msgspec.Struct):
    """Bytes that are due at a time of the loop's clock; None ends the stream."""

    due: float
    data: bytes | None


class FaultProxy:
    """Relays TCP connections from its own address to `upstream`.

    Connections may be told apart by their source; every method that changes the
    state of the link changes it for one source, or by default for all.

    Parameters
    ----------
    upstream : str
        IP:port of the server behind the proxy.
    listen : str
        IP:port to listen on; port 0 takes a free one.
    source_of : callable, optional
        Returns the name of a connection's source from the IP:port of the client's
        end and of the proxy's.
    tap : callable, optional
        Called with the source and with each piece on its way to the server.
    delays : dict of str to float, optional
        Lasting one-way delay of each source in seconds.
    """

    def __init__(
        self,
        *,
        upstream: str,
        listen: str = "127.0.0.1:0",
        source_of: SourceOf | None = None,
        tap: Tap | None = None,
        delays: dict[str, float] | None = None,
    ) -> None:
        self.upstream = upstream
        self.address = listen
        self.state = LinkState()
        self.accepted = 0
        self._source_of = source_of
        self._tap = tap
        self._delays = delays or {}
        self._source_states: dict[str, LinkState] = {}
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
        await cancel_tasks(self._tasks)

    def set_state(self, state: LinkState, *, source: str | None = None) -> None:
        """Treat connections of `source`, or all, as `state` says from now on."""
        if source is None:
            self.state = state
            self._source_states.clear()
        else:
            self._source_states[source] = state

    def heal(self, *, source: str | None = None) -> None:
        """Pass everything again; lost connections stay lost."""
        self.set_state(LinkState(), source=source)

    def cut(self, *, source: str | None = None) -> None:
        """Reset every connection and refuse new ones."""
        self.set_state(LinkState(refuse=True), source=source)
        self.reset_connections(source=source)

    def blackhole(self, *directions: Direction, source: str | None = None) -> None:
        """Drop bytes without a sign, both ways by default.

        A connection on which bytes were dropped passes none on that way any more.
        """
        silent = frozenset(directions or Direction)
        self.set_state(LinkState(silent=silent), source=source)

    def lose_connections(self, *, source: str | None = None) -> None:
        """Make open connections silent for good while new ones work."""
        for conn in self._of(source):
            conn.lost = True

    def reset_connections(self, *, source: str | None = None) -> None:
        """Reset every open connection."""
        for conn in list(self._of(source)):
            conn.reset()

    def _of(self, source: str | None) -> Iterator[_Connection]:
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
        self.accepted += 1
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
            # The stream server logs a cancelled handler as an error.
            with suppress(asyncio.CancelledError):
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
        pieces: asyncio.Queue[_Piece] = asyncio.Queue(maxsize=_QUEUED_PIECES)
        reading = asyncio.create_task(self._receive(conn, reader, direction, pieces))
        try:
            await self._pass_on(conn, direction, pieces)
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    async def _receive(
        self,
        conn: _Connection,
        reader: asyncio.StreamReader,
        direction: Direction,
        pieces: "asyncio.Queue[_Piece]",
    ) -> None:
        loop = asyncio.get_running_loop()
        lasting = self._delays.get(conn.source, 0.0)
        with suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if self._tap is not None and direction is Direction.TO_SERVER:
                    self._tap(conn.source, data)
                delay = lasting + self._state_of(conn.source).delay_seconds
                await pieces.put(_Piece(loop.time() + delay, data))
        await pieces.put(_Piece(loop.time() + lasting, None))

    async def _pass_on(
        self, conn: _Connection, direction: Direction, pieces: "asyncio.Queue[_Piece]"
    ) -> None:
        loop = asyncio.get_running_loop()
        writer = conn.writers[direction]
        passed = 0
        with suppress(OSError):
            while True:
                piece = await pieces.get()
                if piece.due > loop.time():
                    await asyncio.sleep(piece.due - loop.time())
                state = self._state_of(conn.source)
                dropped = conn.lost or direction in state.silent | conn.broken
                if writer.transport.is_closing():
                    return
                if piece.data is None:
                    break
                if dropped:
                    conn.broken.add(direction)
                    continue
                limit = state.cut_after.get(direction)
                if limit is not None and passed + len(piece.data) > limit:
                    writer.write(piece.data[: max(0, limit - passed)])
                    await writer.drain()
                    conn.reset()
                    return
                passed += len(piece.data)
                writer.write(piece.data)
                await writer.drain()
            if not dropped:
                writer.write_eof()
