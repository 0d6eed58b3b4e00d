"""Routing: which destinations are allowed, and the effect of load and failures."""

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
    _pools,
    _router_state,
    _routing,
)

REGIONS = ["gulf", "piedmont", "delta"]
TARGETS = [f"gulf-engine-{n}" for n in (1, 2, 3)]
MODEL = "care-assistant"


def query(**changes):
    defaults = {
        "allowed_regions": frozenset(REGIONS),
        "model": MODEL,
        "prompt_tokens": 200,
        "max_tokens": 16,
    }
    return RouteQuery(**(defaults | changes))


def load_report(running=0, waiting=0, tokens=0, age=0.0):
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


def test_router_without_manifest_refuses_as_not_ready(clock):
    router = Router(
        region=RegionId("gulf"), entry=EntryId("e"), clock=clock, rng=random.Random(1)
    )
    assert router.choose(query()).reason is Reason.NOT_READY


def test_reported_load_moves_requests_to_the_idle_target(router):
    router.apply_load_report(
        "gulf-engine-1", load_report(running=8, waiting=9, tokens=9000)
    )
    router.apply_load_report(
        "gulf-engine-2", load_report(running=8, waiting=9, tokens=9000)
    )
    router.apply_load_report("gulf-engine-3", load_report())
    chosen = {router.choose(query()).target.id for _ in range(20)}
    assert chosen == {"gulf-engine-3"}


def test_local_requests_since_the_last_report_are_counted(router):
    for target in TARGETS:
        router.apply_load_report(target, load_report())
    counts = dict.fromkeys(TARGETS, 0)
    for _ in range(24):
        route = router.choose(query(is_hop=True))
        router.start(route, query())
        counts[route.target.id] += 1
    assert min(counts.values()) >= 5


def test_peer_load_excludes_local_requests_and_reverts_to_its_mean(router, clock):
    target = router.choose(query()).target.id
    for _ in range(4):
        route = router.choose(query(excluded_targets=frozenset(TARGETS) - {target}))
        router.start(route, query())
    clock.now += 1.0
    router.apply_load_report(target, load_report(running=8))
    state = router._state.targets[target]
    assert state.work.in_flight(clock.now) == pytest.approx(8.0)
    state.work.apply_report(load_report(running=4), clock.now)
    assert state.work.in_flight(clock.now) == pytest.approx(4.0)
    clock.now += 60.0
    assert 4.0 < state.work.in_flight(clock.now) < 8.0


def test_cached_prefix_is_known_from_events_and_local_requests(router, clock):
    blocks = tuple(f"b{n}" for n in range(40))
    long = query(prompt_tokens=2600, blocks=blocks)
    events = [
        CacheEvent(sequence=n, stored=True, block=b) for n, b in enumerate(blocks)
    ]
    router.apply_cache_events("gulf-engine-3", CacheEvents(events=events, next=40))
    route = router.choose(long)
    assert route.target.id == "gulf-engine-3"
    assert route.score.hit_tokens == pytest.approx(40 * 64)
    evicted = [CacheEvent(sequence=99, stored=False, block=b) for b in blocks]
    router.apply_cache_events("gulf-engine-3", CacheEvents(events=evicted, next=100))
    assert router.choose(long).score.hit_tokens == 0
    route = router.choose(long)
    flight = router.start(route, long)
    flight.first_token()
    flight.finish()
    assert router.choose(long).target.id == route.target.id


def test_leaving_targets_and_targets_without_the_model_get_no_requests(router):
    router.set_leaving(frozenset({"gulf-engine-1"}))
    router.apply_engine_state("gulf-engine-2", EngineState(models=[]))
    loading = LoadedModel(model=MODEL, version="1", ready=False)
    router.apply_engine_state("gulf-engine-3", EngineState(models=[loading]))
    route = router.choose(query())
    assert isinstance(route, RegionRoute)
    refused = router.choose(query(is_hop=True))
    assert isinstance(refused, RouteRefusal)
    ready = LoadedModel(model=MODEL, version="1", adapters=["stain-history"])
    router.apply_engine_state("gulf-engine-3", EngineState(models=[ready]))
    assert router.choose(query()).target.id == "gulf-engine-3"
    assert router.choose(query(adapter="stain-history")).target.id == "gulf-engine-3"
    assert isinstance(router.choose(query(adapter="other")), RegionRoute)


def test_failing_target_is_avoided_then_probed_then_slow_started(router, clock):
    others = frozenset(TARGETS) - {"gulf-engine-2"}
    local = query(excluded_targets=others, is_hop=True)
    for _ in range(3):
        router.start(router.choose(local), local).failed()
    assert isinstance(router.choose(local), RouteRefusal)
    clock.now += 1.5
    probe = router.start(router.choose(local), local)
    assert isinstance(router.choose(local), RouteRefusal)
    probe.first_token()
    probe.finish()
    first_after_probe = router.start(router.choose(local), local)
    assert isinstance(router.choose(local), RouteRefusal)
    first_after_probe.finish()
    clock.now += 20.0
    for _ in range(4):
        router.start(router.choose(local), local)


