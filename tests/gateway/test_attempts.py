"""What attempts count as, with another entry VM in between."""

import asyncio
import random

from gateway_facts import (
    Clock,
    make_configuration,
    make_record,
    make_registration,
    make_request,
    make_route,
    make_service,
)

from pimentospool.gateway import AnswerHead, Knowledge, SharedBounds
from pimentospool.gateway._attempts import Attempts
from pimentospool.gateway._fleet import Fleet, FleetMessage, ServiceLoad
from pimentospool.gateway._placing import Placing
from pimentospool.gateway._tools import ServingTools
from pimentospool.platform._exchange import PlatformDialect
from pimentospool.policy import OccupancyBook

BOUNDS = SharedBounds(
    repeat_ratio=0.0,
    repeat_reserve=0.0,
    repeat_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
ABSENT = (421, [(b"x-request-id", b"r-1")])
HOP_REFUSED = (503, [(b"pimentospool-verdict", b"not-run")])


class ScriptedStream:
    def __init__(self, head):
        self.head = AnswerHead(*head)

    async def wait_head(self):
        return self.head

    async def read(self):
        return b""


class ScriptedPool:
    """Gives one answer to everything that is sent."""

    def __init__(self, answer, sent):
        self._answer = answer
        self._sent = sent

    async def acquire(self):
        return self

    def send(self, wire):
        self._sent.append(wire.data)
        return ScriptedStream(self._answer)

    def release(self, conn):
        pass

    def discard_idle(self):
        pass


class ScriptedPools:
    def __init__(self):
        self.to_targets, self.to_peers = [], []

    def to_target(self, registration, service):
        return ScriptedPool(ABSENT, self.to_targets)

    def to_peer(self, address):
        return ScriptedPool(HOP_REFUSED, self.to_peers)


class KeptReply:
    started = False

    def __init__(self):
        self.refusal = None

    async def refuse(self, refusal):
        self.refusal = refusal


def make_tools(pools, clock):
    knowledge = Knowledge(clock=clock, zone_regions={"gulf-a": "gulf"})
    knowledge.adopt(make_configuration())
    fleet = Fleet(own=make_record("own"), clock=clock, rng=random.Random(1))
    placing = Placing(
        region="gulf",
        knowledge=knowledge,
        fleet=fleet,
        book=OccupancyBook(clock=clock),
        bounds=BOUNDS,
        clock=clock,
    )
    return ServingTools(
        knowledge=knowledge,
        fleet=fleet,
        placing=placing,
        pools=pools,
        dialect=PlatformDialect(),
        bounds=BOUNDS,
        regions=3,
        clock=clock,
        rng=random.Random(1),
    )


def serve(tools):
    reply = KeptReply()
    req = make_request(received_at=tools.clock())
    attempts = Attempts(
        tools=tools,
        req=req,
        reply=reply,
        route=make_route(),
        service=make_service(),
    )
    asyncio.run(attempts.run())
    return reply


def test_sends_after_a_hop_draw_on_the_budget_of_repeats():
    pools, clock = ScriptedPools(), Clock()
    tools = make_tools(pools, clock)
    load = {"desk": ServiceLoad(0.0, 0.0)}
    for region in ("delta", "piedmont"):
        record = make_record(region, region=region, loads=load)
        tools.fleet.receive(FleetMessage(sender=record, relayed=[], occupancy={}))
    reply = serve(tools)
    assert len(pools.to_peers) == 1
    assert reply.refusal.verdict.value == "not-run"


def test_target_that_another_one_replaced_is_left_alone():
    pools, clock = ScriptedPools(), Clock()
    tools = make_tools(pools, clock)
    tools.knowledge.register(make_registration("i-1"))
    serve(tools)
    assert len(pools.to_targets) == 1
    assert tools.placing.health("i-1").ejected
    serve(tools)
    assert len(pools.to_targets) == 1
