"""Streams that break off and continue with what another target answers."""

import time
from types import SimpleNamespace

import aiohttp
import logbook
import pytest
from platform_site import running_site

from pimentospool.log import Event
from pimentospool.standins import Fault, platform_configuration, platform_route

EVENTS = 5
STREAM = b"Content-Type: text/event-stream\r\n"
ERROR_TEXT = b"upstream connect error"
REST = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(2, EVENTS + 1))


def head(status=b"200 OK", *, headers=STREAM, signed=True, request_id=None):
    """Return a function that gives the head of the response to a request."""

    def encode(req):
        lines = b"HTTP/1.1 %s\r\n" % status
        answer_id = req.id.encode() if request_id is None else request_id
        if answer_id:
            lines += b"X-Request-Id: %s\r\n" % answer_id
        if signed:
            lines += b"X-Response-Seal: s.%s\r\n" % answer_id
        return lines + headers

    return encode


SIGNED_STREAM = head()


def with_length(body, head=SIGNED_STREAM):
    return lambda req: head(req) + b"Content-Length: %d\r\n\r\n" % len(body) + body


def in_chunks(body, head=SIGNED_STREAM):
    data = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
    framing = b"Transfer-Encoding: chunked\r\n\r\n"
    return lambda req: head(req) + framing + data + b"0\r\n\r\n"


def unframed(body, head=SIGNED_STREAM):
    return lambda req: head(req) + b"Connection: close\r\n\r\n" + body


def event(number, data=b"x"):
    return b"id: %d\ndata: %s\n\n" % (number, data)


NOT_RUN = b"X-Not-Executed: 1\r\n"
ERROR_EVENT = b"event: error\ndata: " + ERROR_TEXT + b"\n\n"
WHOLE_HEAD = b"HTTP/1.1 500 Error\r\nContent-Length: 22\r\n\r\n" + ERROR_TEXT
INVALID_CONTINUATIONS = {
    "500": with_length(ERROR_TEXT, head(b"500 Error")),
    "502": with_length(ERROR_TEXT, head(b"502 Bad Gateway", signed=False)),
    "503": with_length(ERROR_TEXT, head(b"503 Busy")),
    "503 not run": with_length(ERROR_TEXT, head(b"503 Busy", headers=NOT_RUN)),
    "500 as a stream": in_chunks(REST, head(b"500 Error")),
    "400": with_length(ERROR_TEXT, head(b"400 Bad Request")),
    "404 as a stream": in_chunks(REST, head(b"404 Not Found")),
    "421": with_length(ERROR_TEXT, head(b"421 Misdirected")),
    "302": with_length(ERROR_TEXT, head(b"302 Found")),
    "304": lambda req: head(b"304 Not Modified")(req) + b"\r\n",
    "204": lambda req: head(b"204 No Content")(req) + b"\r\n",
    "206": in_chunks(REST, head(b"206 Partial Content")),
    "200 unsigned": in_chunks(REST, head(signed=False)),
    "200 without an id": in_chunks(REST, head(request_id=b"")),
    "200 to another request": in_chunks(REST, head(request_id=b"r-9")),
    "200 as text": in_chunks(REST, head(headers=b"Content-Type: text/plain\r\n")),
    "200 without a type": in_chunks(REST, head(headers=b"")),
    "200 as empty text": in_chunks(b"", head(headers=b"Content-Type: text/plain\r\n")),
    "200 encoded": in_chunks(
        REST, head(headers=STREAM + b"Content-Encoding: gzip\r\n")
    ),
    "error text": with_length(ERROR_TEXT + b"\n\n"),
    "error in JSON": in_chunks(b'{"error": "busy"}\n\n'),
    "error event": in_chunks(ERROR_EVENT),
    "error event after an event": in_chunks(event(2) + ERROR_EVENT),
    "error event unframed": unframed(ERROR_EVENT),
    "data without an id": in_chunks(b"data: 2\n\n"),
    "id too low": in_chunks(event(1) + REST),
    "id 0": in_chunks(event(0) + REST),
    "id too high": in_chunks(REST.partition(b"\n\n")[2]),
    "repeated id": in_chunks(event(2) + event(2)),
    "falling ids": in_chunks(event(2) + event(3) + event(2)),
    "id that is no number": in_chunks(b"id: x\ndata: 2\n\n"),
    "head in the body": in_chunks(head()(SimpleNamespace(id="r-1")) + b"\r\n" + REST),
    "error's head in the body": unframed(WHOLE_HEAD + b"\n\n"),
    "part of a head before an event": in_chunks(
        b"HTTP/1.1 200 OK\r\nX-A: b\r\n" + REST
    ),
    "empty and unframed": unframed(b""),
    "comment and unframed": unframed(b": wait\n\n"),
    "cut within an event": in_chunks(event(2)[:8]),
    "early hints, then 204": lambda req: (
        b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"
        + head(b"204 No Content")(req)
        + b"\r\n"
    ),
}
"""What a target answers that should go on after event 1, by what is wrong with it."""
REASONS = {
    "204": "status 204 for the rest of a stream",
    "error event": "an event has no id",
    "id too low": "event 1 comes after event 1",
}
VALID_CONTINUATIONS = {
    "chunks": in_chunks(REST),
    "length": with_length(REST),
    "unframed": unframed(REST),
    "comments and retry lines": in_chunks(
        b": wait\n\nretry: 100\n\n" + REST + b": end\n\n"
    ),
    "line with the weights' version": in_chunks(b"x-weight-versions: 7\n" + REST),
    "several tokens in an event": in_chunks(
        b"".join(b"id: %d\ndata: a b\ndata: c\n\n" % n for n in range(2, EVENTS + 1))
    ),
    "CRLF": in_chunks(REST.replace(b"\n", b"\r\n")),
    "early hints first": lambda req: (
        b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" + in_chunks(REST)(req)
    ),
    "parameters of the type": in_chunks(
        REST, head(headers=b"Content-Type: Text/Event-Stream; charset=utf-8\r\n")
    ),
}


