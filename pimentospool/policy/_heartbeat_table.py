"""Heartbeat counters of the members of a fleet, merged by gossip.

Each member increments its own counter. A message carries the counters of all members
that its sender has recently heard of, in six bytes each, so every message refreshes the
whole table and a counter reaches all members within a number of rounds that is
logarithmic in their number (van Renesse, Minsky, Hayden: A gossip-style failure
detection service, 1998).
"""

from collections.abc import Callable, Iterable, Sequence
from enum import IntEnum

from pimentospool.ids import MemberKey

REPORTED_SECONDS = 3.0
"""Time after its last change for which an entry is sent to others."""
_STATE_BITS = 2
_STATE_MASK = (1 << _STATE_BITS) - 1
_COUNTER_MODULUS = 1 << (16 - _STATE_BITS)
"""Counters wrap around; they are compared by serial number arithmetic (RFC 1982)."""


class EntryState(IntEnum):
    """Whether a member accepts requests; at one counter, a higher state wins."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    """Still accepts connections of callers that don't know yet that it is leaving."""
    CLOSED = 3
    """Accepts nothing, or was silent for too long."""


def is_newer(value: int, known: int) -> bool:
    """Return whether a table value supersedes the `known` one."""
    distance = ((value >> _STATE_BITS) - (known >> _STATE_BITS)) % _COUNTER_MODULUS
    if distance == 0:
        return value & _STATE_MASK > known & _STATE_MASK
    return distance < _COUNTER_MODULUS // 2


class _Entry:
    """Newest value of one member, when its counter rose, and when anything changed."""

    __slots__ = ("changed_at", "heard_at", "value")

    def __init__(self, value: int, now: float) -> None:
        self.value = value
        self.heard_at = now
        self.changed_at = now


class HeartbeatTable:
    """Counters and states of all members, this process included.

    Values hold a counter in the upper 14 bits and a `EntryState` in the lower two. Only
    the member itself raises its counter. Any member may set another one's state to
    `CLOSED` at a known counter; a later counter of that member overrides it.

    Parameters
    ----------
    own : MemberKey
        Key of this process.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, own: MemberKey, clock: Callable[[], float]) -> None:
        self._own = own
        self._clock = clock
        self._own_value = 0
        self._entries: dict[MemberKey, _Entry] = {}

    @property
    def own_state(self) -> EntryState:
        """State of this process."""
        return EntryState(self._own_value & _STATE_MASK)

    @own_state.setter
    def own_state(self, state: EntryState) -> None:
        self._own_value = (self._own_value & ~_STATE_MASK) | state

    def beat(self) -> None:
        """Increment the counter of this process."""
        counter = ((self._own_value >> _STATE_BITS) + 1) % _COUNTER_MODULUS
        self._own_value = (counter << _STATE_BITS) | (self._own_value & _STATE_MASK)

    def add(self, key: MemberKey, value: int) -> None:
        """Add a member that was not known."""
        self._entries[key] = _Entry(value, self._clock())

    def remove(self, key: MemberKey) -> None:
        """Forget a member."""
        self._entries.pop(key, None)

    def merge(
        self, keys: Sequence[int], values: Sequence[int]
    ) -> tuple[list[MemberKey], list[MemberKey]]:
        """Merge the table of another member.

        Returns
        -------
        tuple of two lists of MemberKey
            Keys that are not known, and those whose state changed or whose counter rose
            after a silence; neither list has this process's own key.
        """
        now = self._clock()
        entries, own = self._entries, self._own
        unknown, changed = [], []
        for key, value in zip(keys, values, strict=False):
            entry = entries.get(key)  # type: ignore[call-overload]
            if entry is None:
                if key != own:
                    unknown.append(MemberKey(key))
            elif value != entry.value and is_newer(value, entry.value):
                state_changed = (value ^ entry.value) & _STATE_MASK
                if state_changed or now - entry.changed_at > REPORTED_SECONDS:
                    changed.append(MemberKey(key))
                if (value ^ entry.value) >> _STATE_BITS:
                    entry.heard_at = now
                entry.value = value
                entry.changed_at = now
        return unknown, changed

    def vector(self) -> tuple[list[MemberKey], list[int]]:
        """Return keys and values to send: this process's own and all recent ones."""
        oldest = self._clock() - REPORTED_SECONDS
        keys, values = [self._own], [self._own_value]
        for key, entry in self._entries.items():
            if entry.changed_at >= oldest:
                keys.append(key)
                values.append(entry.value)
        return keys, values

    def state(self, key: MemberKey) -> EntryState:
        """Return the state of a known member."""
        return EntryState(self._entries[key].value & _STATE_MASK)

    def value(self, key: MemberKey) -> int:
        """Return the counter and state of a known member."""
        return self._entries[key].value

    def silence_seconds(self, key: MemberKey) -> float:
        """Return how long ago the counter of a known member last rose."""
        return self._clock() - self._entries[key].heard_at

    def close_silent(
        self, members: Iterable[MemberKey], *, timeout_seconds: float
    ) -> list[MemberKey]:
        """Mark as closed, and return, those of `members` that were silent too long."""
        now = self._clock()
        closed = []
        for key in members:
            entry = self._entries[key]
            if now - entry.heard_at > timeout_seconds:
                entry.value |= EntryState.CLOSED
                entry.changed_at = now
                closed.append(key)
        return closed

    def restart_timers(self) -> None:
        """Count all silences from now, after a pause of this process."""
        now = self._clock()
        for entry in self._entries.values():
            entry.heard_at = now
