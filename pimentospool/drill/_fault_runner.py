"""Injects faults into a drill's fleet, and undoes them."""

import asyncio
import random
import time

import msgspec

from pimentospool._generated.platform import VmKind, VmRecord, VmState
from pimentospool._generated.scenario import FaultKind
from pimentospool.drill._evidence import FaultWindow
from pimentospool.drill._fleet import VM_LIST_LAG_SECONDS, DrillFleet
from pimentospool.drill._processes import EntryProcess
from pimentospool.drill._publisher import Publisher
from pimentospool.drill._scenarios import INSTANT_KINDS, PlannedFault
from pimentospool.faults import Direction, FaultProxy, MisbehavingClients
from pimentospool.ids import EntryId, RegionId

_SHUTDOWN_TIMEOUT_SECONDS = 20.0
MISBEHAVING_CLIENTS = 30
"""Misbehaving clients at each entry VM of a region."""


class FaultRunner:
    """Injects the planned faults of scenarios, one scenario after the other.

    Parameters
    ----------
    fleet : DrillFleet
        Fleet that the faults are injected into.
    publisher : Publisher
        Publishes configuration revisions.
    """

    def __init__(self, *, fleet: DrillFleet, publisher: Publisher) -> None:
        self.windows: list[FaultWindow] = []
        self._fleet = fleet
        self._publisher = publisher
        self._misbehaving_clients: dict[PlannedFault, list[MisbehavingClients]] = {}

    def active_windows(self) -> list[FaultWindow]:
        """Return the windows of the faults that are active now."""
        now = time.time()
        return [window for window in self.windows if window.covers(now)]

    async def run(self, scenario: str, faults: list[PlannedFault]) -> None:
        """Inject each of `faults` at its start, and undo it at its end."""
        started_at = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._run_fault(scenario, fault, started_at))

    async def _run_fault(
        self, scenario: str, fault: PlannedFault, started_at: float
    ) -> None:
        await _sleep_until(started_at + fault.start)
        now = time.time()
        window = FaultWindow(
            kind=fault.kind,
            scenario=scenario,
            start=now,
            end=now + fault.end - fault.start,
            region=fault.region,
            other_region=fault.other_region,
            entry=fault.entry,
            target=fault.target,
        )
        self.windows.append(window)
        await self._inject(fault, window)
        if fault.kind in INSTANT_KINDS:
            return
        await _sleep_until(started_at + fault.end)
        await self._undo(fault, window)
        window.end = time.time()

    async def _inject(self, fault: PlannedFault, window: FaultWindow) -> None:
        fleet = self._fleet
        match fault.kind:
            case FaultKind.REGION_LOST:
                for target in fleet.targets_of(fault.region):
                    fleet.target_links[target].cut()
                for entry in fleet.entries_of(fault.region):
                    await self._kill(entry)
            case FaultKind.CAPACITY_LOST:
                for link in self._spare_engine_links(fault.region):
                    link.cut()
            case FaultKind.TARGETS_REFUSING:
                self._set_refusing(fault.region, refusing=True)
            case FaultKind.REGION_ISOLATED:
                self._isolate(fault.region)
            case FaultKind.LINK_CUT:
                for peer_link in self._fault_links(fault):
                    peer_link.proxy.cut(source=peer_link.source)
            case FaultKind.LINK_SILENT:
                for peer_link in self._fault_links(fault):
                    peer_link.proxy.blackhole(source=peer_link.source)
            case FaultKind.LINK_ONE_WAY:
                for peer_link in self._fault_links(fault):
                    peer_link.proxy.blackhole(
                        peer_link.direction, source=peer_link.source
                    )
            case FaultKind.CONNECTIONS_SILENT:
                for proxy in self._region_links(fault.region):
                    proxy.lose_connections()
            case FaultKind.ANSWERS_LOST:
                for target in fleet.targets_of(fault.region):
                    fleet.target_links[target].blackhole(Direction.TO_CLIENT)
            case FaultKind.CACHES_COLD:
                self._clear_caches(fault.region)
            case FaultKind.CONFIGURATION_DOWN:
                for links in fleet.platform_links.values():
                    links["configuration"].cut()
            case FaultKind.CONFIGURATION_STALE:
                await self._publisher.publish_stale_index()
            case FaultKind.MANIFEST_PUBLISHED:
                await self._publisher.publish()
            case FaultKind.MANIFEST_REFUSED:
                await self._publisher.publish_unacceptable()
            case FaultKind.ENTRY_KILLED:
                assert fault.entry is not None
                await self._kill(fault.entry)
            case FaultKind.ENTRY_PAUSED:
                assert fault.entry is not None
                fleet.processes[fault.entry].pause()
            case FaultKind.ENTRY_REPLACED:
                await self._replace(window)
            case FaultKind.TARGET_LEAVING:
                self._set_leaving(window, leaving=True)
                # Entry VMs can react only once the lagging VM list shows the change.
                window.start = time.time() + VM_LIST_LAG_SECONDS
            case FaultKind.CALLERS_MISBEHAVING:
                self._start_misbehaving_clients(fault)

    async def _undo(self, fault: PlannedFault, window: FaultWindow) -> None:
        fleet = self._fleet
        match fault.kind:
            case FaultKind.REGION_LOST:
                self._clear_caches(fault.region)
                for target in fleet.targets_of(fault.region):
                    fleet.target_links[target].heal()
                entries = fleet.entries_of(fault.region)
                await asyncio.gather(*(self._restart(entry) for entry in entries))
            case FaultKind.CAPACITY_LOST:
                self._clear_caches(fault.region)
                for link in self._spare_engine_links(fault.region):
                    link.heal()
            case FaultKind.TARGETS_REFUSING:
                self._set_refusing(fault.region, refusing=False)
            case FaultKind.REGION_ISOLATED:
                self._reconnect(fault.region)
            case FaultKind.LINK_CUT | FaultKind.LINK_SILENT | FaultKind.LINK_ONE_WAY:
                for peer_link in self._fault_links(fault):
                    peer_link.proxy.heal(source=peer_link.source)
            case FaultKind.ANSWERS_LOST:
                for target in fleet.targets_of(fault.region):
                    fleet.target_links[target].heal()
                    fleet.target_links[target].reset_connections()
            case FaultKind.CONFIGURATION_DOWN:
                for links in fleet.platform_links.values():
                    links["configuration"].heal()
            case FaultKind.CONFIGURATION_STALE:
                await self._publisher.publish_newest_index()
            case FaultKind.ENTRY_KILLED:
                assert fault.entry is not None
                await self._restart(fault.entry)
            case FaultKind.ENTRY_PAUSED:
                assert fault.entry is not None
                fleet.processes[fault.entry].wake()
            case FaultKind.ENTRY_REPLACED:
                assert fault.entry is not None
                await fleet.processes[fault.entry].wait_ready()
            case FaultKind.TARGET_LEAVING:
                self._set_leaving(window, leaving=False)
            case FaultKind.CALLERS_MISBEHAVING:
                for clients in self._misbehaving_clients.pop(fault):
                    await clients.close()

    def _start_misbehaving_clients(self, fault: PlannedFault) -> None:
        """Let clients outside the limits connect to the entry VMs of a region."""
        crowds = [
            MisbehavingClients(
                address=self._fleet.processes[entry].cfg.entry.caller_address,
                path="/v1/chat/completions",
                headers=b"Host: drill\r\n",
                count=MISBEHAVING_CLIENTS,
                rng=random.Random(f"{fault.start} {entry}"),
            )
            for entry in self._fleet.entries_of(fault.region)
        ]
        self._misbehaving_clients[fault] = crowds
        for clients in crowds:
            clients.start()

    async def _kill(self, entry: EntryId) -> None:
        process = self._fleet.processes[entry]
        process.kill()
        self._fleet.deployment.vm_list.remove(entry)
        await process.wait()

    async def _restart(self, entry: EntryId) -> None:
        await self._fleet.start_entry(entry)
        self._fleet.deployment.vm_list.update(self._fleet.vm_record(entry))
        await self._fleet.processes[entry].wait_ready()

    async def _replace(self, window: FaultWindow) -> None:
        assert window.entry is not None
        vm_list = self._fleet.deployment.vm_list
        vm_list.update(self._fleet.vm_record(window.entry, leaving=True))
        process = self._fleet.processes[window.entry]
        window.start = time.time()
        process.terminate()
        window.exit_code = await self._wait_or_kill(process)
        await self._restart(window.entry)

    async def _wait_or_kill(self, process: EntryProcess) -> int:
        try:
            async with asyncio.timeout(_SHUTDOWN_TIMEOUT_SECONDS):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return await process.wait()

    def _set_leaving(self, window: FaultWindow, *, leaving: bool) -> None:
        assert window.target is not None
        vm_list = self._fleet.deployment.vm_list
        if not leaving:
            vm_list.remove(window.target)
            return
        vm_list.update(
            VmRecord(
                id=window.target,
                kind=VmKind.TARGET,
                state=VmState.LEAVING,
                region=window.region,
            )
        )

    def _set_refusing(self, region: RegionId, *, refusing: bool) -> None:
        deployment = self._fleet.deployment
        for target in self._fleet.targets_of(region):
            standin = deployment.engines.get(target) or deployment.services[target]
            standin.refusing = refusing

    def _spare_engine_links(self, region: RegionId) -> list[FaultProxy]:
        """Return the links to all engines of `region` except the first."""
        fleet = self._fleet
        engines = [
            target
            for target in fleet.targets_of(region)
            if target in fleet.deployment.engines
        ]
        return [fleet.target_links[target] for target in engines[1:]]

    def _clear_caches(self, region: RegionId) -> None:
        for target in self._fleet.targets_of(region):
            engine = self._fleet.deployment.engines.get(target)
            if engine is not None:
                engine.clear_cache()

    def _isolate(self, region: RegionId) -> None:
        for other in self._fleet.regions():
            if other != region:
                for peer_link in self._links_between(region, other):
                    peer_link.proxy.blackhole(source=peer_link.source)
        for proxy in self._fleet.platform_links[region].values():
            proxy.blackhole()

    def _reconnect(self, region: RegionId) -> None:
        for other in self._fleet.regions():
            if other != region:
                for peer_link in self._links_between(region, other):
                    peer_link.proxy.heal(source=peer_link.source)
        for proxy in self._fleet.platform_links[region].values():
            proxy.heal()

    def _fault_links(self, fault: PlannedFault) -> list["SourceLink"]:
        assert fault.other_region is not None
        return self._links_between(fault.region, fault.other_region)

    def _links_between(self, region: RegionId, other: RegionId) -> list["SourceLink"]:
        """Return the links between entry VMs of both regions.

        The direction of each link points from `region` to `other`.
        """
        fleet = self._fleet
        links = []
        for near in fleet.entries_of(region):
            for far in fleet.entries_of(other):
                for proxy in fleet.entry_links[far].all():
                    links.append(SourceLink(proxy, near, Direction.TO_SERVER))
                for proxy in fleet.entry_links[near].all():
                    links.append(SourceLink(proxy, far, Direction.TO_CLIENT))
        return links

    def _region_links(self, region: RegionId) -> list[FaultProxy]:
        """Return the links to the targets, platform and entry VMs of `region`."""
        fleet = self._fleet
        links = [fleet.target_links[target] for target in fleet.targets_of(region)]
        links += fleet.platform_links[region].values()
        for entry in fleet.entries_of(region):
            links += fleet.entry_links[entry].all()
        return links


class SourceLink(msgspec.Struct):
    """Part of a link: the traffic that one source sends through its proxy.

    `direction` is the one to block when only one direction fails.
    """

    proxy: FaultProxy
    source: EntryId
    direction: Direction


async def _sleep_until(loop_time: float) -> None:
    await asyncio.sleep(max(0.0, loop_time - asyncio.get_running_loop().time()))
