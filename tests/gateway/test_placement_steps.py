"""Routing, limits, retries, cold targets and budgets together, by random steps."""

import random
from collections import Counter

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
    Prompt,
    PromptPart,
    RequestKind,
    RoutingState,
    SharedBounds,
)
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import ServiceLoad
from pimentospool.gateway._placement import Placement
from pimentospool.gateway._progress import RequestProgress
from pimentospool.policy import (
    NoChoice,
    OccupancyBook,
    RegionChoice,
    SharedRetryBudget,
    TargetChoice,
)
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

STEPS = 25_000
SEEDS = range(5)
ZONES = {"gulf-a": "gulf", "gulf-b": "gulf", "delta-a": "delta", "pied-a": "piedmont"}
BOUNDS = SharedBounds(
    retry_ratio=0.2,
    retry_reserve=56,
    retry_window_seconds=10.0,
    cold_overage=1.5,
    cold_slack=3.0,
)
SERVICES = [
    make_service("llm", engine=True, cold_seconds=3.0, cold_requests_per_second=2.3),
    make_service("desk"),
]
ROUTES = [
    make_route("/ask/", services=("llm",), kind=RequestKind.STREAM, resumable=True),
    make_route("/plan/", services=("llm",), kind=RequestKind.STREAM, max_targets=1),
    make_route("/book/", kind=RequestKind.NON_IDEMPOTENT, max_targets=1),
    make_route("/look/"),
    make_route("/home/", services=("llm",), home_regions=frozenset({"delta"})),
]


