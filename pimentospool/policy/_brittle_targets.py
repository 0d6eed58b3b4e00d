"""Targets that fall over if they have to turn many requests away.

Such a target says how many in a second it stands. Its places are divided among the
entry VMs of its region, so that they do not send more requests together than it has
places, however old their knowledge of each other is; what finds no place is refused at
the entry VM.
"""

from collections.abc import Callable, Collection

import msgspec

from pimentospool.ids import EntryId, TargetId
from pimentospool.policy._named_limits import (
    MAX_TARGETS,
    NOTICE_REFRESH_SECONDS,
    REPORT_SECONDS,
    ForgottenTargets,
)
from pimentospool.policy._rendezvous import MemberRanks

PLACE_SHARE = 0.75
"""Part of a brittle target's slots that the entry VMs divide. Requests may need more of
its memory than their slots, and fewer may wait than before."""
REJECTION_PAUSE_SECONDS = 1.0
"""Time after a rejection in which this entry VM sends nothing to the target; the target
counts its rejections by the second."""
RECOVERY_SECONDS = 10.0
"""Time after a rejection in which the share of places grows back from half."""


class _BrittleTarget(msgspec.Struct):
    told_at: float
    own: bool
    """Whether the target told this entry VM last, not another one."""
    rejected_at: float | None = None


class BrittleTargets:
    """Brittle targets, and this entry VM's share of their places.

    Parameters
    ----------
    entry : EntryId
        Id of this entry VM.
    clock : callable
        Returns a monotonic time in seconds.
    on_change : callable
        Called with a target and whether it is brittle when that changes.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Callable[[], float],
        on_change: Callable[[TargetId, bool], None] = lambda target, brittle: None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._ranks = MemberRanks(entry=entry)
        self._targets: dict[TargetId, _BrittleTarget] = {}
        self._forgotten = ForgottenTargets(clock=clock)

    def record_answer(
        self,
        target: TargetId,
        turn_aways: float | None,
        *,
        sent_at: float,
        rejected: bool,
    ) -> None:
        """Record what an answer of `target` says.

        Parameters
        ----------
        target : TargetId
            The target.
        turn_aways : float or None
            Rejections in a second that it stands, None if the answer doesn't say.
        sent_at : float
            Time at which the request was sent.
        rejected : bool
            Whether the answer rejects the request.
        """
        known = self._targets.get(target)
        now = self._clock()
        if turn_aways is not None:
            if known is None:
                known = self._add(target, now, own=True)
            elif known.own or now - known.told_at >= NOTICE_REFRESH_SECONDS:
                known.told_at, known.own = now, True
            if rejected:
                known.rejected_at = now
        # Answers overtake each other: one that says nothing may be the older one.
        elif known is not None and sent_at > known.told_at:
            del self._targets[target]
            self._on_change(target, False)

    def notices(self) -> dict[TargetId, float]:
        """Return the time since targets told this entry VM, for reports to others."""
        now = self._clock()
        return {
            target: now - known.told_at
            for target, known in self._targets.items()
            if known.own and now - known.told_at < REPORT_SECONDS
        }

    def receive(self, target: TargetId, age_seconds: float) -> None:
        """Take over that a target has told another entry VM."""
        if not 0.0 <= age_seconds < REPORT_SECONDS:
            return
        told_at = self._clock() - age_seconds
        if self._forgotten.before(target, told_at):
            return
        known = self._targets.get(target)
        if known is None:
            if len(self._targets) < MAX_TARGETS:
                self._add(target, told_at, own=False)
        elif told_at > known.told_at:
            known.told_at, known.own = told_at, False

    def allows(
        self,
        target: TargetId,
        *,
        slots: int,
        in_progress: int,
        members: Collection[EntryId],
    ) -> bool:
        """Return whether this entry VM may send another request to `target`.

        Parameters
        ----------
        target : TargetId
            The target.
        slots : int
            Requests that the target processes at once.
        in_progress : int
            Requests of this entry VM that are in progress there.
        members : collection of EntryId
            The entry VMs of the target's region, this one included.
        """
        known = self._targets.get(target)
        if known is None:
            return True
        places, rest = divmod(max(1, int(slots * PLACE_SHARE)), len(members))
        places += self._ranks.rank(target, members) < rest
        if known.rejected_at is not None and places:
            since = self._clock() - known.rejected_at
            if since < REJECTION_PAUSE_SECONDS:
                return False
            grown = min(1.0, since / RECOVERY_SECONDS)
            places = max(1, int(places * (1.0 + grown) / 2))
        return in_progress < places

    def forget(self, target: TargetId) -> None:
        """Drop what is known of `target`, and what others were told before."""
        self._targets.pop(target, None)
        self._forgotten.add(target)

    def _add(self, target: TargetId, told_at: float, *, own: bool) -> _BrittleTarget:
        known = self._targets[target] = _BrittleTarget(told_at=told_at, own=own)
        self._on_change(target, True)
        return known
