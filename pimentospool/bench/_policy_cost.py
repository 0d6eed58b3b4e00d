"""Time of one routing decision, by the number of targets."""

import random
import time

import msgspec

from pimentospool._generated.engine import LoadReport
from pimentospool._generated.loads import PoolSummary, RegionSummary
from pimentospool.ids import EntryId, ModelId, RegionId, TargetId, ZoneId
from pimentospool.manifest import (
    Link,
    Manifest,
    ManifestIndex,
    Model,
    Region,
    Serving,
    Target,
    TargetKind,
    Zone,
)
from pimentospool.policy import RouteQuery, Router, RouteRefusal

MODEL_COUNT = 3
LONG_PROMPT_BLOCKS = 48
PROMPT_COUNT = 200
LONG_PROMPT_INTERVAL = 4
TIMED_ROUNDS = 3


class DecisionCost(msgspec.Struct, kw_only=True):
    """Time of decisions at one size.

    ``start_finish_us`` is the mean time to start and finish the request that was
    routed, and ``manifest_ms`` the time to apply a revision that changes no target.
    """

    targets: int
    own_targets: int
    regions: int
    zones: int
    mean_us: float
    choose_p50_us: float
    choose_p99_us: float
    start_finish_us: float
    manifest_ms: float


def measure_decisions(
    *, targets: int, regions: int, zones: int, decisions: int, seed: int
) -> DecisionCost:
    """Time `decisions` decisions of an entry VM in the first region."""
    manifest = make_manifest(targets=targets, regions=regions, zones=zones)
    index = ManifestIndex(manifest=manifest)
    rng = random.Random(seed)
    router = Router(
        region=RegionId("region-0"),
        entry=EntryId("entry-0"),
        clock=time.perf_counter,
        rng=rng,
    )
    router.set_manifest(index)
    started_at = time.perf_counter()
    router.set_manifest(index)
    manifest_ms = (time.perf_counter() - started_at) * 1e3
    _apply_load_reports(router, regions, rng)
    queries = [_make_query(index, number, rng) for number in range(PROMPT_COUNT)]
    _time_decisions(router, queries, decisions // 4)
    rounds = [_time_decisions(router, queries, decisions) for _ in range(TIMED_ROUNDS)]
    best = min(rounds, key=lambda item: item.total_seconds)
    choose_seconds = sorted(best.choose_seconds)
    return DecisionCost(
        targets=targets,
        own_targets=len(router.own_targets()),
        regions=regions,
        zones=zones,
        mean_us=sum(choose_seconds) / len(choose_seconds) * 1e6,
        choose_p50_us=choose_seconds[len(choose_seconds) // 2] * 1e6,
        choose_p99_us=choose_seconds[int(len(choose_seconds) * 0.99)] * 1e6,
        start_finish_us=(best.total_seconds - sum(choose_seconds)) / decisions * 1e6,
        manifest_ms=manifest_ms,
    )


class _Round(msgspec.Struct):
    """Times of one round of decisions: of each choice, and of the whole round."""

    choose_seconds: list[float]
    total_seconds: float


def _time_decisions(
    router: Router, queries: list[RouteQuery], decisions: int
) -> _Round:
    choose_seconds = []
    clock = time.perf_counter
    started_at = clock()
    for number in range(decisions):
        query = queries[number % len(queries)]
        choose_started_at = clock()
        route = router.choose(query)
        choose_seconds.append(clock() - choose_started_at)
        if not isinstance(route, RouteRefusal):
            flight = router.start(route, query)
            flight.first_token()
            flight.finish()
    return _Round(choose_seconds, clock() - started_at)


def _apply_load_reports(router: Router, regions: int, rng: random.Random) -> None:
    for target in router.own_targets():
        report = LoadReport(
            running=rng.randrange(7), waiting=0, waiting_tokens=0, age_seconds=0.1
        )
        router.apply_load_report(target.id, report)
    pools = [
        PoolSummary(
            name=f"model-{number}",
            targets=100,
            slots=800,
            in_flight=400.0,
            short_wait_ms=20.0,
            long_wait_ms=40.0,
        )
        for number in range(MODEL_COUNT)
    ]
    for number in range(1, regions):
        summary = RegionSummary(
            region=RegionId(f"region-{number}"),
            entry=EntryId(f"far-{number}"),
            pools=pools,
        )
        router.set_region_summary(summary, time.perf_counter())


def _make_query(index: ManifestIndex, number: int, rng: random.Random) -> RouteQuery:
    short = number % LONG_PROMPT_INTERVAL != 0
    blocks = 3 if short else LONG_PROMPT_BLOCKS
    return RouteQuery(
        allowed_regions=frozenset(index.regions),
        model=ModelId(f"model-{rng.randrange(MODEL_COUNT)}"),
        prompt_tokens=blocks * 64 + 10,
        max_tokens=32,
        blocks=tuple(f"prompt-{number}/{block}" for block in range(blocks)),
    )


def make_manifest(*, targets: int, regions: int, zones: int) -> Manifest:
    region_ids = [RegionId(f"region-{number}") for number in range(regions)]
    zone_list = [
        Zone(id=ZoneId(f"zone-{number}"), region=region_ids[number % regions])
        for number in range(zones)
    ]
    return Manifest(
        deployment="bench",
        regions=[Region(id=region) for region in region_ids],
        zones=zone_list,
        links=[
            Link(a=a, b=b)
            for number, a in enumerate(region_ids)
            for b in region_ids[number + 1 :]
        ],
        models=[Model(id=ModelId(f"model-{number}")) for number in range(MODEL_COUNT)],
        serving=[
            Serving(model=ModelId(f"model-{number}"), region=region)
            for number in range(MODEL_COUNT)
            for region in region_ids
        ],
        targets=[
            Target(
                id=TargetId(f"target-{number}"),
                zone=zone_list[number % zones].id,
                address=f"127.0.0.1:{1024 + number}",
                kind=TargetKind.ENGINE,
            )
            for number in range(targets)
        ],
        customers=[],
    )
