"""Exchange of the work at each target between the entry VMs of a region.

In a small region every entry VM reports to all others. In a large one it reports to two
relays. Each of them forwards what it received, together, to the whole region, unless
the other one was first: the number of datagrams then grows with the number of entry VMs
instead of its square.
"""

import math
from collections.abc import Callable

from pimentospool.gateway._facts import FactPosition
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import (
    EntryRecord,
    ReportMessage,
    TargetReport,
    decode_occupancy,
    encode_occupancy,
)
from pimentospool.gateway._region_contact import RegionContact
from pimentospool.ids import EntryId, MemberKey, TargetId
from pimentospool.policy import (
    BrittleTargets,
    DoubtedStarts,
    DoubtNotice,
    LimitNotice,
    NamedLimits,
    OccupancyBook,
)

REFRESH_ROUNDS = 5
"""Interval, in rounds, at which an unchanged report is repeated; a report expires
after twice that time (`PEER_REPORT_TTL_SECONDS`)."""
EMPTY_REPORTS = 2
"""Number of repetitions of an empty report, one of which may get lost."""
BEACON_ROUNDS = 2
"""Interval, in rounds, at which a relay sends its position even without reports."""
MAX_REPORTS_PER_MESSAGE = 16
"""Limit on the reports in one datagram, so that it fits into a packet."""
MAX_ITEMS_PER_MESSAGE = 1024
"""Limit on what the reports in one datagram say of targets, unless it is one report's;
each item takes up to 50 bytes, and a larger datagram than 65,507 can't be sent."""
LINK_SHARE = 0.25
"""Share of a relay's link for reports; the link also carries requests and responses."""
_BYTES_PER_MEGABIT = 125_000.0


def relay_bytes(link_mbps: float, seconds: float) -> float:
    """Return the bytes of reports that a link is to carry in some time.

    The link of an entry VM that doesn't know its bandwidth (0) isn't limited.
    """
    if not link_mbps:
        return math.inf
    return LINK_SHARE * link_mbps * _BYTES_PER_MEGABIT * seconds


