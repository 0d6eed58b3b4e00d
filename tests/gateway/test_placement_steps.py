"""Routing, limits, repeats, cold targets and budgets together, by generated steps."""

import random
from collections import Counter

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

from pimentospool.gateway import (
    Knowledge,
    Prompt,
    PromptPart,
    RequestKind,
    SharedBounds,
)
from pimentospool.gateway._fleet import Fleet, FleetMessage, ServiceLoad
from pimentospool.gateway._placement import Placing
from pimentospool.gateway._progress import Progress
from pimentospool.policy import (
    NoChoice,
    OccupancyBook,
    RegionChoice,
    RepeatBudget,
    TargetChoice,
)
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

STEPS = 25_000
SEEDS = range(5)
ZONES = {"gulf-a": "gulf", "gulf-b": "gulf", "delta-a": "delta", "pied-a": "piedmont"}
BOUNDS = SharedBounds(
    repeat_ratio=0.2,
    repeat_reserve=56,
    repeat_window_seconds=10.0,
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


class World:
    """One entry VM with its facts, changed by random steps."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.knowledge = Knowledge(clock=self.clock, zone_regions=ZONES)
        self.version = 1
        self.adopt()
        self.fleet = Fleet(
            own=make_record("own", loads={}), clock=self.clock, rng=self.rng
        )
        self.book = OccupancyBook(clock=self.clock)
        self.placing = Placing(
            region="gulf",
            knowledge=self.knowledge,
            fleet=self.fleet,
            book=self.book,
            bounds=BOUNDS,
            clock=self.clock,
        )
        self.budget = RepeatBudget(
            ratio=0.2, reserve=56, regions=3, window_seconds=10.0, clock=self.clock
        )
        self.beat = 1
        self.cold_sends = {}
        self.seen = Counter()
        self.open = []

    def adopt(self):
        self.knowledge.adopt(
            make_configuration(*ROUTES, version=self.version, services=SERVICES)
        )

    def step(self):
        facts = [self.register, self.remove, self.evacuate, self.hear, self.configure]
        use = [self.serve, self.serve, self.serve, self.end, self.wait]
        self.rng.choice([*facts, *use])()

    def register(self):
        rng = self.rng
        number = rng.randrange(8)
        self.knowledge.register(
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
        known = self.knowledge.known_targets()
        if known:
            self.knowledge.deregister(
                self.rng.choice(known), lapsed=self.rng.random() < 0.5
            )

    def evacuate(self):
        zones = {zone for zone in ZONES if self.rng.random() < 0.1}
        self.knowledge.replace_evacuated(zones)

    def hear(self):
        self.beat += 1
        region = self.rng.choice(["gulf", "delta", "piedmont"])
        load = ServiceLoad(self.rng.random(), self.rng.random())
        record = make_record(
            f"{region}-{self.rng.randrange(3)}",
            region=region,
            heartbeat=self.beat,
            loads={"llm": load, "desk": load},
        )
        self.fleet.receive(FleetMessage(sender=record, relayed=[], occupancy={}))

    def wait(self):
        self.clock.now += self.rng.choice([0.01, 0.1, 0.5, 2.0])

    def configure(self):
        older = self.rng.random() < 0.5
        before = self.knowledge.configuration.version
        self.version = before - 1 if older else before + self.rng.randrange(1, 4)
        self.adopt()
        assert self.knowledge.configuration.version >= before

    def end(self):
        if self.open:
            self.open.pop(self.rng.randrange(len(self.open))).end()

    def serve(self):
        rng, route = self.rng, self.rng.choice(ROUTES)
        prompt = None
        if route.services[0].service == "llm":
            parts = (PromptPart(f"p{rng.randrange(5)}", 900), PromptPart("own", 100))
            prompt = Prompt(tokens=1000, max_output_tokens=100, parts=parts)
        req = make_request(route.prefix, prompt=prompt, hopped=rng.random() < 0.2)
        service = self.knowledge.configuration.services[route.services[0].service]
        progress = Progress(route=route, max_targets=route.max_targets)
        may_have_run, sends = [], 0
        while True:
            choice = self.placing.choose(
                req, route, service, progress, patience_seconds=rng.random() * 5
            )
            if isinstance(choice, NoChoice):
                assert choice.retry_after_seconds > 0
                self.seen["refused"] += 1
                break
            if sends:
                # A request that may have run is repeated only where that is allowed.
                assert not may_have_run or route.repeatable
            sends += 1
            self.check(choice, req, route, service)
            exc = self.outcome(choice, req)
            if exc is None:
                return
            is_target = isinstance(choice, TargetChoice)
            if exc.verdict is not Verdict.NOT_RUN:
                may_have_run.append(
                    choice.candidate.target if is_target else choice.region
                )
            progress.failed(
                exc,
                target=choice.candidate.target if is_target else None,
                region=None if is_target else choice.region,
            )
            assert len(set(may_have_run)) <= route.max_targets
            if not progress.may_repeat(reply_started=False):
                break
            self.seen["repeat"] += 1
            if not self.budget.take(len(self.fleet.known_ids())):
                break
        refusal = progress.refusal("", None)
        assert (refusal.verdict is Verdict.NOT_RUN) == (not may_have_run)

    def check(self, choice, req, route, service):
        if isinstance(choice, RegionChoice):
            assert not req.hopped
            assert route.allows(choice.region)
            assert choice.region != "gulf"
            self.seen["region"] += 1
            return
        self.seen["target"] += 1
        assert route.allows("gulf")
        state = self.knowledge.target(choice.candidate.target)
        assert state.registration.service == service.id
        assert not state.registration.leaving
        assert state.registration.zone not in self.knowledge.evacuated
        assert self.knowledge.region_of(state.registration.zone) == "gulf"
        if state.is_cold(self.clock.now):
            last = self.cold_sends.get((state.id, state.registration.started_at))
            assert last is None or self.clock.now - last >= 1.0
            key = (state.id, state.registration.started_at)
            self.cold_sends[key] = self.clock.now
            self.seen["cold"] += 1

    def outcome(self, choice, req):
        """Return how the attempt failed, None if it was answered."""
        rng = self.rng
        if isinstance(choice, TargetChoice):
            assignment = self.placing.begin(req, choice.candidate)
            if rng.random() < 0.5:
                self.open.append(assignment)
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
            self.budget.request_sent()
            return None
        if cause is FailureCause.UNREACHABLE and isinstance(choice, TargetChoice):
            self.placing.health(choice.candidate.target).unreachable()
        return AttemptFailure(detail="step", verdict=verdict, cause=cause)


@pytest.mark.parametrize("seed", SEEDS)
def test_generated_steps_keep_every_bound(seed):
    world = World(seed)
    for _ in range(STEPS):
        world.step()
    for assignment in world.open:
        assignment.end()
    assert world.book.own() == {}
    for case in ("target", "region", "refused", "repeat", "cold"):
        assert world.seen[case] > 50, world.seen
