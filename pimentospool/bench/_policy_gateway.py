"""The gateway's real policy code at one simulated entry VM."""

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

QUEUE_POLL_INTERVAL_SECONDS = 0.2


class _RequestState(msgspec.Struct, eq=False):
    """State of a request at this entry VM; `admitted` if the limiter counts it."""

    is_hop: bool
    admitted: bool
    deadline: float
    excluded: frozenset[RegionId] = frozenset()
    flight: TargetFlight | RegionFlight | None = None
    ticket: QueueTicket | None = None


class GatewayPolicy:
    """Routes, limits and queues requests as an entry process does.

    Parameters
    ----------
    sim : Simulation
        Simulated deployment.
    node : EntryNode
        Entry VM that the policy belongs to.
    seed : str
        Seed of the router's random choices.
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
        local_nodes = [peer for peer in sim.nodes if peer.region == node.region]
        self.router.set_entry_count(len(local_nodes))
        self._limiter = CustomerLimiter(shares=self._shares, clock=clock)
        self._queue = WaitQueue(capacity=sim.index.manifest.limits.queue_length)
        self._states: dict[int, _RequestState] = {}
        self._waiting: dict[QueueTicket, Request] = {}
        self._next_events: dict[TargetId, int] = {}
        self._poll_scheduled = False

    def submit(self, req: Request, *, is_hop: bool) -> None:
        """Admit, route or refuse the request."""
        if req.ended:
            return
        arrival = req.arrival
        state = _RequestState(is_hop, not is_hop, arrival.at + arrival.deadline_seconds)
        if not is_hop:
            tokens = arrival.prompt_tokens + arrival.max_tokens
            pressure = len(self._queue) / max(1, self._queue.capacity)
            refusal = self._limiter.admit(
                arrival.customer, tokens=tokens, pressure=pressure
            )
            if refusal is not None:
                self._sim.refuse(req, refusal.detail)
                return
        self._states[id(req)] = state
        self._route(req, state)

    def first_token(self, req: Request) -> None:
        """Record the first token of the response."""
        state = self._states.get(id(req))
        if state is not None and state.flight is not None:
            state.flight.first_token()

    def finished(self, req: Request, *, served: bool) -> None:
        """Release the request's resources and route the next waiting request."""
        state = self._states.pop(id(req), None)
        if state is None:
            return
        if state.flight is not None:
            state.flight.finish()
        if state.ticket is not None:
            self._queue.cancel(state.ticket)
            self._waiting.pop(state.ticket, None)
        if state.admitted:
            self._limiter.finished(req.arrival.customer)
        self._route_next_waiting()

    def read_reports(self, engine: ModelledEngine) -> None:
        """Apply an engine's load report and new cache events."""
        target = engine.target.id
        self.router.apply_load_report(target, engine.load())
        events = engine.events(self._next_events.get(target, 0))
        self._next_events[target] = events.next
        self.router.apply_cache_events(target, events)

    def read_vm_list(self) -> None:
        """Update the set of entry VMs that share quotas."""
        self._shares.set_entries(peer.entry for peer in self._sim.nodes if peer.alive)

    def send_summaries(self) -> None:
        """Send the region's load summary to every reachable entry VM."""
        summary = self.router.region_summary()
        sim = self._sim
        for peer in sim.nodes:
            if peer is self._node or not peer.alive:
                continue
            if sim.connected(self._node.region, peer.region):
                deliver = partial(_deliver_summary, sim, peer, summary)
                sim.time.after(sim.delay(self._node.region, peer.region), deliver)

    def _route(self, req: Request, state: _RequestState) -> None:
        query = self._make_query(req, state)
        route = self.router.choose(query)
        if isinstance(route, RouteRefusal):
            self._wait_or_refuse(req, state, route)
            return
        if state.ticket is not None:
            self._queue.record_served(self._sim.time.now)
            state.ticket = None
        state.flight = self.router.start(route, query)
        if isinstance(route, RegionRoute):
            on_failure = partial(self._hop_failed, req, route.region)
            self._sim.send_to_region(self._node, req, route.region, on_failure)
        else:
            self._sim.send_to_target(self._node, req, route.target.id)

    def _make_query(self, req: Request, state: _RequestState) -> RouteQuery:
        arrival = req.arrival
        sim = self._sim
        return RouteQuery(
            allowed_regions=frozenset(arrival.customer.allowed_regions),
            model=arrival.customer.models[0],
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.max_tokens,
            blocks=arrival.blocks,
            is_hop=state.is_hop,
            excluded_regions=state.excluded | sim.unreachable(self._node.region),
            remaining_seconds=max(0.0, state.deadline - sim.time.now),
        )

    def _wait_or_refuse(
        self, req: Request, state: _RequestState, refusal: RouteRefusal
    ) -> None:
        now = self._sim.time.now
        queue_result = None
        if refusal.may_wait:
            queue_result = self._queue.offer(
                deadline=state.deadline, work_seconds=refusal.work_seconds, now=now
            )
        if queue_result is None or isinstance(queue_result, QueueRefusal):
            detail = queue_result.detail if queue_result is not None else refusal.detail
            self._refuse(req, state, detail)
            return
        state.ticket = queue_result
        self._waiting[queue_result] = req
        if not self._poll_scheduled:
            self._poll_scheduled = True
            self._sim.time.after(QUEUE_POLL_INTERVAL_SECONDS, self._poll_queue)

    def _refuse(self, req: Request, state: _RequestState, detail: str) -> None:
        if state.is_hop:
            ingress = self._sim.ingress(req)
            self._states.pop(id(req), None)
            delay_seconds = self._sim.delay(self._node.region, ingress.region)
            policy = ingress.policy
            assert isinstance(policy, GatewayPolicy)
            self._sim.time.after(
                delay_seconds, partial(policy._hop_failed, req, self._node.region)
            )
            return
        self._sim.refuse(req, detail)

    def _hop_failed(self, req: Request, region: RegionId) -> None:
        state = self._states.get(id(req))
        if state is None or req.ended:
            return
        if state.flight is not None:
            state.flight.failed()
            state.flight = None
        req.sent_away = False
        state.excluded |= {region}
        self._route(req, state)

    def _poll_queue(self) -> None:
        self._poll_scheduled = False
        self._route_next_waiting()
        if self._waiting and not self._poll_scheduled:
            self._poll_scheduled = True
            self._sim.time.after(QUEUE_POLL_INTERVAL_SECONDS, self._poll_queue)

    def _route_next_waiting(self) -> None:
        ticket = self._queue.pop()
        req = self._waiting.pop(ticket, None) if ticket is not None else None
        if req is None or req.ended:
            return
        state = self._states.get(id(req))
        if state is not None:
            self._route(req, state)


def _deliver_summary(sim: Simulation, peer: EntryNode, summary: object) -> None:
    if peer.alive and isinstance(peer.policy, GatewayPolicy):
        peer.policy.router.set_region_summary(summary, sim.time.now)  # type: ignore[arg-type]
