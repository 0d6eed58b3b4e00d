"""Latency, CPU time and memory that an entry process adds to direct calls.

The entry process and the stand-in engines are processes of their own; the client and
the platform's stand-ins run in this one.
"""

import asyncio
import hashlib
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import msgspec

from pimentospool._generated.manifest import Method, Quota
from pimentospool.bench._processes import (
    StandinProcess,
    cpu_seconds,
    resident_megabytes,
)
from pimentospool.bench._relay_load import (
    CUSTOMER_KEY,
    MODEL,
    BenchClient,
    StreamResult,
    repeat_calls,
)
from pimentospool.drill import EntryProcess
from pimentospool.ids import CustomerId, ModelId, RegionId, ServiceId, TargetId, ZoneId
from pimentospool.manifest import (
    Customer,
    Manifest,
    Model,
    Region,
    Service,
    ServiceCall,
    Serving,
    Target,
    TargetKind,
    Zone,
)
from pimentospool.standins import StandinDeployment
from pimentospool.tasks import cancel_tasks

TOKENS_PER_SECOND = 16.0
_ENGINE_TOKENS_PER_SECOND = 25.0
_ENGINES = 4
_MEASUREMENT_SECONDS = 10.0
_RAMP_UP_SECONDS = 3.0
_BACKGROUND_STREAMS = 100
_PROBES = 400
_CALL_WORKERS = 32
_CALLS = 4000
_SERVICE = ServiceId("echo")
_DIRECT_CALL = f"/{_SERVICE}/get"
_GATEWAY_CALL = f"/v1/services{_DIRECT_CALL}"
_MAX_FAILURE_KINDS_SHOWN = 5
_SETTLE_SECONDS = 1.0


class AddedDelay(msgspec.Struct, kw_only=True):
    """Time to first token in milliseconds, direct and through the entry process."""

    streams: int
    direct_p50_ms: float
    direct_p99_ms: float
    gateway_p50_ms: float
    gateway_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


class HeldStreams(msgspec.Struct, kw_only=True):
    """Streams that are open at the same time through the entry process."""

    streams: int
    tokens_per_second: float
    whole: int
    chunks_per_second: float
    core_share: float
    chunks_per_core_second: float
    added_megabytes: float
    failures: dict[str, int]


class PlainCalls(msgspec.Struct, kw_only=True):
    """Calls of a plain service over persistent connections."""

    calls: int
    whole: int
    direct_per_second: float
    gateway_per_second: float
    per_core_second: float


class RelayReport(msgspec.Struct, kw_only=True):
    """Figures of one run of the bench."""

    idle_megabytes: float
    delay: AddedDelay
    held: HeldStreams
    calls: PlainCalls


