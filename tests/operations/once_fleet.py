"""Real entry processes, with a proxy before each of them and each plain service."""

import asyncio
from pathlib import Path

import aiohttp
import msgspec

from pimentospool._generated.callers import OperationTicket
from pimentospool._generated.platform import VmKind, VmRecord, VmState
from pimentospool.demo import demo_key
from pimentospool.drill import EntryProcess
from pimentospool.errors import Problem
from pimentospool.faults import FaultProxy
from pimentospool.manifest import TargetKind, read_manifest
from pimentospool.standins import StandinDeployment
from pimentospool.verdicts import Verdict

MANIFEST = Path(__file__).resolve().parents[2] / "examples/magnolia/manifest.toml"
CHARGE = "/v1/services/payment/cards/charge"
TICKET = {"service": "payment", "path": "cards/charge"}
READY_SECONDS = 30.0


class Outcome(msgspec.Struct, kw_only=True):
    """What one request brought; a request without an answer has no status."""

    status: int = 0
    body: bytes = b""
    problem: Problem | None = None

    @property
    def ran(self):
        return self.status == 200

    @property
    def verdict(self):
        return self.problem.verdict if self.problem else None

    @property
    def attempt(self):
        return self.problem.attempt_verdict if self.problem else None


class OnceFleet:
    """Two entry VMs in gulf and one in piedmont."""

    def __init__(self, *, folder, charge_is_idempotent=False):
        self.folder = folder
        manifest = read_manifest(MANIFEST)
        if charge_is_idempotent:
            manifest = declare_idempotent(manifest)
        self.deployment = StandinDeployment(manifest=manifest)
        self.processes = []
        self.entry_proxies = []
        self.target_proxies = []

    async def __aenter__(self):
        await self.deployment.start()
        await self._place_target_proxies()
        zones = [zone.id for zone in self.deployment.manifest.zones]
        settings = self.deployment.entry_settings({zones[0]: 2, zones[1]: 1})
        for cfg in settings:
            proxy = FaultProxy(upstream=cfg.entry.caller_address)
            await proxy.start()
            self.entry_proxies.append(proxy)
            entry = msgspec.structs.replace(
                cfg.entry, advertised_caller_address=proxy.address
            )
            placed = msgspec.structs.replace(cfg, entry=entry)
            self.processes.append(EntryProcess(cfg=placed, folder=self.folder))
        self.deployment.vm_list.seed([self._record(item) for item in self.processes])
        headers = {
            "Authorization": f"Bearer {demo_key(self.deployment.manifest.customers[0])}"
        }
        self.session = aiohttp.ClientSession(headers=headers)
        await asyncio.gather(*(item.start() for item in self.processes))
        try:
            await asyncio.gather(*(item.wait_ready() for item in self.processes))
            await self.wait_joined()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc):
        await self.session.close()
        await asyncio.gather(*(item.close() for item in self.processes))
        for proxy in self.entry_proxies + self.target_proxies:
            await proxy.close()
        await self.deployment.close()

    async def _place_target_proxies(self):
        targets = []
        for target in self.deployment.manifest.targets:
            address = target.address
            if target.kind is TargetKind.SERVICE:
                proxy = FaultProxy(upstream=address)
                await proxy.start()
                self.target_proxies.append(proxy)
                address = proxy.address
            targets.append(msgspec.structs.replace(target, address=address))
        self.deployment.manifest = msgspec.structs.replace(
            self.deployment.manifest, targets=targets
        )
        await self.publish(self.deployment.manifest, revision=2)

    async def publish(self, manifest, *, revision):
        await self.deployment.configuration.publish_manifest(
            manifest, revision=revision
        )

    def _record(self, process):
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

    async def wait_joined(self):
        """Wait until every entry VM reaches every owner."""
        count = len(self.processes)
        async with asyncio.timeout(READY_SECONDS):
            for owner in range(count):
                for entry in range(count):
                    while True:
                        ticket = await self.ticket(owner)
                        if ticket and (await self.charge(entry, ticket)).ran:
                            break
                        await asyncio.sleep(0.1)

    def address(self, entry):
        return f"http://{self.processes[entry].cfg.entry.caller_address}"

    async def ticket(self, entry):
        url = f"{self.address(entry)}/v1/operations"
        async with self.session.post(url, json=TICKET) as resp:
            if not resp.ok:
                return None
            data = await resp.read()
        return msgspec.json.decode(data, type=OperationTicket).operation_id

    async def charge(self, entry, ticket, *, body=b"{}", seconds=5.0):
        headers = {"X-Deadline-Seconds": str(seconds)}
        if ticket:
            headers["Operation-Id"] = ticket
        url = self.address(entry) + CHARGE
        timeout = aiohttp.ClientTimeout(total=seconds + 1.0)
        try:
            async with self.session.post(
                url, data=body, headers=headers, timeout=timeout
            ) as resp:
                data = await resp.read()
        except (aiohttp.ClientError, TimeoutError):
            return Outcome()
        problem = None
        if "X-Verdict" in resp.headers:
            problem = msgspec.json.decode(data, type=Problem)
        return Outcome(status=resp.status, body=data, problem=problem)

    def executions(self, ticket):
        """Return how often the stand-in services ran the operation."""
        return sum(
            execution.operation_id == ticket
            for service in self.deployment.services.values()
            for execution in service.executions
        )

    def judge(self, ticket, outcomes):
        """Return the promises that the outcomes of one ticket break."""
        ran = self.executions(ticket)
        broken = []
        if ran > 1:
            broken.append(f"ran {ran} times")
        if ran and any(item.verdict is Verdict.NOT_RUN for item in outcomes):
            broken.append("ran after it was told not run")
        if len({item.body for item in outcomes if item.ran}) > 1:
            broken.append("different answers")
        if not ran and any(item.ran for item in outcomes):
            broken.append("an answer without an execution")
        return broken


def declare_idempotent(manifest):
    """Return the manifest with every call declared idempotent."""
    services = [
        msgspec.structs.replace(
            service,
            calls=[
                msgspec.structs.replace(call, idempotent=True) for call in service.calls
            ],
        )
        for service in manifest.services
    ]
    return msgspec.structs.replace(manifest, services=services)
