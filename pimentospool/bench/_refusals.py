"""Refused first tries of callers against the share of the targets' slots in use.

Node processes in one region serve an open load from targets that take as many requests
at once as they have slots. No call is made twice, so each one is a first try.
"""

import asyncio
import collections
import random
import tempfile
import time
from collections.abc import Iterable, Sequence
from enum import Enum
from pathlib import Path

import msgspec
import tomli_w

from pimentospool.addresses import LoopbackNetwork
from pimentospool.bench._nodes import stop_node, wait_ready
from pimentospool.programs import Program
from pimentospool.standins import (
    CONFIGURATION_KEY,
    PlatformCall,
    PlatformCaller,
    SigningTarget,
    StandinServer,
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
PATH_PREFIX = "/look/"
NO_REASON = "no reason logged"


class LoadPhase(Enum):
    """Part of a load."""

    START = "start"
    CALM = "calm"
    STEP = "step"


class RefusalCase(msgspec.Struct, kw_only=True, frozen=True):
    """One load, and the deployment that serves it."""

    rate: float
    """Requests a second of all callers, before the step."""
    step_factor: float = 2.0
    nodes: int = 3
    targets: int = 4
    slots: int = 20
    """Requests that each target serves at once."""
    service_seconds: float = 1.0
    """Time that a target takes for a request."""
    timeout_seconds: float = 2.0
    """Timeout of the route."""
    start_seconds: float = 4.0
    calm_seconds: float = 8.0
    step_seconds: float = 8.0

    @property
    def phases(self) -> list[tuple[LoadPhase, float, float]]:
        """Phases in their order, each with its seconds and requests a second."""
        return [
            (LoadPhase.START, self.start_seconds, self.rate),
            (LoadPhase.CALM, self.calm_seconds, self.rate),
            (LoadPhase.STEP, self.step_seconds, self.rate * self.step_factor),
        ]


class PlannedCall(msgspec.Struct, frozen=True):
    """A call that is due some time after the start of the load."""

    due_seconds: float
    phase: LoadPhase
    node: int


class ObservedCall(msgspec.Struct, kw_only=True):
    """A call with the state in which it was made."""

    phase: LoadPhase
    slot_share: float
    """Share of the slots of all targets that were in use as it was sent."""
    call: PlatformCall


class PhaseFigures(msgspec.Struct, kw_only=True):
    """Result of one phase of a load."""

    rate: float
    phase: str
    demand: float
    """Slots that the load needs, as a share of all slots."""
    calls: int
    slot_share: float
    """Mean share of the slots in use as calls were sent."""
    refused: int
    failed: int
    """Calls that ended with neither an answer of a target nor a refusal."""
    slot_share_refused: float | None
    """Mean share of the slots in use as the refused calls were sent."""
    reasons: dict[str, int]
    """Refused and failed calls by the reason in the nodes' logs."""


def plan_calls(case: RefusalCase, *, seed: int) -> list[PlannedCall]:
    """Return Poisson arrivals at random nodes, ordered by time."""
    rng = random.Random(seed)
    planned = []
    phase_start_seconds = 0.0
    for phase, seconds, rate in case.phases:
        due_seconds = phase_start_seconds + rng.expovariate(rate)
        phase_start_seconds += seconds
        while due_seconds < phase_start_seconds:
            planned.append(PlannedCall(due_seconds, phase, rng.randrange(case.nodes)))
            due_seconds += rng.expovariate(rate)
    return planned


def summarize_calls(
    case: RefusalCase, observed: Sequence[ObservedCall], reasons: dict[str, str]
) -> list[PhaseFigures]:
    """Return the figures of each phase; `reasons` are by the ids of requests."""
    figures = []
    for phase, _, rate in case.phases:
        items = [item for item in observed if item.phase is phase]
        refused = [item for item in items if item.call.refused]
        unserved = [item for item in items if not item.call.succeeded]
        figures.append(
            PhaseFigures(
                rate=rate,
                phase=phase.value,
                demand=rate * case.service_seconds / (case.targets * case.slots),
                calls=len(items),
                slot_share=_mean_slot_share(items) or 0.0,
                refused=len(refused),
                failed=len(unserved) - len(refused),
                slot_share_refused=_mean_slot_share(refused),
                reasons=dict(
                    collections.Counter(
                        reasons.get(item.call.id, NO_REASON) for item in unserved
                    )
                ),
            )
        )
    return figures


def read_reasons(lines: Iterable[bytes]) -> dict[str, str]:
    """Return why requests were refused or failed, by request id, from log lines.

    Digits are replaced, so that one limit has one reason.
    """
    reasons = {}
    for line in lines:
        try:
            fields = msgspec.json.decode(line, type=dict)
        except msgspec.DecodeError:
            continue
        if fields.get("name") in ("REQUEST_FAILED", "REQUEST_REFUSED"):
            detail = fields.get("detail") or fields.get("reason", "")
            text = "".join("#" if char.isdigit() else char for char in detail)
            reasons[fields.get("request", "")] = text
    return reasons


class RefusalBench:
    """Runs one load against node processes and stand-in targets.

    Parameters
    ----------
    case : RefusalCase
        The load.
    seed : int
        Seed of the arrivals.
    """

    def __init__(self, *, case: RefusalCase, seed: int) -> None:
        self._case = case
        self._seed = seed
        self._targets: list[SigningTarget] = []
        self._nodes: list[Program] = []
        self._observed: list[ObservedCall] = []

    async def run(self) -> list[PhaseFigures]:
        """Run the load and return the figures of its phases."""
        network, store = LoopbackNetwork(), StoreStandin()
        server = await serve_standin(store, "127.0.0.1:0")
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._start_targets(store)
                fronts = await self._start_nodes(network, server, Path(folder))
                await self._make_calls(fronts)
            finally:
                await asyncio.gather(*map(stop_node, self._nodes))
                for target in self._targets:
                    await target.close()
                await server.close()
                network.close()
            reasons: dict[str, str] = {}
            for node in self._nodes:
                reasons |= read_reasons(node.log_path.read_bytes().splitlines())
        return summarize_calls(self._case, self._observed, reasons)

    async def _start_targets(self, store: StoreStandin) -> None:
        case = self._case
        route = platform_route(
            PATH_PREFIX, "idempotent", TimeoutMs=round(1000 * case.timeout_seconds)
        )
        configuration = platform_configuration(routes=[route])
        for service in configuration["Services"]:
            # Connections are not what this benchmark limits.
            service["MaxConnections"] = 2 * case.slots * case.nodes
        await store.put(CONFIGURATION_KEY, configuration)
        for number in range(case.targets):
            target = SigningTarget(instance=f"target-{number}")
            target.gap_seconds = case.service_seconds
            target.room = case.slots
            await target.start()
            self._targets.append(target)
            entry = target_entry(target.address, zone=ZONE, Slots=case.slots)
            await store.put(target_key(target.instance), entry)

    async def _start_nodes(
        self, network: LoopbackNetwork, server: StandinServer, folder: Path
    ) -> list[str]:
        """Start the nodes; return the addresses of their callers' listeners."""
        ports = free_node_ports()
        ips = [network.ip(number) for number in range(self._case.nodes)]
        for ip in ips:
            settings = platform_settings(
                ip, zone=ZONE, store=server.address, seeds=ips[:3], ports=ports
            )
            path = folder / f"{ip}.toml"
            path.write_text(tomli_w.dumps(settings))
            node = Program(
                name=ip, arguments=["node", str(path)], log_path=folder / f"{ip}.log"
            )
            self._nodes.append(node)
            await node.start()
        await wait_ready([f"{ip}:{ports.ready}" for ip in ips])
        return [f"{ip}:{ports.front}" for ip in ips]

    async def _make_calls(self, fronts: list[str]) -> None:
        callers = [
            PlatformCaller(address=address, node=number)
            for number, address in enumerate(fronts)
        ]
        started_at = time.monotonic()
        try:
            async with asyncio.TaskGroup() as group:
                for number, planned in enumerate(
                    plan_calls(self._case, seed=self._seed)
                ):
                    await asyncio.sleep(
                        started_at + planned.due_seconds - time.monotonic()
                    )
                    caller = callers[planned.node]
                    group.create_task(self._observe_call(caller, planned.phase, number))
        finally:
            for caller in callers:
                await caller.close()

    async def _observe_call(
        self, caller: PlatformCaller, phase: LoadPhase, number: int
    ) -> None:
        busy = sum(target.busy for target in self._targets)
        slot_share = busy / (len(self._targets) * self._case.slots)
        call = await caller.call(
            f"{PATH_PREFIX}{number}", request_id=f"refusals-{self._seed}-{number}"
        )
        self._observed.append(
            ObservedCall(phase=phase, slot_share=slot_share, call=call)
        )


def _mean_slot_share(items: Sequence[ObservedCall]) -> float | None:
    if not items:
        return None
    return sum(item.slot_share for item in items) / len(items)