def test_silent_target_is_avoided_until_it_answers(router):
    others = frozenset(TARGETS) - {"gulf-engine-2"}
    local = query(excluded_targets=others, is_hop=True)
    flights = [router.start(router.choose(local), local) for _ in range(3)]
    for flight in flights:
        flight.silent()
    assert isinstance(router.choose(local), RouteRefusal)
    assert router._state.targets["gulf-engine-2"].work.local_in_flight == 3
    for flight in flights[1:]:
        flight.finish()
    assert isinstance(router.choose(local), RouteRefusal)
    flights[0].first_token()
    flights[0].finish()
    assert router.choose(local).target.id == "gulf-engine-2"


def test_silent_request_that_fails_is_one_failure(router):
    others = frozenset(TARGETS) - {"gulf-engine-2"}
    local = query(excluded_targets=others, is_hop=True)
    for _ in range(2):
        flight = router.start(router.choose(local), local)
        flight.silent()
        flight.silent()
        flight.failed()
        flight.finish()
    assert router._state.targets["gulf-engine-2"].work.local_in_flight == 0
    router.start(router.choose(local), local).silent()
    assert isinstance(router.choose(local), RouteRefusal)


def test_region_that_was_silent_within_an_answer_is_sound_once_it_goes_on(router):
    route = router.choose(query(excluded_targets=frozenset(TARGETS)))
    flight = router.start(route, query())
    health = router._state.regions[route.region].health
    flight.first_token()
    flight.silent()
    flight.first_token()
    flight.finish()
    assert health._consecutive_failures == 0


def test_overloaded_region_sends_requests_away_unless_that_costs_too_much(
    clock, magnolia, router
):
    for target in TARGETS:
        router.apply_load_report(
            target, load_report(running=8, waiting=12, tokens=4000)
        )
    router.set_region_summary(summary("piedmont"), clock.now)
    router.set_region_summary(summary("delta", wait=5000.0), clock.now)
    route = router.choose(query())
    assert route.region == "piedmont"
    costly_weights = magnolia.manifest.weights.__class__(
        tail_latency=1.0, sent_away_ms=60_000.0
    )
    manifest = type(magnolia)(
        manifest=magnolia.manifest.__class__(
            **{
                f: getattr(magnolia.manifest, f)
                for f in magnolia.manifest.__struct_fields__
            }
            | {"weights": costly_weights}
        )
    )
    router.set_manifest(manifest)
    assert isinstance(router.choose(query()), TargetRoute)


def test_requests_sent_away_are_spread_over_regions(clock, router):
    router.set_leaving(frozenset(TARGETS))
    router.set_region_summary(summary("piedmont", in_flight=4), clock.now)
    router.set_region_summary(summary("delta", in_flight=4), clock.now)
    sent = {"piedmont": 0, "delta": 0}
    for _ in range(200):
        route = router.choose(query())
        router.start(route, query())
        sent[route.region] += 1
    assert min(sent.values()) > 60


def test_region_with_a_stale_summary_is_avoided(clock, router):
    router.set_leaving(frozenset(TARGETS))
    router.set_region_summary(summary("piedmont"), clock.now)
    clock.now += 20.0
    router.set_region_summary(summary("delta"), clock.now)
    assert {router.choose(query()).region for _ in range(20)} == {"delta"}


def test_request_that_would_miss_its_deadline_is_refused_with_retry_after(router):
    for target in TARGETS:
        router.apply_load_report(
            target, load_report(running=8, waiting=80, tokens=90_000)
        )
    refused = router.choose(query(remaining_seconds=1.0, is_hop=True))
    assert refused.reason is Reason.OVERLOADED
    assert refused.retry_after_seconds >= 1.0
    assert not refused.may_wait


def test_long_requests_queue_while_short_ones_are_served(router):
    for target in TARGETS:
        router.apply_load_report(target, load_report(running=8, waiting=3, tokens=6000))
    long = router.choose(query(prompt_tokens=4000, is_hop=True))
    assert isinstance(long, RouteRefusal)
    assert long.may_wait
    assert isinstance(router.choose(query(is_hop=True)), TargetRoute)


def test_pruning_regions_changes_no_decision(clock, magnolia):
    rng = random.Random(5)
    for number in range(200):
        routers = [
            Router(
                region=RegionId("gulf"),
                entry=EntryId("e"),
                clock=clock,
                rng=random.Random(number),
            )
            for _ in range(2)
        ]
        load = [
            load_report(running=rng.randrange(9), waiting=rng.randrange(9))
            for _ in TARGETS
        ]
        waits = [rng.random() * 500 for _ in REGIONS]
        for router in routers:
            router.set_manifest(magnolia)
            for target, report in zip(TARGETS, load, strict=True):
                router.apply_load_report(target, report)
            for region, wait in zip(REGIONS, waits, strict=True):
                router.set_region_summary(summary(region, wait=wait), clock.now)
        request = query(prompt_tokens=rng.choice([100, 3000]))
        pruned = routers[0].choose(request)
        full = routers[1].choose(request, score_all=True)
        assert type(pruned) is type(full)
        if not isinstance(pruned, RouteRefusal):
            assert pruned.score.candidate == full.score.candidate