class RelayBench:
    """Measures an entry process in front of stand-ins.

    Parameters
    ----------
    streams : int
        Number of streams to hold open at the same time.
    """

    def __init__(self, *, streams: int) -> None:
        self._streams = streams

    async def run(self) -> RelayReport:
        """Start everything, measure it and stop what was started."""
        async with AsyncExitStack() as stack:
            engines = [
                await stack.enter_async_context(_run_standin(_engine_arguments()))
                for _ in range(_ENGINES)
            ]
            service = await stack.enter_async_context(
                _run_standin(["service", "--seconds", "0"])
            )
            entry = await stack.enter_async_context(_run_entry(engines, service))
            await asyncio.sleep(_SETTLE_SECONDS)
            pid = entry.pid
            assert pid is not None
            idle = resident_megabytes(pid)
            gateway = BenchClient(address=entry.cfg.entry.caller_address)
            direct = BenchClient(address=engines[0])
            plain = BenchClient(address=service)
            for client in (gateway, direct, plain):
                stack.push_async_callback(client.close)
            return RelayReport(
                idle_megabytes=idle,
                calls=await self._measure_calls(plain, gateway, pid),
                delay=await self._measure_delay(direct, gateway),
                held=await self._measure_held_streams(gateway, pid),
            )

    async def _measure_delay(
        self, direct: BenchClient, gateway: BenchClient
    ) -> AddedDelay:
        background = [
            asyncio.create_task(gateway.stream(number, 100_000))
            for number in range(_BACKGROUND_STREAMS)
        ]
        await asyncio.sleep(_RAMP_UP_SECONDS)
        seconds: dict[BenchClient, list[float]] = {direct: [], gateway: []}
        for number in range(_PROBES):
            for client in (direct, gateway):
                probe = await client.stream(1_000_000 + number, 1)
                seconds[client].append(probe.first_seconds)
        await cancel_tasks(background)
        direct_p50, direct_p99 = _percentiles_ms(seconds[direct])
        gateway_p50, gateway_p99 = _percentiles_ms(seconds[gateway])
        return AddedDelay(
            streams=_BACKGROUND_STREAMS,
            direct_p50_ms=direct_p50,
            direct_p99_ms=direct_p99,
            gateway_p50_ms=gateway_p50,
            gateway_p99_ms=gateway_p99,
            added_p50_ms=gateway_p50 - direct_p50,
            added_p99_ms=gateway_p99 - direct_p99,
        )

    async def _measure_held_streams(
        self, gateway: BenchClient, pid: int
    ) -> HeldStreams:
        before = resident_megabytes(pid)
        tokens = int((_MEASUREMENT_SECONDS + 2 * _RAMP_UP_SECONDS) * TOKENS_PER_SECOND)
        tasks: list[asyncio.Task[StreamResult]] = []
        for number in range(self._streams):
            tasks.append(asyncio.create_task(gateway.stream(number, tokens)))
            await asyncio.sleep(_RAMP_UP_SECONDS / self._streams)
        started_at, cpu_seconds_before = time.perf_counter(), cpu_seconds(pid)
        await asyncio.sleep(_MEASUREMENT_SECONDS)
        held_seconds = time.perf_counter() - started_at
        core_share = (cpu_seconds(pid) - cpu_seconds_before) / held_seconds
        memory = resident_megabytes(pid) - before
        results = await asyncio.gather(*tasks)
        failed = Counter(
            f"{result.status} {result.error}" for result in results if not result.whole
        )
        chunks_per_second = self._streams * TOKENS_PER_SECOND
        return HeldStreams(
            streams=self._streams,
            tokens_per_second=TOKENS_PER_SECOND,
            whole=sum(result.whole for result in results),
            chunks_per_second=chunks_per_second,
            core_share=core_share,
            chunks_per_core_second=chunks_per_second / core_share
            if core_share
            else 0.0,
            added_megabytes=memory,
            failures=dict(failed.most_common(_MAX_FAILURE_KINDS_SHOWN)),
        )

    async def _measure_calls(
        self, direct: BenchClient, gateway: BenchClient, pid: int
    ) -> PlainCalls:
        started_at = time.perf_counter()
        await repeat_calls(direct, _DIRECT_CALL, workers=_CALL_WORKERS, count=_CALLS)
        direct_seconds = time.perf_counter() - started_at
        started_at, cpu_seconds_before = time.perf_counter(), cpu_seconds(pid)
        whole = await repeat_calls(
            gateway, _GATEWAY_CALL, workers=_CALL_WORKERS, count=_CALLS
        )
        gateway_seconds = time.perf_counter() - started_at
        cpu = cpu_seconds(pid) - cpu_seconds_before
        return PlainCalls(
            calls=_CALLS,
            whole=whole,
            direct_per_second=_CALLS / direct_seconds,
            gateway_per_second=_CALLS / gateway_seconds,
            per_core_second=_CALLS / cpu if cpu else 0.0,
        )


