"""Bounds the connections that one listener has accepted."""

import asyncio
import time
from collections.abc import Hashable
from typing import Protocol

from pimentospool.gateway import Admission, ConnectionTable, Listener, PaceLimits
from pimentospool.platform._connection_report import ConnectionReport, EndReason
from pimentospool.platform._read_turns import ReadTurns


class GuardedConnection(Hashable, Protocol):
    """A connection that can be ended from outside."""

    @property
    def caller(self) -> str:
        """Address of the other side."""

    def has_stalled(self) -> bool:
        """Return whether its caller holds up a request in progress."""

    def end(self) -> None:
        """Close it at once."""


class ConnectionGuard:
    """Admits connections to one listener, and ends others for them.

    Parameters
    ----------
    listener : Listener
        The listener.
    limit : int
        Limit on its connections.
    report : ConnectionReport
        Told of connections that are ended.
    turns : ReadTurns
        Turns of connections whose reads take long, shared by all listeners.
    pace : PaceLimits
        Slowest pace of the other sides.
    """

    def __init__(
        self,
        *,
        listener: Listener,
        limit: int,
        report: ConnectionReport,
        turns: ReadTurns,
        pace: PaceLimits,
    ) -> None:
        self.listener = listener
        self.pace = pace
        self.turns = turns
        self._report = report
        self._table: ConnectionTable[GuardedConnection] = ConnectionTable(
            limit=limit, has_stalled=lambda conn: conn.has_stalled()
        )

    def __len__(self) -> int:
        return len(self._table)

    def admit(self, conn: GuardedConnection, transport: asyncio.BaseTransport) -> bool:
        """Return whether a new connection may go on; another one may end for it."""
        admission, victims = self._table.admit(conn, now=time.monotonic())
        if admission is Admission.REFUSED:
            self._report.record(
                self.listener, EndReason.REFUSED, caller_address(transport)
            )
            return False
        for victim in victims:
            self.end(victim, EndReason.REPLACED)
        return True

    def end(self, conn: GuardedConnection, reason: EndReason) -> None:
        """Close a connection at a limit."""
        self._report.record(self.listener, reason, conn.caller)
        conn.end()

    def begin_request(self, conn: GuardedConnection) -> None:
        """Record that a whole request has arrived on a connection."""
        self._table.begin_request(conn)

    def end_request(self, conn: GuardedConnection) -> None:
        """Record that a connection has no request in progress any more."""
        self._table.end_request(conn)

    def remove(self, conn: GuardedConnection) -> None:
        """Forget a connection that has ended."""
        self._table.remove(conn)


def caller_address(transport: asyncio.BaseTransport | None) -> str:
    """Return the IP address of the other side of a connection, if it is known."""
    peer = None if transport is None else transport.get_extra_info("peername")
    return str(peer[0]) if peer else ""
