"""Responses interrupted by faults, through real entry VMs and sockets."""

import asyncio

import msgspec
import pytest
from running_entry import chat, expected_text, gateway, serving_in, streamed_text

from pimentospool import exchanges, relaying
from pimentospool.faults import Direction, LinkState
from pimentospool.verdicts import Verdict

TOKENS = 40


async def read_while(resp, inject_fault, after):
    """Read a stream to its end, calling `inject_fault` once after `after` bytes."""
    data = b""
    async for piece in resp.content.iter_any():
        data += piece
        if inject_fault is not None and len(data) >= after:
            inject_fault()
            inject_fault = None
    return data


def busy_proxies(running):
    return [
        running.proxies[name]
        for name, engine in running.deployment.engines.items()
        if engine._slots.running
    ]


def fault_injector(running, fault):
    def inject_fault():
        for proxy in busy_proxies(running):
            getattr(proxy, fault)()

    return inject_fault


async def stream_with_fault(running, fault, **chat_fields):
    async with (
        running.session() as session,
        session.post("/v1/chat/completions", json=chat(**chat_fields)) as resp,
    ):
        assert resp.status == 200
        return await read_while(resp, fault_injector(running, fault), 1000)


@pytest.mark.parametrize("fault", ["cut", "lose_connections", "reset_connections"])
@pytest.mark.parametrize("zones", [1, 2])
def test_broken_stream_is_resumed_byte_for_byte(runner, fault, zones):
    async def check():
        def serve_elsewhere(manifest):
            return manifest if zones == 1 else serving_in(manifest, "piedmont")

        async with gateway(zones=zones, change=serve_elsewhere) as running:
            data = await stream_with_fault(running, fault, max_tokens=TOKENS)
            attempts = [outcome.attempts for outcome in running.outcomes]
            are_hops = [outcome.is_hop for outcome in running.outcomes]
        return data, attempts, are_hops

    data, attempts, are_hops = runner.run(check())
    text, ids, done = streamed_text(data)
    assert done
    assert text == expected_text(TOKENS)
    assert ids == list(range(TOKENS + 1))
    assert max(attempts) == 2
    assert any(are_hops) == (zones == 2)


def test_broken_hop_is_resumed_through_another_region(runner):
    async def check():
        async with (
            gateway(zones=3, change=serve_outside_gulf) as running,
            running.session() as session,
            session.post("/v1/chat/completions", json=chat()) as resp,
        ):
            return await read_while(resp, lambda: cut_hops(running), 1000)

    def serve_outside_gulf(manifest):
        return serving_in(manifest, "piedmont", "delta")

    def cut_hops(running):
        for entry in running.entries[1:]:
            for conn in list(entry.callers._server.connections):
                conn.transport.abort()

    text, ids, done = streamed_text(runner.run(check()))
    assert done
    assert text == expected_text(TOKENS)
    assert ids == list(range(TOKENS + 1))


def test_stream_of_targets_that_cannot_resume_ends_with_an_error_event(runner):
    async def check():
        def without_resuming(manifest):
            targets = [
                msgspec.structs.replace(target, resumes=False)
                for target in manifest.targets
            ]
            return msgspec.structs.replace(manifest, targets=targets)

        async with gateway(change=without_resuming) as running:
            return await stream_with_fault(running, "cut", max_tokens=TOKENS)

    data = runner.run(check())
    text, _, done = streamed_text(data)
    assert not done
    assert b"event: error\n" in data
    assert expected_text(TOKENS).startswith(text)
    problem = msgspec.json.decode(data.split(b"event: error\ndata: ")[1])
    assert problem["verdict"] == Verdict.MAY_HAVE_RUN.value


def test_stream_cut_at_all_targets_ends_with_an_error_event(runner):
    async def check():
        async with gateway() as running:

            def inject_fault():
                for proxy in running.proxies.values():
                    proxy.cut()

            async with (
                running.session() as session,
                session.post("/v1/chat/completions", json=chat()) as resp,
            ):
                return await read_while(resp, inject_fault, 1000)

    data = runner.run(check())
    assert b"event: error\n" in data
    assert not streamed_text(data)[2]


def test_request_leaves_a_silent_engine_before_the_first_token(runner):
    async def check():
        async with gateway() as running:
            first, *_ = running.engine_proxies("gulf")
            first.blackhole(Direction.TO_CLIENT)
            async with running.session() as session:
                texts = []
                for _ in range(3):
                    body = chat(max_tokens=3)
                    async with session.post("/v1/chat/completions", json=body) as resp:
                        texts.append(streamed_text(await resp.read())[0])
                return texts

    assert runner.run(check()) == [expected_text(3)] * 3


