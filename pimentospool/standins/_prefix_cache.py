"""Prefix cache of the model engine stand-in, with delayed and lost events."""

import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec

from pimentospool._generated.engine import CacheEvent, CacheEvents

_MAX_EVENTS = 4096


class _TimedEvent(msgspec.Struct):
    visible_at: float
    event: CacheEvent


class PrefixCache:
    """Least-recently-used cache of prompt blocks.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    event_delay_seconds : float
        Time after which an event becomes visible.
    event_loss : float
        Share of events that are never published.
    rng : random.Random
        Decides which events are lost.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        capacity: int,
        event_delay_seconds: float,
        event_loss: float,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._capacity = capacity
        self._event_delay_seconds = event_delay_seconds
        self._event_loss = event_loss
        self._rng = rng
        self._clock = clock
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[_TimedEvent] = deque(maxlen=_MAX_EVENTS)
        self._sequence = 0

    def match(self, blocks: list[str]) -> int:
        """Return the number of leading blocks in the cache, and mark them as used."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits

    def store(self, blocks: list[str]) -> None:
        """Add `blocks`, evicting the least recently used ones beyond the capacity."""
        for block in blocks:
            if block not in self._blocks:
                self._publish(block, stored=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish(evicted, stored=False)

    def clear(self) -> None:
        """Evict every block."""
        for block in self._blocks:
            self._publish(block, stored=False)
        self._blocks.clear()

    def export(self) -> list[str]:
        """Return the cached blocks, least recently used first."""
        return list(self._blocks)

    def events_after(self, sequence: int) -> CacheEvents:
        """Return the visible events with a sequence number of at least `sequence`."""
        now = self._clock()
        events = [
            item.event
            for item in self._events
            if item.event.sequence >= sequence and item.visible_at <= now
        ]
        next_sequence = events[-1].sequence + 1 if events else sequence
        return CacheEvents(events=events, next=next_sequence)

    def _publish(self, block: str, *, stored: bool) -> None:
        self._sequence += 1
        if self._rng.random() < self._event_loss:
            return
        event = CacheEvent(sequence=self._sequence, stored=stored, block=block)
        visible_at = self._clock() + self._event_delay_seconds
        self._events.append(_TimedEvent(visible_at, event))
