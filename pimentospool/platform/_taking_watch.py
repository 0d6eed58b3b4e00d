"""Watches how the other side of a connection takes what has been written to it."""

import asyncio
from collections.abc import Callable

from pimentospool.gateway import Pace, PaceLimits


class TakingWatch:
    """Ends a connection on which written bytes wait for too long.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    limits : PaceLimits
        Slowest pace of the other side.
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    on_slow : callable
        Called once the other side is too slow.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        limits: PaceLimits,
        loop: asyncio.AbstractEventLoop,
        on_slow: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._limits = limits
        self._loop = loop
        self._on_slow = on_slow
        self._pace = Pace(limits=limits, clock=loop.time)
        self._timer: asyncio.TimerHandle | None = None
        self._waiting_bytes = 0
        """Bytes that waited when the pace was last looked at."""

    def begin(self) -> None:
        """Begin to watch, if bytes wait and are not watched yet."""
        waiting_bytes = self._transport.get_write_buffer_size()
        if self._timer is None and waiting_bytes:
            self._waiting_bytes = waiting_bytes
            self._pace.begin()
            self._timer = self._loop.call_later(
                self._limits.window_seconds, self._check
            )

    def end(self) -> None:
        """Watch no longer."""
        self._pace.end()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def is_too_slow(self, *, pressed: bool = False) -> bool:
        """Return whether too little has been taken in a whole window.

        Parameters
        ----------
        pressed : bool
            Whether new connections find no room.
        """
        waiting_bytes = self._transport.get_write_buffer_size()
        self._pace.move(max(0, self._waiting_bytes - waiting_bytes))
        self._waiting_bytes = waiting_bytes
        return waiting_bytes > 0 and self._pace.is_too_slow(pressed=pressed)

    def _check(self) -> None:
        self._timer = None
        if self.is_too_slow():
            self._on_slow()
        else:
            self.begin()
