"""Malformed, slow and interrupted requests on real sockets; the OpenAI client."""

import asyncio
import gc
import re
import socket

import msgspec
import openai
import pytest
from aiohttp import web
from running_entry import PROMPT, chat, expected_text, gateway, streamed_text
from sanic.server import HttpProtocol

from pimentospool.callers._connections import CallerProtocol, ConnectionDrain
from pimentospool.errors import Problem, Reason
from pimentospool.verdicts import Verdict

LARGE_BYTES = 16_000_000
LOOKUP = "/v1/services/ticketing/tickets/lookup"
KEY = b"Authorization: Bearer stores-gulf-key\r\n"
CHAT = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + KEY


def request(head, body, headers=b""):
    return head + headers + b"Content-Length: %d\r\n\r\n" % len(body) + body


RESPONSE_TIMEOUT_SECONDS = 30.0


async def send_raw(running, data, *, answers=1):
    """Send `data` on a new connection and return the bytes received.

    Reading stops after `answers` complete responses, when the connection ends, or
    after `RESPONSE_TIMEOUT_SECONDS`, which only a missing response takes.
    """
    host, _, port = running.entries[0]._cfg.entry.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b""
    try:
        writer.write(data)
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            while count_complete_responses(received) < answers:
                piece = await reader.read(65536)
                if not piece:
                    break
                received += piece
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    return received


def count_complete_responses(data):
    """Return the number of complete responses with a body in `data`."""
    count = 0
    while b"\r\n\r\n" in data:
        head, _, data = data.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: *(\d+)", head.lower())
        if length is None:
            continue
        if len(data) < int(length[1]):
            break
        data = data[int(length[1]) :]
        count += 1
    return count


def decode_problem(data):
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


def test_bad_requests_get_a_problem_document_with_verdict_not_run(runner):
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
        name: decode_problem(data)
        for name, data in zip(BAD_REQUESTS, answers, strict=True)
    }
    assert {name: problem.error.type for name, problem in problems.items()} == {
        name: reason.slug for name, (_, reason) in BAD_REQUESTS.items()
    }
    assert {problem.verdict for problem in problems.values()} == {Verdict.NOT_RUN}


def shorten_request_timeout(cfg):
    cfg.callers.request_timeout_seconds = 0.6


async def send_slowly(first_bytes):
    """Send `first_bytes`, then up to 30 bytes 0.1 s apart; return the response."""
    async with gateway(settings=shorten_request_timeout) as running:
        host, _, port = running.entries[0]._cfg.entry.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        read_task = asyncio.create_task(reader.read())
        writer.write(first_bytes)
        for _ in range(30):
            if read_task.done():
                break
            writer.write(b"x")
            await asyncio.sleep(0.1)
        writer.close()
        return await asyncio.wait_for(read_task, 5)


SLOW_HEADER = b"POST /v1/chat/comp"
SLOW_BODY = CHAT + b"Content-Length: 100\r\n\r\n"


@pytest.mark.parametrize(
    "first_bytes", [SLOW_HEADER, SLOW_BODY], ids=["header", "body"]
)
def test_slow_sender_gets_a_request_timeout(runner, first_bytes):
    problem = decode_problem(runner.run(send_slowly(first_bytes)))
    assert problem.error.type == Reason.REQUEST_TIMEOUT.slug
    assert problem.verdict is Verdict.NOT_RUN


@pytest.mark.parametrize(
    "first_bytes", [SLOW_HEADER, SLOW_BODY], ids=["header", "body"]
)
def test_bytes_sent_after_a_request_timeout_do_not_reset_its_response(
    runner, first_bytes
):
    async def check():
        async with gateway(settings=shorten_request_timeout) as running:
            host, _, port = running.entries[0]._cfg.entry.caller_address.rpartition(":")
            loop, response = asyncio.get_running_loop(), b""
            with socket.create_connection((host, int(port))) as sock:
                sock.setblocking(False)
                await loop.sock_sendall(sock, first_bytes)
                async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                    while not count_complete_responses(response):
                        response += await loop.sock_recv(sock, 65536)
                for _ in range(3):
                    await loop.sock_sendall(sock, b"x")
                    await asyncio.sleep(0.05)
            return response

    assert decode_problem(runner.run(check())).verdict is Verdict.NOT_RUN


def test_sanic_alone_would_wait_for_a_slow_sender(runner, monkeypatch):
    """Shows that the override of `data_received` is what ends a slow header."""
    monkeypatch.setattr(CallerProtocol, "data_received", HttpProtocol.data_received)
    assert runner.run(send_slowly(SLOW_HEADER)) == b""


def test_pipelined_requests_are_answered_in_order(runner):
    async def check():
        async with gateway() as running:
            lookup = b"GET " + LOOKUP.encode() + b" HTTP/1.1\r\n" + KEY + b"\r\n"
            return await send_raw(running, lookup * 3, answers=3)

    assert runner.run(check()).count(b"HTTP/1.1 200 OK") == 3


def test_expect_header_gets_100_continue(runner):
    async def check():
        async with gateway() as running:
            body = msgspec.json.encode(chat(max_tokens=1, stream=False))
            data = request(CHAT, body, b"Expect: 100-continue\r\n")
            return await send_raw(running, data)

    assert runner.run(check()).startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")


