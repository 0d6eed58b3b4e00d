"""Timeline of one request, reconstructed from captured logs.

The lines are those of `pimentospool.log`: one JSON object each, which may follow a
prefix that names the process.
"""

from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime, timedelta
from typing import Any

import msgspec

from pimentospool.errors import PimentospoolError
from pimentospool.log import Event

CONTEXT_SECONDS = 3.0
"""Time before and after a request in which other events may explain it. The loss of an
entry VM or target is logged after at most that long (GONE_SECONDS of the fleet)."""
_END_EVENTS = frozenset(
    {
        Event.REQUEST_SERVED.name,
        Event.REQUEST_FAILED.name,
        Event.REQUEST_REFUSED.name,
        Event.CALLER_LEFT.name,
    }
)
_TARGET_EVENTS = frozenset(
    {
        Event.TARGET_EJECTED.name,
        Event.TARGET_REMOVED.name,
        Event.TARGET_LEAVING.name,
        Event.TARGET_COLD.name,
    }
)
_PROCESS_EVENTS = frozenset(
    {
        Event.ENTRY_STARTED.name,
        Event.ENTRY_LEAVING.name,
        Event.ENTRY_STOPPED.name,
        Event.STORE_UNREACHABLE.name,
        Event.STORE_BACK.name,
        Event.SETTINGS_RELOADED.name,
        Event.CONFIGURATION_ADOPTED.name,
        Event.ZONE_EVACUATED.name,
        Event.ZONE_RESTORED.name,
        Event.MEMBER_CHANGED.name,
        Event.LOG_LINES_LOST.name,
    }
)
_COMMON_FIELDS = frozenset({"time", "level", "event", "name", "message", "request"})
_CAUSE_TEXTS = {
    "unreachable": "no connection to it was made",
    "broken": "the connection to it was lost",
    "silent": "it stopped sending",
    "rejected": "it rejected the request and said that it did not run",
}


class UnknownRequestError(PimentospoolError):
    """No line of the logs is about the request."""


class LogLine(msgspec.Struct, kw_only=True, frozen=True):
    """One line of a process's log."""

    logged_at: datetime
    process: str
    name: str
    fields: Mapping[str, Any]

    @property
    def request(self) -> str | None:
        """Id of the request that the line is about."""
        return self.fields.get("request")

    def describe(self) -> str:
        """Return the event's name and its specific fields as text."""
        shown = [
            f"{key}={value}"
            for key, value in self.fields.items()
            if key not in _COMMON_FIELDS and value is not None
        ]
        return " ".join([self.name, *shown])


class CapturedLog(msgspec.Struct, kw_only=True):
    """Log lines of several processes, sorted by time."""

    lines: list[LogLine] = msgspec.field(default_factory=list)
    unreadable_lines: int = 0
    """Number of lines that hold no complete event, as at the end of a truncated log."""

    def read(self, texts: Iterable[str], *, process: str) -> None:
        """Add the lines of a file; a prefix of a line overrides `process`."""
        for text in texts:
            start = text.find('{"time"')
            if start < 0:
                continue
            try:
                fields = msgspec.json.decode(text[start:], type=dict[str, Any])
                logged_at = datetime.fromisoformat(fields["time"])
                name = str(fields["name"])
            except (msgspec.DecodeError, KeyError, ValueError):
                self.unreadable_lines += 1
                continue
            prefix = text[:start].split()
            self.lines.append(
                LogLine(
                    logged_at=logged_at,
                    process=prefix[-1] if prefix else process,
                    name=name,
                    fields=fields,
                )
            )
        self.lines.sort(key=lambda line: line.logged_at)


class RequestTimeline(msgspec.Struct, kw_only=True, frozen=True):
    """The lines of one request, and those of other events that may explain it."""

    lines: Sequence[LogLine]
    context: Sequence[LogLine]

    @property
    def start(self) -> datetime:
        """Time of the request's first line."""
        return self.lines[0].logged_at

    def summarise(self) -> list[str]:
        """Return a summary of the lines, as sentences."""
        sentences = [self._describe_end()]
        sentences += [
            f"Attempt at {_destination(line)}: {_describe_cause(line)}; "
            f"whether it ran: {line.fields.get('verdict', 'unknown')}."
            for line in self.lines
            if line.name == Event.ATTEMPT_FAILED.name
        ]
        if len({line.process for line in self.lines}) > 1:
            sentences.append("The request went to another region's entry VM.")
        dropped = [
            line for line in self.context if line.name == Event.LOG_LINES_LOST.name
        ]
        if dropped:
            sentences.append(
                "Lines were dropped meanwhile; the timeline may have gaps."
            )
        return sentences

    def _describe_end(self) -> str:
        end_lines = [line for line in self.lines if line.name in _END_EVENTS]
        if not end_lines:
            return (
                "The logs have no end of this request: they were truncated, or its "
                "process ended first."
            )
        # The entry VM that the caller reached logs the end of the request last.
        line = end_lines[-1]
        fields = line.fields
        if line.name == Event.REQUEST_SERVED.name:
            return f"It was answered by {fields.get('place')}."
        if line.name == Event.CALLER_LEFT.name:
            return (
                f"The caller disconnected after {fields.get('seconds')} s, of which "
                f"the last {fields.get('silent_seconds')} s without an event from "
                f"{fields.get('place')}."
            )
        reason = fields.get("detail") or fields.get("reason")
        verdict = fields.get("verdict")
        return f"It was not answered: {reason}; whether it ran: {verdict}."


def build_timeline(log: CapturedLog, request_id: str) -> RequestTimeline:
    """Return the timeline of the request with `request_id`.

    Raises
    ------
    UnknownRequestError
        If no line is about it; the message says which lines the logs contain.
    """
    lines = [line for line in log.lines if line.request == request_id]
    if not lines:
        raise UnknownRequestError(_describe_log(log, request_id))
    destinations = {_destination(line) for line in lines}
    processes = {line.process for line in lines}
    margin = timedelta(seconds=CONTEXT_SECONDS)
    first, last = lines[0].logged_at - margin, lines[-1].logged_at + margin
    context = [
        line
        for line in log.lines
        if first <= line.logged_at <= last
        and line.process in processes
        and (
            line.name in _PROCESS_EVENTS
            or (
                line.name in _TARGET_EVENTS
                and line.fields.get("target") in destinations
            )
        )
    ]
    return RequestTimeline(lines=lines, context=context)


def _describe_log(log: CapturedLog, request_id: str) -> str:
    if not log.lines:
        return f"no event in these logs; unreadable lines: {log.unreadable_lines}"
    first, last = log.lines[0].logged_at, log.lines[-1].logged_at
    return (
        f"no line about request {request_id!r} among {len(log.lines)} events from "
        f"{first.isoformat()} to {last.isoformat()}; unreadable lines: "
        f"{log.unreadable_lines}"
    )


def _destination(line: LogLine) -> str:
    fields = line.fields
    return str(fields.get("target") or fields.get("region") or fields.get("place"))


def _describe_cause(line: LogLine) -> str:
    cause = str(line.fields.get("cause"))
    detail = line.fields.get("detail")
    explanation = _CAUSE_TEXTS.get(cause, cause)
    return f"{explanation} ({detail})" if detail else explanation