KINDS = ["ask", "ask", "ask", "leave", "load", "summary", "fail", "end", "pass"]
steps = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 2**20)), min_size=30, max_size=80
)


def subset(values, bits):
    """Return the values whose bit is set in `bits`."""
    return frozenset(v for n, v in enumerate(values) if bits >> n & 1)


def decode_query(bits):
    """Return the query that a generated number encodes in its bits."""
    return query(
        allowed_regions=subset(REGIONS, bits | bits >> 3),
        excluded_regions=subset(REGIONS, bits >> 6 & bits >> 9),
        excluded_targets=subset(TARGETS, bits >> 12 & bits >> 4),
        is_hop=bool(bits >> 15 & 1),
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
    """Apply generated steps to a router and check every decision."""
    router = Router(
        region=RegionId("gulf"), entry=EntryId("e"), clock=clock, rng=random.Random(3)
    )
    router.set_manifest(magnolia)
    leaving = frozenset()
    flights = []
    for kind, bits in run:
        region, target = REGIONS[bits % 3], TARGETS[bits % 3]
        if kind == "ask":
            request = decode_query(bits)
            route = router.choose(request)
            check_route(magnolia, request, route, leaving)
            if not isinstance(route, RouteRefusal):
                flights.append(router.start(route, request))
        elif kind == "leave":
            leaving = subset(TARGETS, bits)
            router.set_leaving(leaving)
        elif kind == "load":
            router.apply_load_report(
                target, load_report(running=bits % 9, waiting=bits % 31)
            )
        elif kind == "summary":
            router.set_region_summary(summary(region, in_flight=bits % 99), clock.now)
        elif kind == "pass":
            clock.now += bits % 9
        elif flights:
            flight = flights.pop(bits % len(flights))
            flight.failed() if kind == "fail" else flight.finish()


def check_route(magnolia, request, route, leaving):
    if isinstance(route, TargetRoute):
        region = magnolia.region_of(route.target)
        assert region == "gulf"
        assert region in request.allowed_regions
        assert route.target.id not in leaving
        assert route.target.id not in request.excluded_targets
        assert request.model == MODEL
    elif isinstance(route, RegionRoute):
        assert not request.is_hop
        assert route.region != "gulf"
        assert route.region in request.allowed_regions
        assert route.region not in request.excluded_regions
        assert request.model == MODEL


def test_decisions_respect_regions_exclusions_and_one_hop(magnolia, clock):
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
    original = _routing.Router._region_scores

    def with_hop_allowed(self, query, now, max_score_ms, *, short):
        fields = {f: getattr(query, f) for f in query.__struct_fields__}
        query = RouteQuery(**(fields | {"is_hop": False}))
        return original(self, query, now, max_score_ms, short=short)

    monkeypatch.setattr(_routing.Router, "_region_scores", with_hop_allowed)


def ignore_regions(monkeypatch):
    original = _routing.Router._region_scores

    def with_all_regions(self, query, now, max_score_ms, *, short):
        fields = {f: getattr(query, f) for f in query.__struct_fields__}
        query = RouteQuery(**(fields | {"allowed_regions": frozenset(REGIONS)}))
        return original(self, query, now, max_score_ms, short=short)

    monkeypatch.setattr(_routing.Router, "_region_scores", with_all_regions)


def serve_every_model(monkeypatch):
    monkeypatch.setattr(
        _router_state.RouterState,
        "regions_serving",
        lambda self, pool: ["piedmont", "delta"],
    )


@pytest.mark.parametrize(
    "break_rule",
    [ignore_leaving, ignore_exclusions, hop_again, ignore_regions, serve_every_model],
)
def test_each_broken_rule_is_detected(magnolia, clock, monkeypatch, break_rule):
    break_rule(monkeypatch)
    with pytest.raises(AssertionError):
        test_decisions_respect_regions_exclusions_and_one_hop(magnolia, clock)


def test_new_manifest_keeps_the_state_of_remaining_targets(router, magnolia):
    flight = router.start(router.choose(query()), query())
    pool = router._state.pools[MODEL]
    router.set_manifest(magnolia)
    assert router._state.pools[MODEL] is pool
    flight.finish()
    fields = {
        f: getattr(magnolia.manifest, f) for f in magnolia.manifest.__struct_fields__
    }
    targets = [t for t in magnolia.manifest.targets if t.id != "gulf-engine-2"]
    smaller_manifest = magnolia.manifest.__class__(**(fields | {"targets": targets}))
    router.set_manifest(type(magnolia)(manifest=smaller_manifest))
    members = {state.target.id for state in router._state.pools[MODEL].members}
    assert members == {"gulf-engine-1", "gulf-engine-3"}
