"""Routing: where a request may go, and how it follows load and failures."""

import random

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from pimentospool._generated.engine import (
    CacheEvent,
    CacheEvents,
    EngineState,
    LoadedModel,
    LoadReport,
)
from pimentospool._generated.loads import PoolSummary, RegionSummary
from pimentospool.errors import Reason
from pimentospool.ids import EntryId, RegionId
from pimentospool.policy import (
    RegionRoute,
    RouteQuery,
    Router,
    RouteRefusal,
    TargetRoute,
    _knowledge,
    _pools,
    _routing,
)

REGIONS = ["gulf", "piedmont", "delta"]
TARGETS = [f"gulf-engine-{n}" for n in (1, 2, 3)]
MODEL = "care-assistant"


def query(**changes):
    given_fields = {
        "allowed_regions": frozenset(REGIONS),
        "model": MODEL,
        "prompt_tokens": 200,
        "max_tokens": 16,
    }
    return RouteQuery(**(given_fields | changes))


def busy(running=0, waiting=0, tokens=0, age=0.0):
    return LoadReport(
        running=running, waiting=waiting, waiting_tokens=tokens, age_seconds=age
    )


def summary(region, *, in_flight=0.0, wait=0.0, entry="x"):
    pool = PoolSummary(
        name=MODEL,
        targets=3,
        slots=24,
        in_flight=in_flight,
        short_wait_ms=wait,
        long_wait_ms=wait,
    )
    return RegionSummary(region=region, entry=EntryId(entry), pools=[pool])


def test_no_manifest_is_not_ready(clock):
    router = Router(
        region=RegionId("gulf"), entry=EntryId("e"), clock=clock, rng=random.Random(1)
    )
    assert router.choose(query()).reason is Reason.NOT_READY


def test_reported_load_moves_requests_to_the_idle_target(router):
    router.take_load("gulf-engine-1", busy(running=8, waiting=9, tokens=9000))
    router.take_load("gulf-engine-2", busy(running=8, waiting=9, tokens=9000))
    router.take_load("gulf-engine-3", busy())
    chosen = {router.choose(query()).target.id for _ in range(20)}
    assert chosen == {"gulf-engine-3"}


def test_own_requests_since_a_report_count(router):
    for target in TARGETS:
        router.take_load(target, busy())
    counts = dict.fromkeys(TARGETS, 0)
    for _ in range(24):
        route = router.choose(query(hopped=True))
        router.start(route, query())
        counts[route.target.id] += 1
    assert min(counts.values()) >= 5


def test_others_work_is_own_subtracted_and_fades(router, clock):
    target = router.choose(query()).target.id
    for _ in range(4):
        route = router.choose(query(excluded_targets=frozenset(TARGETS) - {target}))
        router.start(route, query())
    clock.now += 1.0
    router.take_load(target, busy(running=8))
    state = router._known.targets[target]
    assert state.work.in_flight(clock.now) == pytest.approx(8.0)
    state.work.apply_report(busy(running=4), clock.now)
    assert state.work.in_flight(clock.now) == pytest.approx(4.0)
    clock.now += 60.0
    assert 4.0 < state.work.in_flight(clock.now) < 8.0


def test_a_warm_prefix_is_found_from_events_and_own_requests(router, clock):
    blocks = tuple(f"b{n}" for n in range(40))
    long = query(prompt_tokens=2600, blocks=blocks)
    events = [
        CacheEvent(sequence=n, stored=True, block=b) for n, b in enumerate(blocks)
    ]
    router.take_events("gulf-engine-3", CacheEvents(events=events, next=40))
    route = router.choose(long)
    assert route.target.id == "gulf-engine-3"
    assert route.score.hit_tokens == pytest.approx(40 * 64)
    evicted = [CacheEvent(sequence=99, stored=False, block=b) for b in blocks]
    router.take_events("gulf-engine-3", CacheEvents(events=evicted, next=100))
    assert router.choose(long).score.hit_tokens == 0
    route = router.choose(long)
    flight = router.start(route, long)
    flight.first_token()
    flight.finish()
    assert router.choose(long).target.id == route.target.id


def test_leaving_targets_and_targets_without_the_model_get_nothing(router):
    router.set_leaving(frozenset({"gulf-engine-1"}))
    router.take_state("gulf-engine-2", EngineState(models=[]))
    loading = LoadedModel(model=MODEL, version="1", ready=False)
    router.take_state("gulf-engine-3", EngineState(models=[loading]))
    route = router.choose(query())
    assert isinstance(route, RegionRoute)
    refused = router.choose(query(hopped=True))
    assert isinstance(refused, RouteRefusal)
    ready = LoadedModel(model=MODEL, version="1", adapters=["stain-history"])
    router.take_state("gulf-engine-3", EngineState(models=[ready]))
    assert router.choose(query()).target.id == "gulf-engine-3"
    assert router.choose(query(adapter="stain-history")).target.id == "gulf-engine-3"
    assert isinstance(router.choose(query(adapter="other")), RegionRoute)


