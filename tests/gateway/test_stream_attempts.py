"""What is learned from relayed streams, and a stream that is refused by it."""

import asyncio

from gateway_factories import (
    Clock,
    make_configuration,
    make_registration,
    make_request,
    make_route,
    make_service,
)
from test_attempts import CannedPool, CannedPools, CannedStream, make_deps

from pimentospool.gateway import ConfigurationStamp, Prompt, RequestKind
from pimentospool.gateway._answer_streams import BodyEnd
from pimentospool.gateway._attempts import AttemptLoop
from pimentospool.policy import RouteKey, StatedLength
from pimentospool.verdicts import Verdict

ROUTE = make_route(
    "/ask/",
    services=("llm",),
    kind=RequestKind.STREAM,
    timeout_seconds=12.0,
    target_latency_seconds=0.5,
)
SERVICE = make_service("llm", engine=True)
KEY = RouteKey("llm", ROUTE.name, True)
HEAD = (
    200,
    [
        (b"x-response-seal", b"s"),
        (b"x-request-id", b"r-1"),
        (b"content-type", b"text/event-stream"),
    ],
)
EVENTS, GAP_SECONDS = 30, 0.1


class EventStream(CannedStream):
    """Sends its events at a steady pace."""

    def __init__(self, clock):
        super().__init__(HEAD)
        self.body_end = BodyEnd.CHUNKS
        self._clock, self._left = clock, EVENTS

    async def read(self):
        if not self._left:
            return b""
        self._left -= 1
        self._clock.now += GAP_SECONDS
        return b"id: %d\ndata: x\n\n" % (EVENTS - self._left)


class StreamPool(CannedPool):
    def __init__(self, clock, sent):
        super().__init__(HEAD, sent)
        self._clock = clock

    def send(self, wire):
        self._sent.append(wire.data)
        return EventStream(self._clock)


class StreamPools(CannedPools):
    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def target_pool(self, registration, service):
        return StreamPool(self._clock, self.sent_to_targets)


class StreamReply:
    caller_left = started = False
    refusal = None

    async def start_stream(self, head, version):
        self.started = True

    async def write(self, data):
        pass

    async def end_stream(self):
        pass

    async def refuse(self, refusal):
        self.refusal = refusal


def serve(deps, *, timeout_seconds=12.0):
    req = make_request(
        ROUTE.prefix,
        received_at=deps.clock(),
        client_timeout_seconds=timeout_seconds,
        prompt=Prompt(tokens=800, max_output_tokens=952, length_hint=240),
    )
    reply = StreamReply()
    attempt_loop = AttemptLoop(
        deps=deps,
        req=req,
        reply=reply,
        route=ROUTE,
        service=SERVICE,
        stamp=ConfigurationStamp(1, 0),
    )
    asyncio.run(attempt_loop.run())
    return reply


def test_streams_tell_their_pace_and_length_and_late_ones_are_refused():
    """Against a decision that learns nothing in operation, or isn't asked."""
    clock = Clock()
    pools = StreamPools(clock)
    deps = make_deps(pools, clock)
    deps.routing_state.adopt(make_configuration(ROUTE, version=2, services=[SERVICE]))
    deps.routing_state.register(make_registration(service="llm", slots=64))
    replies = [serve(deps) for _ in range(20)]
    assert all(reply.started and reply.refusal is None for reply in replies)
    streams = deps.placement.streams.expectations
    length = streams.lengths.estimate(KEY, StatedLength(240, 952))
    assert round(length.median) == EVENTS
    assert abs(streams.paces.event_seconds(KEY, 1, "i-1") - GAP_SECONDS) < 0.01
    sent = len(pools.sent_to_targets)
    late = serve(deps, timeout_seconds=2.0)
    assert not late.started
    assert late.refusal.verdict is Verdict.NOT_RUN
    assert late.refusal.retry_after_seconds >= 0.2
    assert "expected to end" in late.refusal.detail
    assert deps.placement.streams.late_choices == 1
    assert len(pools.sent_to_targets) == sent
    assert serve(deps, timeout_seconds=4.0).started
