"""What callers may send, on real sockets, and the official client."""

import asyncio
import gc
import re

import msgspec
import openai
import pytest
from aiohttp import web
from running_entry import PROMPT, chat, expected_text, gateway, streamed_text
from sanic.server import HttpProtocol

from pimentospool.callers._connections import CallerProtocol, ConnectionDrain
from pimentospool.errors import Problem, Reason
from pimentospool.verdicts import Verdict

LARGE = 16_000_000
LOOKUP = "/v1/services/ticketing/tickets/lookup"
KEY = b"Authorization: Bearer stores-gulf-key\r\n"
CHAT = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + KEY


def request(head, body, headers=b""):
    return head + headers + b"Content-Length: %d\r\n\r\n" % len(body) + body


ANSWER_SECONDS = 30.0


async def send_raw(running, data, *, answers=1):
    """Send `data` on a new connection and return what comes back.

    It returns after a number of whole answers, at the end of the connection, or
    after a time that only a missing answer takes.
    """
    host, _, port = running.entries[0]._cfg.entry.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b""
    try:
        writer.write(data)
        async with asyncio.timeout(ANSWER_SECONDS):
            while count_answers(received) < answers:
                piece = await reader.read(65536)
                if not piece:
                    break
                received += piece
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    return received


def count_answers(data):
    """Return how many whole answers with a body `data` holds."""
    found = 0
    while b"\r\n\r\n" in data:
        head, _, data = data.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: *(\d+)", head.lower())
        if length is None:
            continue
        if len(data) < int(length[1]):
            break
        data = data[int(length[1]) :]
        found += 1
    return found


def problem_of(data):
    head, _, body = data.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head.lower()
    length = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    problem = msgspec.json.decode(body[:length], type=Problem)
    assert head.startswith(b"HTTP/1.1 %d " % problem.status)
    return problem


BAD_REQUESTS = {
    "no JSON": (request(CHAT, b"{"), Reason.BAD_REQUEST),
    "not UTF-8": (request(CHAT, b'{"model": "\xff"}'), Reason.BAD_REQUEST),
    "wrong type": (request(CHAT, b'{"model": 1}'), Reason.BAD_REQUEST),
    "lone surrogate": (
        request(
            CHAT,
            b'{"model": "care-assistant", "messages":'
            b'[{"role": "user", "content": "\\ud800"}]}',
        ),
        Reason.BAD_REQUEST,
    ),
    "form": (
        request(CHAT, b"a=b", b"Content-Type: application/x-www-form-urlencoded\r\n"),
        Reason.UNSUPPORTED_MEDIA_TYPE,
    ),
    "oversized": (request(CHAT, b"x" * 5_000_000), Reason.BODY_TOO_LARGE),
    "oversized length": (
        CHAT + b"Content-Length: 99999999999\r\n\r\n",
        Reason.BODY_TOO_LARGE,
    ),
    "bad length": (CHAT + b"Content-Length: -1\r\n\r\n", Reason.BAD_REQUEST),
    "two lengths": (
        CHAT + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        Reason.BAD_REQUEST,
    ),
    "bad chunk": (
        CHAT + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nxx\r\n0\r\n\r\n",
        Reason.BAD_REQUEST,
    ),
    "header without colon": (CHAT + b"nonsense\r\n\r\n", Reason.BAD_REQUEST),
    "no HTTP": (b"\x16\x03\x01 nonsense\r\n\r\n", Reason.BAD_REQUEST),
    "unknown version": (b"GET / HTTP/7.1\r\n\r\n", Reason.BAD_REQUEST),
    "expectation": (request(CHAT, b"{}", b"Expect: magic\r\n"), Reason.BAD_REQUEST),
    "header flood": (CHAT + b"X: y\r\n" * 20_000 + b"\r\n", Reason.HEADERS_TOO_LARGE),
    "long header": (CHAT + b"X: " + b"y" * 99_999, Reason.HEADERS_TOO_LARGE),
    "method": (b"GET /v1/chat/completions HTTP/1.1\r\n\r\n", Reason.METHOD_NOT_ALLOWED),
    "path": (b"GET /nowhere HTTP/1.1\r\n\r\n", Reason.UNKNOWN_PATH),
    "key not ASCII": (
        b"GET /v1/models HTTP/1.1\r\nAuthorization: Bearer \xff\xfe\r\n\r\n",
        Reason.UNKNOWN_KEY,
    ),
    "deadline": (
        b"GET " + LOOKUP.encode() + b" HTTP/1.1\r\n" + KEY + b"X-Deadline-Seconds: nan"
        b"\r\n\r\n",
        Reason.BAD_REQUEST,
    ),
    "deadline passed": (
        b"GET " + LOOKUP.encode() + b" HTTP/1.1\r\n" + KEY + b"X-Deadline-Seconds: 0"
        b"\r\n\r\n",
        Reason.DEADLINE_EXCEEDED,
    ),
    "unsigned hop": (
        b"GET /hop" + LOOKUP.encode() + b" HTTP/1.1\r\nX-Hop: \xff.a\r\n\r\n",
        Reason.FORBIDDEN,
    ),
}


