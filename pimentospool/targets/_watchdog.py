"""One timer a stream that finds silence, instead of one a piece."""

import asyncio
from collections.abc import Callable

from pimentospool.targets._failures import FailureCause


class SilenceWatchdog:
    """Calls `on_silence` when a reader waits for too long.

    Time that the reader spends elsewhere, with `reading` unset, is no silence.

    Parameters
    ----------
    on_silence : callable
        Ends the wait of the reader.
    first_seconds, later_seconds : float
        Longest wait for the first piece and for each later one.
    deadline : float
        Time of the loop's clock at which the reader is stopped in any case.
    """

    def __init__(
        self,
        *,
        on_silence: Callable[[], None],
        first_seconds: float,
        later_seconds: float,
        deadline: float,
    ) -> None:
        self.reading = False
        self.expired: FailureCause | None = None
        self._on_silence = on_silence
        self._limit = first_seconds
        self._later_seconds = later_seconds
        self._deadline = deadline
        self._loop = asyncio.get_running_loop()
        self._progress_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Watch from now on."""
        self._progress_at = self._loop.time()
        self._schedule()

    def stop(self) -> None:
        """Watch no longer."""
        if self._timer is not None:
            self._timer.cancel()

    def progressed(self) -> None:
        """Record that a piece arrived and that the reader deals with it."""
        self.reading = False
        self._progress_at = self._loop.time()
        if self._limit != self._later_seconds:
            self._limit = self._later_seconds
            self.stop()
            self._schedule()

    def _schedule(self) -> None:
        due = min(self._progress_at + self._limit, self._deadline)
        self._timer = self._loop.call_at(due, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        if now >= self._deadline:
            self._expire(FailureCause.LATE)
        elif not self.reading:
            self._progress_at = now
            self._schedule()
        elif now - self._progress_at >= self._limit:
            self._expire(FailureCause.SILENT)
        else:
            self._schedule()

    def _expire(self, cause: FailureCause) -> None:
        self.expired = cause
        self._on_silence()
