"""Entry processes with a fault proxy in front of each, and of each plain service."""

import asyncio
from pathlib import Path

import msgspec

from pimentospool._generated.platform import VmKind, VmRecord, VmState
from pimentospool._generated.settings import Settings
from pimentospool.drill import EntryProcess
from pimentospool.faults import FaultProxy
from pimentospool.manifest import Manifest, Target, TargetKind
from pimentospool.standins import StandinDeployment

REVISION = 2
"""The stand-ins publish the manifest without the proxies as revision 1."""


class ServiceFleet:
    """Real entry processes and plain services; an asynchronous context manager.

    Hops pass through the proxies, and so do callers that use the entry VMs' lists.
    The directory lists the addresses of the entry VMs themselves.

    Parameters
    ----------
    manifest : Manifest
        Deployment to start.
    folder : Path
        Where settings and logs of the entry processes are written.
    entries_per_zone : list of int
        Number of entry VMs in each zone, in the manifest's order.
    """

    def __init__(
        self, *, manifest: Manifest, folder: Path, entries_per_zone: list[int]
    ) -> None:
        self.deployment = StandinDeployment(manifest=manifest)
        self.processes: list[EntryProcess] = []
        self.entry_proxies: list[FaultProxy] = []
        self.target_proxies: list[FaultProxy] = []
        self._folder = folder
        self._entries_per_zone = entries_per_zone

    async def __aenter__(self) -> "ServiceFleet":
        """Start everything and wait until every entry VM is ready."""
        await self.deployment.start()
        await self._start_target_proxies()
        zones = [zone.id for zone in self.deployment.manifest.zones]
        counts: dict[str, int] = dict(zip(zones, self._entries_per_zone, strict=False))
        for cfg in self.deployment.entry_settings(counts):
            await self._add_entry(cfg)
        records = [_vm_record(process) for process in self.processes]
        self.deployment.vm_list.seed(records)
        try:
            await asyncio.gather(*(process.start() for process in self.processes))
            await asyncio.gather(*(process.wait_ready() for process in self.processes))
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Kill every process and stop every proxy and stand-in."""
        await self.close()

    async def close(self) -> None:
        """Kill every process and stop every proxy and stand-in."""
        await asyncio.gather(*(process.close() for process in self.processes))
        for proxy in self.entry_proxies + self.target_proxies:
            await proxy.close()
        await self.deployment.close()

    async def _add_entry(self, cfg: Settings) -> None:
        proxy = FaultProxy(upstream=cfg.entry.caller_address)
        await proxy.start()
        self.entry_proxies.append(proxy)
        entry = msgspec.structs.replace(
            cfg.entry, advertised_caller_address=proxy.address
        )
        proxied_cfg = msgspec.structs.replace(cfg, entry=entry)
        self.processes.append(EntryProcess(cfg=proxied_cfg, folder=self._folder))

    async def _start_target_proxies(self) -> None:
        manifest = self.deployment.manifest
        targets = [await self._proxy_target(target) for target in manifest.targets]
        self.deployment.manifest = msgspec.structs.replace(manifest, targets=targets)
        await self.deployment.configuration.publish_manifest(
            self.deployment.manifest, revision=REVISION
        )

    async def _proxy_target(self, target: Target) -> Target:
        if target.kind is not TargetKind.SERVICE:
            return target
        proxy = FaultProxy(upstream=target.address)
        await proxy.start()
        self.target_proxies.append(proxy)
        return msgspec.structs.replace(target, address=proxy.address)


def _vm_record(process: EntryProcess) -> VmRecord:
    entry = process.cfg.entry
    return VmRecord(
        id=entry.id,
        kind=VmKind.ENTRY,
        state=VmState.LIVE,
        region=entry.region,
        zone=entry.zone,
        caller_address=entry.advertised_caller_address,
        peer_address=entry.peer_address,
    )
