"""State that a node exchanges with its peers by gossip."""

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

ZONE_HEARTBEAT_PREFIX = "beat/"
LOAD_PREFIX = "load/"
_LOAD_EXPIRY_SECONDS = 30.0
_RECORDS_PER_MESSAGE = 8
_REPORT_BYTES_PER_MESSAGE = 256 * 1024


class GossipState:
    """Members, reports and revision heads as one node knows them.

    Parameters
    ----------
    own : Member
        Record of this process.
    suspicion_timeout_seconds : float
        Time after which a suspected member counts as gone.
    recent_seconds : float
        Time after an update for which a report counts as recent.
    head : callable
        Returns the head of the active revision.
    clock, wall : callable
        Monotonic and Unix time in seconds.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        *,
        own: Member,
        suspicion_timeout_seconds: float,
        recent_seconds: float,
        head: Callable[[], RevisionHead],
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.members = Membership(
            own=own, suspicion_timeout_seconds=suspicion_timeout_seconds, rng=rng
        )
        self.reports = ReportBook()
        self.contacted_at: float | None = None
        self.member_changed: Signal[MemberChange] = Signal(name="member_changed")
        self.report_changed: Signal[Report] = Signal(name="report_changed")
        self.revision_advertised: Signal[RevisionHead, str] = Signal(
            name="revision_advertised"
        )
        self._head = head
        self._recent_seconds = recent_seconds
        self._clock = clock
        self._wall = wall

    def make_heartbeat(self, *, all_reports: bool = False) -> Gossip:
        """Return a heartbeat message.

        Parameters
        ----------
        all_reports : bool
            Whether to compare the numbers of all reports, not only of recent ones.
        """
        gossip = self._new_message()
        gossip.members = self.members.gossip_updates(limit=_RECORDS_PER_MESSAGE)
        gossip.scope = NumbersScope.ALL if all_reports else NumbersScope.RECENT
        gossip.numbers = self.reports.numbers(since=self._since(gossip.scope))
        return gossip

    def receive(self, gossip: Gossip) -> Gossip:
        """Merge a peer's message and return the answer to it."""
        self._merge(gossip)
        answer = self._new_message()
        if gossip.scope is not NumbersScope.NONE:
            self._answer_numbers(gossip, answer)
        if self._same_members(gossip):
            answer.members = self.members.gossip_updates(limit=_RECORDS_PER_MESSAGE)
        else:
            answer.members = self.members.records()
            answer.whole_zone = True
        self._add_refutable_record(gossip.sender, answer)
        return answer

    def _answer_numbers(self, gossip: Gossip, answer: Gossip) -> None:
        since = self._since(gossip.scope)
        missing = self.reports.missing_from(gossip.numbers, since=since)
        answer.reports = _fit_into_message(
            [item for item in missing if not _is_zone_heartbeat(item.key)]
        )
        answer.numbers = {
            item.key: item.number for item in missing if _is_zone_heartbeat(item.key)
        }
        answer.wants = self.reports.wanted_from(gossip.numbers)

    def _since(self, scope: NumbersScope) -> float:
        if scope is NumbersScope.ALL:
            return -math.inf
        return self._clock() - self._recent_seconds

    def receive_answer(self, answer: Gossip) -> Gossip | None:
        """Merge the answer to a message; return a follow-up if one is needed."""
        self._merge(answer)
        wanted = [self.reports.get(key) for key in answer.wants]
        if not wanted and (not answer.whole_zone or self._same_members(answer)):
            return None
        gossip = self._new_message()
        gossip.reports = _fit_into_message(
            [report for report in wanted if report is not None]
        )
        gossip.whole_zone = True
        if answer.sender.zone == self.members.own.zone:
            gossip.members = self.members.records()
        return gossip

    def record_platform_contact(self) -> None:
        """Record that the platform responded just now."""
        self.contacted_at = self._clock()

    @property
    def contact_age(self) -> float:
        """Seconds since the last known contact with the platform; -1 if never."""
        return -1.0 if self.contacted_at is None else self._clock() - self.contacted_at

    def drop_expired(self) -> None:
        """Drop the load reports of nodes that no longer publish any."""
        for report in self.reports.with_prefix(LOAD_PREFIX):
            if self._expired(report):
                self.reports.drop(report.key)

    def _expired(self, report: Report) -> bool:
        age = self._wall() - report.number / 1000
        return report.key.startswith(LOAD_PREFIX) and age > _LOAD_EXPIRY_SECONDS

    def _new_message(self) -> Gossip:
        return Gossip(
            sender=self.members.own,
            revision=self._head(),
            contact_age_seconds=self.contact_age,
            members_digest=self.members.digest,
        )

    def _same_members(self, gossip: Gossip) -> bool:
        if gossip.sender.zone != self.members.own.zone:
            return True
        return gossip.members_digest == self.members.digest

    def _merge(self, gossip: Gossip) -> None:
        now = self._clock()
        for record in [*gossip.members, gossip.sender]:
            change = self.members.merge(record, now=now)
            if change is not None:
                self.member_changed.send(change)
        for report in [*gossip.reports, *_zone_heartbeats(gossip)]:
            if not self._expired(report) and self.reports.merge(report, now=now):
                self.report_changed.send(report)
        age = gossip.contact_age_seconds
        if age >= 0 and (self.contacted_at is None or now - age > self.contacted_at):
            self.contacted_at = now - age
        self.revision_advertised.send(gossip.revision, gossip.sender.peer_address)

    def _add_refutable_record(self, sender: Member, answer: Gossip) -> None:
        """Add the sender's record if it counts as suspect or gone here.

        The sender can then refute it with a higher incarnation.
        """
        record = self.members.record(sender.id)
        if record is None or record.state in (MemberState.LIVE, MemberState.LEAVING):
            return
        if record not in answer.members:
            answer.members.append(record)


def _is_zone_heartbeat(key: str) -> bool:
    return key.startswith(ZONE_HEARTBEAT_PREFIX)


def _zone_heartbeats(gossip: Gossip) -> list[Report]:
    """Return the zone heartbeats of a message; they have a number but no data."""
    return [
        Report(key=key, number=number, producer=EntryId(""), data=b"")
        for key, number in gossip.numbers.items()
        if _is_zone_heartbeat(key)
    ]


def _fit_into_message(reports: list[Report]) -> list[Report]:
    """Return the first reports that fit into one message, and at least one."""
    size = 0
    chosen: list[Report] = []
    for report in reports:
        size += len(report.data)
        if chosen and size > _REPORT_BYTES_PER_MESSAGE:
            break
        chosen.append(report)
    return chosen
