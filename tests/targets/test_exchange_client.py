"""Failures of an exchange on real sockets, and the verdict that follows from each."""

import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
from raw_server import RawServer, http_response, script_sending

from pimentospool import sending
from pimentospool._generated.settings import TargetSettings
from pimentospool.addresses import free_addresses
from pimentospool.faults import FaultProxy
from pimentospool.targets import (
    AttemptFailure,
    Exchange,
    ExchangeClient,
    FailureCause,
)
from pimentospool.targets._exchange import MAX_BODY_BYTES
from pimentospool.verdicts import Verdict

ENDLESS = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INVALID_RESPONSES = [
    b"not http at all\r\n\r\n",
    b"\x00\xff\x00\xff" * 50 + b"\r\n\r\n",
    b"HTTP/9.9 abc\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\n" + b"X: " + b"y" * 100_000 + b"\r\n\r\n",
    CHUNKED + b"zz\r\nbody\r\n0\r\n\r\n",
]


def make_exchange(url, *, idempotent=False, **options):
    values = {
        "method": "POST",
        "url": url,
        "headers": {"X-Request-Id": "mine"},
        "body": b"{}",
        "request_id": "mine",
        "timeout_seconds": 5.0,
        "first_byte_timeout_seconds": 2.0,
        "idempotent": idempotent,
    }
    return Exchange(**values | options)


@asynccontextmanager
async def open_client(**options):
    cfg = TargetSettings(connect_timeout_seconds=0.3, **options)
    exchange_client = ExchangeClient(cfg=cfg)
    try:
        yield exchange_client
    finally:
        await exchange_client.close()


async def send_expecting_failure(exchange_client, exchange):
    with pytest.raises(AttemptFailure) as caught:
        async with exchange_client.open(exchange) as answer:
            await answer.body()
    return caught.value


def failure_of(runner, script, **options):
    """Return the failure of an exchange with a scripted server, and the server."""

    async def check():
        async with RawServer(script) as server, open_client() as exchange_client:
            return await send_expecting_failure(
                exchange_client, make_exchange(server.url, **options)
            ), server

    return runner.run(check())


async def reset_on_connect(server, reader, writer):
    writer.transport.abort()


async def reset_after_request(server, reader, writer):
    await server.read_request(reader)
    writer.transport.abort()


async def reset_within_request(server, reader, writer):
    server.requests.append(await reader.readexactly(65536))
    writer.transport.abort()


async def never_respond(server, reader, writer):
    await server.read_request(reader)
    await asyncio.sleep(30)


def test_refused_connect_did_not_run(runner):
    async def check():
        async with open_client() as exchange_client:
            url = f"http://{free_addresses(1)[0]}/call"
            return await send_expecting_failure(exchange_client, make_exchange(url))

    failure = runner.run(check())
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.cause is FailureCause.UNREACHABLE


def test_connect_timeout_did_not_run(runner):
    async def check(listener, fillers):
        async with open_client() as exchange_client:
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            await asyncio.sleep(0.05)
            host, port = listener.getsockname()
            return await send_expecting_failure(
                exchange_client, make_exchange(f"http://{host}:{port}/call")
            )

    fillers = [socket.socket() for _ in range(4)]
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        failure = runner.run(check(listener, fillers))
        for filler in fillers:
            filler.close()
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.cause is FailureCause.UNREACHABLE


@pytest.mark.parametrize(
    ("script", "body"),
    [
        (reset_on_connect, b"{}"),
        (reset_after_request, b"{}"),
        (reset_within_request, b"x" * 8_000_000),
    ],
)
def test_reset_may_have_run(runner, script, body):
    failure, _ = failure_of(runner, script, body=body)
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.cause is FailureCause.BROKEN


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort",
        CHUNKED + b"5\r\nshort\r\n",
        CHUNKED + b"ff\r\nshort",
        b"HTTP/1.1 200 OK\r\n\r\nwith no length",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\nwith no chunks",
        http_response(headers=b"Content-Encoding: gzip\r\n"),
        http_response(status=b"500 Oops"),
        http_response(status=b"503 Busy"),
        http_response(status=b"429 Slow down"),
        *INVALID_RESPONSES,
    ],
)
def test_incomplete_or_invalid_response_may_have_run(runner, answer):
    failure, _ = failure_of(runner, script_sending(answer))
    assert failure.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("status", [b"429 Slow", b"503 Busy", b"409 Old", b"500 No"])
