"""The gateway's own decisions at one simulated entry VM."""

import random
from functools import partial

import msgspec

from pimentospool.bench._policy_engine import ModelledEngine
from pimentospool.bench._policy_simulation import EntryNode, Request, Simulation
from pimentospool.ids import RegionId, TargetId
from pimentospool.policy import (
    CustomerLimiter,
    QueueRefusal,
    QueueTicket,
    QuotaShares,
    RegionFlight,
    RegionRoute,
    RouteQuery,
    Router,
    RouteRefusal,
    TargetFlight,
    WaitQueue,
)

POLL_SECONDS = 0.2


class _Held(msgspec.Struct, eq=False):
    """A request at this entry VM."""

    hopped: bool
    admitted: bool
    deadline: float
    excluded: frozenset[RegionId] = frozenset()
    flight: TargetFlight | RegionFlight | None = None
    ticket: QueueTicket | None = None


class GatewayPolicy:
    """Routes, limits and queues as an entry process does.

    Parameters
    ----------
    sim : Simulation
        The deployment.
    node : EntryNode
        The entry VM.
    seed : str
        Seed of its random choices.
    """

    def __init__(self, *, sim: Simulation, node: EntryNode, seed: str) -> None:
        self._sim = sim
        self._node = node
        clock = sim.time.clock
        self._shares = QuotaShares(entry=node.entry, clock=clock)
        self.read_vm_list()
        self.router = Router(
            region=node.region,
            entry=node.entry,
            clock=clock,
            rng=random.Random(seed),
            shares=self._shares,
        )
        self.router.set_manifest(sim.index)
        mine = [peer for peer in sim.nodes if peer.region == node.region]
        self.router.set_entry_count(len(mine))
        self._limiter = CustomerLimiter(shares=self._shares, clock=clock)
        self._queue = WaitQueue(capacity=sim.index.manifest.limits.queue_length)
        self._held: dict[int, _Held] = {}
        self._waiting: dict[QueueTicket, Request] = {}
        self._next_events: dict[TargetId, int] = {}
        self._polling = False

    def submit(self, req: Request, *, hopped: bool) -> None:
        """Admit, route or refuse the request."""
        if req.ended:
            return
        arrival = req.arrival
        held = _Held(hopped, not hopped, arrival.at + arrival.deadline_seconds)
        if not hopped:
            tokens = arrival.prompt_tokens + arrival.max_tokens
            pressure = len(self._queue) / max(1, self._queue.capacity)
            refused = self._limiter.admit(
                arrival.customer, tokens=tokens, pressure=pressure
            )
            if refused is not None:
                self._sim.refuse(req, refused.detail)
                return
        self._held[id(req)] = held
        self._route(req, held)

    def first_token(self, req: Request) -> None:
        """Tell the flight that the answer has begun."""
        held = self._held.get(id(req))
        if held is not None and held.flight is not None:
            held.flight.first_token()

    def finished(self, req: Request, *, served: bool) -> None:
        """Release what the request holds and give a waiting one its turn."""
        held = self._held.pop(id(req), None)
        if held is None:
            return
        if held.flight is not None:
            held.flight.finish()
        if held.ticket is not None:
            self._queue.cancel(held.ticket)
            self._waiting.pop(held.ticket, None)
        if held.admitted:
            self._limiter.finished(req.arrival.customer)
        self._wake()

    def poll(self, engine: ModelledEngine) -> None:
        """Take over an engine's load report and cache events."""
        target = engine.target.id
        self.router.apply_load_report(target, engine.load())
        events = engine.events(self._next_events.get(target, 0))
        self._next_events[target] = events.next
        self.router.apply_cache_events(target, events)

    def read_vm_list(self) -> None:
        """Take over which entry VMs there are."""
        self._shares.set_entries(peer.entry for peer in self._sim.nodes if peer.alive)

    def exchange(self) -> None:
        """Send the summary to every entry VM that can be reached."""
        summary = self.router.region_summary()
        sim = self._sim
        for peer in sim.nodes:
            if peer is self._node or not peer.alive:
                continue
            if sim.connected(self._node.region, peer.region):
                take = partial(_deliver, sim, peer, summary)
                sim.time.after(sim.delay(self._node.region, peer.region), take)

    def _route(self, req: Request, held: _Held) -> None:
        query = self._query(req, held)
        route = self.router.choose(query)
        if isinstance(route, RouteRefusal):
            self._wait_or_refuse(req, held, route)
            return
        if held.ticket is not None:
            self._queue.record_served(self._sim.time.now)
            held.ticket = None
        held.flight = self.router.start(route, query)
        if isinstance(route, RegionRoute):
            failed = partial(self._hop_failed, req, route.region)
            self._sim.send_to_region(self._node, req, route.region, failed)
        else:
            self._sim.send_to_target(self._node, req, route.target.id)

    def _query(self, req: Request, held: _Held) -> RouteQuery:
        arrival = req.arrival
        sim = self._sim
        return RouteQuery(
            allowed_regions=frozenset(arrival.customer.allowed_regions),
            model=arrival.customer.models[0],
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.max_tokens,
            blocks=arrival.blocks,
            is_hop=held.hopped,
            excluded_regions=held.excluded | sim.unreachable(self._node.region),
            remaining_seconds=max(0.0, held.deadline - sim.time.now),
        )

    def _wait_or_refuse(self, req: Request, held: _Held, refusal: RouteRefusal) -> None:
        now = self._sim.time.now
        place = None
        if refusal.may_wait:
            place = self._queue.offer(
                deadline=held.deadline, work_seconds=refusal.work_seconds, now=now
            )
        if place is None or isinstance(place, QueueRefusal):
            detail = place.detail if place is not None else refusal.detail
            self._refuse(req, held, detail)
            return
        held.ticket = place
        self._waiting[place] = req
        if not self._polling:
            self._polling = True
            self._sim.time.after(POLL_SECONDS, self._poll_queue)

    def _refuse(self, req: Request, held: _Held, detail: str) -> None:
        if held.hopped:
            ingress = self._sim.ingress(req)
            self._held.pop(id(req), None)
            way = self._sim.delay(self._node.region, ingress.region)
            policy = ingress.policy
            assert isinstance(policy, GatewayPolicy)
            self._sim.time.after(
                way, partial(policy._hop_failed, req, self._node.region)
            )
            return
        self._sim.refuse(req, detail)

    def _hop_failed(self, req: Request, region: RegionId) -> None:
        held = self._held.get(id(req))
        if held is None or req.ended:
            return
        if held.flight is not None:
            held.flight.failed()
            held.flight = None
        req.away = False
        held.excluded |= {region}
        self._route(req, held)

    def _poll_queue(self) -> None:
        self._polling = False
        self._wake()
        if self._waiting and not self._polling:
            self._polling = True
            self._sim.time.after(POLL_SECONDS, self._poll_queue)

    def _wake(self) -> None:
        ticket = self._queue.pop()
        req = self._waiting.pop(ticket, None) if ticket is not None else None
        if req is None or req.ended:
            return
        held = self._held.get(id(req))
        if held is not None:
            self._route(req, held)


def _deliver(sim: Simulation, peer: EntryNode, summary: object) -> None:
    if peer.alive and isinstance(peer.policy, GatewayPolicy):
        peer.policy.router.set_region_summary(summary, sim.time.now)  # type: ignore[arg-type]
