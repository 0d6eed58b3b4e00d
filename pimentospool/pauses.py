"""Detection of pauses of this process, such as a suspended VM."""

import asyncio
import time
from collections.abc import Callable

from pimentospool.signals import Signal

_CHECKS_PER_MIN_PAUSE = 8


def boot_clock() -> float:
    """Return seconds since the machine booted, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Detects that the process did not run for a while.

    Parameters
    ----------
    min_pause_seconds : float
        Shortest gap between two checks that counts as a pause.
    clock : callable
        Monotonic time in seconds that advances while the process is stopped.
    """

    def __init__(
        self, *, min_pause_seconds: float, clock: Callable[[], float] = boot_clock
    ) -> None:
        self.paused: Signal[float] = Signal(name="paused")
        self._min_pause_seconds = min_pause_seconds
        self._clock = clock
        self._checked_at = clock()

    def check(self) -> None:
        """Send `paused` with the gap in seconds if it is long enough to be a pause."""
        now = self._clock()
        gap = now - self._checked_at
        self._checked_at = now
        if gap >= self._min_pause_seconds:
            self.paused.send(gap)

    async def run(self) -> None:
        """Check at regular intervals, without end."""
        self._checked_at = self._clock()
        while True:
            await asyncio.sleep(self._min_pause_seconds / _CHECKS_PER_MIN_PAUSE)
            self.check()