def test_bad_requests_get_a_problem_that_says_not_run(runner):
    async def check():
        async with gateway() as running:
            answers = await asyncio.gather(
                *[send_raw(running, data) for data, _ in BAD_REQUESTS.values()]
            )
            async with running.session() as session, session.get(LOOKUP) as resp:
                assert resp.status == 200
            return answers

    answers = runner.run(check())
    problems = {
        name: problem_of(data) for name, data in zip(BAD_REQUESTS, answers, strict=True)
    }
    assert {name: problem.error.type for name, problem in problems.items()} == {
        name: reason.slug for name, (_, reason) in BAD_REQUESTS.items()
    }
    assert {problem.verdict for problem in problems.values()} == {Verdict.NOT_RUN}


async def send_slowly(begin):
    """Return what comes back within 30 bytes, sent a tenth of a second apart."""

    def impatient(cfg):
        cfg.callers.request_timeout_seconds = 0.6

    async with gateway(settings=impatient) as running:
        host, _, port = running.entries[0]._cfg.entry.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        reading = asyncio.create_task(reader.read())
        writer.write(begin)
        for _ in range(30):
            if reading.done():
                break
            writer.write(b"x")
            await asyncio.sleep(0.1)
        writer.close()
        return await asyncio.wait_for(reading, 5)


SLOW_HEADER = b"POST /v1/chat/comp"
SLOW_BODY = CHAT + b"Content-Length: 100\r\n\r\n"


@pytest.mark.parametrize("begin", [SLOW_HEADER, SLOW_BODY], ids=["header", "body"])
def test_slow_sender_is_refused_in_time(runner, begin):
    problem = problem_of(runner.run(send_slowly(begin)))
    assert problem.error.type == Reason.REQUEST_TIMEOUT.slug
    assert problem.verdict is Verdict.NOT_RUN


def test_sanic_alone_would_wait_for_a_slow_sender(runner, monkeypatch):
    monkeypatch.setattr(CallerProtocol, "data_received", HttpProtocol.data_received)
    assert runner.run(send_slowly(SLOW_HEADER)) == b""


def test_pipelined_requests_are_answered_in_order(runner):
    async def check():
        async with gateway() as running:
            lookup = b"GET " + LOOKUP.encode() + b" HTTP/1.1\r\n" + KEY + b"\r\n"
            return await send_raw(running, lookup * 3, answers=3)

    assert runner.run(check()).count(b"HTTP/1.1 200 OK") == 3


def test_expectation_to_continue_is_met(runner):
    async def check():
        async with gateway() as running:
            body = msgspec.json.encode(chat(max_tokens=1, stream=False))
            data = request(CHAT, body, b"Expect: 100-continue\r\n")
            return await send_raw(running, data)

    assert runner.run(check()).startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")


