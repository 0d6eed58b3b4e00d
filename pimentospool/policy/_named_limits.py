"""Limits that targets name: the requests per second that they take from all entry VMs.

A target names its limit in each answer for as long as it holds. Entry VMs of a region
report what they have been told, since each one sees only its own answers, and share the
limit without coordination: the same few of them send to a limited target, chosen by
rendezvous hashing, each at an equal share of its rate.
"""

import math
from collections.abc import Callable, Collection

import msgspec

from pimentospool.ids import EntryId, TargetId
from pimentospool.policy._rendezvous import MemberRanks
from pimentospool.policy._shared_limits import (
    MIN_MEMBER_COUNT,
    STARTUP_DELAY_SECONDS,
)

MIN_RATE = 0.2
"""Lowest rate, in requests per second, at which a limited target is sent requests: only
an answer shows that a limit has ended, however low it was."""
MAX_EXTRA_SENDERS = 3
"""Entry VMs that send to a limited target beyond the number that its limit allows in a
second. Each of them may send one request at the start of any window."""
REPORT_SECONDS = 10.0
"""Time for which a notice is reported after the answer that it was in."""
NOTICE_REFRESH_SECONDS = 1.0
"""Age below which the same limit, as another entry VM has reported it, is not reported
again."""

MAX_TARGETS = 4096
"""Targets whose limits are taken over from others; a faulty one reports any number."""


class LimitNotice(msgspec.Struct, array_like=True, frozen=True):
    """What one entry VM was told about the limit of a target."""

    rate: float | None
    """Requests per second; None if the target has ceased to name a limit."""
    age_seconds: float

    def __post_init__(self) -> None:
        """Reject values that no entry VM sends; NaN fails the comparisons too."""
        if self.rate is not None and not 0.0 <= self.rate < math.inf:
            raise ValueError("the rate is out of range")
        if not 0.0 <= self.age_seconds < math.inf:
            raise ValueError("the age is out of range")


