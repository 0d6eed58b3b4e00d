"""The client library, against scripted and real entry VMs."""

import asyncio
import random
from contextlib import suppress
from pathlib import Path

import msgspec
import pytest
from aiohttp import web

from pimentospool import sending
from pimentospool._generated.callers import EntryChoice, EntryList
from pimentospool.client import (
    BrokenStreamError,
    ClientError,
    ClientSettings,
    GatewayClient,
    NoEntryError,
    RefusedError,
    UnansweredError,
)
from pimentospool.client._budget import RetryBudget
from pimentospool.demo import demo_key, wait_ready
from pimentospool.entry import Entry
from pimentospool.errors import Reason, RequestFailure
from pimentospool.ids import EntryId, RegionId, ServiceId, ZoneId
from pimentospool.manifest import read_manifest
from pimentospool.standins import StandinDeployment, serve_standin
from pimentospool.verdicts import Verdict

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
PAYMENT = ServiceId("payment")
NOT, MAY, RAN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN


class AbortConnection:
    """Step of a script: the connection is aborted without a response."""


def refusal(reason, verdict, attempt=None, retry=0.0):
    return RequestFailure(
        reason=reason,
        detail="scripted",
        verdict=verdict,
        attempt_verdict=attempt,
        retry_after_seconds=retry,
    )


class ScriptedGateway:
    """Directory and entry VM that responds to calls according to a script."""

    def __init__(self, script, events=b""):
        self.script = list(script)
        self.events = events
        self.tickets = 0
        self.operation_ids = []
        self.addresses = []

    def routes(self):
        return [
            web.get("/v1/directory", self.directory),
            web.get("/v1/entries", self.entries),
            web.post("/v1/operations", self.ticket),
            web.post("/v1/chat/completions", self.chat),
            web.route("*", "/v1/services/{path:.+}", self.call),
        ]

    async def directory(self, req):
        return web.json_response({"addresses": self.addresses})

    async def entries(self, req):
        choices = [
            EntryChoice(
                id=EntryId(str(number)),
                address=address,
                region=RegionId("gulf"),
                zone=ZoneId("gulf-a"),
                weight=1.0,
            )
            for number, address in enumerate(self.addresses)
        ]
        listed = EntryList(revision=1, lifetime_seconds=60.0, entries=choices)
        return web.Response(body=msgspec.json.encode(listed))

    async def ticket(self, req):
        self.tickets += 1
        return web.json_response({"operation_id": f"ticket-{self.tickets}"})

    async def call(self, req):
        self.operation_ids.append(req.headers.get("Operation-Id"))
        step = self.script.pop(0) if self.script else "done"
        if isinstance(step, AbortConnection):
            req.transport.abort()
        if isinstance(step, RequestFailure):
            problem = step.problem(request_id="r")
            return web.Response(
                body=msgspec.json.encode(problem),
                status=step.reason.status,
                headers={"X-Verdict": step.verdict.value},
            )
        return web.Response(text=str(step))

    async def chat(self, req):
        return web.Response(body=self.events)


async def run_with_gateway(gateway, check, **fields):
    server = await serve_standin(gateway, "127.0.0.1:0")
    gateway.addresses = [server.address]
    cfg = ClientSettings(directory=server.address, key="k", **fields)
    try:
        async with GatewayClient(cfg=cfg, rng=random.Random(1)) as client:
            return await check(client)
    finally:
        await server.close()


def run_call(runner, script, *, idempotent=False, **fields):
    """Return the answer or the error of a call, and the gateway that it was sent to."""
    gateway = ScriptedGateway(script)

    async def check(client):
        try:
            return await client.call(PAYMENT, "cards/charge", idempotent=idempotent)
        except ClientError as exc:
            return exc

    return runner.run(run_with_gateway(gateway, check, **fields)), gateway