def render_report(report: RelayReport) -> str:
    """Return the figures as text, one line each."""
    delay, held, calls = report.delay, report.held, report.calls
    return "\n".join(
        [
            f"memory without load          {report.idle_megabytes:9.1f} MB",
            f"first token, {delay.streams} open streams",
            f"  direct        p50 {delay.direct_p50_ms:7.2f} ms  "
            f"p99 {delay.direct_p99_ms:7.2f} ms",
            f"  entry process p50 {delay.gateway_p50_ms:7.2f} ms  "
            f"p99 {delay.gateway_p99_ms:7.2f} ms",
            f"  added         p50 {delay.added_p50_ms:7.2f} ms  "
            f"p99 {delay.added_p99_ms:7.2f} ms",
            f"streams held                 {held.streams:9d}",
            f"  whole and in order         {held.whole:9d}",
            *[f"  failed: {count} x {what}" for what, count in held.failures.items()],
            f"  chunks a second            {held.chunks_per_second:9.0f}",
            f"  share of one core          {held.core_share:9.2f}",
            f"  chunks a core second       {held.chunks_per_core_second:9.0f}",
            f"  memory for these streams   {held.added_megabytes:9.1f} MB",
            f"plain calls                  {calls.calls:9d}",
            f"  whole                      {calls.whole:9d}",
            f"  direct a second            {calls.direct_per_second:9.0f}",
            f"  entry process a second     {calls.gateway_per_second:9.0f}",
            f"  calls a core second        {calls.per_core_second:9.0f}",
        ]
    )


@asynccontextmanager
async def _run_standin(arguments: list[str]) -> AsyncIterator[str]:
    process = StandinProcess(arguments=arguments)
    await process.start()
    try:
        yield process.address
    finally:
        await process.close()


@asynccontextmanager
async def _run_entry(engines: list[str], service: str) -> AsyncIterator[EntryProcess]:
    manifest = _make_manifest(engines, service)
    deployment = StandinDeployment(manifest=manifest)
    await deployment.start()
    cfg = deployment.entry_settings({manifest.zones[0].id: 1})[0]
    cfg.callers.default_deadline_seconds = 100_000.0
    await deployment.configuration.publish_manifest(manifest, revision=2)
    with tempfile.TemporaryDirectory() as folder:
        entry = EntryProcess(cfg=cfg, folder=Path(folder))
        try:
            await entry.start()
            await entry.wait_ready()
            yield entry
        finally:
            await entry.close()
            await deployment.close()


def _engine_arguments() -> list[str]:
    speed = TOKENS_PER_SECOND / _ENGINE_TOKENS_PER_SECOND
    return ["engine", "--model", MODEL, "--slots", "10000", "--speed", str(speed)]


def _make_manifest(engines: list[str], service: str) -> Manifest:
    region, zone, model = RegionId("here"), ZoneId("here-a"), ModelId(MODEL)
    targets = [
        Target(
            id=TargetId(f"engine-{number}"),
            zone=zone,
            address=address,
            kind=TargetKind.ENGINE,
            slots=10_000,
        )
        for number, address in enumerate(engines)
    ]
    targets.append(
        Target(
            id=TargetId("service"),
            zone=zone,
            address=service,
            kind=TargetKind.SERVICE,
            services=[_SERVICE],
            slots=10_000,
        )
    )
    digest = hashlib.sha256(CUSTOMER_KEY.encode()).hexdigest()
    customer = Customer(
        id=CustomerId("bench"),
        key_digests=[digest],
        allowed_regions=[region],
        models=[model],
        services=[_SERVICE],
        quota=Quota(
            requests_per_second=1e6, concurrency=100_000, tokens_per_second=1e9
        ),
    )
    call = ServiceCall(path="get", idempotent=True, method=Method.GET)
    return Manifest(
        deployment="bench",
        regions=[Region(id=region)],
        zones=[Zone(id=zone, region=region)],
        models=[Model(id=model)],
        serving=[Serving(model=model, region=region)],
        services=[Service(id=_SERVICE, calls=[call])],
        targets=targets,
        customers=[customer],
    )


def _percentiles_ms(seconds: list[float]) -> tuple[float, float]:
    """Return the 50th and 99th percentile in milliseconds."""
    ordered = sorted(seconds)
    return (
        1000 * ordered[len(ordered) // 2],
        1000 * ordered[int(len(ordered) * 0.99)],
    )
