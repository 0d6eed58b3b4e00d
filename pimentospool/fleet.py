"""What an entry VM knows of other entry VMs and of targets that leave."""

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
_SNAPSHOT_SECONDS = 0.1


class Fleet(Protocol):
    """Members of the deployment as seen from here."""

    def entries(self, region: RegionId) -> list[VmRecord]:
        """Return the entry VMs of `region` that take requests."""
        ...

    def entry(self, entry: EntryId) -> VmRecord | None:
        """Return an entry VM that is not gone."""
        ...

    def entry_ids(self) -> set[EntryId]:
        """Return all entry VMs that are not gone, reachable or not."""
        ...

    def regions(self) -> set[RegionId]:
        """Return the regions with an entry VM that takes requests."""
        ...

    def lost_regions(self) -> frozenset[RegionId]:
        """Return the regions that a drill declares lost from here."""
        ...

    def leaving_targets(self) -> frozenset[TargetId]:
        """Return the targets that take no new request."""
        ...


class PeerFleet:
    """Fleet as peers' heartbeats, zones' summaries and the VM list show it.

    Parameters
    ----------
    node : PeerNode
        This node among its peers.
    drills : callable
        Returns the drill windows of the revision in force.
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
        self._members: dict[EntryId, Member] = {}
        self._read_at = -math.inf
        node.state.member_changed.connect(lambda change: self._forget())
        node.state.report_changed.connect(lambda report: self._forget())

    def update(self, vms: VmList) -> None:
        """Take over a list read from the platform."""
        self._node.set_hints(vms.vms)
        self._forget()

    def members(self) -> list[Member]:
        """Return the entry VMs that take requests, as far as they are known."""
        return list(self._usable().values())

    def entries(self, region: RegionId) -> list[VmRecord]:
        """Return the entry VMs of `region` that take requests."""
        if region in self.lost_regions():
            return []
        return [
            _vm_record(member)
            for member in self._usable().values()
            if member.region == region
        ]

    def entry(self, entry: EntryId) -> VmRecord | None:
        """Return an entry VM that is not gone."""
        member = self.member(entry)
        return _vm_record(member) if member else None

    def member(self, entry: EntryId) -> Member | None:
        """Return the record of an entry VM that is not gone, with its life."""
        held = self._node.state.members.record(entry)
        if held is not None and held.state is not MemberState.GONE:
            return held
        return self._usable().get(entry)

    def entry_ids(self) -> set[EntryId]:
        """Return all entry VMs that are not gone, reachable or not.

        Those of a zone that cannot be reached are gone once the platform's list
        shows them no more; a list that cannot be read keeps them.
        """
        zones = self._node.zones
        now = self._clock()
        listed = {vm.id for vm in zones.hints}
        ids = {member.id for member in self._node.state.members.present()}
        for summary in zones.summaries():
            known = {member.id for member in summary.gateways}
            if listed and not zones.reachable(summary.zone, now=now):
                known &= listed
            ids |= known
        return ids | set(self._usable())

    def regions(self) -> set[RegionId]:
        """Return the regions with an entry VM that takes requests."""
        regions = {member.region for member in self._usable().values()}
        return regions - self.lost_regions()

    def lost_regions(self) -> frozenset[RegionId]:
        """Return the regions that a drill declares lost from here."""
        return self._drills().lost_regions(time=self._wall())

    def leaving_targets(self) -> frozenset[TargetId]:
        """Return the targets that take no new request."""
        targets: set[TargetId] = set()
        for leaving in self._leaving():
            targets |= set(leaving.targets)
        return frozenset(targets)

    def _leaving(self) -> list[LeavingVms]:
        """Return what the reachable zones of this region report as leaving."""
        own = self._node.state.members.own
        zones = self._node.zones
        now = self._clock()
        found = []
        for report in self._node.state.reports.with_prefix(LEAVING_PREFIX):
            zone = ZoneId(report.key.removeprefix(LEAVING_PREFIX))
            reachable = zones.reachable(zone, now=now)
            near = reachable and zones.region_of(zone) == own.region
            if zone == own.zone or near:
                with contextlib.suppress(msgspec.DecodeError, UnicodeDecodeError):
                    found.append(msgspec.msgpack.decode(report.data, type=LeavingVms))
        return found

    def _forget(self) -> None:
        self._read_at = -math.inf

    def _usable(self) -> dict[EntryId, Member]:
        now = self._clock()
        if now - self._read_at >= _SNAPSHOT_SECONDS:
            self._members = self._read(now)
            self._read_at = now
        return self._members

    def _read(self, now: float) -> dict[EntryId, Member]:
        members = list(self._node.state.members.live())
        zones = self._node.zones
        for zone in zones.zones():
            if zones.reachable(zone, now=now):
                members += zones.gateways(zone)
            elif zones.age(zone, now=now) is None:
                members += [_listed_member(vm) for vm in zones.hints if vm.zone == zone]
        leaving = {entry for listed in self._leaving() for entry in listed.entries}
        return {member.id: member for member in members if member.id not in leaving}


def _vm_record(member: Member) -> VmRecord:
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


def _listed_member(vm: VmRecord) -> Member:
    return Member(
        id=EntryId(vm.id),
        region=vm.region,
        zone=vm.zone,
        caller_address=vm.caller_address,
        peer_address=vm.peer_address,
        life=0,
        incarnation=0,
    )
