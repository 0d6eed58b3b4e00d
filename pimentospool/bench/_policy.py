"""The policy bench: compares the gateway's routing with baselines in virtual time."""

from enum import Enum

import msgspec

from pimentospool.bench._policy_baselines import BASELINES
from pimentospool.bench._policy_gateway import GatewayPolicy
from pimentospool.bench._policy_simulation import (
    WARM_UP_SECONDS,
    Fault,
    Request,
    Simulation,
)
from pimentospool.bench._policy_traffic import make_arrivals
from pimentospool.manifest import Manifest, ManifestIndex

GATEWAY = "gateway"
MAX_RATIO_WITHOUT_FAULT = 1.02
MAGNOLIA_MAX_SHORT_P99_RATIO = 0.5
TSUZUMI_MAX_COST_AND_AWAY_RATIO = 0.7
TSUZUMI_MAX_SHORT_P99_RATIO = 1.1


class Measure(Enum):
    """Fields of `PolicyFigures` that are compared; lower is better."""

    SHORT_P50 = "short_p50_ms"
    SHORT_P95 = "short_p95_ms"
    SHORT_P99 = "short_p99_ms"
    LONG_P50 = "long_p50_ms"
    LONG_P95 = "long_p95_ms"
    LONG_P99 = "long_p99_ms"
    COST_PER_1000 = "cost_per_1000"
    AWAY_SHARE = "away_share"
    MISS_SHARE = "miss_share"
    REFUSED_SHARE = "refused_share"


class PolicyFigures(msgspec.Struct, kw_only=True):
    """Figures of one policy in one run.

    The percentiles count a refused request with its deadline as its latency.
    ``unservable`` requests had no allowed region that was up; they are the same for
    every policy and are excluded from all other figures.
    ``cost_per_1000`` is the cost of all engine work for every 1,000 complete answers,
    in engine seconds times the region's relative cost; ``away_share`` is the share of
    requests sent to another region; ``miss_share`` is the share of prompt tokens that
    were not cached and had to be prefilled.
    """

    policy: str
    requests: int
    unservable: int
    short_p50_ms: float
    short_p95_ms: float
    short_p99_ms: float
    long_p50_ms: float
    long_p95_ms: float
    long_p99_ms: float
    cost_per_1000: float
    away_share: float
    miss_share: float
    refused_share: float
    refusals: dict[str, int]


class Comparison(msgspec.Struct, kw_only=True):
    """One comparison with the best baseline; `bound` is the largest allowed ratio."""

    name: str
    gateway: float
    baseline: float
    bound: float
    met: bool


class PolicyRun(msgspec.Struct, kw_only=True):
    """Result of the bench for one seed."""

    deployment: str
    fault: str
    seed: int
    figures: list[PolicyFigures]
    best_baseline: str
    comparisons: list[Comparison]


def run_policy_bench(manifest: Manifest, *, fault: Fault, seed: int) -> PolicyRun:
    """Run the gateway's policy and every baseline on the same arrivals."""
    index = ManifestIndex(manifest=manifest)
    arrivals = make_arrivals(index, seed)
    figures = []
    for name in (GATEWAY, *BASELINES):
        sim = Simulation(index=index, fault=fault, seed=seed)
        for node in sim.nodes:
            if name == GATEWAY:
                rng_seed = f"{seed}/{node.entry}"
                node.policy = GatewayPolicy(sim=sim, node=node, seed=rng_seed)
            else:
                node.policy = BASELINES[name](sim=sim, node=node)
        sim.run(arrivals)
        figures.append(_compute_figures(name, sim))
    baselines = figures[1:]
    best = min(baselines, key=lambda item: item.short_p99_ms)
    return PolicyRun(
        deployment=manifest.deployment,
        fault=fault.value,
        seed=seed,
        figures=figures,
        best_baseline=best.policy,
        comparisons=_compare_all(
            manifest.deployment, fault, figures[0], best, baselines
        ),
    )


def _compute_figures(name: str, sim: Simulation) -> PolicyFigures:
    arrived = [req for req in sim.requests if req.arrival.at >= WARM_UP_SECONDS]
    requests = [req for req in arrived if req.servable]
    short = _latencies_ms([req for req in requests if req.arrival.short])
    long = _latencies_ms([req for req in requests if not req.arrival.short])
    completed = sum(not req.refused and req.ended for req in sim.requests)
    cost = sum(
        engine.totals.seconds * sim.index.regions[engine.region].cost
        for engine in sim.engines.values()
    )
    prompt_tokens = sum(engine.totals.prompt_tokens for engine in sim.engines.values())
    cached_tokens = sum(engine.totals.cached_tokens for engine in sim.engines.values())
    return PolicyFigures(
        policy=name,
        requests=len(requests),
        unservable=len(arrived) - len(requests),
        short_p50_ms=_percentile(short, 0.50),
        short_p95_ms=_percentile(short, 0.95),
        short_p99_ms=_percentile(short, 0.99),
        long_p50_ms=_percentile(long, 0.50),
        long_p95_ms=_percentile(long, 0.95),
        long_p99_ms=_percentile(long, 0.99),
        cost_per_1000=1000.0 * cost / max(1, completed),
        away_share=sum(req.sent_away for req in requests) / max(1, len(requests)),
        miss_share=1.0 - cached_tokens / max(1, prompt_tokens),
        refused_share=sum(_counts_as_refused(req) for req in requests)
        / max(1, len(requests)),
        refusals=dict(sim.refusals),
    )


def _counts_as_refused(req: Request) -> bool:
    return req.refused or not req.ended


def _latencies_ms(requests: list[Request]) -> list[float]:
    latencies_ms = []
    for req in requests:
        seconds = req.first_token_seconds
        if _counts_as_refused(req) or seconds is None:
            seconds = req.arrival.deadline_seconds
        latencies_ms.append(seconds * 1000.0)
    return sorted(latencies_ms)


def _percentile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _compare_all(
    deployment: str,
    fault: Fault,
    gateway: PolicyFigures,
    best: PolicyFigures,
    baselines: list[PolicyFigures],
) -> list[Comparison]:
    if fault is Fault.NONE:
        return [
            _compare(
                measure.value,
                getattr(gateway, measure.value),
                min(getattr(item, measure.value) for item in baselines),
                MAX_RATIO_WITHOUT_FAULT,
            )
            for measure in Measure
        ]
    if fault is not Fault.REGION:
        return []
    if deployment == "tsuzumi":
        bounds = {
            Measure.COST_PER_1000: TSUZUMI_MAX_COST_AND_AWAY_RATIO,
            Measure.AWAY_SHARE: TSUZUMI_MAX_COST_AND_AWAY_RATIO,
            Measure.SHORT_P99: TSUZUMI_MAX_SHORT_P99_RATIO,
        }
    else:
        bounds = {Measure.SHORT_P99: MAGNOLIA_MAX_SHORT_P99_RATIO}
    return [
        _compare(
            measure.value,
            getattr(gateway, measure.value),
            getattr(best, measure.value),
            bound,
        )
        for measure, bound in bounds.items()
    ]


def _compare(name: str, gateway: float, baseline: float, bound: float) -> Comparison:
    met = gateway <= baseline * bound
    return Comparison(
        name=name, gateway=gateway, baseline=baseline, bound=bound, met=met
    )
