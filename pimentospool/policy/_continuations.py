"""Whether an answer continues a stream of which the caller has the beginning."""

import re

import msgspec

_OK = 200
_EVENT_STREAM = "text/event-stream"
_LINE_END = re.compile(rb"\r\n|\r|\n")
_ID_LINE = re.compile(rb"id: ?(\d{1,18})")
_FIELD_LINE = re.compile(rb"[a-z][a-z0-9_-]*(?::.*)?")
_CONTROL_LINE = re.compile(rb":.*|(?:retry|x-[a-z0-9-]+): ?\d+")
"""Line that is no part of an event's content: a comment or a setting."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One event, as far as its lines tell what it is."""

    id: int | None
    """Number in its ``id`` field, None without one."""
    is_control: bool
    """Whether it has only comments and settings, which no caller takes for content."""
    has_other_text: bool
    """Whether it has lines that are no fields, or several ids."""


class StreamPosition:
    """How far the caller has a stream, and whether an answer goes on from there.

    The ids of events rise (PROTOCOL.md does not say by how much). As long as each one
    followed the id before it directly, a first id further up shows a missing event. A
    stream has no end mark, so an answer without events is its rest where nothing says
    that there is more: an event had begun at the target before.

    Parameters
    ----------
    resume_after : int or None
        Id of the last event that the caller has from an earlier request.
    """

    def __init__(self, *, resume_after: int | None = None) -> None:
        self.last_id = resume_after
        self.event_count = 0
        """Events with an id that were relayed to the caller."""
        self.next_has_begun = False
        """Whether a part of the event after the last one has arrived."""
        self._each_follows: bool | None = None
        """Whether every id so far followed the one before it directly; None without
        one."""
        self._ends_unnumbered = False

    @property
    def can_continue(self) -> bool:
        """Whether the ids tell where another target has to go on."""
        return not self._ends_unnumbered

    def record(self, data: bytes) -> None:
        """Record complete events that are relayed to the caller."""
        for event in parse_events(data):
            if event.id is not None:
                follows = event.id == (self.last_id or 0) + 1
                self._each_follows = follows and self._each_follows is not False
                self.last_id = event.id
                self.event_count += 1
                self._ends_unnumbered = False
            elif not event.is_control:
                self._ends_unnumbered = True
        self.next_has_begun = False

    def events_fault(self, data: bytes, *, at_start: bool) -> str | None:
        """Return why complete events do not continue the stream, None if they do.

        Parameters
        ----------
        data : bytes
            The events, as they arrived.
        at_start : bool
            Whether no event of the same answer has been relayed.
        """
        last_id, at_seam = self.last_id, at_start
        for event in parse_events(data):
            if event.has_other_text:
                return "the answer holds text that is no event"
            if event.id is None:
                if not event.is_control:
                    return "an event has no id"
                continue
            if last_id is not None and event.id <= last_id:
                return f"event {event.id} comes after event {last_id}"
            if at_seam and self._each_follows and event.id != (last_id or 0) + 1:
                return f"event {event.id} does not follow event {last_id} directly"
            last_id, at_seam = event.id, False
        return None

    def end_fault(self, *, has_events: bool, ends_by_close: bool) -> str | None:
        """Return why an answer that has ended is not the stream's rest, None if it is.

        Parameters
        ----------
        has_events : bool
            Whether it has had an event with an id.
        ends_by_close : bool
            Whether only the end of the connection told its end.
        """
        if has_events:
            return None
        if ends_by_close:
            return "the connection was closed before the first event"
        if self.next_has_begun:
            return "the answer has no event, though the next one had begun"
        return None


def continuation_head_fault(status: int, content_type: bytes | None) -> str | None:
    """Return why a response can't hold the rest of a stream, None if it can."""
    if status != _OK:
        return f"status {status} for the rest of a stream"
    media_type, _, _ = (content_type or b"").decode("latin-1").partition(";")
    if media_type.strip().lower() != _EVENT_STREAM:
        return f"the rest of a stream has the type {media_type[:80]!r}"
    return None


def parse_events(data: bytes) -> list[StreamEvent]:
    """Return the events in `data`, which ends after a complete one."""
    events = []
    lines: list[bytes] = []
    for line in _LINE_END.split(data):
        if line:
            lines.append(line)
        elif lines:
            events.append(_parse_event(lines))
            lines = []
    if lines:
        events.append(_parse_event(lines))
    return events


def _parse_event(lines: list[bytes]) -> StreamEvent:
    ids = [match for match in map(_ID_LINE.fullmatch, lines) if match is not None]
    content = [line for line in lines if not _CONTROL_LINE.fullmatch(line)]
    return StreamEvent(
        id=int(ids[0][1]) if len(ids) == 1 else None,
        is_control=not content,
        has_other_text=len(ids) > 1
        or not all(_FIELD_LINE.fullmatch(line) for line in content),
    )
