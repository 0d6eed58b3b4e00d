"""What continues a stream: any head, framing, division and end of its bytes."""

import asyncio
import itertools
import math
import re
from types import SimpleNamespace

import pytest
from gateway_factories import make_route
from hypothesis import example, given
from hypothesis import strategies as st

from pimentospool.gateway import RequestKind
from pimentospool.gateway._answer_streams import EncodedRequest
from pimentospool.gateway._answers import AnswerReceiver
from pimentospool.gateway._connections import Connection
from pimentospool.gateway._progress import RequestProgress
from pimentospool.gateway._running_attempts import RunningAttempt
from pimentospool.platform._exchange import PlatformDialect
from pimentospool.policy import MemoryBudget
from pimentospool.relaying import StreamRelay
from pimentospool.targets import AttemptFailure, EventSplitter
from pimentospool.verdicts import Verdict

SENT = 3
"""Events that the caller has before another target goes on."""
EVENTS = 6


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


REST = [event(number) for number in range(SENT + 1, EVENTS + 1)]
CONTROL = [b": wait\n\n", b"retry: 10\n\n", b":\r\n\r\n"]
OTHER_TEXT = [
    b"upstream connect error\n\n",
    b"data: busy\n\n",
    b"event: error\ndata: busy\n\n",
    b'{"error": "busy"}\n\n',
    b"HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-A: b\n",
    b"<html>\n\n",
    b"\x00\xff\x16\x03\n\n",
    b"id: x\ndata: t\n\n",
    b"id: 4\nid: 5\ndata: t\n\n",
    *(event(number) for number in (0, 1, SENT)),
]
SOUND_HEAD = [
    b"Content-Type: text/event-stream",
    b"X-Request-Id: r-1",
    b"X-Response-Seal: s",
]
ODD_HEADERS = [
    b"Content-Type: text/plain",
    b"Content-Encoding: gzip",
    b"X-Not-Executed: 1",
    b"X-Request-Id: r-2",
    b"Retry-After: 1",
    b"X-Long: " + b"a" * 300,
]

sound_bodies = st.lists(st.sampled_from(CONTROL), max_size=2).flatmap(
    lambda control: st.permutations([*control, b"rest"]).map(
        lambda parts: [
            item for part in parts for item in (REST if part == b"rest" else [part])
        ]
    )
)
pieces = st.one_of(
    st.sampled_from([*REST, *CONTROL, *OTHER_TEXT]),
    st.sampled_from([event(SENT + 2), event(EVENTS + 4)]),
    st.binary(max_size=12),
)
altered_bodies = st.builds(
    lambda body, piece, index, dropped: [
        *body[:index],
        *([] if piece is None else [piece]),
        *body[index + dropped :],
    ],
    sound_bodies,
    st.one_of(st.none(), pieces),
    st.integers(0, 3),
    st.integers(0, 1),
)
bodies = st.one_of(sound_bodies, altered_bodies, st.lists(pieces, max_size=5))
heads = st.one_of(
    st.just((200, SOUND_HEAD)),
    st.tuples(
        st.sampled_from([200, 103, 201, 204, 206, 302, 304, 404, 421, 500, 503]),
        st.just(SOUND_HEAD),
    ),
    st.tuples(
        st.just(200), st.lists(st.sampled_from(SOUND_HEAD + ODD_HEADERS), max_size=4)
    ),
)
framings = st.sampled_from(["chunks", "length", "close"])
ends = st.one_of(st.just(10_000), st.integers(0, 700))
"""Byte after which the connection ends."""
cuts = st.lists(st.integers(0, 700), max_size=6)


def encode(status, headers, framing, body):
    """Return the bytes of a response; its body is a list of pieces."""
    lines = [b"HTTP/1.1 %d Status" % status, *headers]
    data = b"".join(body)
    if framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in body if piece]
        data = b"".join(chunks) + b"0\r\n\r\n"
    elif framing == "length":
        lines.append(b"Content-Length: %d" % len(data))
    return b"\r\n".join(lines) + b"\r\n\r\n" + data


