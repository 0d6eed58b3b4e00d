"""Targets of the local region, grouped by the model or service that they serve."""

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

MAX_UNSAMPLED_TARGETS = 6
RANDOM_CANDIDATES = 2
PREFIX_HOLDER_CANDIDATES = 2
REMEMBERED_CANDIDATES = 1
SERVICE_SLOT_HOLD_SECONDS = 0.1
SHORT_PREFERRED_SHARE = 1 / 3
RING_POINTS_PER_TARGET = 16
MIN_AFFINITY_BLOCKS = 16


class TargetState:
    """State of a target of the local region as this entry VM knows it.

    Parameters
    ----------
    target : Target
        The target as declared by the manifest.
    cost : float
        Cost of one second of a target in its region.
    """

    def __init__(self, *, target: Target, cost: float) -> None:
        self.target = target
        self.cost = cost
        self.work = TargetWork(target=target)
        if target.kind is TargetKind.SERVICE:
            self.work.slot_hold_seconds = SERVICE_SLOT_HOLD_SECONDS
        else:
            self.work.slot_hold_seconds = DEFAULT_SLOT_HOLD_SECONDS
        self.limit = ConcurrencyLimit(slots=target.slots)
        self.health = Health()
        self.engine: EngineState | None = None
        self.short_preferred = False
        self.silent = False
        """Whether unanswered polls opened the circuit, and no poll succeeded since."""

    def apply_declaration(self, target: Target, cost: float) -> None:
        """Apply the declaration of the target in a newer manifest."""
        self.target = target
        self.cost = cost
        self.work.slots = target.slots

    def serves_model(self, model: str, adapter: str) -> bool:
        """Return whether the target has loaded a model and adapter.

        This is assumed while the engine has not reported its state.
        """
        if self.engine is None:
            return True
        for loaded in self.engine.models:
            if loaded.model == model:
                has_adapter = not adapter or adapter in loaded.adapters
                return loaded.ready and has_adapter
        return False

    def accepts_requests(self, now: float) -> bool:
        """Return whether circuit, concurrency limit and slow start admit a request."""
        in_flight = self.work.local_in_flight
        if in_flight >= self.limit.value:
            return False
        if self.health.unimpaired:
            return True
        if self.health.circuit_state(now) is CircuitState.OPEN:
            return False
        share = self.health.capacity_share(now)
        return share >= 1.0 or in_flight < max(1.0, share * self.target.slots)


class TargetPool:
    """Targets that serve one model or service, from which candidates are drawn.

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
            for number in range(RING_POINTS_PER_TARGET)
        )

    @property
    def is_sampled(self) -> bool:
        """Whether a decision considers only a sample of the targets."""
        return len(self.members) > MAX_UNSAMPLED_TARGETS

    def affinity_target(self, blocks: Sequence[str]) -> TargetId | None:
        """Return the target that should cache a long prompt, by consistent hashing.

        The hash is that of the prompt's start, so every entry VM chooses the same
        target, and a prefix that is cached nowhere yet is not computed at several
        targets.
        """
        if len(blocks) < MIN_AFFINITY_BLOCKS:
            return None
        point = zlib.crc32(blocks[MIN_AFFINITY_BLOCKS - 1].encode())
        position = bisect(self._ring, (point, ""))
        return self._ring[position % len(self._ring)][1]

    def candidates(
        self,
        rng: random.Random,
        holders: Iterable[str],
        excluded: Container[TargetId],
    ) -> list[TargetState]:
        """Return the targets to score: all of a small pool, a sample of a large one.

        The sample has random targets, those that hold the longest cached prefix, and
        the best ones of the last decision.
        """
        if not self.is_sampled:
            return [s for s in self.members if s.target.id not in excluded]
        candidates = {id(state): state for state in self._best}
        holder_count = 0
        for holder in holders:
            state = self._by_id.get(holder)  # type: ignore[call-overload]
            if state is not None:
                candidates[id(state)] = state
                holder_count += 1
                if holder_count == PREFIX_HOLDER_CANDIDATES:
                    break
        count = len(self.members)
        for _ in range(RANDOM_CANDIDATES):
            state = self.members[int(rng.random() * count)]
            candidates[id(state)] = state
        return [s for s in candidates.values() if s.target.id not in excluded]

    def all_candidates(self, excluded: Container[TargetId]) -> list[TargetState]:
        """Return every target that is not excluded."""
        return [s for s in self.members if s.target.id not in excluded]

    def remember_best(self, best: list[TargetState]) -> None:
        """Store the best candidates for the next decision."""
        self._best = best[:REMEMBERED_CANDIDATES]


def mark_short_preferred(members: list[TargetState]) -> None:
    """Mark the targets that are preferably used for short requests.

    Long requests have a higher score there, and fewer slots. Every entry VM marks the
    same targets, since they are ordered by a hash of their ids. With up to two targets,
    none is marked.
    """
    count = int(len(members) * SHORT_PREFERRED_SHARE)
    if len(members) > 2:
        count = max(1, count)
    order = sorted(members, key=lambda state: zlib.crc32(state.target.id.encode()))
    for number, state in enumerate(order):
        state.short_preferred = number < count


def pool_namer(index: ManifestIndex) -> Callable[[Target], list[str]]:
    """Return a function that lists the names of the pools that a target is in."""
    models_by_region: dict[RegionId, list[str]] = {}
    for item in index.manifest.serving:
        models_by_region.setdefault(item.region, []).append(item.model)

    def name_pools(target: Target) -> list[str]:
        if target.kind is TargetKind.SERVICE:
            return list(target.services)
        return models_by_region.get(index.region_of(target), [])

    return name_pools
