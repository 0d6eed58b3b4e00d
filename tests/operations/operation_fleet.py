"""Real entry processes with proxies in front of them and of the service targets."""

import asyncio
from pathlib import Path

import aiohttp
import msgspec

from pimentospool._generated.callers import OperationTicket
from pimentospool.bench._fleet import ServiceFleet
from pimentospool.demo import demo_key
from pimentospool.errors import Problem
from pimentospool.manifest import read_manifest
from pimentospool.verdicts import Verdict

MANIFEST = Path(__file__).resolve().parents[2] / "examples/magnolia/manifest.toml"
CHARGE = "/v1/services/payment/cards/charge"
TICKET = {"service": "payment", "path": "cards/charge"}
JOIN_TIMEOUT_SECONDS = 30.0


class Outcome(msgspec.Struct, kw_only=True):
    """Result of one request; the status is 0 if there was no response."""

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


class OperationFleet(ServiceFleet):
    """Two entry VMs in gulf and one in piedmont."""

    def __init__(self, *, folder, charge_is_idempotent=False):
        manifest = read_manifest(MANIFEST)
        if charge_is_idempotent:
            manifest = declare_idempotent(manifest)
        super().__init__(manifest=manifest, folder=folder, entries_per_zone=[2, 1])

    async def __aenter__(self):
        await super().__aenter__()
        key = demo_key(self.deployment.manifest.customers[0])
        headers = {"Authorization": f"Bearer {key}"}
        self.session = aiohttp.ClientSession(headers=headers)
        try:
            await self.wait_joined()
        except BaseException:
            await self.close()
            raise
        return self

    async def close(self):
        if hasattr(self, "session"):
            await self.session.close()
        await super().close()

    async def publish(self, manifest, *, revision):
        await self.deployment.configuration.publish_manifest(
            manifest, revision=revision
        )

    async def wait_joined(self):
        """Wait until each entry VM can forward operations to each owner."""
        count = len(self.processes)
        async with asyncio.timeout(JOIN_TIMEOUT_SECONDS):
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
        """Return how often the stand-in services executed the operation."""
        return sum(
            execution.operation_id == ticket
            for service in self.deployment.services.values()
            for execution in service.executions
        )

    def broken_promises(self, ticket, outcomes):
        """Return the promises that are broken by the outcomes of one ticket."""
        ran = self.executions(ticket)
        broken = []
        if ran > 1:
            broken.append(f"ran {ran} times")
        if ran and any(item.verdict is Verdict.NOT_RUN for item in outcomes):
            broken.append("ran although a response said that it did not run")
        if len({item.body for item in outcomes if item.ran}) > 1:
            broken.append("different responses")
        if not ran and any(item.ran for item in outcomes):
            broken.append("a response without an execution")
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
