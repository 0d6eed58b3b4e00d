"""Processor time of an orderer, by the number of engines in its region."""

import time
from collections.abc import Callable

import msgspec

from pimentospool._generated.engine import EngineState, LoadedModel
from pimentospool.bench._policy_cost import make_manifest
from pimentospool.ids import RegionId, TargetId
from pimentospool.manifest import ManifestIndex
from pimentospool.orders import EngineControl
from pimentospool.policy import DesiredEngine, place_models, plan_orders
from pimentospool.standins import EngineProfile, ModelEngine, serve_standin

_REGION = RegionId("region-0")
_ROUNDS = 5
_READS = 500


class OrderCost(msgspec.Struct, kw_only=True):
    """Cost of one comparison of `engines` engines, in milliseconds."""

    engines: int
    place_ms: float
    plan_settled_ms: float
    plan_rollout_ms: float


class OrderBench(msgspec.Struct, kw_only=True):
    """Costs by size, and the processor time of reading one engine's state.

    The reading counts both ends, since the engine's stand-in runs in this process.
    """

    costs: list[OrderCost]
    read_ms: float


async def measure_orders(sizes: list[int]) -> OrderBench:
    """Measure comparisons of each size and the reading of a state."""
    return OrderBench(
        costs=[_measure_plan(size) for size in sizes], read_ms=await _measure_read()
    )


def _measure_plan(engines: int) -> OrderCost:
    index = ManifestIndex(manifest=make_manifest(targets=engines, regions=1, zones=1))
    place_ms = _best_ms(lambda: place_models(index, _REGION))
    desired = place_models(index, _REGION)
    settled = {target: _holding(engine, "") for target, engine in desired.items()}
    rolling = {target: _holding(engine, "old") for target, engine in desired.items()}
    return OrderCost(
        engines=engines,
        place_ms=place_ms,
        plan_settled_ms=_best_ms(lambda: _plan(desired, settled)),
        plan_rollout_ms=_best_ms(lambda: _plan(desired, rolling)),
    )


def _plan(
    desired: dict[TargetId, DesiredEngine], observed: dict[TargetId, EngineState]
) -> None:
    plan_orders(
        desired=desired,
        observed=observed,
        zone_targets=frozenset(desired),
        leaving=frozenset(),
    )


def _holding(engine: DesiredEngine, version: str) -> EngineState:
    models = [
        LoadedModel(
            model=wanted.model,
            version=version or wanted.version,
            adapters=list(wanted.adapters),
        )
        for wanted in engine.models.values()
    ]
    return EngineState(fencing=0, models=models)


async def _measure_read() -> float:
    engine = ModelEngine(profile=EngineProfile())
    server = await serve_standin(engine, "127.0.0.1:0")
    control = EngineControl()
    index = ManifestIndex(manifest=make_manifest(targets=1, regions=1, zones=1))
    target = next(iter(index.targets.values()))
    target = msgspec.structs.replace(target, address=server.address)
    await control.read_state(target)
    began = time.process_time()
    for _ in range(_READS):
        await control.read_state(target)
    spent = time.process_time() - began
    await control.close()
    await server.close()
    return spent / _READS * 1e3


def _best_ms(action: Callable[[], object]) -> float:
    times = []
    for _ in range(_ROUNDS):
        began = time.perf_counter()
        action()
        times.append(time.perf_counter() - began)
    return min(times) * 1e3
