"""Whether the other side of a connection takes, or sends, what it is waited for.

Only bytes that wait are looked at: a caller that has taken all of a slow stream so far
is not slow itself.
"""

from collections.abc import Callable

import msgspec


class PaceLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Slowest pace of the other side of a connection."""

    min_bytes_per_second: float = 512.0
    """Far below the slowest link of a sound caller."""
    window_seconds: float = 10.0
    """Time over which the pace is measured before a connection ends for it."""
    pressed_bytes_per_second: float = 16_384.0
    """Slowest pace while new connections find no room."""
    pressed_seconds: float = 3.0
    """Time over which that is measured."""


class Pace:
    """Pace at which the bytes of one connection are taken, or sent.

    Parameters
    ----------
    limits : PaceLimits
        The slowest pace.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, limits: PaceLimits, clock: Callable[[], float]) -> None:
        self._limits = limits
        self._clock = clock
        self._began_at: float | None = None
        self._moved_bytes = 0

    @property
    def is_running(self) -> bool:
        """Whether bytes are waited for."""
        return self._began_at is not None

    def begin(self) -> None:
        """Begin a window, in which no bytes have moved yet."""
        self._began_at = self._clock()
        self._moved_bytes = 0

    def move(self, size_bytes: int) -> None:
        """Record bytes that have moved."""
        self._moved_bytes += size_bytes

    def end(self) -> None:
        """Record that no bytes are waited for any more."""
        self._began_at = None

    def is_too_slow(self, *, pressed: bool = False) -> bool:
        """Return whether too few bytes have moved in a whole window.

        Parameters
        ----------
        pressed : bool
            Whether new connections find no room.
        """
        if self._began_at is None:
            return False
        limits = self._limits
        seconds = self._clock() - self._began_at
        needed_seconds, pace = limits.window_seconds, limits.min_bytes_per_second
        if pressed:
            needed_seconds = limits.pressed_seconds
            pace = max(pace, limits.pressed_bytes_per_second)
        return seconds >= needed_seconds and self._moved_bytes < pace * seconds
