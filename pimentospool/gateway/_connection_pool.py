"""Kept connections to one address."""

import asyncio

from pimentospool.gateway._connections import Connection
from pimentospool.gateway._model import Address
from pimentospool.sockets import open_socket
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

CONNECT_SECONDS = 0.35
"""Longest wait for a connection within a region, where a round trip takes less than
ten milliseconds; a target without power does not answer at all."""


class ConnectionPool:
    """Connections to one address.

    Parameters
    ----------
    address : Address
        Where they lead.
    limit : int
        Most connections at a time.
    connect_seconds : float
        Longest wait for a new one.
    """

    def __init__(
        self,
        *,
        address: Address,
        limit: int,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> None:
        self.address = address
        self.limit = limit
        self._connect_seconds = connect_seconds
        self._idle: list[Connection] = []
        self._timers: dict[Connection, asyncio.TimerHandle] = {}
        self._count = 0
        self._retired = False

    async def acquire(self) -> Connection:
        """Return a connection with no request on it.

        Raises
        ------
        AttemptFailure
            If none can be opened; nothing was sent then.
        """
        while self._idle:
            conn = self._idle.pop()
            self._timers.pop(conn).cancel()
            if conn.reusable:
                return conn
        if self._count >= self.limit:
            raise _unreachable("all connections are in use", FailureCause.REFUSED)
        self._count += 1
        try:
            return await self._open()
        except BaseException:
            self._count -= 1
            raise

    def release(self, conn: Connection) -> None:
        """Take back a connection; one with an unfinished answer is closed."""
        if not conn.reusable or self._retired:
            if conn.busy:
                conn.abort()
            elif not conn.closed:
                conn.close()
            return
        self._idle.append(conn)
        loop = asyncio.get_running_loop()
        self._timers[conn] = loop.call_later(conn.idle_seconds, self._expire, conn)

    def discard_idle(self) -> None:
        """Close all connections without a request."""
        for conn in list(self._idle):
            self._expire(conn)

    def retire(self) -> None:
        """Close each connection as soon as it has no request."""
        self._retired = True
        self.discard_idle()

    def _expire(self, conn: Connection) -> None:
        if conn in self._idle:
            self._idle.remove(conn)
            self._timers.pop(conn).cancel()
        conn.close()

    def _closed(self, conn: Connection) -> None:
        self._count -= 1
        if conn in self._idle:
            self._idle.remove(conn)
            self._timers.pop(conn).cancel()

    async def _open(self) -> Connection:
        loop = asyncio.get_running_loop()
        sock = open_socket()
        try:
            async with asyncio.timeout(self._connect_seconds):
                await loop.sock_connect(sock, (self.address.host, self.address.port))
                _, conn = await loop.create_connection(Connection, sock=sock)
        except (OSError, TimeoutError) as exc:
            sock.close()
            raise _unreachable(f"no connection: {exc!r}") from exc
        except BaseException:
            sock.close()
            raise
        conn.on_closed = self._closed
        return conn


def _unreachable(
    detail: str, cause: FailureCause = FailureCause.UNREACHABLE
) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.NOT_RUN, cause=cause)
