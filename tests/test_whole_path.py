"""End-to-end requests through real entry VMs to stand-in targets."""

import asyncio
from pathlib import Path

import aiohttp
import msgspec
import pytest

from pimentospool.demo import demo_key, wait_ready
from pimentospool.entry import Entry
from pimentospool.errors import Problem, Reason
from pimentospool.manifest import read_manifest
from pimentospool.standins import StandinDeployment
from pimentospool.standins._engine import token_text
from pimentospool.verdicts import Verdict

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
MESSAGES = [{"role": "user", "content": "Which stain is this?"}]


async def run_with_deployment(name, check, on_outcome=None):
    manifest = read_manifest(EXAMPLES / name / "manifest.toml")
    deployment = StandinDeployment(manifest=manifest, speed=100.0)
    await deployment.start()
    settings = deployment.entry_settings({manifest.zones[0].id: 1})
    for cfg in settings:
        cfg.peers.leave_seconds = 0.05
    entries = [Entry(cfg=cfg) for cfg in settings]
    for entry in entries:
        await entry.start()
        if on_outcome is not None:
            entry.dispatcher.request_ended.connect(on_outcome)
    try:
        await wait_ready(entries)
        customer = manifest.customers[0]
        headers = {"Authorization": f"Bearer {demo_key(customer)}"}
        base = f"http://{settings[0].entry.caller_address}"
        async with aiohttp.ClientSession(base, headers=headers) as session:
            await check(deployment, session, customer)
    finally:
        await asyncio.gather(*(entry.stop() for entry in entries))
        await deployment.close()


@pytest.mark.parametrize("name", ["magnolia", "tsuzumi"])
def test_streamed_response_is_complete(runner, name):
    async def check(deployment, session, customer):
        body = {
            "model": customer.models[0],
            "messages": MESSAGES,
            "stream": True,
            "max_tokens": 5,
        }
        async with session.post("/v1/chat/completions", json=body) as resp:
            assert resp.status == 200
            events = (await resp.read()).split(b"\n\n")
        prompt = "user\nWhich stain is this?\n"
        for number in range(5):
            assert token_text(prompt, number).encode() in events[number]
        assert events[6] == b"data: [DONE]"

    runner.run(run_with_deployment(name, check))


def test_unstreamed_response_is_complete(runner):
    async def check(deployment, session, customer):
        body = {"model": customer.models[0], "messages": MESSAGES, "max_tokens": 3}
        async with session.post("/v1/chat/completions", json=body) as resp:
            answer = await resp.json()
        prompt = "user\nWhich stain is this?\n"
        expected = "".join(token_text(prompt, number) for number in range(3))
        assert answer["choices"][0]["message"]["content"] == expected

    runner.run(run_with_deployment("magnolia", check))


def test_service_call_runs_once(runner):
    async def check(deployment, session, customer):
        async with session.get("/v1/services/ticketing/tickets/lookup") as resp:
            assert resp.status == 200
            assert (await resp.json())["path"] == "tickets/lookup"
        ran = [len(service.executions) for service in deployment.services.values()]
        assert sum(ran) == 1

    runner.run(run_with_deployment("magnolia", check))


def test_unknown_key_is_refused_as_not_run(runner):
    async def check(deployment, session, customer):
        headers = {"Authorization": "Bearer wrong"}
        async with session.get(
            "/v1/services/ticketing/tickets/lookup", headers=headers
        ) as resp:
            assert resp.status == 401
            problem = msgspec.json.decode(await resp.read(), type=Problem)
        assert problem.verdict is Verdict.NOT_RUN

    runner.run(run_with_deployment("magnolia", check))


def test_every_request_sends_one_outcome(runner):
    async def check(deployment, session, customer):
        async with session.get("/v1/services/ticketing/tickets/lookup") as resp:
            body = await resp.read()
        for service in deployment.services.values():
            service.refusing = True
        async with session.get("/v1/services/ticketing/tickets/lookup") as resp:
            assert resp.status == 503
        served, refused = outcomes
        assert served.verdict is Verdict.RAN
        assert served.reason is None
        assert served.served_by in deployment.services
        assert served.answer_bytes == len(body)
        assert served.first_byte_seconds <= served.total_seconds
        assert refused.verdict is Verdict.NOT_RUN
        assert refused.reason is Reason.NO_TARGET
        assert refused.attempts >= 1

    outcomes = []
    runner.run(run_with_deployment("magnolia", check, outcomes.append))