class ReportExchange:
    """Reports of this entry VM, and those of others that it receives or relays.

    Parameters
    ----------
    fleet : Fleet
        Membership of the entry VMs.
    book : OccupancyBook
        Requests in progress at each target, shared within the region.
    limits : NamedLimits
        Limits that targets name, shared within the region.
    brittle : BrittleTargets
        Brittle targets, shared likewise.
    contact : RegionContact
        Which targets this entry VM and the others reach, shared likewise.
    doubted : DoubtedStarts
        Targets that may have started again, shared likewise.
    cold_reports : callable
        Returns the seconds for which recently checked targets stay cold.
    receive_cold_report : callable
        Called with each such report of another entry VM.
    position : callable
        Returns how far this entry VM has followed the source of its routing state, and
        the seconds since the source responded; None while it doesn't read the source.
    receive_position : callable
        Called with the sender, position and age that another entry VM announces.
    bytes_per_round : float
        Bytes that reports may take of the link in one round; see `relay_bytes`.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        book: OccupancyBook,
        limits: NamedLimits,
        brittle: BrittleTargets,
        contact: RegionContact,
        doubted: DoubtedStarts,
        cold_reports: Callable[[], dict[TargetId, float]],
        receive_cold_report: Callable[[TargetId, float], None],
        position: Callable[[], tuple[FactPosition, float] | None],
        receive_position: Callable[[EntryRecord, FactPosition, float], None],
        bytes_per_round: float = math.inf,
    ) -> None:
        self._bytes_per_round = bytes_per_round
        self._unpaid_bytes = 0.0
        """Bytes sent beyond what the link is to carry; while there are any, reports of
        others wait, and newer ones of the same sender take their place."""
        self._sent_bytes = 0
        """Bytes sent in this round."""
        self._fleet = fleet
        self._book = book
        self._limits = limits
        self._brittle = brittle
        self._contact = contact
        self._doubted = doubted
        self._cold_reports = cold_reports
        self._receive_cold_report = receive_cold_report
        self._position = position
        self._receive_position = receive_position
        self._round = 0
        self._own = TargetReport(fleet.local_record.key, 0, {})
        self._empty_reports_left = 0
        self._to_relay: dict[int, TargetReport] = {}
        self._numbers: dict[int, int] = {}
        self._announced: FactPosition | None = None

    def receive(self, msg: ReportMessage) -> bool:
        """Store the reports of a message, and keep them if they are to be relayed.

        Return whether they are to be relayed at once.
        """
        is_urgent = False
        if msg.position is not None:
            record = self._fleet.record(MemberKey(msg.sender))
            if record is not None:
                self._receive_position(
                    record, msg.position, max(0.0, msg.position_age_seconds)
                )
        for report in msg.reports:
            if report.sender == self._own.sender:
                continue
            if not msg.to_relay:
                self._drop_relayed(report)
            if report.number < self._numbers.get(report.sender, 0):
                continue
            self._numbers[report.sender] = report.number
            self._book.receive_report(
                EntryId(f"{report.sender:08x}"), decode_occupancy(report)
            )
            for target, seconds in report.cold_seconds.items():
                self._receive_cold_report(TargetId(target), seconds)
            for target, notice in report.limits.items():
                self._limits.receive(TargetId(target), notice)
            for target, age_seconds in report.brittle.items():
                self._brittle.receive(TargetId(target), age_seconds)
            self._contact.receive(MemberKey(report.sender), report.reached)
            is_news = self._doubted.receive(
                MemberKey(report.sender),
                {TargetId(target): item for target, item in report.doubts.items()},
                {TargetId(target): item for target, item in report.proofs.items()},
            )
            if msg.to_relay:
                self._to_relay[report.sender] = report
                is_urgent |= is_news
        return is_urgent

    def record_sent(self, size_bytes: int) -> None:
        """Count bytes that were sent, all receivers together, against the link."""
        self._sent_bytes += size_bytes

    def next_round(self) -> list[tuple[ReportMessage, list[EntryRecord]]]:
        """Return the messages of the next round, each with its receivers."""
        self._round += 1
        unpaid_bytes = self._unpaid_bytes + self._sent_bytes - self._bytes_per_round
        self._unpaid_bytes, self._sent_bytes = max(0.0, unpaid_bytes), 0
        messages = self.messages()
        if self._round % REFRESH_ROUNDS == 0:
            self._forget_gone_senders()
        return messages

    def messages(self) -> list[tuple[ReportMessage, list[EntryRecord]]]:
        """Return the messages that are due, each with its receivers."""
        own = self._next_own_report()
        local = self._fleet.local_record
        others = self._fleet.live(region=self._fleet.local_region)
        relays = self._fleet.relays(self._fleet.local_region)
        reports = [own] if own is not None else []
        messages: list[tuple[ReportMessage, list[EntryRecord]]] = []
        if not relays:
            if reports:
                messages.append((ReportMessage(reports), others))
        elif local.key not in relays and reports:
            receivers = [rec for rec in others if rec.key in relays]
            messages.append((ReportMessage(reports, to_relay=True), receivers))
        if local.key in relays and own is not None:
            self._to_relay[own.sender] = own
        relayed: list[TargetReport] = []
        if not self._unpaid_bytes and self._sent_bytes < self._bytes_per_round:
            relayed, self._to_relay = list(self._to_relay.values()), {}
        position = self._position() if local.key in relays else None
        if relayed or self._announces(position):
            messages += [
                (msg, others) for msg in self._relay_messages(relayed, position)
            ]
        return messages

    def _next_own_report(self) -> TargetReport | None:
        """Return this entry VM's report if it has changed or is to be repeated."""
        occupancy = encode_occupancy(self._book.local_occupancy())
        cold = {str(key): value for key, value in self._cold_reports().items()}
        limits = {str(key): value for key, value in self._limits.notices().items()}
        brittle = {str(key): value for key, value in self._brittle.notices().items()}
        reached = self._contact.report()
        notices = self._doubted.notices(in_contact=not self._contact.lost)
        doubts = {str(key): value for key, value in notices.items()}
        proofs = {str(key): value for key, value in self._doubted.proofs().items()}
        changed = (
            occupancy != self._own.occupancy
            or cold.keys() != self._own.cold_seconds.keys()
            or _rates(limits) != _rates(self._own.limits)
            or brittle.keys() != self._own.brittle.keys()
            or reached != self._own.reached
            or _numbers(doubts) != _numbers(self._own.doubts)
            or proofs != self._own.proofs
        )
        if changed:
            self._empty_reports_left = EMPTY_REPORTS
        elif self._round % REFRESH_ROUNDS:
            return None
        elif not (
            occupancy or cold or limits or brittle or reached or doubts or proofs
        ):
            if not self._empty_reports_left:
                return None
            self._empty_reports_left -= 1
        self._own = TargetReport(
            self._own.sender,
            self._own.number + 1,
            occupancy,
            cold,
            limits,
            brittle,
            reached,
            doubts,
            proofs,
        )
        return self._own

    def _drop_relayed(self, report: TargetReport) -> None:
        """Drop a report that waits to be relayed if another relay has sent it."""
        waiting = self._to_relay.get(report.sender)
        if waiting is not None and waiting.number <= report.number:
            del self._to_relay[report.sender]

    def _announces(self, position: tuple[FactPosition, float] | None) -> bool:
        if position is None:
            return False
        return self._round % BEACON_ROUNDS == 0 or position[0] != self._announced

    def _relay_messages(
        self,
        reports: list[TargetReport],
        position: tuple[FactPosition, float] | None,
    ) -> list[ReportMessage]:
        chunks: list[list[TargetReport]] = []
        items = 0
        for report in reports:
            items += _item_count(report)
            full = chunks and len(chunks[-1]) >= MAX_REPORTS_PER_MESSAGE
            if not chunks or full or items > MAX_ITEMS_PER_MESSAGE:
                chunks.append([])
                items = _item_count(report)
            chunks[-1].append(report)
        messages = [ReportMessage(chunk) for chunk in chunks or [[]]]
        if position is not None:
            first = messages[0]
            first.sender = self._own.sender
            first.position, first.position_age_seconds = position
            self._announced = position[0]
        return messages

    def _forget_gone_senders(self) -> None:
        for sender in list(self._numbers):
            if self._fleet.record(MemberKey(sender)) is None:
                del self._numbers[sender]


def _item_count(report: TargetReport) -> int:
    return (
        len(report.occupancy)
        + len(report.cold_seconds)
        + len(report.limits)
        + len(report.brittle)
        + len(report.doubts)
        + sum(1 + len(proof.settled) for proof in report.proofs.values())
    )


def _rates(limits: dict[str, LimitNotice]) -> dict[str, float | None]:
    return {target: notice.rate for target, notice in limits.items()}


def _numbers(doubts: dict[str, DoubtNotice]) -> dict[str, tuple[int, bool]]:
    """Return what of the doubts the other entry VMs are to be told at once."""
    return {
        target: (notice.number, notice.cold_seconds is None)
        for target, notice in doubts.items()
    }