class FakeTransport:
    def __init__(self):
        self.closed = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return True

    def close(self):
        self.closed = True

    abort = close

    def pause_reading(self):
        pass

    resume_reading = pause_reading


class FakeReply:
    """Response of which the caller has the first events."""

    started = True

    def __init__(self):
        self.data = b""
        self.ended = False
        self.claims = []
        """Attempts that ended the ones beside them."""

    async def write(self, data):
        self.data += data

    async def end_stream(self):
        self.ended = True

    # The same for the own front.
    finish = end_stream


def divide(data, bounds):
    """Return `data` in pieces that end at `bounds`."""
    ends = sorted({min(bound, len(data)) for bound in bounds} | {0, len(data)})
    return [data[start:end] for start, end in itertools.pairwise(ends)]


def continue_stream(parts, *, reset):
    """Return the reply after the bytes of a response, and the attempt's failure."""

    async def run():
        reply = FakeReply()
        route = make_route(kind=RequestKind.STREAM, resumable=True)
        progress = RequestProgress(route=route, max_targets=2)
        progress.position.record(b"".join(map(event, range(1, SENT + 1))))
        progress.chunks_sent = SENT
        receiver = AnswerReceiver(
            deps=SimpleNamespace(dialect=PlatformDialect(), clock=lambda: 0.0),
            reply=reply,
            route=route,
            progress=progress,
            remaining_seconds=lambda: 5.0,
        )
        conn, transport = Connection(), FakeTransport()
        conn.connection_made(transport)
        req = SimpleNamespace(id="r-1")
        stream = conn.send(
            EncodedRequest(
                data=b"", accepts=lambda head: PlatformDialect().accepts(head, req)
            )
        )
        attempt = RunningAttempt(choice=None, stall_seconds=math.inf)
        progress.running.claim_reply = reply.claims.append
        hold = MemoryBudget(process_bytes=math.inf).begin_answer(
            is_stream=True, service="s", source="t"
        )
        receive = asyncio.create_task(
            receiver.receive(stream, attempt, hold=hold, from_target=True)
        )
        for part in parts:
            if not transport.closed:
                conn.data_received(part)
            await asyncio.sleep(0)
        if reset:
            conn.connection_lost(ConnectionResetError())
        else:
            conn.eof_received()
            conn.connection_lost(None)
        try:
            await receive
        except AttemptFailure as exc:
            return reply, exc
        return reply, None

    return asyncio.run(run())


def assert_events_continue(data):
    """Assert that the caller got nothing but events that go on after `SENT`."""
    last_id = SENT
    for block in re.split(rb"\n\n|\r\n\r\n", data):
        lines = block.replace(b"\r", b"\n").split(b"\n")
        content = [
            line
            for line in lines
            if line and not re.match(rb":|retry: \d|x-[a-z-]+: ?\d", line)
        ]
        if not content:
            continue
        ids = [line for line in content if re.fullmatch(rb"id: ?\d+", line)]
        assert len(ids) == 1
        number = int(ids[0][3:])
        assert number > last_id
        assert last_id > SENT or number == SENT + 1
        last_id = number
        for line in content:
            assert line == ids[0] or re.match(rb"[a-z][a-z0-9_-]*(:|$)", line)


