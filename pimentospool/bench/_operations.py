"""Non-idempotent calls through real processes while faults are injected."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import msgspec

from pimentospool.bench._fleet import ServiceFleet
from pimentospool.client import ClientError, ClientSettings, GatewayClient
from pimentospool.faults import Direction, FaultProxy, LinkState
from pimentospool.ids import CustomerId, ServiceId
from pimentospool.load import example_key
from pimentospool.manifest import Customer, Manifest, ServiceCall
from pimentospool.revisions import digest_of
from pimentospool.standins import ServiceAnswer
from pimentospool.verdicts import Verdict

_ENTRIES_PER_ZONE = [3, 3, 2]
_LOST_REPLY_STATE = LinkState(reset_after_bytes={Direction.TO_CLIENT: 20})
_MIN_FAULT_SECONDS = 0.3
_MAX_FAULT_SECONDS = 1.5
_DEADLINE_SECONDS = 8.0
_ATTEMPT_TIMEOUT_SECONDS = 2.0
_SETTLE_SECONDS = 2.0


class OperationFault(Enum):
    """A fault that is injected for a short time."""

    LOST_REPLIES = "replies of the services lost"
    TARGETS_CUT = "services cut off"
    ENTRY_CUT = "an entry VM cut off"
    ENTRY_SILENT = "an entry VM's link silent"
    ENTRY_KILLED = "an entry VM killed and replaced"
    ENTRY_PAUSED = "an entry VM paused"


class OperationsReport(msgspec.Struct, kw_only=True):
    """What the gateway reported to callers, compared with what the services ran.

    Each of these counts is a broken promise: `repeated` calls ran more than once;
    `denied` calls ran, but the caller got the verdict that they had not; `wrong`
    calls got the answer of another call; `unfounded` calls got an answer although
    no service ran them.
    """

    seed: int
    operations: int
    answered: int
    failed: dict[str, int]
    executions: int
    repeated: int
    denied: int
    wrong: int
    unfounded: int
    faults: dict[str, int]
    seconds: float

    @property
    def no_promise_broken(self) -> bool:
        """Whether no call broke a promise."""
        return not (self.repeated or self.denied or self.wrong or self.unfounded)


class _Call(msgspec.Struct, kw_only=True):
    """One non-idempotent call and what its caller got."""

    customer: CustomerId
    service: ServiceId
    service_call: ServiceCall
    body: bytes
    answered: bool = False
    wrong: bool = False
    verdict: Verdict = Verdict.RAN


class OperationsBench:
    """Sends operations through a fleet of real processes under temporary faults.

    Parameters
    ----------
    manifest : Manifest
        One of the example manifests.
    folder : Path
        Where settings and logs of the entry processes are written.
    operations : int
        Operations to send.
    concurrency : int
        Number of operations in progress at the same time.
    seed : int
        Seed of the traffic and the faults.
    """

    def __init__(
        self,
        *,
        manifest: Manifest,
        folder: Path,
        operations: int,
        concurrency: int,
        seed: int,
    ) -> None:
        self._manifest = manifest
        self._fleet = ServiceFleet(
            manifest=manifest, folder=folder, entries_per_zone=_ENTRIES_PER_ZONE
        )
        self._rng = random.Random(seed)
        self._seed = seed
        self._concurrency = concurrency
        self._calls = [self._make_call(number) for number in range(operations)]
        self._faults: Counter[OperationFault] = Counter()

    async def run(self) -> OperationsReport:
        """Start the fleet, send all calls and compare them with the executions."""
        async with self._fleet:
            started_at = time.monotonic()
            fault_task = asyncio.create_task(self._inject_faults())
            try:
                await self._send_all()
            finally:
                fault_task.cancel()
                await asyncio.gather(fault_task, return_exceptions=True)
            seconds = time.monotonic() - started_at
            await asyncio.sleep(_SETTLE_SECONDS)
            return self._make_report(seconds)

    def _make_call(self, number: int) -> _Call:
        manifest = self._manifest
        customer = self._rng.choice(manifest.customers)
        choices = [
            (service.id, call)
            for service in manifest.services
            for call in service.calls
            if not call.idempotent and service.id in customer.services
        ]
        service, call = self._rng.choice(choices)
        body = msgspec.json.encode({"seed": self._seed, "call": number})
        return _Call(
            customer=customer.id, service=service, service_call=call, body=body
        )

    async def _send_all(self) -> None:
        customers = {item.id: item for item in self._manifest.customers}
        remaining = list(reversed(self._calls))

        async def send_remaining(worker: int) -> None:
            while remaining:
                call = remaining.pop()
                await self._send(call, customers[call.customer], worker)

        senders = [send_remaining(worker) for worker in range(self._concurrency)]
        await asyncio.gather(*senders)

    async def _send(self, call: _Call, customer: Customer, worker: int) -> None:
        cfg = ClientSettings(
            directory=self._fleet.deployment.servers["directory"].address,
            key=example_key(customer),
            deadline_seconds=_DEADLINE_SECONDS,
            attempt_seconds=_ATTEMPT_TIMEOUT_SECONDS,
        )
        rng = random.Random(self._rng.random())
        async with GatewayClient(cfg=cfg, rng=rng) as client:
            try:
                answer = await client.call(
                    call.service,
                    call.service_call.path,
                    idempotent=False,
                    method=call.service_call.method.value,
                    body=call.body,
                )
            except ClientError as exc:
                call.verdict = exc.verdict
                return
        call.answered = True
        service_answer = msgspec.json.decode(answer.body, type=ServiceAnswer)
        call.wrong = service_answer.body_digest != digest_of(call.body)

    def _make_report(self, seconds: float) -> OperationsReport:
        executions_by_digest = Counter(
            execution.body_digest
            for service in self._fleet.deployment.services.values()
            for execution in service.executions
        )
        execution_counts = [
            (call, executions_by_digest[digest_of(call.body)]) for call in self._calls
        ]
        failed = Counter(
            call.verdict.value for call in self._calls if not call.answered
        )
        denied = [
            call
            for call, count in execution_counts
            if count and not call.answered and call.verdict is Verdict.NOT_RUN
        ]
        return OperationsReport(
            seed=self._seed,
            operations=len(self._calls),
            answered=sum(call.answered for call in self._calls),
            failed=dict(failed),
            executions=sum(count for _, count in execution_counts),
            repeated=sum(count > 1 for _, count in execution_counts),
            denied=len(denied),
            wrong=sum(call.wrong for call in self._calls),
            unfounded=sum(
                call.answered and not count for call, count in execution_counts
            ),
            faults={fault.value: count for fault, count in self._faults.items()},
            seconds=round(seconds, 3),
        )

    async def _inject_faults(self) -> None:
        kinds = list(OperationFault)
        while True:
            self._rng.shuffle(kinds)
            for kind in kinds:
                self._faults[kind] += 1
                seconds = self._rng.uniform(_MIN_FAULT_SECONDS, _MAX_FAULT_SECONDS)
                await self._inject_fault(kind, seconds)
                await asyncio.sleep(_MIN_FAULT_SECONDS)

    async def _inject_fault(self, kind: OperationFault, seconds: float) -> None:
        entry = self._rng.randrange(len(self._fleet.processes))
        services = self._fleet.target_proxies
        link = [self._fleet.entry_proxies[entry]]
        if kind is OperationFault.LOST_REPLIES:
            await _break_links(services, _lose_replies, seconds)
        elif kind is OperationFault.TARGETS_CUT:
            await _break_links(services, FaultProxy.cut, seconds)
        elif kind is OperationFault.ENTRY_CUT:
            await _break_links(link, FaultProxy.cut, seconds)
        elif kind is OperationFault.ENTRY_SILENT:
            await _break_links(link, FaultProxy.blackhole, seconds)
        elif kind is OperationFault.ENTRY_KILLED:
            await self._restart_entry(entry)
        else:
            await self._pause_entry(entry, seconds)

    async def _restart_entry(self, entry: int) -> None:
        process = self._fleet.processes[entry]
        process.kill()
        await process.wait()
        await process.start()

    async def _pause_entry(self, entry: int, seconds: float) -> None:
        process = self._fleet.processes[entry]
        process.pause()
        try:
            await asyncio.sleep(seconds * 2)
        finally:
            process.wake()


def _lose_replies(link: FaultProxy) -> None:
    link.state = _LOST_REPLY_STATE


async def _break_links(
    links: list[FaultProxy], break_link: Callable[[FaultProxy], None], seconds: float
) -> None:
    for link in links:
        break_link(link)
    try:
        await asyncio.sleep(seconds)
    finally:
        for link in links:
            link.heal()
            link.reset_connections()