def test_refusal_with_not_executed_header_did_not_run(runner, status):
    answer = http_response(status=status, headers=b"X-Not-Executed: true\r\n")
    failure, _ = failure_of(runner, script_sending(answer))
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.cause is FailureCause.REFUSED


def test_refusal_before_the_request_body_was_read_did_not_run(runner):
    async def script(server, reader, writer):
        await reader.readexactly(65536)
        writer.write(
            http_response(status=b"413 No", headers=b"X-Not-Executed: true\r\n")
        )
        await writer.drain()
        await asyncio.sleep(1)

    failure, _ = failure_of(runner, script, body=b"x" * 8_000_000)
    assert failure.verdict is Verdict.NOT_RUN


def test_response_to_another_request_is_rejected(runner):
    answer = http_response(b'"other"', headers=b"X-Request-Id: other\r\n")
    failure, _ = failure_of(runner, script_sending(answer))
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.cause is FailureCause.FOREIGN_ANSWER


def test_missing_response_times_out(runner):
    failure, _ = failure_of(runner, never_respond, first_byte_timeout_seconds=0.2)
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.cause is FailureCause.SILENT


@pytest.mark.parametrize(
    ("options", "cause"),
    [({}, FailureCause.SILENT), ({"timeout_seconds": 0.2}, FailureCause.LATE)],
)
def test_stalled_body_times_out(runner, options, cause):
    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(CHUNKED + b"5\r\nshort\r\n")
        await asyncio.sleep(30)

    async def check():
        async with (
            RawServer(script) as server,
            open_client(progress_timeout_seconds=0.4) as exchange_client,
        ):
            return await send_expecting_failure(
                exchange_client, make_exchange(server.url, **options)
            )

    failure = runner.run(check())
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.cause is cause


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_body_without_end_is_bounded(runner, framing):
    data = b"a" * 65536
    sent = []

    async def script(server, reader, writer):
        await server.read_request(reader)
        is_chunked = framing == "chunks"
        writer.write(CHUNKED if is_chunked else ENDLESS)
        while True:
            writer.write(b"%x\r\n%b\r\n" % (len(data), data) if is_chunked else data)
            await writer.drain()
            sent.append(len(data))

    failure, _ = failure_of(runner, script)
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.cause is FailureCause.BROKEN
    assert "longer than" in failure.detail
    # What the sockets hold is not read.
    assert sum(sent) < 8 * MAX_BODY_BYTES


def test_late_response_is_not_read_by_the_next_request(runner):
    async def script(server, reader, writer):
        number = server.connections
        await server.read_request(reader)
        if number == 1:
            await asyncio.sleep(0.4)
        writer.write(http_response(b"%d" % number))
        await asyncio.sleep(2)

    async def check():
        async with RawServer(script) as server, open_client() as exchange_client:
            first = make_exchange(
                server.url, idempotent=True, first_byte_timeout_seconds=0.2
            )
            await send_expecting_failure(exchange_client, first)
            await asyncio.sleep(0.4)
            async with exchange_client.open(
                make_exchange(server.url, idempotent=True)
            ) as answer:
                return await answer.body()

    assert runner.run(check()) == b"2"


def test_request_is_not_sent_if_before_sending_raises(runner):
    class Refused(Exception):
        pass

    def refuse():
        raise Refused

    async def check():
        async with (
            RawServer(script_sending(http_response())) as server,
            open_client() as exchange_client,
        ):
            with pytest.raises(Refused):
                async with exchange_client.open(
                    make_exchange(server.url, before_sending=refuse)
                ):
                    pass
            await asyncio.sleep(0.05)
            return server

    assert runner.run(check()).requests == []


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
def test_aiohttp_does_not_retry_any_method(runner, method):
    _, server = failure_of(runner, reset_after_request, method=method)
    assert len(server.requests) == 1


