"""Cost of the control plane: many nodes in one process over the real messages."""

import asyncio
import hashlib
import random
import resource
import statistics
import time

import msgspec

from pimentospool._generated.bench_control import ControlRun
from pimentospool._generated.loads import PoolSummary, RegionSummary
from pimentospool._generated.manifest import (
    Customer,
    Manifest,
    Model,
    Region,
    Serving,
    Target,
    TargetKind,
    Zone,
)
from pimentospool._generated.platform import VmKind, VmRecord, VmState
from pimentospool._generated.settings import (
    CallerSettings,
    EntrySettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TargetSettings,
    TlsSettings,
    TraceSettings,
)
from pimentospool.addresses import free_addresses
from pimentospool.configuration_service import PlatformClient
from pimentospool.control import ControlPlane
from pimentospool.ids import CustomerId, EntryId, ModelId, RegionId, TargetId, ZoneId
from pimentospool.peers import LOAD_PREFIX
from pimentospool.revisions import Revision
from pimentospool.standins import ConfigurationService, VmListService, serve_standin
from pimentospool.standins._server import StandinServer
from pimentospool.summaries import may_publish, publish_interval
from pimentospool.views import View

_ZONES_PER_REGION = 3
_STARTS_AT_ONCE = 4
_JOIN_LIMIT_SECONDS = 120.0
_CHANGE_LIMIT_SECONDS = 30.0
_SETTLE_SECONDS = 2.0
_POLL_SECONDS = 0.005
_POOLS = 3
_MODEL = ModelId("model")
_PAGE_BYTES = resource.getpagesize()


class ControlSize(msgspec.Struct, kw_only=True):
    """Size of the fleet and of its manifest."""

    nodes: int
    zones: int
    targets: int = 64
    customers: int = 64


class _Traffic(msgspec.Struct, kw_only=True):
    """What the nodes that act for their zones sent and received."""

    nodes: int
    bytes: int
    messages: int


class _Usage(msgspec.Struct, kw_only=True):
    """Counters of the whole process at one moment."""

    at: float
    cpu_seconds: float
    bytes: int
    messages: int
    reads: int


class _Node:
    """One node and its adoptions."""

    def __init__(self, *, cfg: Settings, seed: int) -> None:
        self.adopted: dict[int, float] = {}
        self._task: asyncio.Task[None] | None = None
        self.cfg = cfg
        self.view = View()
        self.platform = PlatformClient(cfg=cfg.platform)
        self.control = ControlPlane(
            cfg=cfg,
            view=self.view,
            platform=self.platform,
            generation=time.time_ns() // 1000,
            rng=random.Random(seed),
        )
        self.view.revision_adopted.connect(self._note_adoption)

    def _note_adoption(self, revision: Revision) -> None:
        self.adopted[revision.number] = time.perf_counter()

    async def start(self) -> None:
        await self.control.start()
        self._task = asyncio.create_task(self._publish_load())

    async def _publish_load(self) -> None:
        """Publish summaries as an entry process does."""
        node = self.control.node
        pools = [
            PoolSummary(name=f"model-{number}", targets=99, slots=800, in_flight=500.5)
            for number in range(_POOLS)
        ]
        own = node.state.members.own
        summary = RegionSummary(region=own.region, entry=own.id, pools=pools)
        data = msgspec.msgpack.encode(summary)
        while True:
            entries = len(self.control.fleet.entry_ids())
            if may_publish(entries=entries, reader=node.is_reader):
                node.publish(LOAD_PREFIX + own.id, data)
            senders = len(node.state.reports.with_prefix(LOAD_PREFIX)) + 1
            await asyncio.sleep(publish_interval(senders=senders, size=len(data)))

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        await self.control.close()
        await self.platform.close()


