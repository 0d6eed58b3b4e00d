"""Log lines on standard output, bounded under load and never blocking.

Lines gather in memory and are written together. What a slow reader does not take, and
what exceeds the rate, is dropped and counted by event; the counts are logged once
there is room again.
"""

import asyncio
import os
import sys
import time
from collections import Counter, deque
from collections.abc import Callable

import logbook
import msgspec

from pimentospool._generated.settings import LogSettings
from pimentospool.log import Event, log_event

GATHER_SECONDS = 0.05
"""Time for which lines gather before they are written."""
MAX_PENDING_BYTES = 1024 * 1024
"""Lines that wait for a slow reader."""
MAX_LINES_PER_SECOND = 1000
"""Lines of one second; a request makes two or three of them."""
FULL_RETRY_SECONDS = 0.25
"""Time between attempts to write to a full pipe."""

Formatter = Callable[[logbook.LogRecord, logbook.Handler], str]


class BoundedOutput(logbook.Handler):
    """Handler that writes lines to a file descriptor.

    Parameters
    ----------
    level : int
        Lowest level that is written.
    formatter : callable
        Returns the line of a record.
    fileno : int or None
        File descriptor; None is standard output.
    """

    def __init__(
        self,
        *,
        level: int,
        formatter: Formatter,
        fileno: int | None = None,
    ) -> None:
        super().__init__(level=level)
        self.formatter = formatter
        self.lost: Counter[str] = Counter()
        self._fileno = sys.stdout.fileno() if fileno is None else fileno
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._scheduled = False
        self._second = 0
        self._lines_in_second = 0
        os.set_blocking(self._fileno, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Take a record."""
        event = record.extra["event"]
        name = event.name if event else record.channel
        if self._is_full():
            self.lost[name] += 1
            self._schedule(FULL_RETRY_SECONDS)
            return
        self._lines_in_second += 1
        self._append(self.format(record))
        self._schedule(GATHER_SECONDS)

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._scheduled = False
        if self.lost and not self._is_full():
            lost, self.lost = dict(self.lost), Counter()
            log_event(Event.LOG_LINES_LOST, lost=lost)
        data = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        while data:
            try:
                data = data[os.write(self._fileno, data) :]
            except BlockingIOError:
                self._pending.append(data)
                self._pending_bytes = len(data)
                self._schedule(FULL_RETRY_SECONDS)
                return
            except OSError:
                # Nobody reads the output any more; there is nowhere to report it.
                return
        if self.lost:
            self._schedule(FULL_RETRY_SECONDS)

    def _is_full(self) -> bool:
        """Whether another line would exceed the rate or the waiting bytes."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines_in_second = second, 0
        return (
            self._lines_in_second >= MAX_LINES_PER_SECOND
            or self._pending_bytes > MAX_PENDING_BYTES
        )

    def _append(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._pending.append(data)
        self._pending_bytes += len(data)

    def _schedule(self, seconds: float) -> None:
        if self._scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            if seconds == GATHER_SECONDS:
                self.flush()
            return
        self._scheduled = True
        loop.call_later(seconds, self.flush)


def _format_record(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    event = record.extra["event"]
    line = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name,
        "event": event.number if event else 0,
        "name": event.name if event else record.channel,
        "message": record.message,
    }
    line.update(record.extra["fields"] or {})
    return msgspec.json.encode(line, enc_hook=str).decode()


def open_log(cfg: LogSettings) -> logbook.Handler:
    """Return the handler that writes one JSON object a line, already pushed."""
    level = logbook.lookup_level(cfg.level)
    handler: logbook.Handler
    if cfg.file:
        handler = logbook.FileHandler(cfg.file, level=level)
        handler.formatter = _format_record
    else:
        handler = BoundedOutput(level=level, formatter=_format_record)
    handler.push_application()
    return handler