def test_aiohttp_alone_would_retry_a_put(runner, monkeypatch):
    """Shows that the middleware `send_once` is what prevents the retry."""

    async def send(req, handler):
        return await handler(req)

    monkeypatch.setattr(sending, "send_once", send)
    _, server = failure_of(runner, reset_after_request, method="PUT")
    assert len(server.requests) == 2


def test_only_idempotent_exchanges_use_pooled_connections(runner):
    async def script(server, reader, writer):
        while True:
            await server.read_request(reader)
            writer.write(http_response())

    async def check(idempotent):
        async with RawServer(script) as server, open_client() as exchange_client:
            for _ in range(3):
                exchange = make_exchange(server.url, idempotent=idempotent)
                async with exchange_client.open(exchange) as answer:
                    await answer.body()
            return server.connections

    assert runner.run(check(True)) == 1
    assert runner.run(check(False)) == 3


@pytest.mark.parametrize("headers", [b"", b"X-Request-Id: mine\r\n"])
def test_refusal_of_an_earlier_request_is_no_proof_that_a_later_one_did_not_run(
    runner, headers
):
    refusal = http_response(
        b"", status=b"503 Busy", headers=headers + b"X-Not-Executed: true\r\n"
    )

    async def script(server, reader, writer):
        number = server.connections
        await server.read_request(reader)
        writer.write(refusal if number == 1 else http_response(b"2"))
        await server.read_request(reader)
        writer.write(refusal + http_response(b"1"))
        await reader.read()

    async def check():
        async with RawServer(script) as server, open_client() as exchange_client:
            exchange = make_exchange(server.url, idempotent=True)
            failure = await send_expecting_failure(exchange_client, exchange)
            assert failure.verdict is Verdict.NOT_RUN
            async with exchange_client.open(exchange) as answer:
                return await answer.body()

    assert runner.run(check()) == b"2"


def test_response_after_one_to_another_request_is_not_read_by_the_next_request(runner):
    async def script(server, reader, writer):
        await server.read_request(reader)
        number = server.connections
        if number == 1:
            writer.write(http_response(b"0", headers=b"X-Request-Id: other\r\n"))
            await server.read_request(reader)
        writer.write(http_response(b"%d" % number))
        await reader.read()

    async def check():
        async with RawServer(script) as server, open_client() as exchange_client:
            exchange = make_exchange(server.url, idempotent=True)
            failure = await send_expecting_failure(exchange_client, exchange)
            assert failure.cause is FailureCause.FOREIGN_ANSWER
            async with exchange_client.open(exchange) as answer:
                return await answer.body()

    assert runner.run(check()) == b"2"


class RecordingObserver:
    """Records the timeouts of the waits, and None at the end of each."""

    def __init__(self):
        self.waits = []

    def begin_wait(self, timeout_seconds):
        self.waits.append(timeout_seconds)

    def end_wait(self):
        self.waits.append(None)


def test_observed_exchange_goes_on_after_silence_until_its_deadline(runner):
    async def script(server, reader, writer):
        await server.read_request(reader)
        for part in (CHUNKED, b"5\r\nshort\r\n", b"0\r\n\r\n"):
            await asyncio.sleep(0.3)
            writer.write(part)
        await server.read_request(reader)
        await asyncio.sleep(30)

    async def check():
        observer = RecordingObserver()
        options = {
            "idempotent": True,
            "first_byte_timeout_seconds": 0.1,
            "silence_observer": observer,
        }
        async with (
            RawServer(script) as server,
            open_client(progress_timeout_seconds=0.2) as exchange_client,
        ):
            exchange = make_exchange(server.url, **options)
            async with exchange_client.open(exchange) as answer:
                body = await answer.body()
            late = make_exchange(server.url, timeout_seconds=0.5, **options)
            failure = await send_expecting_failure(exchange_client, late)
            return body, observer.waits, failure, len(server.requests)

    body, waits, failure, requests = runner.run(check())
    assert body == b"short"
    assert waits == [0.1, 0.1, None, 0.2, None, 0.1]
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert requests == 2


