"""Runs one soak: makes calls, injects faults, checks recovery and the promises."""

import asyncio
import hashlib
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from pimentospool.faults import Direction, LinkState, MisbehavingClients
from pimentospool.soak._checker import (
    Disturbance,
    SoakChecker,
    SoakRecord,
    SoakRoute,
    TargetNotice,
    Violation,
)
from pimentospool.soak._deployment import (
    NODE_MEMORY_MB,
    ROUTES,
    SoakDeployment,
    SoakNode,
    SoakTarget,
    wait_for_exit,
)
from pimentospool.soak._fault_plan import PlannedFault, SoakFault, plan_faults
from pimentospool.soak._tenants import SoakTenants
from pimentospool.standins import (
    HOST,
    Fault,
    PlatformCall,
    PlatformCaller,
    SigningTarget,
)

CALLERS_PER_NODE = 4
"""Number of callers of each node."""
MEAN_CALL_PAUSE_SECONDS = 0.05
"""Mean pause of a caller between calls.

With four callers, each node gets about forty calls a second.
"""
LINK_DELAY_SECONDS = 0.4
FAULTY_EXCHANGES = 6
STORE_AWAY_SECONDS = 0.5
"""Time for which the store refuses calls before it comes back from a copy."""
REWRITE_DELAY_SECONDS = 1.0
"""Time after a restore in which the operator and the targets write again what it lost;
the platform promises less than two seconds."""
SECOND_SIGNAL_DELAY_SECONDS = 0.06
"""Time from the first SIGTERM to the second one."""
TARGET_LIMIT = 1.5
"""Requests per second that a limited target takes."""
CROWD_CLIENTS = 40
"""Misbehaving clients at a listener of a node."""
BURST_CALLS = 24
LONG_BODY_BYTES = 2_000_000
"""Size of a body of a burst; all of them are more than a node may hold."""
BURST_PAUSE_SECONDS = 0.01
"""Pause after each piece of such a body, so that the calls of a burst overlap."""
BURST_SERVICE, BURST_PATH = "desk", "/book/"
BURST_TARGET_FAULTS = (
    Fault.ENDLESS_BODY,
    Fault.ENDLESS_HEAD,
    Fault.SILENT,
    Fault.CUT_BODY,
    Fault.ERROR,
    Fault.UNPROVEN_BUSY,
)
"""Faults of which all targets have one in half of the bursts."""
RECOVERY_TIMEOUT_SECONDS = 15.0
"""Time after the last fault by which every node must serve requests again.

It is RecoveryS of the data sheets of the sites.
"""
RECOVERED_SUCCESSES = 3
"""Consecutive successes on each route after which a node counts as recovered."""


class SoakResult(msgspec.Struct, kw_only=True):
    """Result of the soak of one seed."""

    seed: int
    calls: int
    succeeded: int
    refused: int
    faults: int
    slowest_start_seconds: float
    """Longest time from a process's restart until it was ready."""
    recovery_seconds: float
    """Time after the last fault until every node served every route again."""
    violations: list[Violation]


