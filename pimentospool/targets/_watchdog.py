"""Read timeout of a stream that takes one timer instead of one for each chunk."""

import asyncio
from collections.abc import Callable

from pimentospool.targets._failures import FailureCause


class ReadWatchdog:
    """Calls `on_timeout` when a reader has waited too long for the next chunk.

    While `is_reading` is unset, the reader is processing a chunk; that time does not
    count.

    Parameters
    ----------
    on_timeout : callable
        Ends the wait of the reader.
    first_timeout_seconds, later_timeout_seconds : float
        Longest wait for the first chunk and for each later one.
    deadline : float
        Time of the loop's clock at which `on_timeout` is called in any case.
    """

    def __init__(
        self,
        *,
        on_timeout: Callable[[], None],
        first_timeout_seconds: float,
        later_timeout_seconds: float,
        deadline: float,
    ) -> None:
        self.is_reading = False
        self.timeout_cause: FailureCause | None = None
        self._on_timeout = on_timeout
        self._timeout_seconds = first_timeout_seconds
        self._later_timeout_seconds = later_timeout_seconds
        self._deadline = deadline
        self._loop = asyncio.get_running_loop()
        self._last_progress_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer."""
        self._last_progress_at = self._loop.time()
        self._schedule()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def record_progress(self) -> None:
        """Record that a chunk arrived, which the reader now processes."""
        self.is_reading = False
        self._last_progress_at = self._loop.time()
        if self._timeout_seconds != self._later_timeout_seconds:
            self._timeout_seconds = self._later_timeout_seconds
            self.stop()
            self._schedule()

    def _schedule(self) -> None:
        due_at = min(self._last_progress_at + self._timeout_seconds, self._deadline)
        self._timer = self._loop.call_at(due_at, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        if now >= self._deadline:
            self._expire(FailureCause.LATE)
        elif not self.is_reading:
            self._last_progress_at = now
            self._schedule()
        elif now - self._last_progress_at >= self._timeout_seconds:
            self._expire(FailureCause.SILENT)
        else:
            self._schedule()

    def _expire(self, cause: FailureCause) -> None:
        self.timeout_cause = cause
        self._on_timeout()
