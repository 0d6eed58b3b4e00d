"""A deployment on loopback with a fault-injecting proxy on every link but callers'."""

import asyncio
import re
import time
from pathlib import Path

import msgspec

from pimentospool._generated.platform import VmKind, VmRecord, VmState
from pimentospool._generated.settings import Settings
from pimentospool.drill._evidence import ObservedHop, TargetExecution
from pimentospool.drill._processes import EntryProcess
from pimentospool.drill._sources import SourceFinder
from pimentospool.faults import FaultProxy
from pimentospool.ids import EntryId, RegionId, RequestId, TargetId
from pimentospool.load import EntryAddress
from pimentospool.manifest import Manifest, ManifestIndex
from pimentospool.standins import StandinDeployment

VM_LIST_LAG_SECONDS = 0.5
FIRST_REVISION = 1
_ENTRIES_PER_ZONE = (3, 3, 2)
_PLATFORM_SERVICES = ("configuration", "vm-list", "directory")
_MS_PER_SECOND = 1e3
_SERVICE_CALL_SECONDS = 0.2
_REQUEST_ID = re.compile(rb"\r\nX-Request-Id: ([0-9A-Za-z-]+)\r\n", re.IGNORECASE)


class EntryLinks(msgspec.Struct):
    """Proxies in front of one entry VM, for its caller and its peer port."""

    caller: FaultProxy
    peer: FaultProxy

    def all(self) -> list[FaultProxy]:
        """Return both proxies."""
        return [self.caller, self.peer]


