"""Targets that may have started again since their entries were written.

An entry VM that loses its connections to a target, or can't open one, doesn't know
whether the target has started again, and the other entry VMs of the region may have
seen nothing. It tells them of its doubt. All count the target as cold until one of
them has shown that it is still in the known start, its new start has registered, or the
time is over for which a new start is cold.

Each doubt has a number of the entry VM that raised it, and a proof names the doubts
that it settles, so that neither depends on the order or the delay of messages.
"""

import math
from collections.abc import Callable, Mapping

import msgspec

from pimentospool.ids import MemberKey, TargetId

COLD_MARGIN_SECONDS = 0.5
"""Added to the time for which a new start is cold after it was reached."""
REPORT_SECONDS = 3.0
"""Age at which the doubt of another entry VM ends unless it was repeated, which is done
each second."""
PROOF_NOTICE_SECONDS = 2.0
"""Time for which a proof is reported to the other entry VMs."""
CONTRADICTED_SECONDS = 2.0
"""Time after a proof in which a failure to connect to its target isn't told. An entry
VM that is cut off knows by then that it reaches no target."""
MAX_TARGETS = 4096
"""Targets of which the doubts of others are taken over; a faulty one reports any
number."""
MAX_DOUBT_SECONDS = 60.0
"""Time after which a doubt ends in any case. A target that is gone for longer can't be
connected to, which renews the doubt."""


class DoubtNotice(msgspec.Struct, array_like=True, frozen=True):
    """What an entry VM tells others of its doubt in the start of a target."""

    start: int
    """The known start."""
    number: int
    """Number of the doubt, which rises with each."""
    cold_seconds: float | None = None
    """Time for which a new start may stay cold, None while none was reached."""

    def __post_init__(self) -> None:
        """Reject values that no entry VM sends; NaN fails the comparison too."""
        if self.cold_seconds is not None and not 0.0 <= self.cold_seconds < math.inf:
            raise ValueError("the cold time is out of range")


class ProofNotice(msgspec.Struct, array_like=True, frozen=True):
    """That a target is still in its known start."""

    start: int
    settled: dict[int, int]
    """Newest doubt of each entry VM, by its key, that the proof settles."""


class _Doubt(msgspec.Struct):
    start: int
    number: int
    heard_at: float
    ends_at: float = math.inf
    """Time from which on a new start isn't cold any more."""
    shared: bool = True
    """Whether the other entry VMs are told."""