class ControlBenchRun:
    """Brings up a fleet of control planes and measures it.

    Parameters
    ----------
    size : ControlSize
        Size of the fleet and of its manifest.
    seconds : float
        Time to measure at rest.
    changes : int
        Revisions to publish, one after another.
    """

    def __init__(self, *, size: ControlSize, seconds: float, changes: int) -> None:
        self._size = size
        self._seconds = seconds
        self._changes = changes
        self._configuration = ConfigurationService()
        self._vm_list = VmListService()
        self._servers: list[StandinServer] = []
        self._nodes: list[_Node] = []
        self._manifest = _make_manifest(size)

    async def run(self) -> ControlRun:
        """Return what was measured."""
        _raise_file_limit()
        size = self._size
        result = ControlRun(
            nodes=size.nodes,
            zones=size.zones,
            targets=size.targets,
            customers=size.customers,
            seconds=self._seconds,
        )
        try:
            await self._start_platform()
            before = _resident_bytes()
            result.joined_seconds = await self._start_nodes()
            await asyncio.sleep(_SETTLE_SECONDS)
            await self._measure_rest(result)
            await self._measure_changes(result)
            added = _resident_bytes() - before
            result.memory_mb = added / size.nodes / 1e6
        finally:
            await self._close()
        return result

    async def _start_platform(self) -> None:
        for standin in (self._configuration, self._vm_list):
            self._servers.append(await serve_standin(standin, "127.0.0.1:0"))
        await self._configuration.publish_manifest(self._manifest, revision=1)

    async def _start_nodes(self) -> float:
        settings = self._settings()
        self._nodes = [_Node(cfg=cfg, seed=seed) for seed, cfg in enumerate(settings)]
        started_at = time.perf_counter()
        limit = asyncio.Semaphore(_STARTS_AT_ONCE)

        async def start(node: _Node) -> None:
            async with limit:
                self._vm_list.seed([_vm_record(node.cfg.entry)])
                await node.start()

        await asyncio.gather(*(start(node) for node in self._nodes))
        async with asyncio.timeout(_JOIN_LIMIT_SECONDS):
            while not all(self._joined(node) for node in self._nodes):
                await asyncio.sleep(_POLL_SECONDS * 10)
        return time.perf_counter() - started_at

    def _joined(self, node: _Node) -> bool:
        members = node.control.node.state.members
        own_zone = members.own.zone
        expected = sum(
            other.control.node.state.members.own.zone == own_zone
            for other in self._nodes
        )
        summaries = node.control.node.zones.summaries()
        whole = len(members.live()) == expected
        return whole and len(summaries) == self._size.zones - 1

    async def _measure_rest(self, result: ControlRun) -> None:
        first = self._usage()
        readers = [node for node in self._nodes if node.control.node.is_reader]
        first_reader = _traffic(readers)
        oldest = 0.0
        while time.perf_counter() - first.at < self._seconds:
            await asyncio.sleep(1.0)
            oldest = max(oldest, self._oldest_zone())
        last = self._usage()
        nodes, seconds = self._size.nodes, last.at - first.at
        result.cpu_percent = (
            100 * (last.cpu_seconds - first.cpu_seconds) / seconds / nodes
        )
        result.bytes_per_second = (last.bytes - first.bytes) / seconds / nodes
        result.messages_per_second = (last.messages - first.messages) / seconds / nodes
        reader = _traffic(readers)
        result.reader_bytes_per_second = (
            (reader.bytes - first_reader.bytes) / seconds / reader.nodes
        )
        result.reader_messages_per_second = (
            (reader.messages - first_reader.messages) / seconds / reader.nodes
        )
        result.platform_reads_per_second = (last.reads - first.reads) / seconds
        result.zone_age_max_seconds = oldest

    def _oldest_zone(self) -> float:
        ages = [
            node.control.node.zones.age(zone, now=node.control.now()) or 0.0
            for node in self._nodes
            for zone in node.control.node.zones.zones()
        ]
        return max(ages, default=0.0)

    async def _measure_changes(self, result: ControlRun) -> None:
        nodes = self._size.nodes
        times: list[float] = []
        first = self._usage()
        for number in range(2, 2 + self._changes):
            self._change_manifest(number)
            await self._configuration.publish_manifest(self._manifest, revision=number)
            published_at = time.perf_counter()
            async with asyncio.timeout(_CHANGE_LIMIT_SECONDS):
                while not all(number in node.adopted for node in self._nodes):
                    await asyncio.sleep(_POLL_SECONDS)
            times += [node.adopted[number] - published_at for node in self._nodes]
            await asyncio.sleep(_SETTLE_SECONDS)
        last = self._usage()
        seconds, changes = last.at - first.at, max(1, self._changes)
        cpu = (last.cpu_seconds - first.cpu_seconds) / nodes
        cpu -= result.cpu_percent / 100 * seconds
        sent = (last.bytes - first.bytes) / nodes - result.bytes_per_second * seconds
        reads = last.reads - first.reads - result.platform_reads_per_second * seconds
        result.change_cpu_seconds = cpu / changes
        result.change_bytes = sent / changes
        result.reads_per_change = reads / changes
        result.in_force_p50_seconds = statistics.median(times)
        result.in_force_max_seconds = max(times)

    def _change_manifest(self, number: int) -> None:
        customers = list(self._manifest.customers)
        index = number % len(customers)
        customers[index] = msgspec.structs.replace(
            customers[index], priority=(customers[index].priority + 1) % 10
        )
        self._manifest = msgspec.structs.replace(self._manifest, customers=customers)

    def _usage(self) -> _Usage:
        traffic = _traffic(self._nodes)
        return _Usage(
            at=time.perf_counter(),
            cpu_seconds=time.process_time(),
            bytes=traffic.bytes,
            messages=traffic.messages,
            reads=sum(node.platform.reads for node in self._nodes),
        )

    def _settings(self) -> list[Settings]:
        addresses = free_addresses(self._size.nodes)
        platform = PlatformSettings(
            configuration_address=self._servers[0].address,
            vm_list_address=self._servers[1].address,
            directory_address=self._servers[1].address,
        )
        return [
            Settings(
                deployment=self._manifest.deployment,
                entry=self._entry_settings(number, address),
                platform=platform,
                peers=PeerSettings(key="key-of-the-control-bench"),
                tls=TlsSettings(),
                callers=CallerSettings(),
                targets=TargetSettings(),
                traces=TraceSettings(),
                logs=LogSettings(),
            )
            for number, address in enumerate(addresses)
        ]

    def _entry_settings(self, number: int, address: str) -> EntrySettings:
        zone = self._manifest.zones[number % self._size.zones]
        return EntrySettings(
            id=EntryId(f"{zone.id}-entry-{number}"),
            region=zone.region,
            zone=zone.id,
            caller_address=address,
            peer_address=address,
            admin_address=address,
        )

    async def _close(self) -> None:
        await asyncio.gather(*(node.close() for node in self._nodes))
        for server in self._servers:
            await server.close()


