"""Whole server-sent events out of the pieces of a stream.

Source of the format: WHATWG HTML, section "Server-sent events". A token's event
carries the token's number in its ``id`` field; ``data: [DONE]`` ends the stream.
"""

import re

import msgspec

DONE_EVENT = b"data: [DONE]"
ERROR_EVENT = b"event: error"
MAX_EVENT_BYTES = 1024 * 1024
_ID = re.compile(rb"(?:^|\n)id: ?(\d+)\r?\n")


class EventBatch(msgspec.Struct, kw_only=True, frozen=True):
    """Whole events that arrived together, as received."""

    data: bytes

    @property
    def first_id(self) -> int | None:
        """Number in the first ``id`` field."""
        match = _ID.search(self.data)
        return int(match[1]) if match else None

    @property
    def last_id(self) -> int | None:
        """Number in the last ``id`` field."""
        start = max(self.data.rfind(b"\nid:"), 0)
        match = _ID.match(self.data, start)
        return int(match[1]) if match else None

    def without_event(self, number: int) -> "EventBatch":
        """Return the batch without a first event of that number."""
        if self.first_id != number:
            return self
        ends = [_end_of_first(self.data, sep) for sep in (b"\n\n", b"\r\n\r\n")]
        return EventBatch(data=self.data[min(end for end in ends if end) :])

    @property
    def done(self) -> bool:
        """Whether the last event ends the stream."""
        return self.data.rstrip().endswith(DONE_EVENT)

    @property
    def error(self) -> bytes | None:
        """Data of an error event, if the batch holds one."""
        start = self.error_start
        if start is None:
            return None
        _, _, rest = self.data[start:].partition(b"\n")
        return rest.split(b"\n", 1)[0].removeprefix(b"data:").strip()

    @property
    def error_start(self) -> int | None:
        """Position of an error event."""
        if self.data.startswith(ERROR_EVENT):
            return 0
        position = self.data.find(b"\n" + ERROR_EVENT)
        return None if position < 0 else position + 1


class EventSplitter:
    """Holds back the part of a stream that is no whole event yet."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def pending_bytes(self) -> int:
        """Size of the part that is held back."""
        return len(self._rest)

    def feed(self, piece: bytes) -> EventBatch | None:
        """Take a piece and return the events that are whole now, if any."""
        data = self._rest + piece if self._rest else piece
        end = max(_end_after(data, b"\n\n"), _end_after(data, b"\r\n\r\n"))
        if not end:
            self._rest = data
            return None
        if end == len(data):
            self._rest = b""
            return EventBatch(data=data)
        self._rest = data[end:]
        return EventBatch(data=data[:end])


def _end_after(data: bytes, separator: bytes) -> int:
    position = data.rfind(separator)
    return position + len(separator) if position >= 0 else 0


def _end_of_first(data: bytes, separator: bytes) -> int:
    position = data.find(separator)
    return position + len(separator) if position >= 0 else 0
