"""State of the targets and regions of the active manifest, as one entry VM sees it."""

import random

from pimentospool._generated.loads import PoolSummary
from pimentospool.ids import RegionId, TargetId
from pimentospool.manifest import Link, ManifestIndex, TargetKind
from pimentospool.policy._health import CircuitState
from pimentospool.policy._pools import (
    TargetPool,
    TargetState,
    mark_short_preferred,
    pool_namer,
)
from pimentospool.policy._scores import ScoreParameters
from pimentospool.policy._summaries import PoolRates, RegionState
from pimentospool.policy._work import MS_PER_SECOND

SUMMARY_SAMPLE_TARGETS = 16


class RouterState:
    """State of the local region's targets and of the other regions.

    Parameters
    ----------
    region : RegionId
        Region of the entry VM.
    """

    def __init__(self, *, region: RegionId) -> None:
        self.index: ManifestIndex | None = None
        self.score_parameters: ScoreParameters | None = None
        self.targets: dict[TargetId, TargetState] = {}
        self.regions: dict[RegionId, RegionState] = {}
        self.pools: dict[str, TargetPool] = {}
        self.leaving_targets: frozenset[TargetId] = frozenset()
        self.min_round_trip_ms = 0.0
        self._region = region
        self._regions_by_pool: dict[str, list[RegionId]] = {}

    def apply_manifest(self, index: ManifestIndex) -> None:
        """Apply a manifest; the state of targets and regions that remain is kept."""
        manifest = index.manifest
        self.index = index
        self.score_parameters = ScoreParameters(
            weights=manifest.weights, limits=manifest.limits
        )
        self._apply_targets(index)
        self._apply_regions(index)

    def regions_serving(self, pool: str) -> list[RegionId]:
        """Return the other regions that have a target for a model or service."""
        return self._regions_by_pool.get(pool, [])

    def pool_summaries(
        self, rng: random.Random, short_share: float, now: float
    ) -> list[PoolSummary]:
        """Return the expected waits in each pool of the local region."""
        return [
            self._summarise_pool(name, pool, rng, short_share, now)
            for name, pool in self.pools.items()
        ]

    def _apply_targets(self, index: ManifestIndex) -> None:
        previous = self.targets
        name_pools = pool_namer(index)
        self.targets = {}
        members_by_pool: dict[str, list[TargetState]] = {}
        cost = index.regions[self._region].cost if self._region in index.regions else 1
        for target in index.manifest.targets:
            if index.region_of(target) != self._region:
                continue
            state = previous.get(target.id)
            if state is None:
                state = TargetState(target=target, cost=cost)
            state.apply_declaration(target, cost)
            self.targets[target.id] = state
            for name in name_pools(target):
                members_by_pool.setdefault(name, []).append(state)
        engines = [
            state
            for state in self.targets.values()
            if state.target.kind is TargetKind.ENGINE
        ]
        mark_short_preferred(engines)
        previous_pools = self.pools
        self.pools = {
            name: _reuse_pool(previous_pools.get(name), states)
            for name, states in members_by_pool.items()
        }

    def _apply_regions(self, index: ManifestIndex) -> None:
        previous = self.regions
        name_pools = pool_namer(index)
        self.regions = {}
        self._regions_by_pool = {}
        rates = _rates_by_region(index)
        for region in index.regions.values():
            if region.id == self._region:
                continue
            link = index.link(self._region, region.id) or Link(
                a=self._region, b=region.id
            )
            declared = RegionState(
                region=region.id,
                delay_ms=link.delay_ms,
                bandwidth_mbit=link.bandwidth_mbit,
                cost=region.cost,
                rates=rates.get(region.id, PoolRates()),
            )
            state = previous.get(region.id, declared)
            state.apply_declaration(declared)
            self.regions[region.id] = state
        self.min_round_trip_ms = min(
            (state.round_trip_ms for state in self.regions.values()), default=0.0
        )
        for target in index.manifest.targets:
            region_id = index.region_of(target)
            if region_id == self._region:
                continue
            for name in name_pools(target):
                regions = self._regions_by_pool.setdefault(name, [])
                if region_id not in regions:
                    regions.append(region_id)

    def _summarise_pool(
        self,
        name: str,
        pool: TargetPool,
        rng: random.Random,
        short_share: float,
        now: float,
    ) -> PoolSummary:
        members = pool.members
        if len(members) > SUMMARY_SAMPLE_TARGETS:
            members = rng.sample(members, SUMMARY_SAMPLE_TARGETS)
        available = [
            state
            for state in members
            if state.target.id not in self.leaving_targets
            and state.health.circuit_state(now) is CircuitState.CLOSED
        ]
        sample_factor = len(pool.members) / max(1, len(members))
        slots = sum(
            state.target.slots * state.health.capacity_share(now) for state in available
        )
        in_flight = sum(state.work.in_flight(now) for state in available)
        slot_hold_seconds = sum(
            state.work.slot_hold_seconds for state in available
        ) / max(1, len(available))
        return PoolSummary(
            name=name,
            targets=round(len(available) * sample_factor),
            slots=round(slots * sample_factor),
            in_flight=in_flight * sample_factor,
            short_wait_ms=_lower_half_wait_ms(available, now, short_share, short=True),
            long_wait_ms=_lower_half_wait_ms(available, now, short_share, short=False),
            hold_ms=slot_hold_seconds * MS_PER_SECOND,
        )


def _reuse_pool(previous: TargetPool | None, members: list[TargetState]) -> TargetPool:
    """Return the previous pool if it has the same members, and a new one otherwise."""
    if previous is not None and previous.members == members:
        return previous
    return TargetPool(members=members)


def _lower_half_wait_ms(
    states: list[TargetState], now: float, short_share: float, *, short: bool
) -> float:
    waits_seconds = []
    for state in states:
        expected = state.work.expected_times(
            now, tokens=0.0, short=short, short_share=short_share
        )
        waits_seconds.append(expected.slot_wait_seconds + expected.prefill_wait_seconds)
    waits_seconds.sort()
    lower_half = waits_seconds[: max(1, len(waits_seconds) // 2)]
    return sum(lower_half) / max(1, len(lower_half)) * MS_PER_SECOND


def _rates_by_region(index: ManifestIndex) -> dict[RegionId, PoolRates]:
    rates: dict[RegionId, PoolRates] = {}
    for target in index.manifest.targets:
        if target.kind is TargetKind.ENGINE:
            rates.setdefault(
                index.region_of(target),
                PoolRates(
                    prefill_tokens_per_second=target.prefill_tokens_per_second,
                    decode_tokens_per_second=target.decode_tokens_per_second,
                    slots=target.slots,
                ),
            )
    return rates
