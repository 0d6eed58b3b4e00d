"""Work in progress at each target, of this entry VM and of its peers.

Answers the load of bursts: a target's own reports lag by hundreds of milliseconds,
while the entry VMs of a region know at once what they have sent.
"""

from collections.abc import Callable

import msgspec

from pimentospool.ids import EntryId, TargetId

PEER_REPORT_SECONDS = 2.0
"""Age at which a peer's report counts no longer; several of its intervals."""


class Occupancy(msgspec.Struct, frozen=True):
    """Requests in progress at one target.

    `waiting_tokens` are prompt tokens whose first event has not arrived, and
    `held_tokens` all tokens that the requests keep in the target's memory.
    """

    running: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other: "Occupancy") -> "Occupancy":
        """Return the sum of both."""
        return Occupancy(
            self.running + other.running,
            self.waiting_tokens + other.waiting_tokens,
            self.held_tokens + other.held_tokens,
        )


IDLE = Occupancy()


class Assignment:
    """One request at one target.

    Parameters
    ----------
    book : OccupancyBook
        Where it counts.
    target : TargetId
        Where it runs.
    waiting_tokens, held_tokens : int
        Tokens to read, and tokens to keep.
    """

    def __init__(
        self,
        *,
        book: "OccupancyBook",
        target: TargetId,
        waiting_tokens: int,
        held_tokens: int,
    ) -> None:
        self._book = book
        self._target = target
        self._waiting_tokens = waiting_tokens
        self._held_tokens = held_tokens
        self._ended = False
        self.on_first_event: Callable[[float], None] | None = None
        book.add(target, Occupancy(1, waiting_tokens, held_tokens))

    def first_event(self) -> None:
        """Record that the prompt has been read."""
        if self.on_first_event is not None:
            self.on_first_event(self._book.now())
            self.on_first_event = None
        if self._waiting_tokens:
            self._book.add(self._target, Occupancy(0, -self._waiting_tokens, 0))
            self._waiting_tokens = 0

    def end(self) -> None:
        """Record that the request runs no longer."""
        if not self._ended:
            self._ended = True
            self.first_event()
            self._book.add(self._target, Occupancy(-1, 0, -self._held_tokens))


class OccupancyBook:
    """Occupancy of all targets.

    Parameters
    ----------
    clock : callable
        Returns the steady time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._own: dict[TargetId, Occupancy] = {}
        self._peers: dict[EntryId, tuple[float, dict[TargetId, Occupancy]]] = {}

    def now(self) -> float:
        """Return the steady time in seconds."""
        return self._clock()

    def begin(
        self, target: TargetId, *, waiting_tokens: int = 0, held_tokens: int = 0
    ) -> Assignment:
        """Count a request that is about to be sent to `target`."""
        return Assignment(
            book=self,
            target=target,
            waiting_tokens=waiting_tokens,
            held_tokens=held_tokens,
        )

    def add(self, target: TargetId, change: Occupancy) -> None:
        """Add `change` to this entry VM's part."""
        total = self._own.get(target, IDLE).plus(change)
        if total == IDLE:
            self._own.pop(target, None)
        else:
            self._own[target] = total

    def own(self) -> dict[TargetId, Occupancy]:
        """Return this entry VM's part, for its peers."""
        return dict(self._own)

    def report(self, peer: EntryId, occupancy: dict[TargetId, Occupancy]) -> None:
        """Record the part of `peer`."""
        self._peers[peer] = (self._clock(), occupancy)

    def total(self, target: TargetId) -> Occupancy:
        """Return what all entry VMs together have at `target`."""
        oldest = self._clock() - PEER_REPORT_SECONDS
        total = self._own.get(target, IDLE)
        for reported_at, parts in self._peers.values():
            part = parts.get(target)
            if part is not None and reported_at >= oldest:
                total = total.plus(part)
        return total