@pytest.mark.parametrize(
    ("script", "tickets"),
    [
        ([], ["ticket-1"]),
        ([AbortConnection()], ["ticket-1", "ticket-1"]),
        ([refusal(Reason.NO_TARGET, NOT, NOT)], ["ticket-1", "ticket-2"]),
        ([refusal(Reason.OWNER_GONE, MAY, NOT, None)], ["ticket-1", "ticket-2"]),
        ([refusal(Reason.LEAVING, MAY, NOT)], ["ticket-1", "ticket-1"]),
        (
            [AbortConnection(), refusal(Reason.OWNER_GONE, MAY, NOT)],
            ["ticket-1", "ticket-1", "ticket-1"],
        ),
        (
            [AbortConnection(), refusal(Reason.NO_TARGET, NOT, NOT)],
            ["ticket-1", "ticket-1", "ticket-2"],
        ),
    ],
)
def test_ticket_used_by_each_attempt(runner, script, tickets):
    answer, gateway = run_call(runner, script)
    assert answer.body == b"done"
    assert gateway.operation_ids == tickets


@pytest.mark.parametrize(
    ("script", "verdict", "sent"),
    [
        ([refusal(Reason.OUTCOME_UNKNOWN, MAY, MAY, None)], MAY, 1),
        ([AbortConnection(), refusal(Reason.OWNER_GONE, MAY, NOT, None)], MAY, 2),
        ([refusal(Reason.OPERATION_CONFLICT, RAN, NOT, None)], RAN, 1),
        ([refusal(Reason.UNKNOWN_SERVICE, MAY, NOT, None)], NOT, 1),
        ([refusal(Reason.FORBIDDEN, NOT, NOT, None)], NOT, 1),
    ],
)
def test_final_refusal_ends_an_operation_with_its_verdict(
    runner, script, verdict, sent
):
    exc, gateway = run_call(runner, script)
    assert isinstance(exc, RefusedError)
    assert exc.verdict is verdict
    assert len(gateway.operation_ids) == sent


def test_idempotent_call_is_retried_without_a_ticket(runner):
    script = [
        AbortConnection(),
        refusal(Reason.TARGET_FAILED, MAY),
        refusal(Reason.NO_TARGET, NOT),
    ]
    answer, gateway = run_call(runner, script, idempotent=True)
    assert answer.body == b"done"
    assert gateway.operation_ids == [None] * 4
    assert gateway.tickets == 0


def test_retries_are_limited_by_the_budget(runner):
    script = [refusal(Reason.OVERLOADED, NOT)] * 100
    exc, gateway = run_call(runner, script, idempotent=True, retry_ratio=0.1)
    assert exc.verdict is NOT
    assert len(gateway.operation_ids) == 11


def test_retry_after_beyond_the_deadline_ends_the_call(runner):
    script = [refusal(Reason.OVERLOADED, NOT, retry=60.0)]
    exc, gateway = run_call(runner, script, idempotent=True, deadline_seconds=5.0)
    assert exc.problem.retry_after_seconds == 60.0
    assert len(gateway.operation_ids) == 1


def test_unanswered_operation_may_have_run(runner):
    exc, _ = run_call(runner, [AbortConnection()] * 100, deadline_seconds=1.0)
    assert isinstance(exc, UnansweredError)
    assert exc.verdict is MAY


def test_call_fails_if_no_entry_vm_is_known(runner):
    async def check():
        cfg = ClientSettings(directory="127.0.0.1:9", key="k", deadline_seconds=0.2)
        async with GatewayClient(cfg=cfg) as client:
            with pytest.raises(NoEntryError) as caught:
                await client.call(PAYMENT, "cards/charge", idempotent=False)
            assert caught.value.verdict is NOT

    runner.run(check())


PROBLEM = msgspec.json.encode(refusal(Reason.TARGET_FAILED, RAN).problem(request_id=""))