class Soak:
    """One soak of a deployment, with the faults that a seed determines.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the routes of calls.
    seconds : float
        Duration of the fault injection.
    nodes : int
        Number of node processes.
    folder : Path
        Directory for the settings and logs of the nodes.
    callers : int
        Number of callers of each node.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        nodes: int,
        folder: Path,
        callers: int = CALLERS_PER_NODE,
    ) -> None:
        self._callers = callers
        self._seed = seed
        self._planned_faults = plan_faults(seed, seconds=seconds)
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._record = SoakRecord()
        self._call_numbers = itertools.count()
        self._tenants = SoakTenants(seed=seed)
        self._deployment = SoakDeployment(
            nodes=nodes, folder=folder, tenants=self._tenants
        )
        self._calls_continue = True
        self._slowest_start_seconds = 0.0
        self._recovery_seconds = 0.0
        self._node_locks: dict[int, asyncio.Lock] = {}
        self._actions: dict[SoakFault, Callable[[PlannedFault], Awaitable[None]]] = {
            SoakFault.NODE_PAUSED: self._pause_node,
            SoakFault.NODE_KILLED: self._kill_node,
            SoakFault.NODE_TERMINATED: self._terminate_node,
            SoakFault.NODE_RELOADED: self._reload_node,
            SoakFault.CALLERS_RESET: self._reset_callers,
            SoakFault.CALLERS_SILENCED: self._blackhole_callers,
            SoakFault.TARGET_DELAYED: self._degrade_link,
            SoakFault.TARGET_RESET: self._reset_target,
            SoakFault.TARGET_CUT: self._degrade_link,
            SoakFault.TARGET_SILENT: self._degrade_link,
            SoakFault.TARGET_LOST: self._blackhole_connections,
            SoakFault.TARGET_SPOILING: self._corrupt_exchanges,
            SoakFault.TARGET_REPLACED: self._replace_target,
            SoakFault.TARGET_DRAINING: self._drain_target,
            SoakFault.STORE_REFUSING: self._make_store_refuse,
            SoakFault.STORE_SILENT: self._hang_store,
            SoakFault.STORE_FORGETTING: self._drop_store_history,
            SoakFault.STORE_CUT: self._cut_store_link,
            SoakFault.CONFIGURATION: self._change_configuration,
            SoakFault.STORE_RESTORED: self._restore_store,
            SoakFault.TARGET_LIMITED: self._limit_target,
            SoakFault.TARGET_SAYING_LEAVING: self._announce_leaving,
            SoakFault.LONG_BODIES: self._send_long_bodies,
            SoakFault.CALLERS_MISBEHAVING: self._let_clients_misbehave,
        }

    async def run(self) -> SoakResult:
        """Run the soak and return its result."""
        try:
            unready = await self._deployment.start()
            self._record.unrecovered += [
                f"{name} did not become ready" for name in unready
            ]
            if not unready:
                await self._run_calls_and_faults()
        finally:
            self._record.process_errors += await self._deployment.close()
        for target in self._deployment.targets:
            self._record.arrivals += target.arrivals()
        calls = self._record.calls
        # A target may have read a body only after its caller had left.
        self._shorten_bodies(calls)
        return SoakResult(
            seed=self._seed,
            calls=len(calls),
            succeeded=sum(call.succeeded for call in calls),
            refused=sum(call.refused for call in calls),
            faults=len(self._planned_faults),
            slowest_start_seconds=self._slowest_start_seconds,
            recovery_seconds=self._recovery_seconds,
            violations=SoakChecker(
                routes=ROUTES, record=self._record, tenants=self._tenants
            ).check(),
        )

    async def _run_calls_and_faults(self) -> None:
        callers = [
            asyncio.create_task(self._make_calls(number))
            for number in range(len(self._deployment.nodes))
            for _ in range(self._callers)
        ]
        start = time.monotonic()
        faults = []
        if self._tenants.enabled:
            faults.append(asyncio.create_task(self._withdraw_key()))
        for planned in self._planned_faults:
            await asyncio.sleep(start + planned.at_seconds - time.monotonic())
            faults.append(asyncio.create_task(self._inject(planned)))
        await asyncio.sleep(start + self._seconds - time.monotonic())
        await asyncio.gather(*faults)
        await self._wait_for_recovery()
        self._calls_continue = False
        await asyncio.gather(*callers)

    async def _withdraw_key(self) -> None:
        await asyncio.sleep(self._tenants.withdrawal_share * self._seconds)
        await self._deployment.withdraw_key()

    async def _make_calls(self, number: int) -> None:
        """Call one node repeatedly over persistent connections."""
        address = self._deployment.nodes[number].callers_proxy.address
        caller = PlatformCaller(address=address, node=number)
        try:
            while self._calls_continue:
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_CALL_PAUSE_SECONDS))
                route = self._rng.choice(ROUTES)
                await self._call(caller, route, self._tenants.draw_key())
        finally:
            await caller.close()

    async def _call(
        self, caller: PlatformCaller, route: SoakRoute, credential: str
    ) -> bool:
        number = next(self._call_numbers)
        has_body = route.method == "POST"
        call = await caller.call(
            f"{route.prefix}{number}",
            request_id=f"soak-{self._seed}-{number}",
            method=route.method,
            body=b"%d " % number * self._rng.randint(1, 400) if has_body else b"",
            credential=credential,
        )
        self._record.calls.append(call)
        return call.succeeded

    async def _wait_for_recovery(self) -> None:
        """Wait until every node serves every route again; record those that do not."""
        started_at = time.monotonic()
        numbers = range(len(self._deployment.nodes))
        recovered = await asyncio.gather(*(self._has_recovered(n) for n in numbers))
        self._recovery_seconds = time.monotonic() - started_at
        for number, done in zip(numbers, recovered, strict=True):
            if not done:
                name = self._deployment.nodes[number].name
                self._record.unrecovered.append(
                    f"{name} did not serve every route within "
                    f"{RECOVERY_TIMEOUT_SECONDS} s of the last fault"
                )

    async def _has_recovered(self, number: int) -> bool:
        node = self._deployment.nodes[number]
        caller = PlatformCaller(address=node.callers_proxy.address, node=number)
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
                for route in ROUTES:
                    successes = 0
                    while successes < RECOVERED_SUCCESSES:
                        key = self._tenants.draw_key(valid=True)
                        done = await self._call(caller, route, key)
                        successes = successes + 1 if done else 0
        except TimeoutError:
            return False
        finally:
            await caller.close()
        return True

    async def _inject(self, planned: PlannedFault) -> None:
        start = time.monotonic()
        await self._actions[planned.fault](planned)
        self._record.disturbances.append(
            Disturbance(
                fault=planned.fault,
                node=planned.location % len(self._deployment.nodes),
                started_at=start,
                ended_at=time.monotonic(),
            )
        )

    def _node(self, planned: PlannedFault) -> SoakNode:
        return self._deployment.nodes[planned.location % len(self._deployment.nodes)]

    def _target(self, planned: PlannedFault) -> SoakTarget:
        return self._deployment.targets[
            planned.location % len(self._deployment.targets)
        ]

    def _lock(self, planned: PlannedFault) -> asyncio.Lock:
        """Return the lock that serializes the starts and stops of a node."""
        number = planned.location % len(self._deployment.nodes)
        return self._node_locks.setdefault(number, asyncio.Lock())

    async def _pause_node(self, planned: PlannedFault) -> None:
        node = self._node(planned)
        async with self._lock(planned):
            node.pause()
            await asyncio.sleep(planned.duration_seconds)
            node.wake()

    async def _kill_node(self, planned: PlannedFault) -> None:
        node = self._node(planned)
        async with self._lock(planned):
            await node.close()
            await asyncio.sleep(planned.duration_seconds)
            await self._restart_node(node)

    async def _terminate_node(self, planned: PlannedFault) -> None:
        node = self._node(planned)
        async with self._lock(planned):
            node.terminate()
            if planned.variant % 2:
                # Further signals while it shuts down: a second SIGTERM and a reload.
                await asyncio.sleep(SECOND_SIGNAL_DELAY_SECONDS)
                node.terminate()
                node.send_signal(signal.SIGHUP)
            error = await wait_for_exit(node)
            if error:
                self._record.process_errors.append(error)
            await self._restart_node(node)

    async def _restart_node(self, node: SoakNode) -> None:
        started_at = time.monotonic()
        await node.start()
        if await node.wait_ready():
            start_seconds = time.monotonic() - started_at
            self._slowest_start_seconds = max(
                self._slowest_start_seconds, start_seconds
            )
        else:
            self._record.unrecovered.append(
                f"{node.name} did not become ready after a restart"
            )

    async def _reload_node(self, planned: PlannedFault) -> None:
        async with self._lock(planned):
            self._node(planned).send_signal(signal.SIGHUP)

    async def _reset_callers(self, planned: PlannedFault) -> None:
        self._node(planned).callers_proxy.reset_connections()

    async def _blackhole_callers(self, planned: PlannedFault) -> None:
        self._node(planned).callers_proxy.lose_connections()

    async def _degrade_link(self, planned: PlannedFault) -> None:
        proxy = self._target(planned).proxy
        if planned.fault is SoakFault.TARGET_CUT:
            proxy.cut()
        elif planned.fault is SoakFault.TARGET_DELAYED:
            proxy.set_state(LinkState(delay_seconds=LINK_DELAY_SECONDS))
        else:
            proxy.blackhole(list(Direction)[planned.variant % 2])
        await asyncio.sleep(planned.duration_seconds)
        proxy.heal()

    async def _reset_target(self, planned: PlannedFault) -> None:
        self._target(planned).proxy.reset_connections()

    async def _blackhole_connections(self, planned: PlannedFault) -> None:
        self._target(planned).proxy.lose_connections()

    async def _corrupt_exchanges(self, planned: PlannedFault) -> None:
        all_faults = list(Fault)
        start = planned.variant % len(all_faults)
        chosen_faults = [
            all_faults[(start + n) % len(all_faults)] for n in range(FAULTY_EXCHANGES)
        ]
        standin = self._target(planned).current_standin
        standin.faults += chosen_faults
        await asyncio.sleep(planned.duration_seconds)
        standin.faults.clear()

    async def _replace_target(self, planned: PlannedFault) -> None:
        target = self._target(planned)
        await self._deployment.withdraw(target)
        await target.replace()
        await asyncio.sleep(planned.duration_seconds)
        await self._deployment.publish(target)

    async def _drain_target(self, planned: PlannedFault) -> None:
        target = self._target(planned)
        standin = target.current_standin
        await self._deployment.publish(target, "draining")
        await asyncio.sleep(planned.duration_seconds)
        if target.current_standin is standin:
            await self._deployment.publish(target)

    async def _limit_target(self, planned: PlannedFault) -> None:
        standin = self._target(planned).current_standin
        started_at = time.monotonic()
        standin.answer_headers["Server-Limit"] = str(TARGET_LIMIT)
        await asyncio.sleep(planned.duration_seconds)
        standin.answer_headers.pop("Server-Limit", None)
        self._record_notice(planned, standin, started_at, limit=TARGET_LIMIT)

    async def _announce_leaving(self, planned: PlannedFault) -> None:
        """Let a target say that it leaves, and replace it by another."""
        standin = self._target(planned).current_standin
        started_at = time.monotonic()
        standin.answer_headers["Server-Leaving"] = "1"
        await asyncio.sleep(planned.duration_seconds)
        self._record_notice(planned, standin, started_at)
        if self._target(planned).current_standin is standin:
            await self._replace_target(planned)

    def _record_notice(
        self,
        planned: PlannedFault,
        standin: SigningTarget,
        started_at: float,
        *,
        limit: float | None = None,
    ) -> None:
        zone = self._target(planned).zone
        nodes = [
            number
            for number, node in enumerate(self._deployment.nodes)
            if node.zone == zone
        ]
        self._record.notices.append(
            TargetNotice(
                target=standin.instance,
                started_at=started_at,
                ended_at=time.monotonic(),
                nodes=frozenset(nodes),
                limit=limit,
            )
        )

    async def _send_long_bodies(self, planned: PlannedFault) -> None:
        """Send long bodies at once, which sound targets send back."""
        standins = [
            target.current_standin
            for target in self._deployment.targets
            if target.service == BURST_SERVICE and planned.variant % 2
        ]
        number = planned.variant // 2 % len(BURST_TARGET_FAULTS)
        for standin in standins:
            standin.faults += [BURST_TARGET_FAULTS[number]] * BURST_CALLS
        node = self._node(planned)
        caller = PlatformCaller(
            address=node.front, node=planned.location % len(self._deployment.nodes)
        )
        numbers = [next(self._call_numbers) for _ in range(BURST_CALLS)]
        try:
            calls = await asyncio.gather(
                *(self._send_long_body(caller, number) for number in numbers)
            )
        finally:
            await caller.close()
            for standin in standins:
                standin.faults.clear()
        self._record.calls += calls
        self._shorten_bodies(calls)
        self._check_memory(node)

    async def _let_clients_misbehave(self, planned: PlannedFault) -> None:
        """Let clients outside the limits connect to a listener of a node for a time."""
        node = self._node(planned)
        listeners = [node.front, *node.other_listeners]
        clients = MisbehavingClients(
            address=listeners[planned.variant % len(listeners)],
            path=BURST_PATH,
            headers=f"Host: {HOST}\r\nX-Request-Id: crowd\r\n".encode(),
            count=CROWD_CLIENTS,
            rng=random.Random(planned.variant),
        )
        clients.start()
        await asyncio.sleep(planned.duration_seconds)
        self._check_memory(node)
        await clients.close()

    def _check_memory(self, node: SoakNode) -> None:
        peak_megabytes = node.peak_megabytes()
        if peak_megabytes > NODE_MEMORY_MB:
            self._record.process_errors.append(
                f"{node.name} held {peak_megabytes:.0f} MB of {NODE_MEMORY_MB} MB"
            )

    async def _send_long_body(
        self, caller: PlatformCaller, number: int
    ) -> PlatformCall:
        unit = b"%d " % number
        return await caller.call(
            f"{BURST_PATH}{number}",
            request_id=f"soak-{self._seed}-{number}",
            method="POST",
            body=unit * (LONG_BODY_BYTES // len(unit)),
            pause_seconds=BURST_PAUSE_SECONDS,
            credential=self._tenants.draw_key(valid=True),
        )

    def _shorten_bodies(self, calls: list[PlatformCall]) -> None:
        """Replace long bodies by digests, as many bursts would fill the memory."""
        ids = {call.id for call in calls}
        for call in calls:
            call.body, call.answer = _shorten(call.body), _shorten(call.answer)
        for target in self._deployment.targets:
            for arrival in target.arrivals():
                req = arrival.request
                if req.id in ids:
                    req.body = _shorten(req.body)
                    req.expected_body = _shorten(req.expected_body)

    async def _make_store_refuse(self, planned: PlannedFault) -> None:
        self._deployment.store.refusal_status = 503 if planned.variant % 2 else 429
        await asyncio.sleep(planned.duration_seconds)
        self._deployment.store.refusal_status = 0

    async def _hang_store(self, planned: PlannedFault) -> None:
        self._deployment.store.silent = True
        await asyncio.sleep(planned.duration_seconds)
        self._deployment.store.silent = False

    async def _drop_store_history(self, planned: PlannedFault) -> None:
        await self._deployment.store.drop_history()

    async def _cut_store_link(self, planned: PlannedFault) -> None:
        proxy = self._node(planned).store_proxy
        proxy.cut()
        await asyncio.sleep(planned.duration_seconds)
        proxy.heal()

    async def _restore_store(self, planned: PlannedFault) -> None:
        """Restore the store from a copy as old as the fault is long."""
        store = self._deployment.store
        copy = store.copy()
        await asyncio.sleep(planned.duration_seconds)
        if planned.variant % 2:
            store.refusal_status = 503
            await asyncio.sleep(STORE_AWAY_SECONDS)
        await store.restore(copy)
        if planned.variant % 2:
            store.refusal_status = 0
        await asyncio.sleep(REWRITE_DELAY_SECONDS)
        await self._deployment.publish_again()

    async def _change_configuration(self, planned: PlannedFault) -> None:
        await self._deployment.change_configuration()


def _shorten(body: bytes) -> bytes:
    """Return a digest of a long body, and a short one as it is."""
    if len(body) < LONG_BODY_BYTES // 2:
        return body
    return hashlib.sha256(body).hexdigest().encode()
