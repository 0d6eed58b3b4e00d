"""Baselines of the policy bench: well-known ways to choose a target.

Each has the same engines, priorities, arrivals, deadlines and view of lost regions as
the gateway. Each counts its own requests in flight; none queues at the entry VM.
"""

import zlib
from collections import Counter
from collections.abc import Callable
from functools import partial

from pimentospool.bench._policy_engine import ModelledEngine
from pimentospool.bench._policy_simulation import EntryNode, Request, Simulation
from pimentospool.ids import RegionId, TargetId
from pimentospool.manifest import Target, TargetKind

HASHED_BLOCKS = 16
SHORTEST_HASHED = 4
BOUNDED_LOAD = 1.25
SPILL_UTILISATION = 0.8


class _Baseline:
    """Serves in the own region; subclasses choose the target."""

    def __init__(self, *, sim: Simulation, node: EntryNode) -> None:
        self._sim = sim
        self._node = node
        self._targets: list[Target] = [
            target
            for target in sim.index.manifest.targets
            if target.kind is TargetKind.ENGINE
            and sim.index.region_of(target) == node.region
        ]
        self._in_flight: Counter[TargetId] = Counter()
        self._held: dict[int, TargetId | RegionId] = {}
        self._away: Counter[RegionId] = Counter()

    def submit(self, req: Request, *, hopped: bool) -> None:
        """Send the request to a target, or where the baseline spills to."""
        if req.ended:
            return
        region = None if hopped else self._spill(req)
        if region is not None:
            self._held[id(req)] = region
            self._away[region] += 1
            failed = partial(self._hop_failed, req)
            self._sim.send_to_region(self._node, req, region, failed)
            return
        self._serve_here(req)

    def first_token(self, req: Request) -> None:
        """Learn nothing."""

    def finished(self, req: Request, *, served: bool) -> None:
        """Count the request as ended."""
        held = self._held.pop(id(req), None)
        if held is None:
            return
        if held in self._sim.engines:
            self._in_flight[TargetId(held)] -= 1
        else:
            self._away[RegionId(held)] -= 1

    def poll(self, engine: ModelledEngine) -> None:
        """Read nothing."""

    def read_vm_list(self) -> None:
        """Read nothing."""

    def exchange(self) -> None:
        """Send nothing."""

    def _serve_here(self, req: Request) -> None:
        target = self._choose(req)
        self._held[id(req)] = target.id
        self._in_flight[target.id] += 1
        self._sim.send_to_target(self._node, req, target.id)

    def _hop_failed(self, req: Request) -> None:
        self.finished(req, served=False)
        req.away = False
        if not req.ended:
            self._serve_here(req)

    def _choose(self, req: Request) -> Target:
        raise NotImplementedError

    def _spill(self, req: Request) -> RegionId | None:
        return None

    def _least(self) -> Target:
        return min(
            self._targets,
            key=lambda target: (self._in_flight[target.id], self._sim.rng.random()),
        )


class RoundRobin(_Baseline):
    """Each target of the region in turn."""

    def __init__(self, *, sim: Simulation, node: EntryNode) -> None:
        super().__init__(sim=sim, node=node)
        self._turn = 0

    def _choose(self, req: Request) -> Target:
        self._turn += 1
        return self._targets[self._turn % len(self._targets)]


class LeastInFlight(_Baseline):
    """The target of the region with the fewest own requests in flight."""

    def _choose(self, req: Request) -> Target:
        return self._least()


class PrefixHash(_Baseline):
    """Rendezvous hash of the prompt's start, with bounded load."""

    def _choose(self, req: Request) -> Target:
        blocks = req.arrival.blocks
        if len(blocks) < SHORTEST_HASHED:
            return self._least()
        key = blocks[min(len(blocks), HASHED_BLOCKS) - 1]
        ranked = sorted(
            self._targets, key=lambda target: zlib.crc32(f"{key}/{target.id}".encode())
        )
        total = sum(self._in_flight.values()) + 1
        bound = BOUNDED_LOAD * total / len(self._targets)
        for target in ranked:
            if self._in_flight[target.id] < bound:
                return target
        return ranked[0]


class Spill(LeastInFlight):
    """Least in flight; to another region while the own one is over a threshold."""

    def _spill(self, req: Request) -> RegionId | None:
        nodes = self._sim.nodes
        mine = [node for node in nodes if node.region == self._node.region]
        slots = sum(target.slots for target in self._targets)
        used = sum(self._in_flight.values()) * len(mine) / slots
        if used < SPILL_UTILISATION:
            return None
        blocked = self._sim.unreachable(self._node.region)
        regions = [
            region
            for region in req.arrival.customer.allowed_regions
            if region != self._node.region and region not in blocked
        ]
        if not regions:
            return None
        return min(regions, key=lambda region: self._away[region])


BASELINES: dict[str, Callable[..., _Baseline]] = {
    "round robin": RoundRobin,
    "least in flight": LeastInFlight,
    "prefix hash": PrefixHash,
    "spill at threshold": Spill,
}