def event_ids(body):
    lines = body.decode().replace("\r", "").split("\n")
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


async def read_stream(site, path="/ask/", on_event=lambda: None, **options):
    """Return status and bytes of a stream, and whether it ended as complete."""
    headers = {"Host": "shop.example", "X-Request-Id": "r-1"}
    data = b""
    async with (
        aiohttp.ClientSession() as session,
        session.post(site.url(path), headers=headers | options) as resp,
    ):
        try:
            async for chunk in resp.content.iter_any():
                data += chunk
                on_event()
        except aiohttp.ClientError:
            return resp.status, data, False
        return resp.status, data, True


async def add_targets(site, count, zone):
    for number in range(count):
        target = await site.add_target(
            f"m-{number}", service="llm", events=EVENTS, zone=zone
        )
        target.gap_seconds = 0.01
    await site.wait_until(
        lambda: all(
            node.gateway.routing_state.configuration
            and len(node.gateway.routing_state.known_targets()) == count
            for node in site.nodes
        )
    )
    return list(site.targets.values())


def run_with_targets(runner, tmp_path, check, *, hops=0, targets=2, max_attempts=2):
    """Run `check` with a route that may use `max_attempts` targets."""

    async def run():
        zones = ("gulf-a", "delta-a") if hops else ("gulf-a",)
        async with running_site(tmp_path, zones=zones) as site:
            route = platform_route(
                "/ask/",
                "streaming",
                "llm",
                Resumable=True,
                TimeoutMs=5000,
                MaxAttempts=max_attempts,
            )
            await site.store.put("op/config", platform_configuration(2, [route]))
            await add_targets(site, targets, zones[-1])
            if hops:
                await site.wait_until(
                    lambda: site.nodes[0].gateway.fleet.loads("llm").get("delta")
                )
            await check(site)

    runner.run(run())


def continue_with(site, continuation, fault=Fault.RESET_STREAM):
    for target in site.targets.values():
        target.faults = [fault]
        target.continuation = continuation


