"""Cost of the control plane, measured with many nodes in one process.

The nodes exchange their real messages over loopback.
"""

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
_MAX_CONCURRENT_STARTS = 4
_JOIN_TIMEOUT_SECONDS = 120.0
_CHANGE_TIMEOUT_SECONDS = 30.0
_SETTLE_SECONDS = 2.0
_POLL_INTERVAL_SECONDS = 0.005
_POOLS_PER_NODE = 3
_MODEL = ModelId("model")
_PAGE_BYTES = resource.getpagesize()


class ControlSize(msgspec.Struct, kw_only=True):
    """Size of the fleet and of its manifest."""

    nodes: int
    zones: int
    targets: int = 64
    customers: int = 64


class _Traffic(msgspec.Struct, kw_only=True):
    """Control traffic of a group of nodes, sent and received."""

    nodes: int
    bytes: int
    messages: int


class _Usage(msgspec.Struct, kw_only=True):
    """Counters of the whole process at one point in time."""

    time_seconds: float
    cpu_seconds: float
    bytes: int
    messages: int
    platform_reads: int


class _Node:
    """One node, with the time at which it adopted each revision."""

    def __init__(self, *, cfg: Settings, seed: int) -> None:
        self.adopted_at: dict[int, float] = {}
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
        self.adopted_at[revision.number] = time.perf_counter()

    async def start(self) -> None:
        await self.control.start()
        self._task = asyncio.create_task(self._publish_load())

    async def _publish_load(self) -> None:
        """Publish load summaries at the rate of an entry process."""
        node = self.control.node
        pools = [
            PoolSummary(name=f"model-{number}", targets=99, slots=800, in_flight=500.5)
            for number in range(_POOLS_PER_NODE)
        ]
        local = node.state.members.own
        summary = RegionSummary(region=local.region, entry=local.id, pools=pools)
        data = msgspec.msgpack.encode(summary)
        while True:
            entries = len(self.control.fleet.entry_ids())
            if may_publish(entries=entries, reader=node.is_reader):
                node.publish(LOAD_PREFIX + local.id, data)
            senders = len(node.state.reports.with_prefix(LOAD_PREFIX)) + 1
            await asyncio.sleep(publish_interval(senders=senders, size=len(data)))

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        await self.control.close()
        await self.platform.close()


class ControlBenchRun:
    """Starts a fleet of control planes and measures it.

    Parameters
    ----------
    size : ControlSize
        Size of the fleet and of its manifest.
    seconds : float
        How long to measure the steady state, without new revisions.
    changes : int
        Number of revisions to publish afterwards, one after another.
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
        """Measure the steady state, then the revisions, and return the figures."""
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
            await self._measure_steady_state(result)
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
        limit = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)

        async def start(node: _Node) -> None:
            async with limit:
                self._vm_list.seed([_vm_record(node.cfg.entry)])
                await node.start()

        await asyncio.gather(*(start(node) for node in self._nodes))
        async with asyncio.timeout(_JOIN_TIMEOUT_SECONDS):
            while not all(self._has_joined(node) for node in self._nodes):
                await asyncio.sleep(_POLL_INTERVAL_SECONDS * 10)
        return time.perf_counter() - started_at

    def _has_joined(self, node: _Node) -> bool:
        members = node.control.node.state.members
        local_zone = members.own.zone
        expected = sum(
            other.control.node.state.members.own.zone == local_zone
            for other in self._nodes
        )
        summaries = node.control.node.zones.summaries()
        zone_complete = len(members.live()) == expected
        return zone_complete and len(summaries) == self._size.zones - 1

    async def _measure_steady_state(self, result: ControlRun) -> None:
        start = self._read_usage()
        readers = [node for node in self._nodes if node.control.node.is_reader]
        reader_start = _total_traffic(readers)
        max_zone_age_seconds = 0.0
        while time.perf_counter() - start.time_seconds < self._seconds:
            await asyncio.sleep(1.0)
            max_zone_age_seconds = max(
                max_zone_age_seconds, self._max_zone_age_seconds()
            )
        end = self._read_usage()
        nodes, seconds = self._size.nodes, end.time_seconds - start.time_seconds
        result.cpu_percent = (
            100 * (end.cpu_seconds - start.cpu_seconds) / seconds / nodes
        )
        result.bytes_per_second = (end.bytes - start.bytes) / seconds / nodes
        result.messages_per_second = (end.messages - start.messages) / seconds / nodes
        reader = _total_traffic(readers)
        result.reader_bytes_per_second = (
            (reader.bytes - reader_start.bytes) / seconds / reader.nodes
        )
        result.reader_messages_per_second = (
            (reader.messages - reader_start.messages) / seconds / reader.nodes
        )
        result.platform_reads_per_second = (
            end.platform_reads - start.platform_reads
        ) / seconds
        result.zone_age_max_seconds = max_zone_age_seconds

    def _max_zone_age_seconds(self) -> float:
        ages = [
            node.control.node.zones.age(zone, now=node.control.now()) or 0.0
            for node in self._nodes
            for zone in node.control.node.zones.zones()
        ]
        return max(ages, default=0.0)

    async def _measure_changes(self, result: ControlRun) -> None:
        nodes = self._size.nodes
        adoption_seconds: list[float] = []
        start = self._read_usage()
        for number in range(2, 2 + self._changes):
            self._change_manifest(number)
            await self._configuration.publish_manifest(self._manifest, revision=number)
            published_at = time.perf_counter()
            async with asyncio.timeout(_CHANGE_TIMEOUT_SECONDS):
                while not all(number in node.adopted_at for node in self._nodes):
                    await asyncio.sleep(_POLL_INTERVAL_SECONDS)
            adoption_seconds += [
                node.adopted_at[number] - published_at for node in self._nodes
            ]
            await asyncio.sleep(_SETTLE_SECONDS)
        end = self._read_usage()
        seconds, changes = end.time_seconds - start.time_seconds, max(1, self._changes)
        cpu = (end.cpu_seconds - start.cpu_seconds) / nodes
        cpu -= result.cpu_percent / 100 * seconds
        sent = (end.bytes - start.bytes) / nodes - result.bytes_per_second * seconds
        platform_reads = (
            end.platform_reads
            - start.platform_reads
            - result.platform_reads_per_second * seconds
        )
        result.change_cpu_seconds = cpu / changes
        result.change_bytes = sent / changes
        result.reads_per_change = platform_reads / changes
        result.in_force_p50_seconds = statistics.median(adoption_seconds)
        result.in_force_max_seconds = max(adoption_seconds)

    def _change_manifest(self, number: int) -> None:
        customers = list(self._manifest.customers)
        index = number % len(customers)
        customers[index] = msgspec.structs.replace(
            customers[index], priority=(customers[index].priority + 1) % 10
        )
        self._manifest = msgspec.structs.replace(self._manifest, customers=customers)

    def _read_usage(self) -> _Usage:
        traffic = _total_traffic(self._nodes)
        return _Usage(
            time_seconds=time.perf_counter(),
            cpu_seconds=time.process_time(),
            bytes=traffic.bytes,
            messages=traffic.messages,
            platform_reads=sum(node.platform.reads for node in self._nodes),
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


def _total_traffic(nodes: list[_Node]) -> _Traffic:
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
