"""Fleet of real entry processes behind fault-injecting proxies."""

import asyncio
import time
from pathlib import Path

import aiohttp
import msgspec
import pytest

from pimentospool._generated.status import EntryStatus
from pimentospool.demo import demo_key
from pimentospool.drill import EntryProcess
from pimentospool.faults import FaultProxy
from pimentospool.manifest import read_manifest
from pimentospool.standins import StandinDeployment

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05


class Fleet:
    """Entry processes of the Magnolia example, with fast heartbeats.

    Each process has a proxy in front of its peer address, and its own proxies in front
    of the configuration service and the VM list.
    """

    def __init__(self, *, folder, counts):
        self.manifest = read_manifest(EXAMPLES / "magnolia" / "manifest.toml")
        self.deployment = StandinDeployment(manifest=self.manifest, vm_lag_seconds=0.2)
        self.folder = folder
        self.counts = counts
        self.entries = {}
        self.peer_proxies = {}
        self.platform_proxies = {}
        self.revision = 1
        self.session = None

    async def start(self):
        await self.deployment.start()
        self.manifest = self.deployment.manifest
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        zones = [zone.id for zone in self.manifest.zones]
        counts = dict(zip(zones, self.counts, strict=True))
        settings = self.deployment.entry_settings(counts)
        for cfg in settings:
            await self._prepare(cfg)
        advertised = [
            entry.cfg.entry.advertised_peer_address for entry in self.entries.values()
        ]
        for entry in self.entries.values():
            entry.cfg.peers.seeds = advertised
        self.seed_vms()
        await asyncio.gather(*(entry.start() for entry in self.entries.values()))
        await asyncio.gather(*(entry.wait_ready() for entry in self.entries.values()))

    async def _prepare(self, cfg):
        name = cfg.entry.id
        proxy = FaultProxy(upstream=cfg.entry.peer_address)
        await proxy.start()
        self.peer_proxies[name] = proxy
        cfg.entry.advertised_peer_address = proxy.address
        for field in ("configuration_address", "vm_list_address"):
            proxy = FaultProxy(upstream=getattr(cfg.platform, field))
            await proxy.start()
            self.platform_proxies.setdefault(name, []).append(proxy)
            setattr(cfg.platform, field, proxy.address)
        cfg.platform.watch_seconds = 1.0
        cfg.platform.vm_list_interval_seconds = 0.2
        cfg.platform.request_timeout_seconds = 0.5
        cfg.peers.heartbeat_seconds = 0.1
        cfg.peers.suspect_after_seconds = 0.8
        cfg.peers.gone_after_seconds = 1.6
        cfg.peers.pause_seconds = 1.0
        cfg.peers.leave_seconds = 0.5
        self.entries[name] = EntryProcess(cfg=cfg, folder=self.folder)

    def seed_vms(self):
        service = self.deployment.vm_list
        records = [
            msgspec.structs.replace(
                record,
                peer_address=self.peer_proxies[record.id].address,
            )
            for record in list(service._visible_records.values())
        ]
        service.seed(records)

    async def close(self):
        for entry in self.entries.values():
            await entry.close()
        for proxies in [self.peer_proxies.values(), *self.platform_proxies.values()]:
            for proxy in proxies:
                await proxy.close()
        await self.session.close()
        await self.deployment.close()

    def names(self, zone):
        return [name for name in self.entries if name.startswith(zone)]

    async def status(self, name):
        address = self.entries[name].cfg.entry.admin_address
        async with self.session.get(f"http://{address}/status") as resp:
            return msgspec.json.decode(await resp.read(), type=EntryStatus)

    async def publish(self, manifest=None, *, revision=None):
        self.revision = revision or self.revision + 1
        await self.deployment.configuration.publish_manifest(
            manifest or self.manifest, revision=self.revision
        )

    async def wait_for(self, names, condition, *, timeout_seconds=TIMEOUT_SECONDS):
        """Wait until all statuses meet `condition`; return the seconds that it took."""
        started_at = time.monotonic()
        latest = None
        try:
            async with asyncio.timeout(timeout_seconds):
                for name in names:
                    while not condition(latest := await self.status(name)):
                        await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise AssertionError(
                f"condition not met within {timeout_seconds} s; last status: {latest}"
            ) from None
        return time.monotonic() - started_at

    async def wait_revision(self, names, number, **kwargs):
        return await self.wait_for(
            names, lambda status: status.revision.number == number, **kwargs
        )

    async def wait_connected(self, names, **kwargs):
        """Wait until the entry VMs know all live members and reach all other zones."""
        zones = len(self.manifest.zones)

        def connected(status):
            live = [item for item in status.members if item.state == "live"]
            reachable = [zone for zone in status.zones if zone.reachable]
            expected = len(self.names(status.zone))
            return len(live) == expected and len(reachable) == zones - 1

        return await self.wait_for(names, connected, **kwargs)

    async def request_status(self, name):
        """Send a ticketing request to one entry VM and return the HTTP status."""
        cfg = self.entries[name].cfg
        customer = next(
            item
            for item in self.manifest.customers
            if cfg.entry.region in item.allowed_regions
        )
        headers = {"Authorization": f"Bearer {demo_key(customer)}"}
        url = f"http://{cfg.entry.caller_address}/v1/services/ticketing/tickets/lookup"
        async with self.session.get(url, headers=headers) as resp:
            return resp.status

    async def offered_entries(self, name, **query):
        """Return the ids of the entry VMs that entry VM `name` offers to callers."""
        address = self.entries[name].cfg.entry.caller_address
        url = f"http://{address}/v1/entries"
        async with self.session.get(url, params=query) as resp:
            return [item["id"] for item in (await resp.json())["entries"]]

    def platform_down(self, names):
        for name in names:
            for proxy in self.platform_proxies[name]:
                proxy.cut()

    def platform_up(self, names):
        for name in names:
            for proxy in self.platform_proxies[name]:
                proxy.heal()


@pytest.fixture
def with_fleet(runner, tmp_path):
    """Return a function that runs a check against a started fleet."""

    def run(check, counts=(3, 3, 2)):
        async def run_check():
            fleet = Fleet(folder=tmp_path, counts=counts)
            try:
                await fleet.start()
                await fleet.wait_connected(fleet.entries)
                await check(fleet)
            finally:
                await fleet.close()

        runner.run(run_check())

    return run