@pytest.mark.parametrize("hops", [0, 1])
@pytest.mark.parametrize("name", INVALID_CONTINUATIONS)
def test_error_does_not_reach_the_caller_inside_a_continued_stream(
    runner, tmp_path, name, hops
):
    async def check(site):
        continue_with(site, INVALID_CONTINUATIONS[name])
        status, body, complete = await read_stream(site)
        assert status == 200
        assert body in (event(1, b"1"), event(1, b"1") + event(2))
        assert not complete

    run_with_targets(runner, tmp_path, check, hops=hops)


@pytest.mark.parametrize("hops", [0, 1])
@pytest.mark.parametrize("name", VALID_CONTINUATIONS)
def test_valid_continuation_completes_the_stream(runner, tmp_path, name, hops):
    async def check(site):
        continue_with(site, VALID_CONTINUATIONS[name])
        status, body, complete = await read_stream(site)
        assert (status, complete) == (200, True)
        assert event_ids(body) == list(range(1, EVENTS + 1))

    run_with_targets(runner, tmp_path, check, hops=hops)


@pytest.mark.parametrize("name", ["204", "error event", "id too low"])
def test_next_target_continues_a_stream_after_an_invalid_continuation(
    runner, tmp_path, name
):
    async def check(site):
        answers = iter([INVALID_CONTINUATIONS[name], in_chunks(REST)])

        def answer_next(req):
            return next(answers)(req)

        continue_with(site, answer_next)
        with logbook.TestHandler().applicationbound() as handler:
            _, body, complete = await read_stream(site)
        assert complete
        assert event_ids(body) == list(range(1, EVENTS + 1))
        details = [
            record.extra["fields"]["detail"]
            for record in handler.records
            if record.extra["event"] is Event.ATTEMPT_FAILED
        ]
        assert details[1] == REASONS[name]

    run_with_targets(runner, tmp_path, check, targets=3, max_attempts=3)


def test_continuation_without_events_ends_a_stream_of_which_nothing_is_left(
    runner, tmp_path
):
    """A stream has no end mark: its last event may be followed by a reset."""

    async def check(site):
        continue_with(site, in_chunks(b""))
        _, body, complete = await read_stream(site)
        assert (event_ids(body), complete) == ([1], True)

    run_with_targets(runner, tmp_path, check)


@pytest.mark.parametrize("hops", [0, 1])
def test_continuation_without_events_ends_no_stream_whose_next_event_had_begun(
    runner, tmp_path, hops
):
    async def check(site):
        continue_with(site, in_chunks(b""), Fault.CUT_STREAM)
        _, body, complete = await read_stream(site)
        assert (event_ids(body), complete) == ([1], False)

    run_with_targets(runner, tmp_path, check, hops=hops)


@pytest.mark.parametrize("name", INVALID_CONTINUATIONS)
def test_stream_that_a_caller_takes_up_is_checked_like_a_continued_one(
    runner, tmp_path, name
):
    async def check(site):
        status, body, _ = await read_stream(site)
        assert status == 200
        continue_with(site, INVALID_CONTINUATIONS[name], fault=None)
        status, body, complete = await read_stream(
            site, **{"X-Request-Id": "r-2", "Last-Event-Id": "1", "Resumes": "r-1"}
        )
        if name in ("400", "302", "404 as a stream"):
            assert status == int(name[:3])
        elif status == 200:
            assert name == "id too high" or not complete
            assert ERROR_TEXT not in body
        else:
            assert status in (500, 502, 503, 304)

    run_with_targets(runner, tmp_path, check)


@pytest.mark.parametrize("name", ["204", "error event", "200 as empty text"])
def test_stalled_stream_goes_on_beside_an_attempt_that_fails_the_check(
    runner, tmp_path, name
):
    async def check(site):
        for target in site.targets.values():
            target.gap_seconds = 0.1
            target.continuation = INVALID_CONTINUATIONS[name]
        silences = []

        def fall_silent():
            [serving, *_] = [t for t in site.targets.values() if t.received]
            if not silences:
                silences.append(serving)
                serving.silent_until = time.monotonic() + 1.5

        _, body, complete = await read_stream(site, on_event=fall_silent)
        assert (event_ids(body), complete) == (list(range(1, EVENTS + 1)), True)
        assert sum(len(target.received) for target in site.targets.values()) >= 2

    run_with_targets(runner, tmp_path, check)
