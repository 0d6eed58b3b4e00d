"""Attempts at silent targets, through a real entry VM and sockets."""

import asyncio

import msgspec
import pytest
from running_entry import chat, expected_text, gateway, serving_in, streamed_text

from pimentospool.faults import Direction, LinkState
from pimentospool.policy import _retries

TOKENS = 40
CHAT = "/v1/chat/completions"


@pytest.fixture
def without_retry_budget(monkeypatch):
    monkeypatch.setattr(_retries, "INITIAL_RETRIES", 0.0)


def use_short_timeouts(cfg):
    cfg.targets.answer_timeout_seconds = 0.3
    cfg.targets.progress_timeout_seconds = 0.3


def with_one_engine(manifest):
    """Return `manifest` with only the first engine of each region."""
    targets = [
        target
        for target in manifest.targets
        if "engine" not in target.id or target.id.endswith("engine-1")
    ]
    return msgspec.structs.replace(manifest, targets=targets)


def busy_engines(running):
    engines = running.deployment.engines
    return [name for name, engine in engines.items() if engine._slots.running]


def requests_in_flight(running):
    states = running.entries[0].router._state.targets.values()
    return sum(state.work.local_in_flight for state in states)


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def read_until_event(resp):
    """Return the first events of a stream."""
    data = b""
    while b"id: " not in data:
        chunk = await resp.content.readany()
        assert chunk, data
        data += chunk
    return data


@pytest.mark.parametrize("zones", [1, 2])
def test_silent_target_answers_where_the_budget_allows_no_second_attempt(
    runner, without_retry_budget, zones
):
    def serve_elsewhere(manifest):
        return manifest if zones == 1 else serving_in(manifest, "piedmont")

    async def check():
        async with (
            gateway(
                zones=zones, change=serve_elsewhere, settings=use_short_timeouts
            ) as running,
            running.session() as session,
        ):
            for proxy in running.engine_proxies():
                proxy.state = LinkState(delay_seconds=0.4)
            body = chat(stream=False, max_tokens=3)
            async with session.post(CHAT, json=body) as resp:
                answer = await resp.json()
            return answer["choices"][0]["message"]["content"], running.outcomes

    text, outcomes = runner.run(check())
    assert text == expected_text(3)
    assert [outcome.attempts for outcome in outcomes] == [1] * zones


@pytest.mark.parametrize("budget", [0.0, 10.0])
def test_stream_whose_targets_are_all_silent_for_a_while_is_complete(
    runner, monkeypatch, budget
):
    async def check():
        async with (
            gateway(settings=use_short_timeouts) as running,
            running.session() as session,
            session.post(CHAT, json=chat(max_tokens=TOKENS)) as resp,
        ):
            data = await read_until_event(resp)
            for proxy in running.engine_proxies():
                proxy.state = LinkState(delay_seconds=0.8)
            data += await resp.read()
            await wait_until(lambda: running.outcomes)
            return data, max(outcome.attempts for outcome in running.outcomes)

    monkeypatch.setattr(_retries, "INITIAL_RETRIES", budget)
    data, attempts = runner.run(check())
    text, ids, done = streamed_text(data)
    assert done
    assert text == expected_text(TOKENS)
    assert ids == list(range(TOKENS + 1))
    assert (attempts > 1) == (budget > 0)


def test_run_at_the_target_that_was_silent_ends_when_another_one_answers(runner):
    async def check():
        async with gateway(speed=1.0, settings=use_short_timeouts) as running:
            for proxy in running.engine_proxies():
                proxy.state = LinkState(delay_seconds=0.2)
            async with running.session() as session:
                request = asyncio.create_task(
                    session.post(CHAT, json=chat(max_tokens=2000))
                )
                await wait_until(lambda: busy_engines(running))
                (silent,) = busy_engines(running)
                running.proxies[silent].blackhole(Direction.TO_CLIENT)
                async with await request as resp:
                    await read_until_event(resp)
                    await wait_until(lambda: silent not in busy_engines(running))
                    in_flight = requests_in_flight(running)
                    return silent, busy_engines(running), in_flight

    silent, busy, in_flight = runner.run(check())
    assert len(busy) == 1
    assert busy != [silent]
    assert in_flight == 1


def test_caller_that_leaves_ends_both_attempts(runner):
    async def check():
        async with gateway(speed=1.0, settings=use_short_timeouts) as running:
            for proxy in running.engine_proxies():
                proxy.blackhole(Direction.TO_CLIENT)
            async with running.session() as session:
                request = asyncio.create_task(
                    session.post(CHAT, json=chat(max_tokens=2000))
                )
                await wait_until(lambda: len(busy_engines(running)) > 1)
                await asyncio.sleep(1.0)
                counts = len(busy_engines(running)), requests_in_flight(running)
                request.cancel()
                await wait_until(lambda: not busy_engines(running))
                await wait_until(lambda: running.outcomes)
            (outcome,) = running.outcomes
            return counts, outcome, requests_in_flight(running)

    counts, outcome, in_flight = runner.run(check())
    assert counts == (2, 2)
    assert (outcome.reason.slug, outcome.attempts) == ("caller-gone", 2)
    assert in_flight == 0


def test_request_that_may_run_once_has_one_attempt_at_a_silent_target(runner):
    async def check():
        async with (
            gateway(settings=use_short_timeouts) as running,
            running.session() as session,
        ):
            services = running.deployment.services
            for name in services:
                running.proxies[name].state = LinkState(delay_seconds=0.4)
            call = {"service": "payment", "path": "cards/charge", "method": "POST"}
            async with session.post("/v1/operations", json=call) as resp:
                ticket = (await resp.json())["operation_id"]
            async with session.post(
                "/v1/services/payment/cards/charge",
                json={},
                headers={"Operation-Id": ticket},
            ) as resp:
                status = resp.status
            ran = sum(len(service.executions) for service in services.values())
            return status, ran, max(item.attempts for item in running.outcomes)

    assert runner.run(check()) == (200, 1, 1)


@pytest.mark.parametrize("wait_seconds", [0.0, 1.0])
def test_request_over_a_lost_connection_is_sent_again_to_the_only_target(
    runner, wait_seconds
):
    """The retry budget is empty for the first `wait_seconds`."""

    def set_budgets(running, retries):
        policy = running.entries[0].dispatcher._retries
        for budget in [*policy._customers.values(), *policy._destinations.values()]:
            budget._available = retries

    async def check():
        async with (
            gateway(change=with_one_engine, settings=use_short_timeouts) as running,
            running.session() as session,
        ):
            texts = []
            for _ in range(2):
                if texts and wait_seconds:
                    set_budgets(running, 0.0)
                    asyncio.get_running_loop().call_later(
                        wait_seconds, set_budgets, running, 1.0
                    )
                body = chat(max_tokens=3)
                async with session.post(CHAT, json=body) as resp:
                    texts.append(streamed_text(await resp.read())[0])
                for proxy in running.engine_proxies():
                    proxy.lose_connections()
            await wait_until(lambda: len(running.outcomes) == 2)
            return texts, [outcome.attempts for outcome in running.outcomes]

    texts, attempts = runner.run(check())
    assert texts == [expected_text(3)] * 2
    assert attempts == [1, 2]
