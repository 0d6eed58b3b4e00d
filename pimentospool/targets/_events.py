"""Splitting of a stream into complete server-sent events.

Source of the format: WHATWG HTML, section "Server-sent events". A token's event
has the number of the token in its ``id`` field; ``data: [DONE]`` ends the stream.
"""

import re

import msgspec

DONE_EVENT = b"data: [DONE]"
ERROR_EVENT = b"event: error"
MAX_EVENT_BYTES = 1024 * 1024
_BLANK_LINE_ENDS = (b"\n\n", b"\r\r", b"\n\r", b"\n\r\n", b"\r\r\n")
"""Ends of a blank line, by which an event ends; a line ends in CR, LF or both."""
_LONGEST_BLANK_LINE_END = max(map(len, _BLANK_LINE_ENDS))
_ID_FIELD = re.compile(rb"(?:^|\n)id: ?(\d{1,18})\r?\n")


class EventBatch(msgspec.Struct, kw_only=True, frozen=True):
    """Complete events that arrived together, in the bytes received."""

    data: bytes

    @property
    def first_id(self) -> int | None:
        """Number in the first ``id`` field, None without one."""
        match = _ID_FIELD.search(self.data)
        return int(match[1]) if match else None

    @property
    def last_id(self) -> int | None:
        """Number in the last ``id`` field, None without one."""
        start = max(self.data.rfind(b"\nid:"), 0)
        match = _ID_FIELD.match(self.data, start)
        return int(match[1]) if match else None

    def without_event(self, number: int) -> "EventBatch":
        """Return the batch without its first event if that has the id `number`."""
        if self.first_id != number:
            return self
        ends = [_end_of_first(self.data, sep) for sep in (b"\n\n", b"\r\n\r\n")]
        return EventBatch(data=self.data[min(end for end in ends if end) :])

    @property
    def done(self) -> bool:
        """Whether the last event of the batch ends the stream."""
        return self.data.rstrip().endswith(DONE_EVENT)

    @property
    def without_end(self) -> bytes:
        """The events before the one that ends the stream."""
        return self.data.rstrip().removesuffix(DONE_EVENT) if self.done else self.data

    @property
    def error(self) -> bytes | None:
        """Data of the first error event, None without one."""
        start = self.error_start
        if start is None:
            return None
        _, _, rest = self.data[start:].partition(b"\n")
        return rest.split(b"\n", 1)[0].removeprefix(b"data:").strip()

    @property
    def error_start(self) -> int | None:
        """Position in bytes of the first error event, None without one."""
        if self.data.startswith(ERROR_EVENT):
            return 0
        position = self.data.find(b"\n" + ERROR_EVENT)
        return None if position < 0 else position + 1


class EventSplitter:
    """Splits a stream into complete events and buffers an incomplete one."""

    def __init__(self) -> None:
        self._incomplete_event = b""

    @property
    def pending_bytes(self) -> int:
        """Size of the buffered, incomplete event."""
        return len(self._incomplete_event)

    @property
    def has_begun_event(self) -> bool:
        """Whether the buffered bytes are the beginning of an event with an id."""
        return self._incomplete_event.startswith(b"id:")

    def feed(self, chunk: bytes) -> EventBatch | None:
        """Add a chunk; return the events that are complete now, None if none are."""
        data = self._incomplete_event + chunk if self._incomplete_event else chunk
        end = max(_end_of_last(data, b"\n\n"), _end_of_last(data, b"\r\n\r\n"))
        if not end:
            self._incomplete_event = data
            return None
        if end == len(data):
            self._incomplete_event = b""
            return EventBatch(data=data)
        self._incomplete_event = data[end:]
        return EventBatch(data=data[:end])


class EventBoundary:
    """Tells whether a stream has ended after a complete event, without buffering it."""

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, chunk: bytes) -> None:
        """Add a chunk of the stream."""
        self._tail = (self._tail + chunk)[-_LONGEST_BLANK_LINE_END:]

    @property
    def empty(self) -> bool:
        """Whether the stream has no bytes so far."""
        return not self._tail

    @property
    def within_event(self) -> bool:
        """Whether the last event is incomplete."""
        return not self.empty and not self._tail.endswith(_BLANK_LINE_ENDS)


def _end_of_last(data: bytes, separator: bytes) -> int:
    position = data.rfind(separator)
    return position + len(separator) if position >= 0 else 0


def _end_of_first(data: bytes, separator: bytes) -> int:
    position = data.find(separator)
    return position + len(separator) if position >= 0 else 0