def test_renewed_connections_are_new_ones(runner):
    async def script(server, reader, writer):
        number = server.connections
        while True:
            await server.read_request(reader)
            writer.write(http_response(b"%d" % number))

    async def check():
        async with RawServer(script) as server, open_client() as exchange_client:
            exchange = make_exchange(server.url, idempotent=True)
            bodies = []
            for _ in range(3):
                async with exchange_client.open(exchange) as answer:
                    bodies.append(await answer.body())
                    if len(bodies) == 2:
                        exchange_client.renew_connections(server.url)
            return bodies, len(exchange_client._retired_pools)

    assert runner.run(check()) == ([b"1", b"1", b"2"], 0)


async def respond_then_close_on_next_request(server, reader, writer):
    number = server.connections
    await server.read_request(reader)
    writer.write(http_response(b"%d" % number))
    await server.read_request(reader)


def test_closed_pooled_connection_is_replaced(runner):
    async def check():
        async with (
            RawServer(respond_then_close_on_next_request) as server,
            open_client() as exchange_client,
        ):
            bodies = []
            for _ in range(2):
                async with exchange_client.open(
                    make_exchange(server.url, idempotent=True)
                ) as answer:
                    bodies.append(await answer.body())
            return bodies, len(server.requests)

    assert runner.run(check()) == ([b"1", b"2"], 3)


@pytest.mark.parametrize("refuses_connections", [False, True])
def test_request_on_a_closed_pooled_connection_may_have_run_if_its_repeat_did_not(
    runner, refuses_connections
):
    refusal = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

    async def script(server, reader, writer):
        await server.read_request(reader)
        if server.connections > 1:
            writer.write(refusal)
            await writer.drain()
            return
        writer.write(http_response(b"1"))
        await server.read_request(reader)
        if refuses_connections:
            server._server.close()

    async def check():
        async with RawServer(script) as server, open_client() as exchange_client:
            exchange = make_exchange(server.url, idempotent=True)
            async with exchange_client.open(exchange) as answer:
                await answer.body()
            failure = await send_expecting_failure(exchange_client, exchange)
            return failure, len(server.requests)

    failure, requests = runner.run(check())
    assert requests == (2 if refuses_connections else 3)
    assert failure.verdict is Verdict.MAY_HAVE_RUN


def test_dead_pooled_connection_is_replaced(runner):
    async def script(server, reader, writer):
        number = server.connections
        while True:
            await server.read_request(reader)
            writer.write(http_response(b"%d" % number))

    async def check():
        async with RawServer(script) as server, open_client() as exchange_client:
            proxy = FaultProxy(upstream=server.url.split("/")[2])
            await proxy.start()
            url = f"http://{proxy.address}/call"
            exchange = make_exchange(
                url, idempotent=True, first_byte_timeout_seconds=0.3
            )
            bodies = []
            for _ in range(4):
                async with exchange_client.open(exchange) as answer:
                    bodies.append(await answer.body())
                if len(bodies) == 1:
                    proxy.lose_connections()
            await proxy.close()
            return bodies

    assert runner.run(check()) == [b"1", b"2", b"3", b"3"]


def test_timed_out_exchange_closes_its_connection(runner):
    async def script(server, reader, writer):
        await server.read_request(reader)
        received_until_close.append(await reader.read())

    async def check():
        async with RawServer(script) as server, open_client() as exchange_client:
            await send_expecting_failure(
                exchange_client,
                make_exchange(server.url, first_byte_timeout_seconds=0.1),
            )
            await asyncio.sleep(0.1)

    received_until_close = []
    runner.run(check())
    assert received_until_close == [b""]
