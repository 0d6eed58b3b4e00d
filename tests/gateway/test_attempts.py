"""Attempts of a request: the retry budget, refused hops and replaced targets."""

import asyncio
import math
import random
import socket
import time
from contextlib import contextmanager
from functools import partial
from types import SimpleNamespace

import pytest
from gateway_factories import (
    Clock,
    announce,
    make_configuration,
    make_record,
    make_registration,
    make_request,
    make_route,
    make_service,
)

from pimentospool.gateway import (
    Address,
    AnswerHead,
    ConfigurationStamp,
    RequestKind,
    RoutingState,
    SharedBounds,
)
from pimentospool.gateway._answer_streams import BodyEnd
from pimentospool.gateway._attempts import AttemptLoop
from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._crash_watch import CRASH_CHECK_DELAY_SECONDS, request_traits
from pimentospool.gateway._dependencies import GatewayDependencies
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import ServiceLoad
from pimentospool.gateway._placement import Placement
from pimentospool.gateway._replies import RefusalReason
from pimentospool.platform._exchange import PlatformDialect
from pimentospool.policy import (
    MemoryBudget,
    OccupancyBook,
    RouteKey,
    StreamVersions,
    key_digest,
)
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

BOUNDS = SharedBounds(
    retry_ratio=0.0,
    retry_reserve=0.0,
    retry_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
ONE_RETRY_BOUNDS = SharedBounds(
    retry_ratio=0.0,
    retry_reserve=40.0,
    retry_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
"""The reserve of 40 is divided by four (three regions and one spare part) and by eight
entry VMs, so that one entry VM may make one retry."""
MISDIRECTED = (421, [(b"x-request-id", b"r-1")])
HOP_REFUSED = (503, [(b"pimentospool-verdict", b"not-run")])
HOP_NOT_REACHED = (503, [*HOP_REFUSED[1], (b"pimentospool-reached", b"0")])
HOP_REACHED = (503, [*HOP_REFUSED[1], (b"pimentospool-reached", b"1")])


class CannedStream:
    conn_was_used = False
    held_back_at = None

    def __init__(self, head):
        self.head = AnswerHead(*head)
        self.body_end = BodyEnd.LENGTH

    async def wait_head(self):
        return self.head

    async def read(self):
        return b""


class CannedPool:
    """Pool and connection that gives the same response to every request."""

    closed_by_peer = closed = False
    reusable = True
    opened_at = 0.0
    start_doubt = SimpleNamespace(proved=True, exists=False)

    def __init__(self, answer, sent):
        self._answer = answer
        self._sent = sent

    async def acquire(self, *, unused=False, within_seconds=0.0):
        return self

    def send(self, wire):
        self._sent.append(wire.data)
        return CannedStream(self._answer)

    def release(self, conn):
        pass

    def close_idle(self):
        pass


class CannedPools:
    def __init__(self, hop_answer=HOP_REFUSED, target_answer=MISDIRECTED):
        self.sent_to_targets, self.sent_to_peers = [], []
        self._hop_answer = hop_answer
        self._target_answer = target_answer

    def target_pool(self, registration, service):
        return CannedPool(self._target_answer, self.sent_to_targets)

    def peer_pool(self, address):
        return CannedPool(self._hop_answer, self.sent_to_peers)


class HangingPools:
    """Pools whose new connections hang until their timeout."""

    def __init__(self, address):
        self._address = address

    def target_pool(self, registration, service):
        return ConnectionPool(
            address=self._address, limit=1, connect_timeout_seconds=2.0
        )

    def peer_pool(self, address):
        return self.target_pool(None, None)


@contextmanager
def unresponsive_address():
    """Yield an address at which new connections hang, as its backlog is full."""
    with (
        socket.create_server(("127.0.0.1", 0), backlog=0) as server,
        socket.create_connection(server.getsockname()),
    ):
        yield Address(*server.getsockname())


class RecordingReply:
    started = False
    caller_left = False

    def __init__(self):
        self.refusal = None

    async def refuse(self, refusal):
        self.refusal = refusal


def make_deps(pools, clock, bounds=BOUNDS):
    routing_state = RoutingState(clock=clock, zone_regions={"gulf-a": "gulf"})
    routing_state.adopt(make_configuration())
    fleet = Fleet(local_record=make_record("own"), clock=clock, rng=random.Random(1))
    placement = Placement(
        region="gulf",
        routing_state=routing_state,
        fleet=fleet,
        book=OccupancyBook(clock=clock),
        bounds=BOUNDS,
        clock=clock,
    )
    return GatewayDependencies(
        routing_state=routing_state,
        fleet=fleet,
        placement=placement,
        pools=pools,
        dialect=PlatformDialect(),
        stream_versions=StreamVersions(clock=clock, serving=routing_state.versions),
        stream_origins=None,
        memory=MemoryBudget(process_bytes=math.inf),
        bounds=bounds,
        regions=3,
        clock=clock,
        rng=random.Random(1),
    )


def make_attempt_loop(deps, reply, *, route=None, **options):
    req = make_request(received_at=deps.clock(), **options)
    return AttemptLoop(
        deps=deps,
        req=req,
        reply=reply,
        route=route or make_route(),
        service=make_service(),
        stamp=ConfigurationStamp(1, 0),
    )


def serve(deps, *, route=None, **options):
    reply = RecordingReply()
    attempt_loop = make_attempt_loop(deps, reply, route=route, **options)
    asyncio.run(attempt_loop.run())
    return reply


@pytest.mark.parametrize(
    ("hop_answer", "hops"), [(HOP_REFUSED, 1), (HOP_REACHED, 1), (HOP_NOT_REACHED, 2)]
)
def test_retry_after_a_hop_that_reached_a_target_is_charged_to_the_budget(
    hop_answer, hops
):
    pools, clock = CannedPools(hop_answer), Clock()
    deps = make_deps(pools, clock)
    load = {"desk": ServiceLoad(0.0, 0.0)}
    for region in ("delta", "piedmont"):
        record = make_record(region, region=region)
        announce(deps.fleet, record, loads=load)
    reply = serve(deps)
    assert len(pools.sent_to_peers) == hops
    assert reply.refusal.verdict.value == "not-run"
    assert reply.refusal.reached_target is (hops == 1)


# LOST: an entry VM of an older build serves the request without a look at its key.
@pytest.mark.parametrize("protocols", [(0, 0, 0, 1), (0, 0, 0, 0)])
def test_hop_of_a_tenant_prefers_entry_vms_that_know_tenants(protocols):
    pools = CannedPools(HOP_REFUSED)
    deps = make_deps(pools, Clock())
    for number, protocol in enumerate(protocols):
        record = make_record(f"e-{number}", region="delta", protocol=protocol)
        announce(deps.fleet, record, loads={"desk": ServiceLoad(0.0, 0.0)})
    digest = key_digest(b"k-1")
    serve(deps, tenant="acme", credential=digest, hides_credentials=True)
    (sent,) = pools.sent_to_peers
    assert b"x-tenant: acme\r\n" in sent
    assert (digest.hex().encode() in sent) is (1 in protocols)


class BrokenStream(CannedStream):
    """Response whose caller has left when it arrives."""

    async def wait_head(self):
        raise ConnectionResetError("the caller has left")


class BrokenPools(CannedPools):
    """Pools that send requests whose callers leave, before or after the send."""

    def __init__(self, *, sends):
        super().__init__()
        self._sends = sends

    def target_pool(self, registration, service):
        pool = super().target_pool(registration, service)
        pool.send = self._send
        return pool

    def _send(self, wire):
        if not self._sends:
            raise ConnectionResetError("the caller has left")
        return BrokenStream(MISDIRECTED)


# LOST: the quota of a request that runs would be given back as its caller leaves.
@pytest.mark.parametrize("sends", [False, True])
@pytest.mark.parametrize("cancelled", [False, True])
def test_request_whose_caller_left_has_not_run_only_before_it_was_sent(
    sends, cancelled
):
    deps = make_deps(BrokenPools(sends=sends), Clock())
    deps.routing_state.register(make_registration("i-1"))
    attempt_loop = make_attempt_loop(deps, RecordingReply())

    async def run():
        task = asyncio.create_task(attempt_loop.run())
        if cancelled:
            # The caller's task is cancelled after its attempt has ended.
            running = attempt_loop._progress.running
            while not (running.sole and running.sole.ended):
                await asyncio.sleep(0)
            task.cancel()
        await task

    with pytest.raises((ConnectionResetError, asyncio.CancelledError)):
        asyncio.run(run())
    assert attempt_loop.has_not_run is not sends


# LOST: what another region answers was begun, however long it takes to relay.
@pytest.mark.parametrize(("timeout_seconds", "hops"), [(60.0, 0), (2.0, 1)])
def test_leaving_process_hops_only_with_what_ends_in_time(timeout_seconds, hops):
    pools, clock = CannedPools(), Clock()
    deps = make_deps(pools, clock)
    record = make_record("delta", region="delta")
    announce(deps.fleet, record, loads={"desk": ServiceLoad(0.0, 0.0)})
    route = make_route(timeout_seconds=60.0)
    key = RouteKey("desk", route.name, route.kind is RequestKind.STREAM)
    running = deps.route_times.begin(key)
    clock.now += 5.0
    deps.route_times.end(running, whole=True)
    deps.seconds_left = lambda: 3.0
    reply = serve(deps, route=route, client_timeout_seconds=timeout_seconds)
    assert len(pools.sent_to_peers) == hops
    assert (reply.refusal.reason is RefusalReason.LEAVING) is (hops == 0)
    assert reply.refusal.verdict is Verdict.NOT_RUN


def test_target_replaced_at_its_address_is_ejected():
    pools, clock = CannedPools(), Clock()
    deps = make_deps(pools, clock)
    deps.routing_state.register(make_registration("i-1"))
    serve(deps)
    assert len(pools.sent_to_targets) == 1
    assert deps.placement.health("i-1").ejected
    serve(deps)
    assert len(pools.sent_to_targets) == 1


def test_retry_that_reached_no_target_is_charged_once():
    pools, clock = CannedPools(HOP_NOT_REACHED), Clock()
    deps = make_deps(pools, clock, bounds=ONE_RETRY_BOUNDS)
    deps.routing_state.register(make_registration("i-1"))
    load = {"desk": ServiceLoad(0.0, 0.0)}
    for region in ("delta", "piedmont"):
        record = make_record(region, region=region)
        announce(deps.fleet, record, loads=load)
    serve(deps)
    assert len(pools.sent_to_targets) == 1
    assert len(pools.sent_to_peers) == 2


def test_hop_headers_in_a_response_of_a_target_are_ignored():
    pools, clock = CannedPools(target_answer=HOP_NOT_REACHED), Clock()
    deps = make_deps(pools, clock)
    deps.routing_state.register(make_registration("i-1"))
    reply = serve(deps)
    assert reply.refusal.verdict.value == "may-have-run"
    assert reply.refusal.reached_target


@pytest.mark.parametrize(
    ("answer", "checked"), [(MISDIRECTED, False), ((200, MISDIRECTED[1]), True)]
)
def test_target_is_checked_for_a_crash_only_if_the_request_may_have_run(
    answer, checked, monkeypatch
):
    monkeypatch.setattr(CannedPool, "closed_by_peer", True)
    deps = make_deps(CannedPools(target_answer=answer), Clock())
    deps.routing_state.register(make_registration("i-1"))
    lost = []
    monkeypatch.setattr(
        deps.crash_watch, "connection_lost", lambda *args: lost.append(args)
    )
    serve(deps)
    assert bool(lost) is checked


@pytest.mark.parametrize("destination", ["target", "region"])
def test_connection_that_hangs_does_not_hold_a_request_past_its_time(destination):
    with unresponsive_address() as address:
        deps = make_deps(HangingPools(address), time.monotonic)
        if destination == "target":
            deps.routing_state.register(make_registration("i-1"))
        else:
            record = make_record("delta", region="delta")
            announce(deps.fleet, record, loads={"desk": ServiceLoad(0.0, 0.0)})
        started_at = time.monotonic()
        reply = serve(deps, client_timeout_seconds=0.5)
    assert time.monotonic() - started_at < 0.5 + 0.25
    assert reply.refusal.verdict.value == "not-run"
    assert not deps.placement.health("i-1").ejected


class HoldingPools:
    """Pools whose connections are opened by no one until the test ends them."""

    def __init__(self):
        self.targets = []
        self.ended = asyncio.Event()

    def target_pool(self, registration, service):
        self.targets.append(registration.id)
        return self

    async def acquire(self, *, unused=False, within_seconds=0.0):
        await self.ended.wait()
        raise AttemptFailure(
            detail="ended", verdict=Verdict.NOT_RUN, cause=FailureCause.LATE
        )


async def serve_at_once(deps, pools, count):
    """Start `count` requests in one iteration of the event loop."""
    loops = [
        AttemptLoop(
            deps=deps,
            req=make_request(id=f"r-{number}", received_at=deps.clock()),
            reply=RecordingReply(),
            route=make_route(max_targets=1),
            service=make_service(),
            stamp=ConfigurationStamp(1, 0),
        )
        for number in range(count)
    ]
    tasks = [asyncio.create_task(item.run()) for item in loops]
    await asyncio.sleep(0.05)
    targets = list(pools.targets)
    pools.ended.set()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return targets


def test_requests_that_arrive_at_once_are_spread_over_the_targets():
    async def check():
        pools = HoldingPools()
        deps = make_deps(pools, Clock())
        for number in range(4):
            deps.routing_state.register(make_registration(f"i-{number}"))
        return await serve_at_once(deps, pools, 4)

    assert len(set(asyncio.run(check()))) == 4


def test_requests_that_arrive_at_once_do_not_overfill_a_brittle_target():
    async def check():
        pools, clock = HoldingPools(), Clock()
        deps = make_deps(pools, clock)
        deps.routing_state.register(make_registration("i-1", slots=1))
        deps.placement.brittle_targets.record_answer(
            "i-1", 5.0, sent_at=clock(), rejected=False
        )
        return await serve_at_once(deps, pools, 4)

    assert len(asyncio.run(check())) == 1


class RecordedQuarantine:
    """Quarantine whose trial is due; asking for the wait takes the trial."""

    def __init__(self):
        self.trials_taken = 0

    def wait_seconds(self, request, *, makes_trial):
        self.trials_taken += 1


class SilentStream:
    conn_was_used = False
    held_back_at = None
    body_end = None

    async def wait_head(self):
        await asyncio.Event().wait()


class SilentPool(CannedPool):
    def send(self, wire):
        self._sent.append(wire.data)
        return SilentStream()


class SilentPools(CannedPools):
    def target_pool(self, registration, service):
        return SilentPool(None, self.sent_to_targets)

    def close_idle(self, target):
        pass


def test_stalled_request_without_a_grant_takes_no_trial_of_a_quarantine():
    pools = SilentPools()
    deps = make_deps(pools, time.monotonic)
    deps.crash_suspects = quarantine = RecordedQuarantine()
    for number in range(2):
        deps.routing_state.register(make_registration(f"i-{number}"))
    serve(deps, client_timeout_seconds=1.0)
    assert len(pools.sent_to_targets) == 1
    assert quarantine.trials_taken == 1


def test_stalled_request_for_which_no_target_is_left_keeps_no_grant():
    async def check():
        deps = make_deps(SilentPools(), time.monotonic, bounds=ONE_RETRY_BOUNDS)
        deps.routing_state.register(make_registration("i-1"))
        attempt_loop = AttemptLoop(
            deps=deps,
            req=make_request(received_at=deps.clock(), client_timeout_seconds=1.0),
            reply=RecordingReply(),
            route=make_route(),
            service=make_service(),
            stamp=ConfigurationStamp(1, 0),
        )
        task = asyncio.create_task(attempt_loop.run())
        await asyncio.sleep(0.1)
        for _ in range(4):
            deps.placement.health("i-1").record_connect_failure()
        await asyncio.sleep(0.6)
        granted = deps.retry_budget("desk").acquire(len(deps.fleet.known_ids()))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return granted

    assert asyncio.run(check())


class ReplacedPool(CannedPool):
    """Pool of a target that starts again while a request is at its earlier start."""

    held_back_at = None

    def __init__(self, pools):
        self._pools = pools

    def _fail(self, verdict, cause):
        self._pools.replace()
        raise AttemptFailure(detail="replaced", verdict=verdict, cause=cause)

    async def acquire(self, *, unused=False, within_seconds=0.0):
        if self._pools.cause is FailureCause.UNREACHABLE:
            self._fail(Verdict.NOT_RUN, FailureCause.UNREACHABLE)
        return self

    def send(self, wire):
        return self

    async def wait_head(self):
        self._fail(Verdict.MAY_HAVE_RUN, self._pools.cause)

    head = body_end = None


class FullPool(CannedPool):
    def __init__(self):
        pass

    async def acquire(self, *, unused=False, within_seconds=0.0):
        raise AttemptFailure(
            detail="full", verdict=Verdict.NOT_RUN, cause=FailureCause.REFUSED
        )


class ReplacedPools(CannedPools):
    def __init__(self, cause, clock):
        super().__init__()
        self.cause = cause
        self.deps = make_deps(self, clock)
        self._clock = clock
        self.deps.routing_state.register(make_registration(started_at=1))

    def target_pool(self, registration, service):
        return ReplacedPool(self) if registration.started_at == 1 else FullPool()

    def replace(self):
        self._clock.now += 9.0
        self.deps.routing_state.register(make_registration(started_at=2, port=9001))

    def close_idle(self, target):
        pass


def is_impaired(health):
    return (
        health.ejected
        or health.last_connect_failed
        or health.failure_rate > 0.0
        or health.latency_ratio != 1.0
    )


@pytest.mark.parametrize(
    "cause", [FailureCause.UNREACHABLE, FailureCause.BROKEN, FailureCause.SILENT]
)
def test_failure_of_an_earlier_start_does_not_count_for_the_new_one(cause):
    pools = ReplacedPools(cause, Clock())
    serve(pools.deps, client_timeout_seconds=60.0)
    health = pools.deps.placement.health("i-1")
    assert pools.deps.routing_state.target("i-1").registration.started_at == 2
    assert not is_impaired(health)


@pytest.mark.parametrize("replaced", [False, True])
def test_crash_of_an_earlier_start_does_not_eject_the_new_one(replaced):
    async def check():
        deps = make_deps(CannedPools(), Clock())
        deps.routing_state.register(make_registration(started_at=1))
        state = deps.routing_state.target("i-1")
        with unresponsive_address() as address:
            pass
        pool = ConnectionPool(address=address, limit=1)
        exposure = deps.crash_watch.expose(request_traits(make_request()))
        deps.crash_watch.connection_lost(state, pool, exposure)
        if replaced:
            deps.routing_state.register(make_registration(started_at=2, port=9001))
        await asyncio.sleep(CRASH_CHECK_DELAY_SECONDS + 0.1)
        return deps

    deps = asyncio.run(check())
    assert deps.crash_suspects._records.suspects()
    assert deps.placement.health("i-1").ejected is not replaced


class RestartingPools(CannedPools):
    """Pools of a target that starts again, cold, as a connection to it is opened."""

    def target_pool(self, registration, service):
        pool = super().target_pool(registration, service)
        pool.acquire = partial(self._acquire, pool)
        return pool

    async def _acquire(self, pool, **options):
        self.deps.routing_state.register(
            make_registration(started_at=2, cold_seconds=3.0)
        )
        return pool


# A request that was placed at a warm target reached its new start beyond its limit.
def test_request_that_waits_for_a_connection_is_not_sent_to_a_cold_new_start():
    pools = RestartingPools()
    pools.deps = make_deps(pools, Clock())
    pools.deps.routing_state.register(make_registration(started_at=1))
    reply = serve(pools.deps)
    assert pools.sent_to_targets == []
    assert reply.refusal.verdict is Verdict.NOT_RUN


class ProvedStarts:
    async def wait(self, subjects, *, within_seconds):
        return False


class KnownOrigins:
    async def version_of(self, service, request_id):
        return "v1"


@pytest.mark.parametrize("version", ["v1", "v2"])
def test_stream_is_not_sent_to_a_version_that_joined_after_the_choice(version):
    pools, clock = CannedPools(), Clock()
    deps = make_deps(pools, clock)
    deps.stream_origins = KnownOrigins()
    deps.start_proofs = ProvedStarts()
    deps.routing_state.register(make_registration(started_at=1, version="v1"))
    choose = deps.placement.choose

    def choose_before_a_restart(*args, **options):
        registration = make_registration(started_at=2, version=version)
        loop = asyncio.get_running_loop()
        loop.call_soon(deps.routing_state.register, registration)
        return choose(*args, **options)

    deps.placement.choose = choose_before_a_restart
    serve(
        deps,
        route=make_route(kind=RequestKind.STREAM, resumable=True),
        resumes="s-1",
        resume_after=2,
    )
    assert len(pools.sent_to_targets) == (version == "v1")
