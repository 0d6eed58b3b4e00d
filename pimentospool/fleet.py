"""What an entry VM knows of other entry VMs and of targets that leave."""

from typing import Protocol

from pimentospool._generated.platform import VmKind, VmList, VmRecord, VmState
from pimentospool.ids import EntryId, RegionId, TargetId, ZoneId


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

    def leaving_targets(self) -> frozenset[TargetId]:
        """Return the targets that take no new request."""
        ...


class ListedFleet:
    """Fleet as the platform's VM list shows it."""

    def __init__(self) -> None:
        self._entries: dict[EntryId, VmRecord] = {}
        self._leaving: frozenset[TargetId] = frozenset()

    def update(self, vms: VmList) -> None:
        """Take over a list read from the platform."""
        self._entries = {
            EntryId(vm.id): vm for vm in vms.vms if vm.kind is VmKind.ENTRY
        }
        self._leaving = frozenset(
            TargetId(vm.id)
            for vm in vms.vms
            if vm.kind is VmKind.TARGET and vm.state is VmState.LEAVING
        )

    def entries(self, region: RegionId) -> list[VmRecord]:
        """Return the entry VMs of `region` that take requests."""
        return [
            vm
            for vm in self._entries.values()
            if vm.region == region and vm.state is VmState.LIVE
        ]

    def entry(self, entry: EntryId) -> VmRecord | None:
        """Return an entry VM that is not gone."""
        return self._entries.get(entry)

    def entry_ids(self) -> set[EntryId]:
        """Return all entry VMs that are not gone, reachable or not."""
        return set(self._entries)

    def regions(self) -> set[RegionId]:
        """Return the regions with an entry VM that takes requests."""
        return {vm.region for vm in self._entries.values() if vm.state is VmState.LIVE}

    def zones(self) -> set[ZoneId]:
        """Return the zones with an entry VM."""
        return {vm.zone for vm in self._entries.values()}

    def leaving_targets(self) -> frozenset[TargetId]:
        """Return the targets that take no new request."""
        return self._leaving
