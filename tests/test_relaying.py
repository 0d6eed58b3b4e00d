"""What callers of the own front get when the rest of a stream is something else."""

import asyncio

import pytest
from raw_server import RawServer, script_sending

from pimentospool._generated.settings import TargetSettings
from pimentospool.relaying import StreamRelay
from pimentospool.targets import AttemptFailure, Exchange, ExchangeClient

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
DONE = b"data: [DONE]\n\n"
LAST_SENT = 3


def event(number):
    return b'id: %d\ndata: {"t":"x"}\n\n' % number


REST = event(4) + event(5)
INVALID = {
    "error text": b"upstream connect error\n\n" + DONE,
    "error text before an event": b"upstream connect error\n\n" + REST + DONE,
    "head": b"HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\n" + DONE,
    "part of a head before an event": b"HTTP/1.1 200 OK\r\nX-A: b\r\n" + REST + DONE,
    "error in JSON": b'{"error": "busy"}\n\n' + DONE,
    "data without an id": b'data: {"error": "busy"}\n\n' + DONE,
    "data without an id after an event": REST + b"data: busy\n\n" + DONE,
    "error event": b"event: error\ndata: busy\n\n" + DONE,
    "id too low": event(2) + REST + DONE,
    "id too high": event(5) + DONE,
    "repeated id": event(4) + event(4) + DONE,
    "falling ids": event(4) + event(5) + event(4) + DONE,
    "no end event": REST,
    "empty": b"",
}
VALID = {
    "rest": REST + DONE,
    "last event again": event(LAST_SENT) + REST + DONE,
    "nothing left": DONE,
    "comments and retry lines": b": wait\n\nretry: 10\n\n" + REST + DONE,
    "CRLF": (REST + DONE).replace(b"\n", b"\r\n"),
}


class RecordingSink:
    started = True

    def __init__(self):
        self.data = b""
        self.finished = False

    async def write(self, data):
        self.data += data

    async def finish(self):
        self.finished = True


def continue_stream(runner, response, *parts):
    """Return what a caller gets after event 3, and the failure of the attempt."""

    async def run():
        client = ExchangeClient(cfg=TargetSettings())
        sink = RecordingSink()
        async with RawServer(script_sending(response, *parts, pause=0.01)) as server:
            exchange = Exchange(
                method="POST",
                url=server.url,
                headers={"X-Request-Id": "mine"},
                body=b"{}",
                request_id="mine",
                timeout_seconds=5.0,
                first_byte_timeout_seconds=2.0,
                idempotent=False,
            )
            try:
                async with client.open(exchange) as answer:
                    await StreamRelay(resume_after=LAST_SENT).run(answer, sink)
            except AttemptFailure as exc:
                return sink, exc
            finally:
                await client.close()
        return sink, None

    return runner.run(run())


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


@pytest.mark.parametrize("divided", [False, True])
@pytest.mark.parametrize("name", INVALID)
def test_error_does_not_reach_the_caller_inside_a_continued_stream(
    runner, name, divided
):
    events = INVALID[name].split(b"\n\n") if divided else [INVALID[name]]
    parts = [chunk(part + b"\n\n" if divided else part) for part in events if part]
    sink, failure = continue_stream(runner, CHUNKED, *parts, b"0\r\n\r\n")
    assert failure is not None
    assert not sink.finished
    assert sink.data in (b"", event(4), REST)


@pytest.mark.parametrize("name", VALID)
def test_valid_continuation_completes_the_stream(runner, name):
    sink, failure = continue_stream(runner, CHUNKED, chunk(VALID[name]), b"0\r\n\r\n")
    assert failure is None
    assert sink.finished
    assert sink.data == VALID[name].removeprefix(event(LAST_SENT))


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\n\r\n",
        b"HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone",
        b"HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nnone",
        b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 206 Part\r\n" + CHUNKED.partition(b"\r\n")[2] + chunk(REST + DONE),
        HEAD + b"X-Request-Id: other\r\nContent-Length: 4\r\n\r\nnone",
        HEAD + b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nnone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnone",
        HEAD + b"\r\n",
        HEAD + b"\r\n" + event(4)[:9],
    ],
)
def test_answer_that_is_no_stream_of_events_ends_no_stream(runner, response):
    sink, failure = continue_stream(runner, response)
    assert failure is not None
    assert (sink.data, sink.finished) == (b"", False)


def test_rest_of_a_stream_is_not_asked_for_where_its_last_event_has_no_id(runner):
    async def run():
        relay = StreamRelay(resume_after=None)
        client = ExchangeClient(cfg=TargetSettings())
        body = chunk(event(0) + b"data: x\n\n") + b"0\r\n\r\n"
        async with RawServer(script_sending(CHUNKED + body)) as server:
            exchange = Exchange(
                method="POST",
                url=server.url,
                headers={},
                body=b"{}",
                request_id="mine",
                timeout_seconds=5.0,
                first_byte_timeout_seconds=2.0,
                idempotent=False,
            )
            with pytest.raises(AttemptFailure):
                async with asyncio.timeout(5), client.open(exchange) as answer:
                    await relay.run(answer, RecordingSink())
            await client.close()
        assert not relay.resumable

    runner.run(run())


def test_target_that_keeps_its_connection_after_the_end_event_is_not_waited_for(runner):
    class Observer:
        waiting = False

        def begin_wait(self, timeout_seconds):
            self.waiting = True

        def end_wait(self):
            self.waiting = False

    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(CHUNKED + chunk(REST + DONE))
        await asyncio.sleep(30)

    async def run():
        observer, sink = Observer(), RecordingSink()
        client = ExchangeClient(cfg=TargetSettings(progress_timeout_seconds=0.2))
        async with RawServer(script) as server:
            exchange = Exchange(
                method="POST",
                url=server.url,
                headers={},
                body=b"{}",
                request_id="mine",
                timeout_seconds=30.0,
                first_byte_timeout_seconds=2.0,
                idempotent=True,
                silence_observer=observer,
            )
            async with asyncio.timeout(5), client.open(exchange) as answer:
                await StreamRelay(resume_after=LAST_SENT).run(answer, sink)
            await client.close()
        return sink.finished, observer.waiting

    assert runner.run(run()) == (True, False)
