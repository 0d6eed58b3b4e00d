"""Pool of keep-alive connections to one address."""

import asyncio
import math
import time
from collections.abc import Callable

from pimentospool.gateway._connections import Connection
from pimentospool.gateway._model import Address
from pimentospool.gateway._open_connections import OpenConnections
from pimentospool.policy import StartDoubt
from pimentospool.sockets import RECEIVE_BUFFER_BYTES, SILENCE_SECONDS, open_socket
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.tasks import timeout_after_read
from pimentospool.verdicts import Verdict

CLOSED_TOGETHER_SECONDS = 0.05
"""Time in which all idle connections are closed if their target ends. They were idle
for different times; an idle timeout closes those that were idle for the same time."""
CONNECT_TIMEOUT_SECONDS = 0.35
"""Connect timeout within a region, where a round trip takes less than ten milliseconds.
A target without power doesn't answer at all."""


class ConnectionPool:
    """Pool of keep-alive connections to one address.

    Parameters
    ----------
    address : Address
        Remote address.
    limit : int
        Limit on open connections.
    connect_timeout_seconds : float
        Timeout for opening a connection.
    silence_seconds : float
        Time for which the other side may acknowledge nothing before a connection is
        closed.
    open_connections : OpenConnections, optional
        Counts the connections of all pools.
    on_loss : callable
        Called when the other side may have started again, with whether there was a
        connection before.
    on_reached : callable
        Called when a connection was opened.
    """

    def __init__(
        self,
        *,
        address: Address,
        limit: int,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        silence_seconds: float = SILENCE_SECONDS,
        open_connections: OpenConnections | None = None,
        on_loss: Callable[[bool], None] = lambda was_connected: None,
        on_reached: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self.limit = limit
        self._connect_timeout_seconds = connect_timeout_seconds
        self._silence_seconds = silence_seconds
        self._all_open = open_connections or OpenConnections(limit=math.inf)
        self._idle: list[Connection] = []
        self._idle_timers: dict[Connection, asyncio.TimerHandle] = {}
        self._open_count = 0
        """Connections, those in opening included."""
        self._connections: set[Connection] = set()
        self._draining = False
        self.start_doubt = StartDoubt(
            clock=time.monotonic, on_loss=on_loss, on_reached=on_reached
        )
        """Whether the other side may have started again."""
        self._idle_close = (-math.inf, 0.0)
        """When the other side last closed an idle connection, and its idle time."""

    async def acquire(
        self, *, unused: bool = False, within_seconds: float = math.inf
    ) -> Connection:
        """Return an idle connection, or a new one if there is none.

        Parameters
        ----------
        unused : bool
            Whether it must be a new one, in place of an idle one if need be.
        within_seconds : float
            Time that the request has left, which ends the connect timeout sooner.

        Raises
        ------
        AttemptFailure
            If no connection can be opened; nothing was sent.
        """
        while self._idle and not unused:
            conn = self._idle.pop()
            self._idle_timers.pop(conn).cancel()
            if conn.reusable:
                return conn
        if self._open_count >= self.limit and not (unused and self.close_oldest()):
            raise _connect_failure("all connections are in use", FailureCause.REFUSED)
        if not self._all_open.reserve():
            raise _connect_failure(
                "no descriptor is left for a connection", FailureCause.REFUSED
            )
        self._open_count += 1
        try:
            return await self._open(within_seconds)
        except BaseException:
            self._open_count -= 1
            self._all_open.release()
            raise

    def release(self, conn: Connection) -> None:
        """Return a connection to the pool; close it if its response is unfinished."""
        if not conn.reusable or self._draining:
            if conn.busy:
                conn.abort()
            elif not conn.closed:
                conn.close()
            return
        self._idle.append(conn)
        loop = asyncio.get_running_loop()
        self._idle_timers[conn] = loop.call_later(
            conn.idle_seconds, self._close_idle_connection, conn
        )

    def close_idle(self) -> None:
        """Close all idle connections."""
        for conn in list(self._idle):
            self._close_idle_connection(conn)

    def drain(self) -> None:
        """Close each connection as soon as it is idle."""
        self._draining = True
        self.close_idle()

    @property
    def idle_since(self) -> float:
        """When its longest idle connection was last used; infinite without one."""
        return self._idle[0].heard_at if self._idle else math.inf

    def close_oldest(self) -> bool:
        """Close the connection that was idle for longest; return whether one was."""
        if not self._idle:
            return False
        self._close_idle_connection(self._idle[0])
        return True

    def _close_idle_connection(self, conn: Connection) -> None:
        if conn in self._idle:
            self._idle.remove(conn)
            self._idle_timers.pop(conn).cancel()
        conn.close()

    def _on_connection_closed(self, conn: Connection) -> None:
        self._open_count -= 1
        self._all_open.release()
        self._connections.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
            self._idle_timers.pop(conn).cancel()
        was_lost = conn.lost and not self._is_timeout(conn)
        # One that was opened later may be to a newer start.
        outlived = any(other.opened_at <= conn.heard_at for other in self._connections)
        if was_lost and not outlived:
            self.start_doubt.record_loss(heard=conn.heard_at > conn.opened_at)
        elif not self._connections:
            self.start_doubt.record_unconnected()

    def _is_timeout(self, conn: Connection) -> bool:
        """Whether the end of a connection may come from an idle timeout.

        A request may have been sent in the moment in which the other side closed it.
        """
        now = time.monotonic()
        idle_seconds = now - conn.heard_at
        last_at, last_idle_seconds = self._idle_close
        is_alike = abs(idle_seconds - last_idle_seconds) <= CLOSED_TOGETHER_SECONDS
        if conn.closed_unheard:
            return is_alike and last_at > -math.inf
        if not conn.closed_idle:
            return False
        self._idle_close = now, idle_seconds
        return is_alike or now - last_at > CLOSED_TOGETHER_SECONDS

    async def _open(self, within_seconds: float) -> Connection:
        loop = asyncio.get_running_loop()
        try:
            sock = open_socket(
                self._silence_seconds, receive_buffer_bytes=RECEIVE_BUFFER_BYTES
            )
        except OSError as exc:
            raise _connect_failure(f"no socket: {exc!r}", FailureCause.REFUSED) from exc
        try:
            async with timeout_after_read(
                min(self._connect_timeout_seconds, within_seconds)
            ):
                await loop.sock_connect(sock, (self.address.host, self.address.port))
                _, conn = await loop.create_connection(Connection, sock=sock)
        except (OSError, TimeoutError) as exc:
            sock.close()
            ended_early = within_seconds < self._connect_timeout_seconds
            cause = FailureCause.UNREACHABLE
            if ended_early and isinstance(exc, TimeoutError):
                cause = FailureCause.LATE
            elif not self._connections:
                self.start_doubt.record_loss(was_connected=False)
            raise _connect_failure(f"no connection: {exc!r}", cause) from exc
        except BaseException:
            sock.close()
            raise
        conn.on_closed = self._on_connection_closed
        self._connections.add(conn)
        self.start_doubt.record_reached()
        return conn


def _connect_failure(
    detail: str, cause: FailureCause = FailureCause.UNREACHABLE
) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.NOT_RUN, cause=cause)
