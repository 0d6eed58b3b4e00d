"""What one node tells its peers, and what it takes in from them."""

import math
import random
from collections.abc import Callable

from pimentospool._generated.peers import (
    Gossip,
    Member,
    MemberState,
    NumbersScope,
    Report,
    RevisionHead,
)
from pimentospool.ids import EntryId
from pimentospool.policy import MemberChange, Membership, ReportBook
from pimentospool.signals import Signal

BEAT_PREFIX = "beat/"
LOAD_PREFIX = "load/"
_LOAD_EXPIRY_SECONDS = 30.0
_RUMOURS_PER_MESSAGE = 8
_REPORT_BYTES_PER_MESSAGE = 256 * 1024


class GossipState:
    """Everything that spreads by gossip, at one node.

    Parameters
    ----------
    own : Member
        Record of this process.
    gone_seconds : float
        Time after which a suspect is gone.
    recent_seconds : float
        Time for which a report counts as new.
    head : callable
        Returns the revision in force.
    clock, wall : callable
        Monotonic and Unix time in seconds.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        *,
        own: Member,
        gone_seconds: float,
        recent_seconds: float,
        head: Callable[[], RevisionHead],
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.members = Membership(
            own=own, suspicion_timeout_seconds=gone_seconds, rng=rng
        )
        self.reports = ReportBook()
        self.contact_at: float | None = None
        self.member_changed: Signal[MemberChange] = Signal(name="member_changed")
        self.report_changed: Signal[Report] = Signal(name="report_changed")
        self.revision_heard: Signal[RevisionHead, str] = Signal(name="revision_heard")
        self._head = head
        self._recent_seconds = recent_seconds
        self._clock = clock
        self._wall = wall

    def outgoing(self, *, whole: bool = False) -> Gossip:
        """Return a heartbeat.

        Parameters
        ----------
        whole : bool
            Whether to compare all reports, and not only those that rose lately.
        """
        gossip = self._base()
        gossip.members = self.members.gossip_updates(limit=_RUMOURS_PER_MESSAGE)
        gossip.scope = NumbersScope.ALL if whole else NumbersScope.RECENT
        gossip.numbers = self.reports.numbers(since=self._since(gossip.scope))
        return gossip

    def receive(self, gossip: Gossip) -> Gossip:
        """Take in a peer's message and return the answer to it."""
        self._absorb(gossip)
        answer = self._base()
        if gossip.scope is not NumbersScope.NONE:
            self._answer_numbers(gossip, answer)
        if self._same_view(gossip):
            answer.members = self.members.gossip_updates(limit=_RUMOURS_PER_MESSAGE)
        else:
            answer.members = self.members.records()
            answer.whole_zone = True
        self._add_record_of(gossip.sender, answer)
        return answer

    def _answer_numbers(self, gossip: Gossip, answer: Gossip) -> None:
        since = self._since(gossip.scope)
        missing = self.reports.missing_from(gossip.numbers, since=since)
        answer.reports = _bounded([item for item in missing if not _is_beat(item.key)])
        answer.numbers = {
            item.key: item.number for item in missing if _is_beat(item.key)
        }
        answer.wants = self.reports.wanted_from(gossip.numbers)

    def _since(self, scope: NumbersScope) -> float:
        if scope is NumbersScope.ALL:
            return -math.inf
        return self._clock() - self._recent_seconds

    def absorb(self, answer: Gossip) -> Gossip | None:
        """Take in the answer to a message; return what to send next, if anything."""
        self._absorb(answer)
        wanted = [self.reports.get(key) for key in answer.wants]
        if not wanted and (not answer.whole_zone or self._same_view(answer)):
            return None
        gossip = self._base()
        gossip.reports = _bounded([report for report in wanted if report is not None])
        gossip.whole_zone = True
        if answer.sender.zone == self.members.own.zone:
            gossip.members = self.members.records()
        return gossip

    def contact(self) -> None:
        """Note that the platform was heard from."""
        self.contact_at = self._clock()

    @property
    def contact_age(self) -> float:
        """Time since the platform was last heard from; -1 if never."""
        return -1.0 if self.contact_at is None else self._clock() - self.contact_at

    def drop_expired(self) -> None:
        """Drop the load reports of nodes that no longer send any."""
        for report in self.reports.with_prefix(LOAD_PREFIX):
            if self._expired(report):
                self.reports.drop(report.key)

    def _expired(self, report: Report) -> bool:
        age = self._wall() - report.number / 1000
        return report.key.startswith(LOAD_PREFIX) and age > _LOAD_EXPIRY_SECONDS

    def _base(self) -> Gossip:
        return Gossip(
            sender=self.members.own,
            revision=self._head(),
            contact_age_seconds=self.contact_age,
            members_digest=self.members.digest,
        )

    def _same_view(self, gossip: Gossip) -> bool:
        if gossip.sender.zone != self.members.own.zone:
            return True
        return gossip.members_digest == self.members.digest

    def _absorb(self, gossip: Gossip) -> None:
        now = self._clock()
        for record in [*gossip.members, gossip.sender]:
            change = self.members.merge(record, now=now)
            if change is not None:
                self.member_changed.send(change)
        for report in [*gossip.reports, *_beats(gossip)]:
            if not self._expired(report) and self.reports.merge(report, now=now):
                self.report_changed.send(report)
        age = gossip.contact_age_seconds
        if age >= 0 and (self.contact_at is None or now - age > self.contact_at):
            self.contact_at = now - age
        self.revision_heard.send(gossip.revision, gossip.sender.peer_address)

    def _add_record_of(self, sender: Member, answer: Gossip) -> None:
        held = self.members.record(sender.id)
        if held is None or held.state in (MemberState.LIVE, MemberState.LEAVING):
            return
        if held not in answer.members:
            answer.members.append(held)


def _is_beat(key: str) -> bool:
    return key.startswith(BEAT_PREFIX)


def _beats(gossip: Gossip) -> list[Report]:
    """Return beats, which have no data, from their numbers."""
    return [
        Report(key=key, number=number, producer=EntryId(""), data=b"")
        for key, number in gossip.numbers.items()
        if _is_beat(key)
    ]


def _bounded(reports: list[Report]) -> list[Report]:
    size = 0
    chosen: list[Report] = []
    for report in reports:
        size += len(report.data)
        if chosen and size > _REPORT_BYTES_PER_MESSAGE:
            break
        chosen.append(report)
    return chosen
