"""A deployment on loopback with its stand-ins, and traffic through it."""

import asyncio
import hashlib
import random
import time
from enum import Enum

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from pimentospool._generated.settings import Settings
from pimentospool.entry import Entry
from pimentospool.errors import Problem
from pimentospool.ids import RegionId
from pimentospool.manifest import Customer, Manifest, ServiceCall
from pimentospool.standins import StandinDeployment

_SPEED = 4.0
_READY_SECONDS = 10.0
_MAX_MICROSECONDS = 120_000_000
_PROBLEM = "application/problem+json"


class DemoKind(Enum):
    """Kinds of requests that the demo sends."""

    SHORT = "short"
    LONG = "long"
    IDEMPOTENT = "idempotent call"


class Tally:
    """Outcomes of one region and kind."""

    def __init__(self) -> None:
        self.sent = 0
        self.whole = 0
        self.away = 0
        self.refused: dict[str, int] = {}
        self.first = HdrHistogram(1, _MAX_MICROSECONDS, 2)
        self.total = HdrHistogram(1, _MAX_MICROSECONDS, 2)


class DemoRow(msgspec.Struct, kw_only=True):
    """One line of the demo's table; times in milliseconds."""

    region: RegionId
    kind: DemoKind
    tally: Tally


def demo_key(customer: Customer) -> str:
    """Return the bearer key of a customer of the example manifests."""
    return f"{customer.id}-key"


class Demo:
    """Runs entry VMs and stand-ins in this process and sends them traffic.

    Parameters
    ----------
    manifest : Manifest
        One of the example manifests.
    requests : int
        Requests to send in all.
    seed : int
        Seed of the traffic.
    """

    def __init__(self, *, manifest: Manifest, requests: int, seed: int) -> None:
        self._deployment = StandinDeployment(manifest=manifest, speed=_SPEED)
        self._requests = requests
        self._rng = random.Random(seed)
        self._rows: dict[tuple[RegionId, DemoKind], Tally] = {}

    async def run(self) -> list[DemoRow]:
        """Bring everything up, send the traffic and return the outcomes."""
        await self._deployment.start()
        counts = {zone.id: 3 for zone in self._deployment.manifest.zones}
        counts[self._deployment.manifest.zones[-1].id] = 2
        settings = self._deployment.entry_settings(counts)  # type: ignore[arg-type]
        entries = [Entry(cfg=cfg) for cfg in settings]
        for entry in entries:
            await entry.start()
        try:
            await wait_ready(entries)
            async with aiohttp.ClientSession() as session:
                await self._send_all(session, settings)
        finally:
            await asyncio.gather(*(entry.stop() for entry in entries))
            await self._deployment.close()
        return [
            DemoRow(region=region, kind=kind, tally=tally)
            for (region, kind), tally in sorted(
                self._rows.items(), key=lambda item: (item[0][0], item[0][1].value)
            )
        ]

    async def _send_all(
        self, session: aiohttp.ClientSession, settings: list[Settings]
    ) -> None:
        sending = []
        for _ in range(self._requests):
            cfg = self._rng.choice(settings)
            kind = self._rng.choices(list(DemoKind), weights=[5, 1, 3])[0]
            sending.append(asyncio.create_task(self._send(session, cfg, kind)))
            await asyncio.sleep(self._rng.expovariate(1 / 0.02))
        await asyncio.gather(*sending)

    async def _send(
        self, session: aiohttp.ClientSession, cfg: Settings, kind: DemoKind
    ) -> None:
        tally = self._rows.setdefault((cfg.entry.region, kind), Tally())
        tally.sent += 1
        customer = self._customer(cfg.entry.region)
        headers = {"Authorization": f"Bearer {demo_key(customer)}"}
        started = time.perf_counter()
        first = None
        method, path, body = self._request(customer, kind)
        url = f"http://{cfg.entry.caller_address}{path}"
        async with session.request(method, url, data=body, headers=headers) as resp:
            data = b""
            async for piece in resp.content.iter_any():
                first = first or time.perf_counter()
                data += piece
            if resp.content_type == _PROBLEM:
                problem = msgspec.json.decode(data, type=Problem)
                refusals = tally.refused
                verdict = problem.verdict.value
                refusals[verdict] = refusals.get(verdict, 0) + 1
                return
        tally.whole += 1
        ended = time.perf_counter()
        tally.first.record_value(int(((first or ended) - started) * 1e6))
        tally.total.record_value(int((ended - started) * 1e6))

    def _customer(self, region: RegionId) -> Customer:
        customers = self._deployment.manifest.customers
        local = [item for item in customers if item.allowed_regions[0] == region]
        return self._rng.choice(local or customers)

    def _request(self, customer: Customer, kind: DemoKind) -> tuple[str, str, bytes]:
        if kind is DemoKind.IDEMPOTENT:
            service, call = self._idempotent_call(customer)
            return call.method.value, f"/v1/services/{service}/{call.path}", b""
        words = 40 if kind is DemoKind.SHORT else 1500
        store = self._rng.randrange(8)
        text = hashlib.sha256(f"{customer.id}/{store}".encode()).hexdigest() * words
        body = {
            "model": customer.models[0],
            "messages": [{"role": "user", "content": text[: words * 6]}],
            "stream": True,
            "max_tokens": 8 if kind is DemoKind.SHORT else 48,
        }
        return "POST", "/v1/chat/completions", msgspec.json.encode(body)

    def _idempotent_call(self, customer: Customer) -> tuple[str, ServiceCall]:
        calls = [
            (service.id, call)
            for service in self._deployment.manifest.services
            for call in service.calls
            if call.idempotent and service.id in customer.services
        ]
        return self._rng.choice(calls)


async def wait_ready(entries: list[Entry]) -> None:
    """Wait until every entry VM has a configuration in force."""
    async with asyncio.timeout(_READY_SECONDS):
        while not all(entry.view.number and entry.fleet.regions() for entry in entries):
            await asyncio.sleep(0.02)
