"""Targets of the own region that serve one model or service."""

import random
import zlib
from bisect import bisect
from collections.abc import Callable, Container, Iterable, Sequence

from pimentospool._generated.engine import EngineState
from pimentospool.ids import RegionId, TargetId
from pimentospool.manifest import ManifestIndex, Target, TargetKind
from pimentospool.policy._concurrency import ConcurrencyLimit
from pimentospool.policy._health import CircuitState, Health
from pimentospool.policy._work import DEFAULT_SLOT_HOLD_SECONDS, TargetWork

EVALUATE_ALL = 6
RANDOM_CANDIDATES = 2
HOLDER_CANDIDATES = 2
KEPT_BEST = 1
SERVICE_HOLD_SECONDS = 0.1
SHORT_LANE_SHARE = 1 / 3
RING_POINTS = 16
AFFINITY_BLOCKS = 16


class TargetState:
    """What one entry VM knows of a target of its region.

    Parameters
    ----------
    target : Target
        The target as declared.
    cost : float
        Cost of one second of a target in its region.
    """

    def __init__(self, *, target: Target, cost: float) -> None:
        self.target = target
        self.cost = cost
        self.work = TargetWork(target=target)
        if target.kind is TargetKind.SERVICE:
            self.work.slot_hold_seconds = SERVICE_HOLD_SECONDS
        else:
            self.work.slot_hold_seconds = DEFAULT_SLOT_HOLD_SECONDS
        self.limit = ConcurrencyLimit(slots=target.slots)
        self.health = Health()
        self.engine: EngineState | None = None
        self.short_lane = False
        self.silent = False

    def declare(self, target: Target, cost: float) -> None:
        """Take over the target's declaration of a newer revision."""
        self.target = target
        self.cost = cost
        self.work.slots = target.slots

    def holds(self, model: str, adapter: str) -> bool:
        """Return whether the target holds a model, as far as it is known."""
        if self.engine is None:
            return True
        for loaded in self.engine.models:
            if loaded.model == model:
                held = not adapter or adapter in loaded.adapters
                return loaded.ready and held
        return False

    def takes_work(self, now: float) -> bool:
        """Return whether neither its circuit nor its bounds keep requests away."""
        in_flight = self.work.local_in_flight
        if in_flight >= self.limit.value:
            return False
        if self.health.unimpaired:
            return True
        if self.health.circuit_state(now) is CircuitState.OPEN:
            return False
        share = self.health.capacity_share(now)
        return share >= 1.0 or in_flight < max(1.0, share * self.target.slots)


class Pool:
    """Targets that serve one model or service; draws candidates from them.

    Parameters
    ----------
    members : list of TargetState
        All targets of the pool.
    """

    def __init__(self, *, members: list[TargetState]) -> None:
        self.members = members
        self._by_id = {state.target.id: state for state in members}
        self._best: list[TargetState] = []
        self._ring = sorted(
            (zlib.crc32(f"{state.target.id}/{number}".encode()), state.target.id)
            for state in members
            for number in range(RING_POINTS)
        )

    @property
    def samples(self) -> bool:
        """Whether decisions look at a part of the targets only."""
        return len(self.members) > EVALUATE_ALL

    def preferred(self, blocks: Sequence[str]) -> TargetId | None:
        """Return the target to warm with a long prompt, by a hash of its start.

        Every entry VM prefers the same one, so that a prompt whose prefix is known
        nowhere is not made warm at several targets.
        """
        if len(blocks) < AFFINITY_BLOCKS:
            return None
        point = zlib.crc32(blocks[AFFINITY_BLOCKS - 1].encode())
        position = bisect(self._ring, (point, ""))
        return self._ring[position % len(self._ring)][1]

    def candidates(
        self,
        rng: random.Random,
        holders: Iterable[str],
        excluded: Container[TargetId],
    ) -> list[TargetState]:
        """Return the targets worth a score; few of many, in a large pool.

        They are random ones, those with the longest prefix, and the best ones of
        the last decisions.
        """
        if not self.samples:
            return [s for s in self.members if s.target.id not in excluded]
        drawn = {id(state): state for state in self._best}
        found = 0
        for holder in holders:
            state = self._by_id.get(holder)  # type: ignore[call-overload]
            if state is not None:
                drawn[id(state)] = state
                found += 1
                if found == HOLDER_CANDIDATES:
                    break
        count = len(self.members)
        for _ in range(RANDOM_CANDIDATES):
            state = self.members[int(rng.random() * count)]
            drawn[id(state)] = state
        return [s for s in drawn.values() if s.target.id not in excluded]

    def all_candidates(self, excluded: Container[TargetId]) -> list[TargetState]:
        """Return every target that is not excluded."""
        return [s for s in self.members if s.target.id not in excluded]

    def remember(self, best: list[TargetState]) -> None:
        """Keep good candidates for the next decision."""
        self._best = best[:KEPT_BEST]


def mark_short_lanes(members: list[TargetState]) -> None:
    """Mark the targets that long requests should leave to short ones.

    Every entry VM marks the same targets, since the order is by a hash of their
    ids. A pool of two targets has none.
    """
    count = int(len(members) * SHORT_LANE_SHARE)
    if len(members) > 2:
        count = max(1, count)
    order = sorted(members, key=lambda state: zlib.crc32(state.target.id.encode()))
    for number, state in enumerate(order):
        state.short_lane = number < count


def pool_names(index: ManifestIndex) -> Callable[[Target], list[str]]:
    """Return a function that names the pools of a target."""
    served: dict[RegionId, list[str]] = {}
    for item in index.manifest.serving:
        served.setdefault(item.region, []).append(item.model)

    def names(target: Target) -> list[str]:
        if target.kind is TargetKind.SERVICE:
            return list(target.services)
        return served.get(index.region_of(target), [])

    return names