def test_openai_client_completes_calls_and_parses_errors(runner):
    async def check():
        async with gateway() as running:
            base = f"http://{running.entries[0]._cfg.entry.caller_address}/v1"
            messages = [{"role": "user", "content": PROMPT}]
            options = {"model": "care-assistant", "messages": messages, "max_tokens": 4}
            async with openai.AsyncOpenAI(
                base_url=base, api_key="stores-gulf-key", max_retries=0
            ) as client:
                completion = await client.chat.completions.create(**options)
                chunks = await client.chat.completions.create(**options, stream=True)
                text = "".join(
                    [chunk.choices[0].delta.content or "" async for chunk in chunks]
                )
                legacy = await client.completions.create(
                    model="care-assistant", prompt=PROMPT, max_tokens=2
                )
                models = [item.id async for item in client.models.list()]
                with pytest.raises(openai.NotFoundError) as unknown:
                    await client.chat.completions.create(**options | {"model": "none"})
                with pytest.raises(openai.AuthenticationError):
                    await client.with_options(api_key="no").models.list()
                for proxy in running.proxies.values():
                    proxy.cut()
                with pytest.raises(openai.InternalServerError) as failed:
                    await client.chat.completions.create(**options)
        return completion, text, legacy, models, unknown.value, failed.value

    completion, text, legacy, models, unknown, failed = runner.run(check())
    assert completion.choices[0].message.content == text == expected_text(4)
    assert legacy.usage.completion_tokens == 2
    assert models == ["care-assistant"]
    assert unknown.code == Verdict.NOT_RUN.value
    assert unknown.type == Reason.UNKNOWN_MODEL.slug
    assert failed.code in {verdict.value for verdict in Verdict}
    gc.collect()


def test_openai_client_raises_on_an_interrupted_stream(runner):
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


def test_leaving_entry_vm_completes_streams_and_refuses_new_requests(runner):
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
                    reason = (await resp.json(content_type=None))["error"]["type"]
                    connection = resp.headers["Connection"]
                data += await stream.read()
                await asyncio.wait_for(stopping, 10)
                return reason, connection, data

    reason, connection, data = runner.run(check())
    assert reason == Reason.LEAVING.slug
    assert connection == "close"
    text, _, done = streamed_text(data)
    assert done
    assert text == expected_text(40)


async def read_slowly_while_leaving():
    """Read a large response slowly during shutdown; return the bytes received."""
    async with gateway() as running:
        for engine in running.deployment.engines.values():
            engine._completion_response = large_response
        host, _, port = running.entries[0]._cfg.entry.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writer.write(request(CHAT, msgspec.json.encode(chat(stream=False))))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"%d" % LARGE_BYTES in head
        stopping = asyncio.create_task(running.entries[0].stop())
        await asyncio.sleep(0.3)
        received = 0
        while piece := await reader.read(1_000_000):
            received += len(piece)
        writer.close()
        await asyncio.wait_for(stopping, 10)
        return received


async def large_response(gen):
    return web.Response(
        body=b"x" * LARGE_BYTES,
        content_type="application/json",
        headers={"X-Request-Id": gen.request_id},
    )


def test_leaving_entry_vm_completes_a_response_that_is_read_slowly(runner):
    assert runner.run(read_slowly_while_leaving()) == LARGE_BYTES


def test_the_wait_for_slow_readers_is_needed(runner, monkeypatch):
    """Without the drain, a response that is read slowly would be truncated."""

    async def abort_connections(drain, limit_seconds):
        for conn in drain._open_connections():
            conn.abort()

    monkeypatch.setattr(ConnectionDrain, "run", abort_connections)
    with pytest.raises((ConnectionError, AssertionError)):
        assert runner.run(read_slowly_while_leaving()) == LARGE_BYTES


def test_crowd_with_many_header_lines_holds_a_bounded_share_of_memory(runner):
    """Guards against heads of the own front that no limit on the memory counts."""
    head = CHAT + b"a:\r\n" * 1900 + b"Content-Length: 10\r\n\r\n"

    async def check():
        async with gateway() as running:
            heads = running.entries[0].callers._app.ctx.heads
            crowd = [
                asyncio.create_task(send_raw(running, head, answers=1))
                for _ in range(40)
            ]
            await asyncio.sleep(1.0)
            used_bytes = heads.used_bytes
            refused = [task.result() for task in crowd if task.done()]
            async with running.session() as session, session.get(LOOKUP) as resp:
                assert resp.status == 200
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
            async with asyncio.timeout(5.0):
                while heads.used_bytes:
                    await asyncio.sleep(0.02)
            return used_bytes, heads.limit_bytes, refused

    used_bytes, limit_bytes, refused = runner.run(check())
    assert 0 < used_bytes <= limit_bytes
    assert 0 < len(refused) < 40
    for data in refused:
        assert b" 503 " in data and b"Retry-After: 1" in data
        problem = decode_problem(data)
        assert problem.error.type == Reason.OVERLOADED.slug
        assert problem.verdict is Verdict.NOT_RUN