@pytest.mark.parametrize(
    ("events", "error"),
    [
        (b"data: a\n\ndata: b\n\ndata: [DONE]\n\n", None),
        (b"data: a\n\ndata: b\n\n", BrokenStreamError),
        (b"data: a\n\ndata: b\n\nevent: error\ndata: x\n\n", BrokenStreamError),
        (
            b"data: a\n\ndata: b\n\nevent: error\ndata: " + PROBLEM + b"\n\n",
            RefusedError,
        ),
    ],
)
def test_incomplete_stream_raises_an_error(runner, events, error):
    async def check(client):
        received = []
        try:
            async for data in client.stream({"model": "m", "messages": []}):
                received.append(data)
        except ClientError as exc:
            return received, type(exc)
        return received, None

    result = runner.run(run_with_gateway(ScriptedGateway([], events), check))
    assert result == ([b"a", b"b"], error)


def test_fails_over_between_real_entry_vms(runner):
    async def check():
        manifest = read_manifest(EXAMPLES / "magnolia" / "manifest.toml")
        deployment = StandinDeployment(manifest=manifest, speed=100.0)
        await deployment.start()
        settings = deployment.entry_settings({manifest.zones[0].id: 2})
        entries = [Entry(cfg=cfg) for cfg in settings]
        for entry in entries:
            await entry.start()
        cfg = ClientSettings(
            directory=deployment.servers["directory"].address,
            key=demo_key(manifest.customers[0]),
        )
        try:
            await wait_ready(entries)
            async with GatewayClient(cfg=cfg, rng=random.Random(2)) as client:
                used_entries = set()
                for _ in range(10):
                    charge = await client.call(
                        PAYMENT, "cards/charge", idempotent=False, body=b"{}"
                    )
                    assert charge.status == 200
                    used_entries.add(charge.entry)
                assert len(used_entries) == 2
                await entries[0].stop()
                for _ in range(5):
                    await client.call(
                        PAYMENT, "cards/charge", idempotent=False, body=b"{}"
                    )
                body = {
                    "model": manifest.customers[0].models[0],
                    "messages": [{"role": "user", "content": "hello"}],
                    "max_tokens": 4,
                }
                events = [event async for event in client.stream(body)]
                assert len(events) >= 4
                assert (await client.complete(body)).status == 200
            ran = [len(item.executions) for item in deployment.services.values()]
            assert sum(ran) == 15
        finally:
            await entries[1].stop()
            await deployment.close()

    runner.run(asyncio.wait_for(check(), 60.0))


def test_customer_of_one_region_finds_its_entry_vm(runner):
    async def check():
        manifest = read_manifest(EXAMPLES / "magnolia" / "manifest.toml")
        deployment = StandinDeployment(manifest=manifest, speed=100.0)
        await deployment.start()
        zones = [zone.id for zone in manifest.zones]
        settings = deployment.entry_settings(dict.fromkeys(zones, 1))
        entries = [Entry(cfg=cfg) for cfg in settings]
        for entry in entries:
            await entry.start()
        cfg = ClientSettings(
            directory=deployment.servers["directory"].address, key="home-bound-key"
        )
        try:
            await wait_ready(entries)
            for seed in range(4):
                async with GatewayClient(cfg=cfg, rng=random.Random(seed)) as client:
                    charge = await client.call(
                        PAYMENT, "cards/charge", idempotent=False, body=b"{}"
                    )
                    assert charge.entry == settings[0].entry.caller_address
        finally:
            await asyncio.gather(*(entry.stop() for entry in entries))
            await deployment.close()

    runner.run(asyncio.wait_for(check(), 60.0))


@pytest.mark.parametrize(("aiohttp_retries", "sent"), [(False, 1), (True, 2)])
def test_aiohttp_does_not_retry_by_itself(runner, monkeypatch, aiohttp_retries, sent):
    """A retry that the library does not know of would make a verdict wrong."""
    gateway = ScriptedGateway([AbortConnection()])

    async def check(client):
        with suppress(ClientError):
            await client.call(PAYMENT, "look", idempotent=True, method="GET")

    async def send_twice(req, handler):
        return await handler(req)

    if aiohttp_retries:
        monkeypatch.setattr(sending, "send_once", send_twice)
    monkeypatch.setattr(RetryBudget, "take_retry", lambda self: False)
    runner.run(run_with_gateway(gateway, check))
    assert len(gateway.operation_ids) == sent
