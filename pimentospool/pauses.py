"""Detection of pauses of this process, such as a suspended VM."""

import asyncio
import time
from collections.abc import Callable

from pimentospool.signals import Signal

_CHECKS_PER_LIMIT = 8


def boot_clock() -> float:
    """Return seconds since the start of the machine, time suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PauseDetector:
    """Notices when the process did not run for a while.

    Parameters
    ----------
    limit_seconds : float
        Gap that counts as a pause.
    clock : callable
        Monotonic time in seconds that goes on while the process is stopped.
    """

    def __init__(
        self, *, limit_seconds: float, clock: Callable[[], float] = boot_clock
    ) -> None:
        self.paused: Signal[float] = Signal(name="paused")
        self._limit_seconds = limit_seconds
        self._clock = clock
        self._checked_at = clock()

    def check(self) -> None:
        """Send `paused` with the gap in seconds if the process was paused."""
        now = self._clock()
        gap = now - self._checked_at
        self._checked_at = now
        if gap >= self._limit_seconds:
            self.paused.send(gap)

    async def run(self) -> None:
        """Check over and over, from now on."""
        self._checked_at = self._clock()
        while True:
            await asyncio.sleep(self._limit_seconds / _CHECKS_PER_LIMIT)
            self.check()