class EntrySimulation:
    """One entry VM whose routing state, membership and requests change at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.routing_state = RoutingState(clock=self.clock, zone_regions=ZONES)
        self.version = 1
        self.adopt_configuration()
        self.fleet = Fleet(
            local_record=make_record("own"), clock=self.clock, rng=self.rng
        )
        self.book = OccupancyBook(clock=self.clock)
        self.placement = Placement(
            region="gulf",
            routing_state=self.routing_state,
            fleet=self.fleet,
            book=self.book,
            bounds=BOUNDS,
            clock=self.clock,
        )
        self.budget = SharedRetryBudget(
            ratio=0.2, reserve=56, regions=3, window_seconds=10.0, clock=self.clock
        )
        self.heartbeat = 1
        self.last_cold_send_at = {}
        self.case_counts = Counter()
        self.open_assignments = []

    def adopt_configuration(self):
        self.routing_state.adopt(
            make_configuration(*ROUTES, version=self.version, services=SERVICES)
        )

    def step(self):
        state_changes = [
            self.register,
            self.remove,
            self.evacuate,
            self.receive_heartbeat,
            self.publish_configuration,
        ]
        request_steps = [
            self.serve_request,
            self.serve_request,
            self.serve_request,
            self.end_assignment,
            self.advance_clock,
        ]
        self.rng.choice([*state_changes, *request_steps])()

    def register(self):
        rng = self.rng
        number = rng.randrange(8)
        self.routing_state.register(
            make_registration(
                f"i-{number}",
                port=9000 + number,
                service="llm" if number % 2 else "desk",
                zone=rng.choice(list(ZONES)),
                leaving=rng.random() < 0.15,
                cold_seconds=rng.choice([0.0, 0.0, 2.0]),
                started_at=rng.randrange(2),
            )
        )

    def remove(self):
        known = self.routing_state.known_targets()
        if known:
            self.routing_state.deregister(
                self.rng.choice(known), expired=self.rng.random() < 0.5
            )

    def evacuate(self):
        zones = {zone for zone in ZONES if self.rng.random() < 0.1}
        self.routing_state.replace_evacuated(zones)

    def receive_heartbeat(self):
        self.heartbeat += 1
        region = self.rng.choice(["gulf", "delta", "piedmont"])
        load = ServiceLoad(self.rng.random(), self.rng.random())
        record = make_record(
            f"{region}-{self.rng.randrange(3)}",
            region=region,
        )
        announce(
            self.fleet,
            record,
            heartbeat=self.heartbeat,
            loads={"llm": load, "desk": load},
        )

    def advance_clock(self):
        self.clock.now += self.rng.choice([0.01, 0.1, 0.5, 2.0])

    def publish_configuration(self):
        older = self.rng.random() < 0.5
        before = self.routing_state.configuration.version
        self.version = before - 1 if older else before + self.rng.randrange(1, 4)
        self.adopt_configuration()
        assert self.routing_state.configuration.version >= before

    def end_assignment(self):
        if self.open_assignments:
            self.open_assignments.pop(
                self.rng.randrange(len(self.open_assignments))
            ).end()

    def serve_request(self):
        rng, route = self.rng, self.rng.choice(ROUTES)
        prompt = None
        if route.services[0].service == "llm":
            parts = (PromptPart(f"p{rng.randrange(5)}", 900), PromptPart("own", 100))
            prompt = Prompt(tokens=1000, max_output_tokens=100, parts=parts)
        req = make_request(route.prefix, prompt=prompt, is_hop=rng.random() < 0.2)
        service = self.routing_state.configuration.services[route.services[0].service]
        progress = RequestProgress(route=route, max_targets=route.max_targets)
        may_have_run, sends = [], 0
        while True:
            choice = self.placement.choose(
                req,
                route,
                service,
                progress,
                first_byte_timeout_seconds=rng.random() * 5,
            )
            if isinstance(choice, NoChoice):
                assert choice.retry_after_seconds > 0
                self.case_counts["refused"] += 1
                break
            if sends:
                # A request that may have run is only retried where that is allowed.
                assert not may_have_run or route.retryable
            sends += 1
            self.check_choice(choice, req, route, service)
            exc = self.simulate_attempt(choice, req)
            if exc is None:
                return
            is_target = isinstance(choice, TargetChoice)
            if exc.verdict is not Verdict.NOT_RUN:
                may_have_run.append(
                    choice.candidate.target if is_target else choice.region
                )
            progress.record_failure(
                exc,
                target=choice.candidate.target if is_target else None,
                region=None if is_target else choice.region,
            )
            assert len(set(may_have_run)) <= route.max_targets
            if not progress.may_retry(reply_started=False):
                break
            self.case_counts["retry"] += 1
            if not self.budget.acquire(len(self.fleet.known_ids())):
                break
        refusal = progress.refusal("", None)
        assert (refusal.verdict is Verdict.NOT_RUN) == (not may_have_run)

    def check_choice(self, choice, req, route, service):
        if isinstance(choice, RegionChoice):
            assert not req.is_hop
            assert route.allows(choice.region)
            assert choice.region != "gulf"
            self.case_counts["region"] += 1
            return
        self.case_counts["target"] += 1
        assert route.allows("gulf")
        state = self.routing_state.target(choice.candidate.target)
        assert state.registration.service == service.id
        assert not state.registration.leaving
        assert state.registration.zone not in self.routing_state.evacuated
        assert self.routing_state.region_of(state.registration.zone) == "gulf"
        if state.is_cold(self.clock.now):
            last_sent_at = self.last_cold_send_at.get(
                (state.id, state.registration.started_at)
            )
            assert last_sent_at is None or self.clock.now - last_sent_at >= 1.0
            key = (state.id, state.registration.started_at)
            self.last_cold_send_at[key] = self.clock.now
            self.case_counts["cold"] += 1

    def simulate_attempt(self, choice, req):
        """Simulate an attempt; return its failure, None if it was answered."""
        rng = self.rng
        if isinstance(choice, TargetChoice):
            assignment = self.placement.begin_assignment(req, choice.candidate)
            if rng.random() < 0.5:
                self.open_assignments.append(assignment)
            else:
                assignment.first_event()
                assignment.end()
        verdict, cause = rng.choice(
            [
                (None, None),
                (Verdict.NOT_RUN, FailureCause.REFUSED),
                (Verdict.NOT_RUN, FailureCause.UNREACHABLE),
                (Verdict.MAY_HAVE_RUN, FailureCause.BROKEN),
                (Verdict.RAN, FailureCause.TARGET_ERROR),
            ]
        )
        if verdict is None:
            self.budget.record_request()
            return None
        if cause is FailureCause.UNREACHABLE and isinstance(choice, TargetChoice):
            self.placement.health(choice.candidate.target).record_connect_failure()
        return AttemptFailure(detail="step", verdict=verdict, cause=cause)


@pytest.mark.parametrize("seed", SEEDS)
def test_random_steps_keep_every_limit(seed):
    simulation = EntrySimulation(seed)
    for _ in range(STEPS):
        simulation.step()
    for assignment in simulation.open_assignments:
        assignment.end()
    assert simulation.book.local_occupancy() == {}
    for case in ("target", "region", "refused", "retry", "cold"):
        assert simulation.case_counts[case] > 50, simulation.case_counts