def test_truncated_unstreamed_response_is_retried(runner):
    async def check():
        async with gateway() as running:
            for proxy in running.engine_proxies("gulf")[:2]:
                proxy.state = LinkState(reset_after_bytes={Direction.TO_CLIENT: 250})
            async with running.session() as session:
                texts = []
                for _ in range(3):
                    body = chat(stream=False, max_tokens=3)
                    async with session.post("/v1/chat/completions", json=body) as resp:
                        answer = await resp.json()
                        texts.append(answer["choices"][0]["message"]["content"])
                return texts

    assert runner.run(check()) == [expected_text(3)] * 3


def test_disconnect_of_the_caller_frees_the_engine(runner):
    async def check():
        async with gateway(speed=1.0) as running:
            engines = running.deployment.engines.values()
            async with running.session() as session:
                resp = await session.post(
                    "/v1/chat/completions", json=chat(max_tokens=2000)
                )
                await resp.content.readany()
                assert sum(engine._slots.running for engine in engines) == 1
                resp.close()
            async with asyncio.timeout(5):
                while any(engine._slots.running for engine in engines):
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(5):
                while not running.outcomes:
                    await asyncio.sleep(0.01)
            return running.outcomes[0].reason.slug

    assert runner.run(check()) == "caller-gone"


def test_non_idempotent_call_cut_after_sending_runs_once(runner):
    async def check():
        async with gateway() as running:
            services = running.deployment.services
            for name in services:
                running.proxies[name].state = LinkState(
                    reset_after_bytes={Direction.TO_CLIENT: 20}
                )
            call = {"service": "payment", "path": "cards/charge", "method": "POST"}
            async with running.session() as session:
                async with session.post("/v1/operations", json=call) as resp:
                    ticket = (await resp.json())["operation_id"]
                resp = await session.post(
                    "/v1/services/payment/cards/charge",
                    json={},
                    headers={"Operation-Id": ticket},
                )
                problem = await resp.json(content_type=None)
                assert resp.status == 502
                assert "Retry-After" not in resp.headers
            ran = sum(len(service.executions) for service in services.values())
            return problem["verdict"], ran

    assert runner.run(check()) == (Verdict.MAY_HAVE_RUN.value, 1)


def test_request_without_reachable_targets_fails_early(runner):
    async def check():
        async with gateway() as running:
            for proxy in running.proxies.values():
                proxy.cut()
            started = asyncio.get_running_loop().time()
            async with (
                running.session() as session,
                session.post("/v1/chat/completions", json=chat()) as resp,
            ):
                problem = await resp.json(content_type=None)
                waited_seconds = asyncio.get_running_loop().time() - started
                return problem["verdict"], resp.headers["Retry-After"], waited_seconds

    verdict, retry_after, waited_seconds = runner.run(check())
    assert verdict == Verdict.MAY_HAVE_RUN.value
    assert retry_after == "1"
    assert waited_seconds < 20


def ignore_last_event_header(monkeypatch):
    """Make engines restart streams that they should resume."""
    monkeypatch.setattr(exchanges, "LAST_EVENT_HEADER", "X-Ignored")


async def stream_with_reset():
    async with gateway() as running:
        return await stream_with_fault(running, "reset_connections", max_tokens=TOKENS)


def test_stream_of_a_restarting_engine_ends_with_an_error_event(runner, monkeypatch):
    ignore_last_event_header(monkeypatch)
    data = runner.run(stream_with_reset())
    text, ids, done = streamed_text(data)
    assert not done
    assert b"event: error\n" in data
    assert ids == list(range(len(ids)))
    assert expected_text(TOKENS).startswith(text)


def test_resume_check_prevents_duplicate_events(runner, monkeypatch):
    ignore_last_event_header(monkeypatch)
    monkeypatch.setattr(relaying, "_continue_after", lambda number, batch: batch)
    _, ids, _ = streamed_text(runner.run(stream_with_reset()))
    assert len(ids) == len(set(ids))
    monkeypatch.setattr(relaying.StreamRelay, "_check_events", lambda relay, batch: 0)
    _, ids, _ = streamed_text(runner.run(stream_with_reset()))
    assert len(ids) > len(set(ids))


def test_answer_of_a_target_that_is_silent_for_a_while_is_not_given_up(runner):
    async def check():
        def use_default_timeouts(cfg):
            cfg.targets.progress_timeout_seconds = 5.0
            cfg.targets.answer_timeout_seconds = 15.0

        async with (
            gateway(settings=use_default_timeouts) as running,
            running.session() as session,
        ):
            for proxy in running.engine_proxies():
                proxy.state = LinkState(delay_seconds=0.65)
            async with session.post(
                "/v1/chat/completions",
                json=chat(stream=False, max_tokens=3),
                headers={"X-Deadline-Seconds": "2.0"},
            ) as resp:
                return resp.status, await resp.read()

    status, data = runner.run(check())
    assert status == 200, data
