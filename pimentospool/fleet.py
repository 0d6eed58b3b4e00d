"""Other entry VMs and leaving targets, as known to one entry VM."""

import contextlib
import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from pimentospool._generated.peers import LeavingVms, Member, MemberState
from pimentospool._generated.platform import VmKind, VmList, VmRecord, VmState
from pimentospool.ids import EntryId, RegionId, TargetId, ZoneId
from pimentospool.peers import PeerNode
from pimentospool.policy import DrillSchedule

LEAVING_PREFIX = "leaving/"
_CACHE_SECONDS = 0.1


class Fleet(Protocol):
    """Entry VMs, regions and leaving targets, as known to this entry VM."""

    def entries(self, region: RegionId) -> list[VmRecord]:
        """Return the entry VMs of `region` that take requests."""
        ...

    def entry(self, entry: EntryId) -> VmRecord | None:
        """Return the record of an entry VM, or None if it is unknown or gone."""
        ...

    def entry_ids(self) -> set[EntryId]:
        """Return all entry VMs that are not gone, reachable or not."""
        ...

    def regions(self) -> set[RegionId]:
        """Return the regions with an entry VM that takes requests."""
        ...

    def lost_regions(self) -> frozenset[RegionId]:
        """Return the regions that a drill declares lost for this entry VM."""
        ...

    def leaving_targets(self) -> frozenset[TargetId]:
        """Return the targets that take no new request."""
        ...


class PeerFleet:
    """Fleet derived from gossip in the zone, zone summaries and the VM list.

    Parameters
    ----------
    node : PeerNode
        Local node of the peer protocol.
    drills : callable
        Returns the drill windows of the active revision.
    clock, wall : callable
        Monotonic and Unix time in seconds.
    """

    def __init__(
        self,
        *,
        node: PeerNode,
        drills: Callable[[], DrillSchedule],
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self._node = node
        self._drills = drills
        self._clock = clock
        self._wall = wall
        self._cached_members: dict[EntryId, Member] = {}
        self._cached_at = -math.inf
        node.state.member_changed.connect(lambda change: self._invalidate())
        node.state.report_changed.connect(lambda report: self._invalidate())

    def update(self, vms: VmList) -> None:
        """Store a VM list read from the platform."""
        self._node.set_listed_vms(vms.vms)
        self._invalidate()

    def members(self) -> list[Member]:
        """Return the known entry VMs that take requests."""
        return list(self._serving_members().values())

    def entries(self, region: RegionId) -> list[VmRecord]:
        """Return the entry VMs of `region` that take requests."""
        if region in self.lost_regions():
            return []
        return [
            _vm_from_member(member)
            for member in self._serving_members().values()
            if member.region == region
        ]

    def entry(self, entry: EntryId) -> VmRecord | None:
        """Return the record of an entry VM, or None if it is unknown or gone."""
        member = self.member(entry)
        return _vm_from_member(member) if member else None

    def member(self, entry: EntryId) -> Member | None:
        """Return the full record of an entry VM, or None if it is unknown or gone."""
        record = self._node.state.members.record(entry)
        if record is not None and record.state is not MemberState.GONE:
            return record
        return self._serving_members().get(entry)

    def entry_ids(self) -> set[EntryId]:
        """Return all entry VMs that are not gone, reachable or not.

        An entry VM of an unreachable zone counts as gone once the platform's list no
        longer names it. It is kept while the list cannot be read.
        """
        zones = self._node.zones
        now = self._clock()
        listed = {vm.id for vm in zones.listed_vms}
        ids = {member.id for member in self._node.state.members.present()}
        for summary in zones.summaries():
            known = {member.id for member in summary.gateways}
            if listed and not zones.reachable(summary.zone, now=now):
                known &= listed
            ids |= known
        return ids | set(self._serving_members())

    def regions(self) -> set[RegionId]:
        """Return the regions with an entry VM that takes requests."""
        regions = {member.region for member in self._serving_members().values()}
        return regions - self.lost_regions()

    def lost_regions(self) -> frozenset[RegionId]:
        """Return the regions that a drill declares lost for this entry VM."""
        return self._drills().lost_regions(time=self._wall())

    def leaving_targets(self) -> frozenset[TargetId]:
        """Return the targets that take no new request."""
        targets: set[TargetId] = set()
        for leaving in self._leaving_reports():
            targets |= set(leaving.targets)
        return frozenset(targets)

    def _leaving_reports(self) -> list[LeavingVms]:
        """Return the leaving VMs reported by reachable zones of the local region."""
        own = self._node.state.members.own
        zones = self._node.zones
        now = self._clock()
        found = []
        for report in self._node.state.reports.with_prefix(LEAVING_PREFIX):
            zone = ZoneId(report.key.removeprefix(LEAVING_PREFIX))
            reachable = zones.reachable(zone, now=now)
            in_region = reachable and zones.region_of(zone) == own.region
            if zone == own.zone or in_region:
                with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError):
                    found.append(msgspec.msgpack.decode(report.data, type=LeavingVms))
        return found

    def _invalidate(self) -> None:
        self._cached_at = -math.inf

    def _serving_members(self) -> dict[EntryId, Member]:
        now = self._clock()
        if now - self._cached_at >= _CACHE_SECONDS:
            self._cached_members = self._find_serving_members(now)
            self._cached_at = now
        return self._cached_members

    def _find_serving_members(self, now: float) -> dict[EntryId, Member]:
        members = list(self._node.state.members.live())
        zones = self._node.zones
        for zone in zones.zones():
            if zones.reachable(zone, now=now):
                members += zones.gateways(zone)
            elif zones.age(zone, now=now) is None:
                members += [
                    _member_from_vm(vm) for vm in zones.listed_vms if vm.zone == zone
                ]
        leaving = {
            entry for report in self._leaving_reports() for entry in report.entries
        }
        return {member.id: member for member in members if member.id not in leaving}


def _vm_from_member(member: Member) -> VmRecord:
    leaving = member.state is MemberState.LEAVING
    return VmRecord(
        id=member.id,
        kind=VmKind.ENTRY,
        state=VmState.LEAVING if leaving else VmState.LIVE,
        region=member.region,
        zone=member.zone,
        caller_address=member.caller_address,
        peer_address=member.peer_address,
    )


def _member_from_vm(vm: VmRecord) -> Member:
    return Member(
        id=EntryId(vm.id),
        region=vm.region,
        zone=vm.zone,
        caller_address=vm.caller_address,
        peer_address=vm.peer_address,
        life=0,
        incarnation=0,
    )
