"""Targets that are checked for a crash, on real sockets."""

import asyncio

import pytest
from gateway_factories import make_registration, make_request
from raw_server import RawServer

from pimentospool.gateway import Address, Prompt, PromptPart
from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._crash_watch import (
    CRASH_CHECK_DELAY_SECONDS,
    CrashWatch,
    request_traits,
)
from pimentospool.gateway._routing_state import TargetState
from pimentospool.policy import SURVIVAL_SECONDS, TargetHealth

PROMPT = Prompt(
    tokens=20,
    max_output_tokens=5,
    parts=(PromptPart("a", 5), PromptPart("b", 5), PromptPart("own", 10)),
)
REQUEST = make_request(prompt=PROMPT)


class RecordedSuspects:
    def __init__(self):
        self.crashes = []
        self.survivals = []

    def record_crash(self, start, requests):
        self.crashes.append((start, list(requests)))

    def record_survival(self, request):
        self.survivals.append(request)


async def hold_connection(server, reader, writer):
    await reader.read()


def watch_target(runner, *, listens, answer_seconds=None):
    """Lose the connections of two requests; return what was recorded."""
    suspects, now = RecordedSuspects(), [0.0]

    async def run():
        async with RawServer(hold_connection) as server:
            host, port = server.url.removeprefix("http://").split("/")[0].split(":")
            pool = ConnectionPool(address=Address(host, int(port)), limit=9)
            health = TargetHealth(clock=lambda: now[0])
            watch = CrashWatch(
                suspects=suspects, health=lambda target: health, clock=lambda: now[0]
            )
            exposures = [watch.expose(request_traits(REQUEST)) for _ in range(2)]
            if answer_seconds is not None:
                exposures[0].record_event()
                now[0] += answer_seconds
                exposures[0].record_event()
            if not listens:
                server._server.close()
            state = TargetState(registration=make_registration("i-1"))
            for exposure in exposures:
                watch.connection_lost(state, pool, exposure)
            await asyncio.sleep(CRASH_CHECK_DELAY_SECONDS + 0.1)
            return health.ejected

    return suspects, runner.run(run())


def test_requests_of_a_target_that_refuses_connections_are_reported_once(runner):
    suspects, ejected = watch_target(runner, listens=False)
    [(start, requests)] = suspects.crashes
    assert start.startswith("i-1/")
    assert [request.parts for request in requests] == [["a", "b"], ["a", "b"]]
    assert ejected


def test_target_that_accepts_connections_did_not_crash(runner):
    suspects, ejected = watch_target(runner, listens=True)
    assert not suspects.crashes
    assert not ejected


@pytest.mark.parametrize("early", [True, False])
def test_prompt_is_no_suspect_once_its_answer_goes_on(runner, early):
    seconds = SURVIVAL_SECONDS * (0.5 if early else 1.0)
    suspects, _ = watch_target(runner, listens=False, answer_seconds=seconds)
    [(_, prompts)] = suspects.crashes
    assert len(prompts) == (2 if early else 1)
    assert len(suspects.survivals) == (0 if early else 1)


def content_key(path="/a", **fields):
    return request_traits(make_request(path, **fields)).content_key


def test_request_that_comes_again_has_the_same_content():
    first = content_key(id="r-1", headers=[(b"X-Length-Hint", b"5")], body=b"x")
    again = content_key(id="r-2", body=b"x", client_timeout_seconds=9.0)
    assert first == again


@pytest.mark.parametrize(
    "fields",
    [
        {"body": b"y"},
        {"caller": b"key"},
        {"method": "POST"},
        {"host": "other"},
        {"path": "/ax", "body": b""},
    ],
)
def test_requests_that_differ_have_different_contents(fields):
    assert content_key(**fields) != content_key(body=b"x")
