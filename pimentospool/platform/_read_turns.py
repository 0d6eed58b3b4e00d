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
LONG_READ_BYTES = 1024
"""Bytes of such a read that are not of a body: lines of text in a body cost nothing."""
TURN_SECONDS = 0.01
"""Time between two turns, in which all other connections are read."""


def is_long_read(
    *, lines: int, size_bytes: int, body_bytes: int, is_behind: bool
) -> bool:
    """Return whether a read has taken long to parse.

    Parameters
    ----------
    lines : int
        Its lines, those in a body included.
    size_bytes : int
        Its size.
    body_bytes : int
        Bytes of a body that have been parsed of it.
    is_behind : bool
        Whether the reader is behind, so that the rest of it was not parsed.
    """
    if is_behind and 4 * body_bytes >= size_bytes:
        return False
    return lines >= LONG_READ_LINES and size_bytes - body_bytes >= LONG_READ_BYTES


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