def test_openai_client_completes_calls_and_reads_refusals(runner):
    async def check():
        async with gateway() as running:
            base = f"http://{running.entries[0]._cfg.entry.caller_address}/v1"
            messages = [{"role": "user", "content": PROMPT}]
            asked = {"model": "care-assistant", "messages": messages, "max_tokens": 4}
            async with openai.AsyncOpenAI(
                base_url=base, api_key="stores-gulf-key", max_retries=0
            ) as client:
                whole = await client.chat.completions.create(**asked)
                pieces = await client.chat.completions.create(**asked, stream=True)
                text = "".join(
                    [piece.choices[0].delta.content or "" async for piece in pieces]
                )
                old = await client.completions.create(
                    model="care-assistant", prompt=PROMPT, max_tokens=2
                )
                models = [item.id async for item in client.models.list()]
                with pytest.raises(openai.NotFoundError) as unknown:
                    await client.chat.completions.create(**asked | {"model": "none"})
                with pytest.raises(openai.AuthenticationError):
                    await client.with_options(api_key="no").models.list()
                for proxy in running.proxies.values():
                    proxy.cut()
                with pytest.raises(openai.InternalServerError) as failed:
                    await client.chat.completions.create(**asked)
        return whole, text, old, models, unknown.value, failed.value

    whole, text, old, models, unknown, failed = runner.run(check())
    assert whole.choices[0].message.content == text == expected_text(4)
    assert old.usage.completion_tokens == 2
    assert models == ["care-assistant"]
    assert unknown.code == Verdict.NOT_RUN.value
    assert unknown.type == Reason.UNKNOWN_MODEL.slug
    assert failed.code in {verdict.value for verdict in Verdict}
    gc.collect()


def test_openai_client_sees_a_broken_stream_as_an_error(runner):
    async def check():
        async with gateway() as running:
            base = f"http://{running.entries[0]._cfg.entry.caller_address}/v1"
            async with openai.AsyncOpenAI(
                base_url=base, api_key="stores-gulf-key", max_retries=0
            ) as client:
                stream = await client.chat.completions.create(
                    model="care-assistant",
                    messages=[{"role": "user", "content": PROMPT}],
                    max_tokens=60,
                    stream=True,
                )
                with pytest.raises(openai.APIError) as caught:
                    async for _ in stream:
                        for proxy in running.proxies.values():
                            proxy.cut()
        return caught.value

    assert runner.run(check()).code == Verdict.MAY_HAVE_RUN.value


def test_leaving_entry_vm_ends_streams_whole_and_refuses_new_requests(runner):
    async def check():
        async with gateway(speed=4.0) as running:
            server = running.entries[0].callers
            async with running.session() as session:
                async with session.get(LOOKUP) as resp:
                    await resp.read()
                stream = await session.post("/v1/chat/completions", json=chat())
                data = await stream.content.readany()
                stopping = asyncio.create_task(running.entries[0].stop())
                while not server.leaving:
                    await asyncio.sleep(0.01)
                async with running.session() as other, other.get(LOOKUP) as resp:
                    refused = (await resp.json(content_type=None))["error"]["type"]
                    closing = resp.headers["Connection"]
                data += await stream.read()
                await asyncio.wait_for(stopping, 10)
                return refused, closing, data

    refused, closing, data = runner.run(check())
    assert refused == Reason.LEAVING.slug
    assert closing == "close"
    text, _, done = streamed_text(data)
    assert done
    assert text == expected_text(40)


async def read_slowly_while_leaving():
    """Return how much of a large answer arrives, and its length."""
    async with gateway() as running:
        for engine in running.deployment.engines.values():
            engine._whole = large_answer
        host, _, port = running.entries[0]._cfg.entry.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(request(CHAT, msgspec.json.encode(chat(stream=False))))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"%d" % LARGE in head
        stopping = asyncio.create_task(running.entries[0].stop())
        await asyncio.sleep(0.3)
        received = 0
        while piece := await reader.read(1_000_000):
            received += len(piece)
        writer.close()
        await asyncio.wait_for(stopping, 10)
        return received


async def large_answer(gen):
    return web.Response(
        body=b"x" * LARGE,
        content_type="application/json",
        headers={"X-Request-Id": gen.request_id},
    )


def test_leaving_entry_vm_ends_an_answer_that_is_read_slowly(runner):
    assert runner.run(read_slowly_while_leaving()) == LARGE


def test_the_wait_for_slow_readers_is_needed(runner, monkeypatch):
    async def cut(drain, limit_seconds):
        for conn in drain._open():
            conn.abort()

    monkeypatch.setattr(ConnectionDrain, "run", cut)
    with pytest.raises((ConnectionError, AssertionError)):
        assert runner.run(read_slowly_while_leaving()) == LARGE