def _traffic(nodes: list[_Node]) -> _Traffic:
    traffic = [node.control.node.links.traffic for node in nodes]
    return _Traffic(
        nodes=len(nodes),
        bytes=sum(item.sent_bytes + item.received_bytes for item in traffic)
        + sum(node.platform.received_bytes for node in nodes),
        messages=sum(item.sent_messages + item.received_messages for item in traffic),
    )


def _make_manifest(size: ControlSize) -> Manifest:
    regions = [
        Region(id=RegionId(f"region-{number}"))
        for number in range(-(-size.zones // _ZONES_PER_REGION))
    ]
    zones = [
        Zone(
            id=ZoneId(f"zone-{number}"), region=regions[number // _ZONES_PER_REGION].id
        )
        for number in range(size.zones)
    ]
    return Manifest(
        deployment="bench",
        regions=regions,
        zones=zones,
        models=[Model(id=_MODEL)],
        serving=[Serving(model=_MODEL, region=region.id) for region in regions],
        targets=[
            Target(
                id=TargetId(f"target-{number}"),
                zone=zones[number % size.zones].id,
                kind=TargetKind.ENGINE,
                address=f"10.1.{number // 250}.{number % 250}:8000",
            )
            for number in range(max(size.targets, size.zones))
        ],
        customers=[
            Customer(
                id=CustomerId(f"customer-{number}"),
                key_digests=[hashlib.sha256(str(number).encode()).hexdigest()],
                allowed_regions=[region.id for region in regions],
                models=[_MODEL],
            )
            for number in range(size.customers)
        ],
    )


def _vm_record(entry: EntrySettings) -> VmRecord:
    return VmRecord(
        id=entry.id,
        kind=VmKind.ENTRY,
        state=VmState.LIVE,
        region=entry.region,
        zone=entry.zone,
        caller_address=entry.caller_address,
        peer_address=entry.peer_address,
    )


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * _PAGE_BYTES


def _raise_file_limit() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
