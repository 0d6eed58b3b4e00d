"""Latency of sound requests beside targets that send answers without end.

One node process serves a service with a sound target, and one with faulty targets,
whose answers never end. No call is made twice.
"""

import asyncio
import tempfile
from collections.abc import Sequence
from enum import Enum
from pathlib import Path

import msgspec
import tomli_w

from pimentospool.addresses import LoopbackNetwork
from pimentospool.bench._nodes import stop_node, wait_ready
from pimentospool.bench._processes import cpu_seconds, peak_megabytes
from pimentospool.programs import Program
from pimentospool.standins import (
    CONFIGURATION_KEY,
    EndlessAnswerTarget,
    PlatformCall,
    PlatformCaller,
    SigningTarget,
    StoreStandin,
    free_node_ports,
    platform_configuration,
    platform_route,
    platform_settings,
    serve_standin,
    target_entry,
    target_key,
)

ZONE = "gulf-a"
SOUND_PREFIX = "/sound/"
FAULTY_PREFIX = "/faulty/"
FAULTY_TARGETS = 3
LOAD_SECONDS = 3.0
"""Time in which all calls are made."""
TIMEOUT_MS = 5000
SLOTS = 64
MAX_CONNECTIONS = 100


class AnswerFraming(Enum):
    """How the answers without end are framed."""

    UNFRAMED = "unframed"
    CHUNKED = "chunked"
    SMALLEST_CHUNKS = "smallest chunks"

    @property
    def header(self) -> str:
        """Header of the answer that names the framing."""
        is_unframed = self is AnswerFraming.UNFRAMED
        return "Connection: close" if is_unframed else "Transfer-Encoding: chunked"

    def encode(self, size_bytes: int) -> bytes:
        """Return a part of such an answer, with about `size_bytes` in all."""
        if self is AnswerFraming.UNFRAMED:
            return b"a" * size_bytes
        if self is AnswerFraming.CHUNKED:
            return b"%x\r\n%b\r\n" % (size_bytes, b"a" * size_bytes)
        return b"1\r\na\r\n" * (size_bytes // 6)


class EndlessAnswersCase(msgspec.Struct, kw_only=True, frozen=True):
    """One load, and the memory of the node that serves it."""

    faulty_calls: int
    sound_calls: int = 60
    framing: AnswerFraming = AnswerFraming.UNFRAMED
    bytes_per_second: int = 3_000_000
    """What a faulty target sends on each connection."""
    memory_mb: float = 200.0


class EndlessAnswersFigures(msgspec.Struct, kw_only=True):
    """Result of one load."""

    framing: str
    faulty_calls: int
    sound_calls: int
    served: int
    """Sound calls that were answered."""
    refused: int
    """Sound calls that were refused."""
    median_seconds: float | None
    slowest_seconds: float | None
    """Times of the sound calls that were answered."""
    faulty_seconds: float | None
    """Time of the slowest call to the faulty targets."""
    peak_mb: float
    cpu_seconds: float


def summarize(
    case: EndlessAnswersCase,
    sound: Sequence[PlatformCall],
    faulty: Sequence[PlatformCall],
    *,
    peak_mb: float,
    used_cpu_seconds: float,
) -> EndlessAnswersFigures:
    """Return the figures of a load."""
    served = sorted(call.ended_at - call.sent_at for call in sound if call.succeeded)
    return EndlessAnswersFigures(
        framing=case.framing.value,
        faulty_calls=len(faulty),
        sound_calls=len(sound),
        served=len(served),
        refused=sum(call.refused for call in sound),
        median_seconds=served[len(served) // 2] if served else None,
        slowest_seconds=served[-1] if served else None,
        faulty_seconds=max((c.ended_at - c.sent_at for c in faulty), default=None),
        peak_mb=peak_mb,
        cpu_seconds=used_cpu_seconds,
    )


class EndlessAnswersBench:
    """Runs one load against a node process and stand-in targets.

    Parameters
    ----------
    case : EndlessAnswersCase
        The load.
    """

    def __init__(self, *, case: EndlessAnswersCase) -> None:
        self._case = case
        self._targets: list[SigningTarget] = []

    async def run(self) -> EndlessAnswersFigures:
        """Run the load and return its figures."""
        network, store = LoopbackNetwork(), StoreStandin()
        server = await serve_standin(store, "127.0.0.1:0")
        ip, ports = network.ip(0), free_node_ports()
        with tempfile.TemporaryDirectory() as folder:
            settings = platform_settings(
                ip, zone=ZONE, store=server.address, seeds=[ip], ports=ports
            )
            settings["Limits"]["MemoryMb"] = self._case.memory_mb
            path = Path(folder) / "node.toml"
            path.write_text(tomli_w.dumps(settings))
            node = Program(
                name=ip,
                arguments=["node", str(path)],
                log_path=Path(folder) / "node.log",
            )
            try:
                await self._start_targets(store)
                await node.start()
                await wait_ready([f"{ip}:{ports.ready}"])
                return await self._measure(node, f"{ip}:{ports.front}")
            finally:
                await stop_node(node)
                for target in self._targets:
                    target.reset_all()
                await server.close()
                network.close()

    async def _start_targets(self, store: StoreStandin) -> None:
        case = self._case
        routes = [
            platform_route(
                prefix, "idempotent", prefix.strip("/"), TimeoutMs=TIMEOUT_MS
            )
            for prefix in (SOUND_PREFIX, FAULTY_PREFIX)
        ]
        services = [
            {
                "Name": route["Service"],
                "HealthPath": "/healthz",
                "MaxConnections": MAX_CONNECTIONS,
            }
            for route in routes
        ]
        configuration = platform_configuration(routes=routes) | {"Services": services}
        await store.put(CONFIGURATION_KEY, configuration)
        await self._start_target(store, SigningTarget(instance="sound"), "sound")
        for number in range(FAULTY_TARGETS):
            target = EndlessAnswerTarget(
                instance=f"faulty-{number}",
                header=case.framing.header,
                encode=case.framing.encode,
                bytes_per_second=case.bytes_per_second,
            )
            await self._start_target(store, target, "faulty")

    async def _start_target(
        self, store: StoreStandin, target: SigningTarget, service: str
    ) -> None:
        await target.start()
        self._targets.append(target)
        entry = target_entry(target.address, service=service, zone=ZONE, Slots=SLOTS)
        await store.put(target_key(target.instance), entry)

    async def _measure(self, node: Program, front: str) -> EndlessAnswersFigures:
        case = self._case
        assert node.pid is not None
        cpu_before_seconds = cpu_seconds(node.pid)
        caller = PlatformCaller(address=front, node=0)
        try:
            sound, faulty = await asyncio.gather(
                _call_steadily(caller, SOUND_PREFIX, case.sound_calls),
                _call_steadily(caller, FAULTY_PREFIX, case.faulty_calls),
            )
        finally:
            await caller.close()
        return summarize(
            case,
            sound,
            faulty,
            peak_mb=peak_megabytes(node.pid),
            used_cpu_seconds=cpu_seconds(node.pid) - cpu_before_seconds,
        )


async def _call_steadily(
    caller: PlatformCaller, prefix: str, count: int
) -> list[PlatformCall]:
    """Make `count` calls at equal distances; return them once all have ended."""
    tasks = []
    for number in range(count):
        request_id = f"{prefix.strip('/')}-{number}"
        call = caller.call(f"{prefix}{number}", request_id=request_id)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(LOAD_SECONDS / count)
    return await asyncio.gather(*tasks)