class DrillFleet:
    """Entry processes and stand-ins, linked through fault-injecting proxies.

    Callers reach entry VMs directly; entry VMs reach each other, their targets and
    the platform through proxies.

    Parameters
    ----------
    manifest : Manifest
        Deployment to start.
    folder : Path
        Where settings and logs of the entry processes are written.
    speed : float
        Factor on the speed of the engine stand-ins.
    """

    def __init__(self, *, manifest: Manifest, folder: Path, speed: float) -> None:
        self.deployment = StandinDeployment(
            manifest=manifest,
            speed=speed,
            vm_lag_seconds=VM_LIST_LAG_SECONDS,
            service_seconds=_SERVICE_CALL_SECONDS,
        )
        self.processes: dict[EntryId, EntryProcess] = {}
        self.settings: dict[EntryId, Settings] = {}
        self.entry_links: dict[EntryId, EntryLinks] = {}
        self.target_links: dict[TargetId, FaultProxy] = {}
        self.platform_links: dict[RegionId, dict[str, FaultProxy]] = {}
        self.hops: list[ObservedHop] = []
        self._folder = folder
        self._sources = SourceFinder(processes=self._process_names)

    @property
    def manifest(self) -> Manifest:
        """The manifest, in which targets have the addresses of their proxies."""
        return self.deployment.manifest

    def regions(self) -> list[RegionId]:
        """Return every region."""
        return [region.id for region in self.manifest.regions]

    def entries_of(self, region: RegionId) -> list[EntryId]:
        """Return the entry VMs of `region`."""
        return [
            entry for entry, cfg in self.settings.items() if cfg.entry.region == region
        ]

    def targets_of(self, region: RegionId) -> list[TargetId]:
        """Return the targets of `region`."""
        index = ManifestIndex(manifest=self.manifest)
        return [
            target.id
            for target in self.manifest.targets
            if index.region_of(target) == region
        ]

    def addresses(self) -> list[EntryAddress]:
        """Return the entry VMs with the addresses that callers use."""
        return [
            EntryAddress(
                id=entry, region=cfg.entry.region, address=cfg.entry.caller_address
            )
            for entry, cfg in self.settings.items()
        ]

    async def start(self) -> None:
        """Start every part and wait until every entry VM is ready."""
        await self.deployment.start(publish=False)
        await self._link_targets()
        await self.deployment.configuration.publish_manifest(
            self.manifest, revision=FIRST_REVISION
        )
        await self._link_platform()
        zones = [zone.id for zone in self.manifest.zones]
        counts = dict(zip(zones, _ENTRIES_PER_ZONE, strict=False))
        all_settings = self.deployment.entry_settings(counts)  # type: ignore[arg-type]
        await self._link_entries(all_settings)
        self.deployment.vm_list.seed([self.vm_record(entry) for entry in self.settings])
        for entry in self.settings:
            await self.start_entry(entry)
        await asyncio.gather(*(item.wait_ready() for item in self.processes.values()))

    async def start_entry(self, entry: EntryId) -> None:
        """Start a new process for `entry`; an earlier one must have ended."""
        process = EntryProcess(cfg=self.settings[entry], folder=self._folder)
        self.processes[entry] = process
        await process.start()

    async def close(self) -> None:
        """End every process and stop every proxy and stand-in."""
        await asyncio.gather(*(item.close() for item in self.processes.values()))
        for proxy in self._all_links():
            await proxy.close()
        await self.deployment.close()

    def executions(self) -> list[TargetExecution]:
        """Return the executions that the targets recorded."""
        recorded = {
            target: engine.executions
            for target, engine in self.deployment.engines.items()
        }
        for target, service in self.deployment.services.items():
            recorded[target] = service.executions
        return [
            TargetExecution(target=target, execution=execution)
            for target, executions in recorded.items()
            for execution in executions
        ]

    def vm_record(self, entry: EntryId, *, leaving: bool = False) -> VmRecord:
        """Return the record of an entry VM for the VM list."""
        cfg = self.settings[entry].entry
        return VmRecord(
            id=entry,
            kind=VmKind.ENTRY,
            state=VmState.LEAVING if leaving else VmState.LIVE,
            region=cfg.region,
            zone=cfg.zone,
            caller_address=cfg.advertised_caller_address,
            peer_address=cfg.advertised_peer_address,
        )

    def _process_names(self) -> dict[int, str]:
        return {
            process.pid: entry
            for entry, process in self.processes.items()
            if process.pid is not None
        }

    def _all_links(self) -> list[FaultProxy]:
        links = list(self.target_links.values())
        for links_by_service in self.platform_links.values():
            links += links_by_service.values()
        for entry in self.entry_links.values():
            links += entry.all()
        return links

    async def _link_targets(self) -> None:
        targets = []
        for target in self.manifest.targets:
            proxy = FaultProxy(upstream=target.address)
            await proxy.start()
            self.target_links[target.id] = proxy
            targets.append(msgspec.structs.replace(target, address=proxy.address))
        self.deployment.manifest = msgspec.structs.replace(
            self.manifest, targets=targets
        )

    async def _link_platform(self) -> None:
        for region in self.regions():
            links = {}
            for name in _PLATFORM_SERVICES:
                upstream = self.deployment.servers[name].address
                links[name] = FaultProxy(upstream=upstream)
                await links[name].start()
            self.platform_links[region] = links

    async def _link_entries(self, all_settings: list[Settings]) -> None:
        index = ManifestIndex(manifest=self.manifest)
        regions = {cfg.entry.id: cfg.entry.region for cfg in all_settings}
        for cfg in all_settings:
            entry = cfg.entry
            delays: dict[str, float] = {
                source: index.delay_ms(region, entry.region) / _MS_PER_SECOND
                for source, region in regions.items()
            }
            links = EntryLinks(
                caller=self._entry_proxy(entry.caller_address, entry.id, delays),
                peer=self._entry_proxy(entry.peer_address, None, delays),
            )
            for proxy in links.all():
                await proxy.start()
            entry.advertised_caller_address = links.caller.address
            entry.advertised_peer_address = links.peer.address
            self.entry_links[entry.id] = links
            platform = self.platform_links[entry.region]
            cfg.platform.configuration_address = platform["configuration"].address
            cfg.platform.vm_list_address = platform["vm-list"].address
            cfg.platform.directory_address = platform["directory"].address
            self.settings[entry.id] = cfg
        for cfg in all_settings:
            cfg.peers.seeds = [
                links.peer.address
                for other, links in self.entry_links.items()
                if other != cfg.entry.id
            ]

    def _entry_proxy(
        self, upstream: str, tapped_entry: EntryId | None, delays: dict[str, float]
    ) -> FaultProxy:
        def tap(source: str, data: bytes) -> None:
            if tapped_entry is not None and source:
                self._record_hops(EntryId(source), tapped_entry, data)

        return FaultProxy(
            upstream=upstream,
            source_of=self._sources.source_of,
            tap=tap if tapped_entry else None,
            delays=delays,
        )

    def _record_hops(self, source: EntryId, destination: EntryId, data: bytes) -> None:
        for match in _REQUEST_ID.finditer(data):
            self.hops.append(
                ObservedHop(
                    request_id=RequestId(match[1].decode()),
                    source=source,
                    destination=destination,
                    observed_at=time.time(),
                )
            )
