"""Non-blocking log output to standard output, limited in rate and memory.

Lines are buffered in memory and written together. Lines beyond the rate limit, and
those that a slow reader leaves no room for, are dropped and counted by event; the
counts are logged once lines are accepted again.
"""

import asyncio
import json
import os
import sys
import time
from collections import Counter, deque
from collections.abc import Callable

import logbook
import msgspec

from pimentospool._generated.settings import LogSettings
from pimentospool.log import Event, log_event

FLUSH_DELAY_SECONDS = 0.05
"""Time for which lines are buffered before they are written together."""
MAX_BUFFERED_BYTES = 1024 * 1024
"""Size of the buffered lines beyond which new ones are dropped."""
MAX_LINES_PER_SECOND = 1000
"""Rate limit of the log; a request writes two or three lines."""
FULL_RETRY_SECONDS = 0.25
"""Delay until the next attempt to write to a full pipe."""

Formatter = Callable[[logbook.LogRecord, logbook.Handler], str]


class BoundedLogHandler(logbook.Handler):
    """Log handler that writes buffered lines to a file descriptor.

    Parameters
    ----------
    level : int
        Lowest level that is logged.
    formatter : callable
        Returns the log line of a record.
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
        self.dropped_counts: Counter[str] = Counter()
        self._fileno = sys.stdout.fileno() if fileno is None else fileno
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._flush_scheduled = False
        self._current_second = 0
        self._lines_in_second = 0
        os.set_blocking(self._fileno, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffer the line of `record`, or count it as dropped."""
        event = record.extra["event"]
        name = event.name if event else record.channel
        if self._is_over_limit():
            self.dropped_counts[name] += 1
            self._schedule_flush(FULL_RETRY_SECONDS)
            return
        self._lines_in_second += 1
        self._append(self.format(record))
        self._schedule_flush(FLUSH_DELAY_SECONDS)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        self._flush_scheduled = False
        if self.dropped_counts and not self._is_over_limit():
            dropped, self.dropped_counts = dict(self.dropped_counts), Counter()
            log_event(Event.LOG_LINES_LOST, lost=dropped)
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        while data:
            try:
                data = data[os.write(self._fileno, data) :]
            except BlockingIOError:
                self._buffer.append(data)
                self._buffered_bytes = len(data)
                self._schedule_flush(FULL_RETRY_SECONDS)
                return
            except OSError:
                # The reader has closed the pipe; there is nowhere left to report it.
                return
        if self.dropped_counts:
            self._schedule_flush(FULL_RETRY_SECONDS)

    def _is_over_limit(self) -> bool:
        """Return whether the rate limit or the buffer size is exhausted."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        return (
            self._lines_in_second >= MAX_LINES_PER_SECOND
            or self._buffered_bytes > MAX_BUFFERED_BYTES
        )

    def _append(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _schedule_flush(self, seconds: float) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            if seconds == FLUSH_DELAY_SECONDS:
                self.flush()
            return
        self._flush_scheduled = True
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
    try:
        return msgspec.json.encode(line, enc_hook=str).decode()
    except UnicodeEncodeError:
        # Text from a caller whose bytes are not UTF-8 has surrogates.
        return json.dumps(line, default=str)


def open_log(cfg: LogSettings) -> logbook.Handler:
    """Install and return the log handler, which writes one JSON object a line."""
    level = logbook.lookup_level(cfg.level)
    handler: logbook.Handler
    if cfg.file:
        handler = logbook.FileHandler(cfg.file, level=level)
        handler.formatter = _format_record
    else:
        handler = BoundedLogHandler(level=level, formatter=_format_record)
    handler.push_application()
    return handler
