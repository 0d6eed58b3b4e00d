"""Turns of connections whose reads take long to parse.

A read of the smallest chunks or header lines takes some milliseconds. If hundreds of
connections send them without end, one round over all sockets takes seconds, and other
requests wait for it. So after such a read a connection is not read until its turn.
"""

import asyncio
from collections import deque
from typing import Protocol

LONG_READ_LINES = 256
"""Lines of one read from which on it counts as long."""
TURN_SECONDS = 0.01
"""Time between two turns, in which all other connections are read."""


class TurnTaker(Protocol):
    """A connection that is not read until its turn."""

    def take_turn(self) -> None:
        """Go on reading, unless the connection has ended."""


class ReadTurns:
    """Grants turns to waiting connections, one after the other."""

    def __init__(self) -> None:
        self._waiting: deque[TurnTaker] = deque()
        self._is_granting = False

    def wait(self, conn: TurnTaker) -> None:
        """Let a connection wait for its turn."""
        self._waiting.append(conn)
        if not self._is_granting:
            self._is_granting = True
            self._grant_later()

    def _grant_later(self) -> None:
        asyncio.get_running_loop().call_later(TURN_SECONDS, self._grant)

    def _grant(self) -> None:
        self._waiting.popleft().take_turn()
        self._is_granting = bool(self._waiting)
        if self._is_granting:
            self._grant_later()