class ForgottenTargets:
    """Targets that have started again, of which others may still report old notices.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._forgotten_at: dict[TargetId, float] = {}

    def add(self, target: TargetId) -> None:
        """Record that what was known of `target` until now is to be forgotten."""
        now = self._clock()
        self._forgotten_at = {
            other: at
            for other, at in self._forgotten_at.items()
            if now - at < REPORT_SECONDS
        }
        self._forgotten_at[target] = now

    def before(self, target: TargetId, at: float) -> bool:
        """Return whether a notice of `target` that was given at `at` is forgotten."""
        return at < self._forgotten_at.get(target, -math.inf)


class _Notice(msgspec.Struct, frozen=True):
    rate: float
    """Requests per second; infinite if the target has ceased to name a limit."""
    at: float
    own: bool
    """Whether the target told this entry VM, not another one."""


class NamedLimits:
    """The limit that each target has named last, and this entry VM's share of it.

    Parameters
    ----------
    entry : EntryId
        Id of this entry VM.
    clock : callable
        Returns a monotonic time in seconds.
    on_change : callable
        Called with a target and its limit in requests per second when the limit
        changes; the limit is infinite when it ends.
    """

    def __init__(
        self,
        *,
        entry: EntryId,
        clock: Callable[[], float],
        on_change: Callable[[TargetId, float], None] = lambda target, rate: None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._started_at = clock()
        self._notices: dict[TargetId, _Notice] = {}
        self._limited_at: dict[TargetId, float] = {}
        self._last_sent_at: dict[TargetId, float] = {}
        self._forgotten = ForgottenTargets(clock=clock)
        self._ranks = MemberRanks(entry=entry)

    def limit(self, target: TargetId) -> float:
        """Return the limit of `target` in requests per second; infinite without one."""
        notice = self._notices.get(target)
        return math.inf if notice is None else notice.rate

    # Evidence.

    def record_answer(
        self, target: TargetId, rate: float | None, *, sent_at: float
    ) -> None:
        """Record what an answer of `target` says.

        Parameters
        ----------
        target : TargetId
            The target.
        rate : float or None
            The limit in requests per second, infinite if the answer names none, None if
            it can't be read.
        sent_at : float
            Time at which the request was sent.
        """
        known = self._notices.get(target)
        if rate is None or (rate == math.inf and known is None):
            return
        # Answers overtake each other: one without a limit may be older than the limit.
        if rate == math.inf and known is not None and sent_at <= known.at:
            return
        now = self._clock()
        if (
            known is not None
            and not known.own
            and known.rate == rate
            and now - known.at < NOTICE_REFRESH_SECONDS
        ):
            return
        self._set(target, _Notice(rate, now, own=True))

    def notices(self) -> dict[TargetId, LimitNotice]:
        """Return what targets have told this entry VM, for reports to others."""
        now = self._clock()
        for target, notice in list(self._notices.items()):
            if notice.rate == math.inf and now - notice.at >= REPORT_SECONDS:
                self._drop(target)
        return {
            target: LimitNotice(
                None if notice.rate == math.inf else notice.rate, now - notice.at
            )
            for target, notice in self._notices.items()
            if notice.own and now - notice.at < REPORT_SECONDS
        }

    def receive(self, target: TargetId, notice: LimitNotice) -> None:
        """Take over what another entry VM was told, if it is newer."""
        at = self._clock() - notice.age_seconds
        known = self._notices.get(target)
        if known is not None and at <= known.at:
            return
        if self._forgotten.before(target, at):
            return
        rate = math.inf if notice.rate is None else notice.rate
        if known is None and (rate == math.inf or len(self._notices) >= MAX_TARGETS):
            return
        self._set(target, _Notice(rate, at, own=False))

    def forget(self, target: TargetId) -> None:
        """Drop what is known of `target`, and what others were told before."""
        self._drop(target)
        self._forgotten.add(target)

    def _drop(self, target: TargetId) -> None:
        for known in (self._notices, self._limited_at, self._last_sent_at):
            known.pop(target, None)

    # Sends.

    def wait_seconds(self, target: TargetId, members: Collection[EntryId]) -> float:
        """Return the time until this entry VM may send to `target`.

        Parameters
        ----------
        target : TargetId
            The target.
        members : collection of EntryId
            The entry VMs of the target's region, this one included.

        Returns
        -------
        float
            Time in seconds; 0 if it may send now, infinite if it is not one of those
            that send to the target.
        """
        limit = self.limit(target)
        if limit == math.inf:
            return 0.0
        rate = max(limit, MIN_RATE)
        sender_count = min(len(members), MAX_EXTRA_SENDERS + int(rate))
        rank = self._ranks.rank(target, members)
        if rank >= sender_count:
            return math.inf
        now = self._clock()
        if now - self._started_at < STARTUP_DELAY_SECONDS:
            # Other entry VMs may not be known yet.
            sender_count = max(sender_count, MIN_MEMBER_COUNT)
        interval_seconds = sender_count / rate
        last_sent_at = self._last_sent_at.get(target)
        if last_sent_at is None:
            # The first sends of all senders are spread over one interval.
            delay_seconds = interval_seconds * (rank + 1) / sender_count
            due_at = self._limited_at[target] + delay_seconds
        else:
            due_at = last_sent_at + interval_seconds
        return max(0.0, due_at - now)

    def record_send(self, target: TargetId) -> None:
        """Record that a request is about to be sent to `target`."""
        if self.limit(target) != math.inf:
            self._last_sent_at[target] = self._clock()

    def _set(self, target: TargetId, notice: _Notice) -> None:
        before = self.limit(target)
        self._notices[target] = notice
        if notice.rate == before:
            return
        if notice.rate == math.inf:
            self._last_sent_at.pop(target, None)
        elif before == math.inf:
            self._limited_at[target] = self._clock()
        self._on_change(target, notice.rate)