@given(head=heads, framing=framings, body=bodies, end=ends, bounds=cuts)
@example(head=(204, SOUND_HEAD), framing="close", body=[], end=700, bounds=[])
@example(head=(200, SOUND_HEAD), framing="close", body=[], end=700, bounds=[])
@example(
    head=(200, SOUND_HEAD),
    framing="chunks",
    body=[b"event: error\ndata: busy\n\n"],
    end=700,
    bounds=[],
)
@example(
    head=(200, SOUND_HEAD),
    framing="chunks",
    body=[b"HTTP/1.1 200 OK\r\nX-A: b\n", *REST],
    end=700,
    bounds=[],
)
@example(
    head=(200, SOUND_HEAD), framing="close", body=[b": wait\n\n"], end=700, bounds=[]
)
@example(
    head=(200, SOUND_HEAD),
    framing="chunks",
    body=[b": wait\n\n", b"event: error\ndata: busy\n\n"],
    end=700,
    bounds=list(range(700)),
)
@example(
    head=(200, [b"Content-Type: text/plain", *SOUND_HEAD]),
    framing="length",
    body=REST,
    end=700,
    bounds=[],
)
@pytest.mark.parametrize("reset", [False, True])
def test_caller_gets_only_events_that_continue_its_stream(
    head, framing, body, end, bounds, reset
):
    response = encode(*head, framing, body)
    reply, failure = continue_stream(divide(response[:end], bounds), reset=reset)
    assert_events_continue(reply.data)
    assert reply.ended is (failure is None)
    assert bool(reply.claims) is (reply.ended or event(SENT + 1) in reply.data)
    if failure is not None:
        return
    status, headers = head
    assert status == 200
    types = [line for line in headers if line.startswith(b"Content-Type")]
    assert types[0] == b"Content-Type: text/event-stream"
    assert b"X-Response-Seal: s" in headers
    assert b"Content-Encoding: gzip" not in headers
    assert reply.data == b"".join(body)[: len(reply.data)]
    if framing != "close":
        assert reply.data == b"".join(body)
    else:
        assert not reset
        assert event(SENT + 1) in reply.data


@given(data=st.binary(max_size=200), bounds=cuts)
@pytest.mark.parametrize("framing", ["chunks", "length", "close"])
def test_any_body_brings_the_caller_only_events_that_continue_its_stream(
    framing, data, bounds
):
    response = encode(200, SOUND_HEAD, framing, [data])
    reply, _ = continue_stream(divide(response, bounds), reset=False)
    assert_events_continue(reply.data)


@given(data=st.binary(max_size=300), bounds=cuts)
def test_bytes_that_are_no_answer_bring_the_caller_nothing(data, bounds):
    reply, failure = continue_stream(divide(data, bounds), reset=False)
    assert (reply.data, reply.ended) == (b"", False)
    assert failure is not None


@given(body=sound_bodies, framing=framings, bounds=cuts)
def test_rest_of_a_stream_passes_however_it_is_divided(body, framing, bounds):
    response = encode(200, SOUND_HEAD, framing, body)
    reply, failure = continue_stream(divide(response, bounds), reset=False)
    assert failure is None
    assert (reply.data, reply.ended) == (b"".join(body), True)


class FakeAnswer:
    """Answer of a target of the own front."""

    status = 200
    is_stream = True

    def __init__(self, parts):
        self._parts = list(parts)
        self._splitter = EventSplitter()

    async def next_events(self):
        while self._parts:
            batch = self._splitter.feed(self._parts.pop(0))
            if batch is not None:
                return batch
        if self._splitter.pending_bytes:
            raise AttemptFailure(detail="cut", verdict=Verdict.MAY_HAVE_RUN)
        return None

    async def drain(self):
        self._parts.clear()


@given(body=bodies, done=st.booleans(), end=ends, bounds=cuts)
def test_caller_of_the_own_front_gets_only_events_that_continue_its_stream(
    body, done, end, bounds
):
    end_event = b"data: [DONE]\n\n"
    data = b"".join(body) + (end_event if done else b"")
    sink = FakeReply()
    relay = StreamRelay(resume_after=SENT)
    answer = FakeAnswer(divide(data[:end], bounds))
    try:
        asyncio.run(relay.run(answer, sink))
    except AttemptFailure:
        assert not sink.ended
        assert_events_continue(sink.data)
    else:
        assert sink.ended
        assert sink.data.endswith(end_event)
        assert_events_continue(sink.data.removesuffix(end_event))
