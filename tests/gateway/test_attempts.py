"""What attempts count as, with another entry VM in between."""

import asyncio
import random

import pytest
from gateway_factories import (
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
from pimentospool.gateway._dependencies import ServingTools
from pimentospool.gateway._fleet import Fleet, FleetMessage, ServiceLoad
from pimentospool.gateway._placement import Placing
from pimentospool.platform._exchange import PlatformDialect
from pimentospool.policy import OccupancyBook

BOUNDS = SharedBounds(
    repeat_ratio=0.0,
    repeat_reserve=0.0,
    repeat_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
ONE_REPEAT = SharedBounds(
    repeat_ratio=0.0,
    repeat_reserve=40.0,
    repeat_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
"""Bounds whose share of one of eight entry VMs in four parts is one repeat."""
ABSENT = (421, [(b"x-request-id", b"r-1")])
HOP_REFUSED = (503, [(b"pimentospool-verdict", b"not-run")])
HOP_UNSENT = (503, [*HOP_REFUSED[1], (b"pimentospool-reached", b"0")])
HOP_REACHED = (503, [*HOP_REFUSED[1], (b"pimentospool-reached", b"1")])


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
    def __init__(self, hop_answer=HOP_REFUSED, target_answer=ABSENT):
        self.to_targets, self.to_peers = [], []
        self._hop_answer = hop_answer
        self._target_answer = target_answer

    def to_target(self, registration, service):
        return ScriptedPool(self._target_answer, self.to_targets)

    def to_peer(self, address):
        return ScriptedPool(self._hop_answer, self.to_peers)


class KeptReply:
    started = False

    def __init__(self):
        self.refusal = None

    async def refuse(self, refusal):
        self.refusal = refusal


def make_tools(pools, clock, bounds=BOUNDS):
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
        bounds=bounds,
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


@pytest.mark.parametrize(
    ("hop_answer", "hops"), [(HOP_REFUSED, 1), (HOP_REACHED, 1), (HOP_UNSENT, 2)]
)
def test_sends_after_a_hop_that_reached_a_target_draw_on_the_budget(hop_answer, hops):
    pools, clock = ScriptedPools(hop_answer), Clock()
    tools = make_tools(pools, clock)
    load = {"desk": ServiceLoad(0.0, 0.0)}
    for region in ("delta", "piedmont"):
        record = make_record(region, region=region, loads=load)
        tools.fleet.receive(FleetMessage(sender=record, relayed=[], occupancy={}))
    reply = serve(tools)
    assert len(pools.to_peers) == hops
    assert reply.refusal.verdict.value == "not-run"
    assert reply.refusal.reached_target is (hops == 1)


def test_target_that_another_one_replaced_is_left_alone():
    pools, clock = ScriptedPools(), Clock()
    tools = make_tools(pools, clock)
    tools.knowledge.register(make_registration("i-1"))
    serve(tools)
    assert len(pools.to_targets) == 1
    assert tools.placing.health("i-1").ejected
    serve(tools)
    assert len(pools.to_targets) == 1


def test_repeat_that_reached_no_target_is_paid_once():
    pools, clock = ScriptedPools(HOP_UNSENT), Clock()
    tools = make_tools(pools, clock, bounds=ONE_REPEAT)
    tools.knowledge.register(make_registration("i-1"))
    load = {"desk": ServiceLoad(0.0, 0.0)}
    for region in ("delta", "piedmont"):
        record = make_record(region, region=region, loads=load)
        tools.fleet.receive(FleetMessage(sender=record, relayed=[], occupancy={}))
    serve(tools)
    assert len(pools.to_targets) == 1
    assert len(pools.to_peers) == 2


def test_target_cannot_speak_as_an_entry_vm():
    pools, clock = ScriptedPools(target_answer=HOP_UNSENT), Clock()
    tools = make_tools(pools, clock)
    tools.knowledge.register(make_registration("i-1"))
    reply = serve(tools)
    assert reply.refusal.verdict.value == "may-have-run"
    assert reply.refusal.reached_target