class DoubtedStarts:
    """Doubts of all entry VMs of a region whether targets are in their known starts.

    Parameters
    ----------
    own : MemberKey
        Key of this entry VM.
    clock : callable
        Returns a monotonic time in seconds.
    on_change : callable
        Called with a target and whether its start is in doubt when that changes.
    on_news : callable
        Called when there is something that the other entry VMs are to be told at once.
    """

    def __init__(
        self,
        *,
        own: MemberKey,
        clock: Callable[[], float],
        on_change: Callable[[TargetId, bool], None] = lambda target, doubted: None,
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        self._own = own
        self._clock = clock
        self._on_change = on_change
        self._on_news = on_news
        self._number = 0
        self._known_starts: dict[TargetId, int] = {}
        self._doubts: dict[TargetId, dict[MemberKey, _Doubt]] = {}
        self._settled: dict[TargetId, dict[MemberKey, int]] = {}
        """Newest doubt of each entry VM that is settled."""
        self._contradicted_at: dict[TargetId, float] = {}
        """When the last doubt of this entry VM was settled."""
        self._proofs: dict[TargetId, tuple[float, ProofNotice]] = {}

    def is_doubted(self, target: TargetId) -> bool:
        """Whether `target` may have started again."""
        return target in self._doubts and bool(self._current(target))

    def is_own(self, target: TargetId) -> bool:
        """Whether this entry VM itself doubts the start of `target`."""
        return self._own in self._current(target)

    def doubted_targets(self) -> list[TargetId]:
        """Return the targets that may have started again."""
        self.expire()
        return list(self._doubts)

    def register(self, target: TargetId, start: int) -> bool:
        """Record that `target` has registered `start`; it ends doubts in earlier ones.

        Return whether there were any, so that the new start has begun just now.
        """
        earlier = [
            member
            for member, doubt in self._current(target).items()
            if doubt.start < start
        ]
        self._known_starts[target] = start
        for member in earlier:
            del self._doubts[target][member]
        self._drop_empty(target)
        return bool(earlier)

    def forget(self, target: TargetId) -> None:
        """Drop what is known of the start of `target`."""
        self._known_starts.pop(target, None)
        self._settled.pop(target, None)
        self._proofs.pop(target, None)
        self._contradicted_at.pop(target, None)
        if self._doubts.pop(target, None) is not None:
            self._on_change(target, False)

    def record_doubt(self, target: TargetId, *, was_connected: bool = True) -> None:
        """Record that this entry VM has seen that `target` may have started again.

        If no connection to it can be opened, but another entry VM has just shown that
        it runs on, the own link is the likely cause, and the others aren't told.

        Parameters
        ----------
        target : TargetId
            The target.
        was_connected : bool
            Whether there was a connection, which was lost.
        """
        start = self._known_starts.get(target)
        if start is None:
            return
        now = self._clock()
        known = self._current(target).get(self._own)
        contradicted_at = self._contradicted_at.get(target, -math.inf)
        shared = (
            was_connected
            or (known is not None and known.shared)
            or now - contradicted_at >= CONTRADICTED_SECONDS
        )
        is_news = shared and self._is_news(target)
        self._number += 1
        doubt = _Doubt(start, self._number, now, shared=shared)
        self._add(target, self._own, doubt)
        if is_news:
            self._on_news()

    def record_reached(self, target: TargetId, *, cold_seconds: float) -> None:
        """Record that a connection to `target` was opened.

        Parameters
        ----------
        target : TargetId
            The target.
        cold_seconds : float
            Time for which a new start is cold.
        """
        if target not in self._doubts:
            return
        ends_at = self._clock() + cold_seconds + COLD_MARGIN_SECONDS
        for doubt in self._doubts[target].values():
            doubt.ends_at = min(doubt.ends_at, ends_at)

    def is_private(self, target: TargetId) -> bool:
        """Whether no other entry VM knows of the doubt in the start of `target`."""
        current = self._current(target)
        return current.keys() == {self._own} and not current[self._own].shared

    def open_doubts(self, target: TargetId) -> dict[MemberKey, int]:
        """Return the doubts that a proof which begins now can settle."""
        return {member: doubt.number for member, doubt in self._current(target).items()}

    def settle(
        self, target: TargetId, start: int, doubts: Mapping[MemberKey, int]
    ) -> None:
        """Record a proof that `target` is still in `start`.

        Parameters
        ----------
        target : TargetId
            The target.
        start : int
            The start that the proof shows.
        doubts : mapping of MemberKey to int
            Doubts from before the proof began, of `open_doubts`.
        """
        if not doubts or self._known_starts.get(target) != start:
            return
        notice = ProofNotice(start, {int(key): value for key, value in doubts.items()})
        self._proofs[target] = self._clock(), notice
        self._apply(target, notice)
        self._on_news()

    def notices(self, *, in_contact: bool = True) -> dict[TargetId, DoubtNotice]:
        """Return the doubts of this entry VM, for reports to the others.

        Without contact to any target, its own link is at fault: its doubts say nothing
        to the others, then or later.
        """
        now = self._clock()
        notices = {}
        for target in list(self._doubts):
            doubt = self._current(target).get(self._own)
            if doubt is None:
                continue
            doubt.shared &= in_contact
            if doubt.shared:
                left_seconds = doubt.ends_at - now
                notices[target] = DoubtNotice(
                    doubt.start,
                    doubt.number,
                    max(0.0, left_seconds) if math.isfinite(left_seconds) else None,
                )
        return notices

    def proofs(self) -> dict[TargetId, ProofNotice]:
        """Return the recent proofs by this entry VM, for reports to the others."""
        oldest = self._clock() - PROOF_NOTICE_SECONDS
        self._proofs = {
            target: (at, notice)
            for target, (at, notice) in self._proofs.items()
            if at > oldest
        }
        return {target: notice for target, (_, notice) in self._proofs.items()}

    def receive(
        self,
        member: MemberKey,
        doubts: Mapping[TargetId, DoubtNotice],
        proofs: Mapping[TargetId, ProofNotice],
    ) -> bool:
        """Take over the report of another entry VM; return whether it is news.

        A doubt that the report no longer names may have ended there by a registration
        that is not known here yet, so it lasts until its time is over.
        """
        is_news = False
        for target, proof in proofs.items():
            is_news |= self._apply(target, proof)
        for target, notice in doubts.items():
            is_news |= self._receive_doubt(member, target, notice)
        return is_news

    def expire(self) -> None:
        """End the doubts whose time is over."""
        for target in list(self._doubts):
            self._current(target)

    def _receive_doubt(
        self, member: MemberKey, target: TargetId, notice: DoubtNotice
    ) -> bool:
        if notice.start < self._known_starts.get(target, 0) or (
            notice.number <= self._settled.get(target, {}).get(member, 0)
        ):
            return False
        now = self._clock()
        ends_at = math.inf
        if notice.cold_seconds is not None:
            ends_at = now + notice.cold_seconds
        if target not in self._doubts and len(self._doubts) >= MAX_TARGETS:
            return False
        known = self._doubts.get(target, {}).get(member)
        if known is not None and known.number == notice.number:
            known.heard_at = now
            known.ends_at = min(known.ends_at, ends_at)
            return False
        is_news = self._is_news(target)
        self._add(target, member, _Doubt(notice.start, notice.number, now, ends_at))
        return is_news

    def _is_news(self, target: TargetId) -> bool:
        """Whether a doubt that begins now tells the others anything.

        It doesn't while they have one that lasts until the target is reached.
        """
        doubts = self._current(target).values()
        return all(math.isfinite(doubt.ends_at) for doubt in doubts)

    def _apply(self, target: TargetId, proof: ProofNotice) -> bool:
        """Settle doubts by a proof; return whether one was not settled before."""
        # A newer start than the known one may be cold, which its entry will tell.
        if proof.start != self._known_starts.get(target):
            return False
        settled = self._settled.setdefault(target, {})
        doubts = self._doubts.get(target, {})
        is_news = False
        for key, number in proof.settled.items():
            member = MemberKey(key)
            if number > settled.get(member, 0):
                settled[member] = number
                is_news = True
            if member in doubts and doubts[member].number <= number:
                del doubts[member]
                if member == self._own:
                    self._contradicted_at[target] = self._clock()
        self._drop_empty(target)
        return is_news

    def _add(self, target: TargetId, member: MemberKey, doubt: _Doubt) -> None:
        is_first = not self._current(target)
        self._doubts.setdefault(target, {})[member] = doubt
        if is_first:
            self._on_change(target, True)

    def _current(self, target: TargetId) -> dict[MemberKey, _Doubt]:
        """Return the doubts in the start of `target` whose time isn't over."""
        doubts = self._doubts.get(target)
        if doubts is None:
            return {}
        now = self._clock()
        for member, doubt in list(doubts.items()):
            lifetime_seconds = (
                MAX_DOUBT_SECONDS if member == self._own else REPORT_SECONDS
            )
            if now >= min(doubt.ends_at, doubt.heard_at + lifetime_seconds):
                del doubts[member]
        self._drop_empty(target)
        return doubts

    def _drop_empty(self, target: TargetId) -> None:
        if target in self._doubts and not self._doubts[target]:
            del self._doubts[target]
            self._on_change(target, False)
