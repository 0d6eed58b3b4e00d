"""Runs one soak: calls, faults, recovery and the record of what was seen."""

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from pimentospool.faults import Direction, LinkState
from pimentospool.soak._checker import (
    Disturbance,
    SoakJudge,
    SoakRecord,
    SoakRoute,
    Violation,
)
from pimentospool.soak._deployment import (
    ROUTES,
    SoakDeployment,
    SoakNode,
    SoakTarget,
    end_gracefully,
)
from pimentospool.soak._fault_plan import PlannedFault, SoakFault, plan_faults
from pimentospool.standins import Fault, PlatformCaller

CALLERS = 4
"""Callers of each node."""
CALL_PAUSE_SECONDS = 0.05
"""Mean pause of a caller between calls; about forty calls a second for each node with
four callers."""
DELAY_SECONDS = 0.4
SPOILED_EXCHANGES = 6
SECOND_SIGNAL_SECONDS = 0.06
"""Time from the first SIGTERM to a second one."""
RECOVERY_SECONDS = 15.0
"""Time after the last fault by which every node serves (RecoveryS of the sheets)."""
RECOVERED_CALLS = 3
"""Successes in a row on each route at each node that count as serving."""


class SoakResult(msgspec.Struct, kw_only=True):
    """Result of one seed."""

    seed: int
    calls: int
    succeeded: int
    refused: int
    faults: int
    slowest_start_seconds: float
    """Longest time from the start of a process to its being ready."""
    recovery_seconds: float
    """Time after the last fault in which every node served every route again."""
    violations: list[Violation]


