"""What one entry VM knows of targets and regions, by the manifest in force."""

import random

from pimentospool._generated.loads import PoolSummary
from pimentospool.ids import RegionId, TargetId
from pimentospool.manifest import Link, ManifestIndex, TargetKind
from pimentospool.policy._health import CircuitState
from pimentospool.policy._pools import (
    Pool,
    TargetState,
    mark_short_lanes,
    pool_names,
)
from pimentospool.policy._scores import Prices
from pimentospool.policy._summaries import PoolRates, RegionState
from pimentospool.policy._work import MILLISECONDS

SUMMARY_SAMPLE = 16


class Knowledge:
    """States of the own region's targets and of the other regions.

    Parameters
    ----------
    region : RegionId
        Own region.
    """

    def __init__(self, *, region: RegionId) -> None:
        self.index: ManifestIndex | None = None
        self.prices: Prices | None = None
        self.targets: dict[TargetId, TargetState] = {}
        self.regions: dict[RegionId, RegionState] = {}
        self.pools: dict[str, Pool] = {}
        self.leaving: frozenset[TargetId] = frozenset()
        self.least_round_trip_ms = 0.0
        self._region = region
        self._regions_of: dict[str, list[RegionId]] = {}

    def declare(self, index: ManifestIndex) -> None:
        """Take over a manifest; what was learnt of its targets stays."""
        manifest = index.manifest
        self.index = index
        self.prices = Prices(weights=manifest.weights, limits=manifest.limits)
        self._declare_targets(index)
        self._declare_regions(index)

    def regions_of(self, pool: str) -> list[RegionId]:
        """Return the other regions with a target for a model or service."""
        return self._regions_of.get(pool, [])

    def pool_summaries(
        self, rng: random.Random, short_share: float, now: float
    ) -> list[PoolSummary]:
        """Return the expected waits of each pool of the own region."""
        return [
            self._summarise(name, pool, rng, short_share, now)
            for name, pool in self.pools.items()
        ]

    def _declare_targets(self, index: ManifestIndex) -> None:
        kept = self.targets
        pools = pool_names(index)
        self.targets = {}
        members: dict[str, list[TargetState]] = {}
        cost = index.regions[self._region].cost if self._region in index.regions else 1
        for target in index.manifest.targets:
            if index.region_of(target) != self._region:
                continue
            state = kept.get(target.id)
            if state is None:
                state = TargetState(target=target, cost=cost)
            state.declare(target, cost)
            self.targets[target.id] = state
            for name in pools(target):
                members.setdefault(name, []).append(state)
        engines = [
            state
            for state in self.targets.values()
            if state.target.kind is TargetKind.ENGINE
        ]
        mark_short_lanes(engines)
        held = self.pools
        self.pools = {
            name: _kept_pool(held.get(name), states) for name, states in members.items()
        }

    def _declare_regions(self, index: ManifestIndex) -> None:
        kept = self.regions
        pools = pool_names(index)
        self.regions = {}
        self._regions_of = {}
        rates = _rates_by_region(index)
        for region in index.regions.values():
            if region.id == self._region:
                continue
            link = index.link(self._region, region.id) or Link(
                a=self._region, b=region.id
            )
            fresh = RegionState(
                region=region.id,
                delay_ms=link.delay_ms,
                bandwidth_mbit=link.bandwidth_mbit,
                cost=region.cost,
                rates=rates.get(region.id, PoolRates()),
            )
            state = kept.get(region.id, fresh)
            state.declare(fresh)
            self.regions[region.id] = state
        self.least_round_trip_ms = min(
            (state.round_trip_ms for state in self.regions.values()), default=0.0
        )
        for target in index.manifest.targets:
            region_id = index.region_of(target)
            if region_id == self._region:
                continue
            for name in pools(target):
                regions = self._regions_of.setdefault(name, [])
                if region_id not in regions:
                    regions.append(region_id)

    def _summarise(
        self,
        name: str,
        pool: Pool,
        rng: random.Random,
        short_share: float,
        now: float,
    ) -> PoolSummary:
        members = pool.members
        if len(members) > SUMMARY_SAMPLE:
            members = rng.sample(members, SUMMARY_SAMPLE)
        taking = [
            state
            for state in members
            if state.target.id not in self.leaving
            and state.health.circuit_state(now) is CircuitState.CLOSED
        ]
        scale = len(pool.members) / max(1, len(members))
        slots = sum(
            state.target.slots * state.health.capacity_share(now) for state in taking
        )
        in_flight = sum(state.work.in_flight(now) for state in taking)
        hold = sum(state.work.slot_hold_seconds for state in taking) / max(
            1, len(taking)
        )
        return PoolSummary(
            name=name,
            targets=round(len(taking) * scale),
            slots=round(slots * scale),
            in_flight=in_flight * scale,
            short_wait_ms=_low_wait(taking, now, short_share, short=True),
            long_wait_ms=_low_wait(taking, now, short_share, short=False),
            hold_ms=hold * MILLISECONDS,
        )


def _kept_pool(held: Pool | None, members: list[TargetState]) -> Pool:
    """Return the pool held so far if its members are the same ones."""
    if held is not None and held.members == members:
        return held
    return Pool(members=members)


def _low_wait(
    states: list[TargetState], now: float, short_share: float, *, short: bool
) -> float:
    waits = []
    for state in states:
        expected = state.work.expected_times(
            now, tokens=0.0, short=short, short_share=short_share
        )
        waits.append(expected.slot_wait_seconds + expected.prefill_wait_seconds)
    waits.sort()
    lower = waits[: max(1, len(waits) // 2)]
    return sum(lower) / max(1, len(lower)) * MILLISECONDS


def _rates_by_region(index: ManifestIndex) -> dict[RegionId, PoolRates]:
    rates: dict[RegionId, PoolRates] = {}
    for target in index.manifest.targets:
        if target.kind is TargetKind.ENGINE:
            rates.setdefault(
                index.region_of(target),
                PoolRates(
                    prefill=target.prefill_tokens_per_second,
                    decode=target.decode_tokens_per_second,
                    slots=target.slots,
                ),
            )
    return rates