def test_a_failing_target_is_avoided_probed_and_ramped(router, clock):
    only = frozenset(TARGETS) - {"gulf-engine-2"}
    local = query(excluded_targets=only, hopped=True)
    for _ in range(3):
        router.start(router.choose(local), local).failed()
    assert isinstance(router.choose(local), RouteRefusal)
    clock.now += 1.5
    probe = router.start(router.choose(local), local)
    assert isinstance(router.choose(local), RouteRefusal)
    probe.first_token()
    probe.finish()
    held = router.start(router.choose(local), local)
    assert isinstance(router.choose(local), RouteRefusal)
    held.finish()
    clock.now += 20.0
    for _ in range(4):
        router.start(router.choose(local), local)


def test_an_overloaded_region_sends_away_and_margins_price_it(clock, magnolia, router):
    for target in TARGETS:
        router.take_load(target, busy(running=8, waiting=12, tokens=4000))
    router.set_region_summary(summary("piedmont"), clock.now)
    router.set_region_summary(summary("delta", wait=5000.0), clock.now)
    route = router.choose(query())
    assert route.region == "piedmont"
    dear = magnolia.manifest.weights.__class__(tail_latency=1.0, sent_away_ms=60_000.0)
    manifest = type(magnolia)(
        manifest=magnolia.manifest.__class__(
            **{
                f: getattr(magnolia.manifest, f)
                for f in magnolia.manifest.__struct_fields__
            }
            | {"weights": dear}
        )
    )
    router.set_manifest(manifest)
    assert isinstance(router.choose(query()), TargetRoute)


def test_moved_traffic_is_spread(clock, router):
    router.set_leaving(frozenset(TARGETS))
    router.set_region_summary(summary("piedmont", in_flight=4), clock.now)
    router.set_region_summary(summary("delta", in_flight=4), clock.now)
    sent = {"piedmont": 0, "delta": 0}
    for _ in range(200):
        route = router.choose(query())
        router.start(route, query())
        sent[route.region] += 1
    assert min(sent.values()) > 60


def test_a_region_that_fell_silent_loses_its_good_name(clock, router):
    router.set_leaving(frozenset(TARGETS))
    router.set_region_summary(summary("piedmont"), clock.now)
    clock.now += 20.0
    router.set_region_summary(summary("delta"), clock.now)
    assert {router.choose(query()).region for _ in range(20)} == {"delta"}


def test_a_late_first_token_is_refused_with_the_time_to_return(router):
    for target in TARGETS:
        router.take_load(target, busy(running=8, waiting=80, tokens=90_000))
    refused = router.choose(query(remaining_seconds=1.0, hopped=True))
    assert refused.reason is Reason.OVERLOADED
    assert refused.retry_after_seconds >= 1.0
    assert not refused.may_wait


def test_long_requests_wait_where_short_ones_are_served(router):
    for target in TARGETS:
        router.take_load(target, busy(running=8, waiting=3, tokens=6000))
    long = router.choose(query(prompt_tokens=4000, hopped=True))
    assert isinstance(long, RouteRefusal)
    assert long.may_wait
    assert isinstance(router.choose(query(hopped=True)), TargetRoute)


def test_pruning_regions_changes_no_decision(clock, magnolia):
    rng = random.Random(5)
    for number in range(200):
        made = [
            Router(
                region=RegionId("gulf"),
                entry=EntryId("e"),
                clock=clock,
                rng=random.Random(number),
            )
            for _ in range(2)
        ]
        load = [
            busy(running=rng.randrange(9), waiting=rng.randrange(9)) for _ in TARGETS
        ]
        waits = [rng.random() * 500 for _ in REGIONS]
        for router in made:
            router.set_manifest(magnolia)
            for target, report in zip(TARGETS, load, strict=True):
                router.take_load(target, report)
            for region, wait in zip(REGIONS, waits, strict=True):
                router.set_region_summary(summary(region, wait=wait), clock.now)
        asked = query(prompt_tokens=rng.choice([100, 3000]))
        pruned = made[0].choose(asked)
        full = made[1].choose(asked, score_all=True)
        assert type(pruned) is type(full)
        if not isinstance(pruned, RouteRefusal):
            assert pruned.score.candidate == full.score.candidate


KINDS = ["ask", "ask", "ask", "leave", "load", "summary", "fail", "end", "pass"]
steps = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 2**20)), min_size=30, max_size=80
)


def some(values, bits):
    """Return the values whose bits are set."""
    return frozenset(v for n, v in enumerate(values) if bits >> n & 1)