class Soak:
    """One run of a deployment under the faults of a seed.

    Parameters
    ----------
    seed : int
        Fixes the faults and the calls' routes.
    seconds : float
        Time in which faults are injected.
    nodes : int
        Number of node processes.
    folder : Path
        Where settings and logs are written.
    callers : int
        Callers of each node.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        nodes: int,
        folder: Path,
        callers: int = CALLERS,
    ) -> None:
        self._callers = callers
        self._seed = seed
        self._plan = plan_faults(seed, seconds=seconds)
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._record = SoakRecord()
        self._numbers = itertools.count()
        self._site = SoakDeployment(nodes=nodes, network=seed % 256, folder=folder)
        self._calling = True
        self._slowest_start = 0.0
        self._recovery = 0.0
        self._ending: dict[int, asyncio.Lock] = {}
        self._actions: dict[SoakFault, Callable[[PlannedFault], Awaitable[None]]] = {
            SoakFault.NODE_PAUSED: self._pause_node,
            SoakFault.NODE_KILLED: self._kill_node,
            SoakFault.NODE_TERMINATED: self._terminate_node,
            SoakFault.NODE_RELOADED: self._reload_node,
            SoakFault.CALLERS_RESET: self._reset_callers,
            SoakFault.CALLERS_SILENCED: self._silence_callers,
            SoakFault.TARGET_DELAYED: self._harm_link,
            SoakFault.TARGET_RESET: self._reset_target,
            SoakFault.TARGET_CUT: self._harm_link,
            SoakFault.TARGET_SILENT: self._harm_link,
            SoakFault.TARGET_LOST: self._lose_connections,
            SoakFault.TARGET_SPOILING: self._spoil_exchanges,
            SoakFault.TARGET_REPLACED: self._replace_target,
            SoakFault.TARGET_DRAINING: self._drain_target,
            SoakFault.STORE_REFUSING: self._refuse_store,
            SoakFault.STORE_SILENT: self._silence_store,
            SoakFault.STORE_FORGETTING: self._forget_history,
            SoakFault.STORE_CUT: self._cut_store,
            SoakFault.CONFIGURATION: self._change_configuration,
        }

    async def run(self) -> SoakResult:
        """Run the soak and return its result."""
        try:
            unready = await self._site.start()
            self._record.unrecovered += [f"{name} never got ready" for name in unready]
            if not unready:
                await self._play()
        finally:
            self._record.process_faults += await self._site.close()
        for target in self._site.targets:
            self._record.arrivals += target.arrivals()
        calls = self._record.calls
        return SoakResult(
            seed=self._seed,
            calls=len(calls),
            succeeded=sum(call.succeeded for call in calls),
            refused=sum(call.refused for call in calls),
            faults=len(self._plan),
            slowest_start_seconds=self._slowest_start,
            recovery_seconds=self._recovery,
            violations=SoakJudge(routes=ROUTES, record=self._record).judge(),
        )

    async def _play(self) -> None:
        callers = [
            asyncio.create_task(self._make_calls(number))
            for number in range(len(self._site.nodes))
            for _ in range(self._callers)
        ]
        start = time.monotonic()
        faults = []
        for planned in self._plan:
            await asyncio.sleep(start + planned.at - time.monotonic())
            faults.append(asyncio.create_task(self._inject(planned)))
        await asyncio.sleep(start + self._seconds - time.monotonic())
        await asyncio.gather(*faults)
        await self._recover()
        self._calling = False
        await asyncio.gather(*callers)

    async def _make_calls(self, number: int) -> None:
        """Call one node again and again on kept connections."""
        address = self._site.nodes[number].callers_proxy.address
        caller = PlatformCaller(address=address, node=number)
        try:
            while self._calling:
                await asyncio.sleep(self._rng.expovariate(1 / CALL_PAUSE_SECONDS))
                await self._call(caller, self._rng.choice(ROUTES))
        finally:
            await caller.close()

    async def _call(self, caller: PlatformCaller, route: SoakRoute) -> bool:
        number = next(self._numbers)
        posts = route.method == "POST"
        call = await caller.call(
            f"{route.prefix}{number}",
            request_id=f"soak-{self._seed}-{number}",
            method=route.method,
            body=b"%d " % number * self._rng.randint(1, 400) if posts else b"",
        )
        self._record.calls.append(call)
        return call.succeeded

    async def _recover(self) -> None:
        """Wait until every node serves every route again."""
        began = time.monotonic()
        numbers = range(len(self._site.nodes))
        served = await asyncio.gather(*(self._serves_again(n) for n in numbers))
        self._recovery = time.monotonic() - began
        for number, done in zip(numbers, served, strict=True):
            if not done:
                name = self._site.nodes[number].name
                self._record.unrecovered.append(
                    f"{name} did not serve {RECOVERY_SECONDS} s after the last fault"
                )

    async def _serves_again(self, number: int) -> bool:
        node = self._site.nodes[number]
        caller = PlatformCaller(address=node.callers_proxy.address, node=number)
        try:
            async with asyncio.timeout(RECOVERY_SECONDS):
                for route in ROUTES:
                    successes = 0
                    while successes < RECOVERED_CALLS:
                        done = await self._call(caller, route)
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
                place=planned.place % len(self._site.nodes),
                start=start,
                end=time.monotonic(),
            )
        )

    def _node(self, planned: PlannedFault) -> SoakNode:
        return self._site.nodes[planned.place % len(self._site.nodes)]

    def _target(self, planned: PlannedFault) -> SoakTarget:
        return self._site.targets[planned.place % len(self._site.targets)]

    def _lock(self, planned: PlannedFault) -> asyncio.Lock:
        """Return the lock that keeps a node's starts and ends in turn."""
        number = planned.place % len(self._site.nodes)
        return self._ending.setdefault(number, asyncio.Lock())

    async def _pause_node(self, planned: PlannedFault) -> None:
        node = self._node(planned)
        async with self._lock(planned):
            node.pause()
            await asyncio.sleep(planned.seconds)
            node.wake()

    async def _kill_node(self, planned: PlannedFault) -> None:
        node = self._node(planned)
        async with self._lock(planned):
            await node.close()
            await asyncio.sleep(planned.seconds)
            await self._start_again(node)

    async def _terminate_node(self, planned: PlannedFault) -> None:
        node = self._node(planned)
        async with self._lock(planned):
            node.terminate()
            if planned.variant % 2:
                # A second signal, and one to reload, come while it leaves.
                await asyncio.sleep(SECOND_SIGNAL_SECONDS)
                node.terminate()
                node.send_signal(signal.SIGHUP)
            fault = await end_gracefully(node)
            if fault:
                self._record.process_faults.append(fault)
            await self._start_again(node)

    async def _start_again(self, node: SoakNode) -> None:
        began = time.monotonic()
        await node.start()
        if await node.wait_ready():
            taken = time.monotonic() - began
            self._slowest_start = max(self._slowest_start, taken)
        else:
            self._record.unrecovered.append(f"{node.name} was not ready after a start")

    async def _reload_node(self, planned: PlannedFault) -> None:
        async with self._lock(planned):
            self._node(planned).send_signal(signal.SIGHUP)

    async def _reset_callers(self, planned: PlannedFault) -> None:
        self._node(planned).callers_proxy.reset_connections()

    async def _silence_callers(self, planned: PlannedFault) -> None:
        self._node(planned).callers_proxy.lose_connections()

    async def _harm_link(self, planned: PlannedFault) -> None:
        proxy = self._target(planned).proxy
        if planned.fault is SoakFault.TARGET_CUT:
            proxy.cut()
        elif planned.fault is SoakFault.TARGET_DELAYED:
            proxy.set_state(LinkState(delay_seconds=DELAY_SECONDS))
        else:
            proxy.blackhole(list(Direction)[planned.variant % 2])
        await asyncio.sleep(planned.seconds)
        proxy.heal()

    async def _reset_target(self, planned: PlannedFault) -> None:
        self._target(planned).proxy.reset_connections()

    async def _lose_connections(self, planned: PlannedFault) -> None:
        self._target(planned).proxy.lose_connections()

    async def _spoil_exchanges(self, planned: PlannedFault) -> None:
        kinds = list(Fault)
        start = planned.variant % len(kinds)
        chosen = [kinds[(start + n) % len(kinds)] for n in range(SPOILED_EXCHANGES)]
        standin = self._target(planned).current
        standin.faults += chosen
        await asyncio.sleep(planned.seconds)
        standin.faults.clear()

    async def _replace_target(self, planned: PlannedFault) -> None:
        target = self._target(planned)
        await self._site.withdraw(target)
        await target.replace()
        await asyncio.sleep(planned.seconds)
        await self._site.publish(target)

    async def _drain_target(self, planned: PlannedFault) -> None:
        target = self._target(planned)
        standin = target.current
        await self._site.publish(target, "draining")
        await asyncio.sleep(planned.seconds)
        if target.current is standin:
            await self._site.publish(target)

    async def _refuse_store(self, planned: PlannedFault) -> None:
        self._site.store.refusing = 503 if planned.variant % 2 else 429
        await asyncio.sleep(planned.seconds)
        self._site.store.refusing = 0

    async def _silence_store(self, planned: PlannedFault) -> None:
        self._site.store.silent = True
        await asyncio.sleep(planned.seconds)
        self._site.store.silent = False

    async def _forget_history(self, planned: PlannedFault) -> None:
        await self._site.store.drop_history()

    async def _cut_store(self, planned: PlannedFault) -> None:
        proxy = self._node(planned).store_proxy
        proxy.cut()
        await asyncio.sleep(planned.seconds)
        proxy.heal()

    async def _change_configuration(self, planned: PlannedFault) -> None:
        await self._site.change_configuration()
