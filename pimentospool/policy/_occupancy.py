"""Requests in progress at each target, from this entry VM and its peers.

Load reports of the targets lag by hundreds of milliseconds, which is too late for a
burst. The entry VMs of a region know at once what they have sent, and share it.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from pimentospool.ids import EntryId, TargetId

PEER_REPORT_TTL_SECONDS = 2.0
"""Age at which a peer's report expires; several intervals between reports."""


class Occupancy(msgspec.Struct, frozen=True):
    """Requests in progress at one target.

    `waiting_tokens` are the prompt tokens of requests whose first event has not
    arrived, and `held_tokens` all tokens that requests hold in the target's KV cache.
    """

    running: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other: "Occupancy") -> "Occupancy":
        """Return the sum of this and `other`."""
        return Occupancy(
            self.running + other.running,
            self.waiting_tokens + other.waiting_tokens,
            self.held_tokens + other.held_tokens,
        )

    def minus(self, other: "Occupancy") -> "Occupancy":
        """Return this without `other`."""
        return Occupancy(
            self.running - other.running,
            self.waiting_tokens - other.waiting_tokens,
            self.held_tokens - other.held_tokens,
        )


IDLE = Occupancy()


class Assignment:
    """One request at one target, counted in the target's occupancy until it ends.

    Parameters
    ----------
    book : OccupancyBook
        Occupancy in which the request is counted.
    target : TargetId
        The target that serves the request.
    waiting_tokens, held_tokens : int
        Prompt tokens to prefill, and tokens to hold in the KV cache.
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
        """Record the first event of the response: the prefill is done."""
        if self.on_first_event is not None:
            self.on_first_event(self._book.now())
            self.on_first_event = None
        if self._waiting_tokens:
            self._book.add(self._target, Occupancy(0, -self._waiting_tokens, 0))
            self._waiting_tokens = 0

    def end(self) -> None:
        """Record that the request has ended."""
        if not self._ended:
            self._ended = True
            self.first_event()
            self._book.add(self._target, Occupancy(-1, 0, -self._held_tokens))


class OccupancyBook:
    """Occupancy of all targets, by this entry VM and by its peers.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._local: dict[TargetId, Occupancy] = {}
        self._peer_reports: OrderedDict[
            EntryId, tuple[float, dict[TargetId, Occupancy]]
        ] = OrderedDict()
        """Newest report of each peer, the oldest first."""
        self._peer_totals: dict[TargetId, Occupancy] = {}
        """Sum of the reports in `_peer_reports`."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self._clock()

    def begin(
        self, target: TargetId, *, waiting_tokens: int = 0, held_tokens: int = 0
    ) -> Assignment:
        """Count a request that is about to be sent to `target`, until its end."""
        return Assignment(
            book=self,
            target=target,
            waiting_tokens=waiting_tokens,
            held_tokens=held_tokens,
        )

    def add(self, target: TargetId, change: Occupancy) -> None:
        """Add `change` to the occupancy by this entry VM."""
        total = self._local.get(target, IDLE).plus(change)
        if total == IDLE:
            self._local.pop(target, None)
        else:
            self._local[target] = total

    def local(self, target: TargetId) -> Occupancy:
        """Return the occupancy of `target` by this entry VM."""
        return self._local.get(target, IDLE)

    def local_occupancy(self) -> dict[TargetId, Occupancy]:
        """Return the occupancy by this entry VM, to be sent to its peers."""
        return dict(self._local)

    def receive_report(
        self, peer: EntryId, occupancy: dict[TargetId, Occupancy]
    ) -> None:
        """Store the occupancy by `peer`."""
        self._drop_report(peer)
        self._peer_reports[peer] = (self._clock(), occupancy)
        for target, load in occupancy.items():
            self._peer_totals[target] = self._peer_totals.get(target, IDLE).plus(load)

    def total(self, target: TargetId) -> Occupancy:
        """Return the occupancy of `target` by all entry VMs together."""
        oldest = self._clock() - PEER_REPORT_TTL_SECONDS
        while self._peer_reports:
            peer, (reported_at, _) = next(iter(self._peer_reports.items()))
            if reported_at >= oldest:
                break
            self._drop_report(peer)
        peers = self._peer_totals.get(target, IDLE)
        return self._local.get(target, IDLE).plus(peers)

    def _drop_report(self, peer: EntryId) -> None:
        report = self._peer_reports.pop(peer, None)
        if report is None:
            return
        for target, load in report[1].items():
            total = self._peer_totals[target].minus(load)
            if total == IDLE:
                del self._peer_totals[target]
            else:
                self._peer_totals[target] = total