def decode_query(bits):
    """Return the query that the bits of a generated number stand for."""
    return query(
        allowed_regions=some(REGIONS, bits | bits >> 3),
        excluded_regions=some(REGIONS, bits >> 6 & bits >> 9),
        excluded_targets=some(TARGETS, bits >> 12 & bits >> 4),
        hopped=bool(bits >> 15 & 1),
        prompt_tokens=4000 if bits >> 16 & 1 else 100,
        model="unknown" if bits >> 17 & 7 == 0 else MODEL,
    )


SEEDED = settings(
    max_examples=100,
    phases=(Phase.generate,),
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def drive(magnolia, clock, run):
    """Apply generated steps and check every decision."""
    router = Router(
        region=RegionId("gulf"), entry=EntryId("e"), clock=clock, rng=random.Random(3)
    )
    router.set_manifest(magnolia)
    leaving = frozenset()
    flights = []
    for kind, bits in run:
        region, target = REGIONS[bits % 3], TARGETS[bits % 3]
        if kind == "ask":
            asked = decode_query(bits)
            route = router.choose(asked)
            check_route(magnolia, asked, route, leaving)
            if not isinstance(route, RouteRefusal):
                flights.append(router.start(route, asked))
        elif kind == "leave":
            leaving = some(TARGETS, bits)
            router.set_leaving(leaving)
        elif kind == "load":
            router.take_load(target, busy(running=bits % 9, waiting=bits % 31))
        elif kind == "summary":
            router.set_region_summary(summary(region, in_flight=bits % 99), clock.now)
        elif kind == "pass":
            clock.now += bits % 9
        elif flights:
            flight = flights.pop(bits % len(flights))
            flight.failed() if kind == "fail" else flight.finish()


def check_route(magnolia, asked, route, leaving):
    if isinstance(route, TargetRoute):
        region = magnolia.region_of(route.target)
        assert region == "gulf"
        assert region in asked.allowed_regions
        assert route.target.id not in leaving
        assert route.target.id not in asked.excluded_targets
        assert asked.model == MODEL
    elif isinstance(route, RegionRoute):
        assert not asked.hopped
        assert route.region != "gulf"
        assert route.region in asked.allowed_regions
        assert route.region not in asked.excluded_regions
        assert asked.model == MODEL


def test_decisions_keep_to_regions_exclusions_and_one_hop(magnolia, clock):
    @SEEDED
    @given(steps)
    def check(run):
        drive(magnolia, clock, run)

    check()


def ignore_leaving(monkeypatch):
    monkeypatch.setattr(
        _routing.Router, "_usable", lambda self, states, query, now: list(states)
    )


def ignore_exclusions(monkeypatch):
    def members(self, rng, holders, excluded):
        return list(self.members)

    monkeypatch.setattr(_pools.TargetPool, "candidates", members)


def hop_again(monkeypatch):
    scored = _routing.Router._region_scores

    def unhopped(self, query, now, bound, *, short):
        fields = {f: getattr(query, f) for f in query.__struct_fields__}
        query = RouteQuery(**(fields | {"hopped": False}))
        return scored(self, query, now, bound, short=short)

    monkeypatch.setattr(_routing.Router, "_region_scores", unhopped)


def ignore_regions(monkeypatch):
    scored = _routing.Router._region_scores

    def anywhere(self, query, now, bound, *, short):
        fields = {f: getattr(query, f) for f in query.__struct_fields__}
        query = RouteQuery(**(fields | {"allowed_regions": frozenset(REGIONS)}))
        return scored(self, query, now, bound, short=short)

    monkeypatch.setattr(_routing.Router, "_region_scores", anywhere)


def serve_every_model(monkeypatch):
    monkeypatch.setattr(
        _knowledge.RoutingState,
        "regions_serving",
        lambda self, pool: ["piedmont", "delta"],
    )


@pytest.mark.parametrize(
    "damage",
    [ignore_leaving, ignore_exclusions, hop_again, ignore_regions, serve_every_model],
)
def test_each_damaged_rule_is_found(magnolia, clock, monkeypatch, damage):
    damage(monkeypatch)
    with pytest.raises(AssertionError):
        test_decisions_keep_to_regions_exclusions_and_one_hop(magnolia, clock)


def test_a_revision_keeps_what_is_known_of_its_targets(router, magnolia):
    flight = router.start(router.choose(query()), query())
    held = router._known.pools[MODEL]
    router.set_manifest(magnolia)
    assert router._known.pools[MODEL] is held
    flight.finish()
    fields = {
        f: getattr(magnolia.manifest, f) for f in magnolia.manifest.__struct_fields__
    }
    targets = [t for t in magnolia.manifest.targets if t.id != "gulf-engine-2"]
    fewer = magnolia.manifest.__class__(**(fields | {"targets": targets}))
    router.set_manifest(type(magnolia)(manifest=fewer))
    members = {state.target.id for state in router._known.pools[MODEL].members}
    assert members == {"gulf-engine-1", "gulf-engine-3"}
