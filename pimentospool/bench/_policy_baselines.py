"""Baselines of the policy bench: well-known ways to choose a target.

Each baseline gets the same engines, priorities, arrivals, deadlines and view of
unreachable regions as the gateway's policy. An entry VM counts only its own requests
in flight, and no baseline queues requests at the entry VM.
"""

import zlib
from collections import Counter
from collections.abc import Callable
from functools import partial

from pimentospool.bench._policy_engine import ModelledEngine
from pimentospool.bench._policy_simulation import EntryNode, Request, Simulation
from pimentospool.ids import RegionId, TargetId
from pimentospool.manifest import Target, TargetKind

MAX_HASHED_BLOCKS = 16
MIN_HASHED_BLOCKS = 4
LOAD_BOUND_FACTOR = 1.25
SPILL_THRESHOLD_UTILISATION = 0.8


class _Baseline:
    """Serves in the local region; subclasses choose the target."""

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
        self._destinations: dict[int, TargetId | RegionId] = {}
        self._in_flight_by_region: Counter[RegionId] = Counter()

    def submit(self, req: Request, *, is_hop: bool) -> None:
        """Send the request to a local target or to the spill region."""
        if req.ended:
            return
        region = None if is_hop else self._spill_region(req)
        if region is not None:
            self._destinations[id(req)] = region
            self._in_flight_by_region[region] += 1
            on_failure = partial(self._hop_failed, req)
            self._sim.send_to_region(self._node, req, region, on_failure)
            return
        self._serve_locally(req)

    def first_token(self, req: Request) -> None:
        """Do nothing; baselines ignore first tokens."""

    def finished(self, req: Request, *, served: bool) -> None:
        """Stop counting the request as in flight."""
        destination = self._destinations.pop(id(req), None)
        if destination is None:
            return
        if destination in self._sim.engines:
            self._in_flight[TargetId(destination)] -= 1
        else:
            self._in_flight_by_region[RegionId(destination)] -= 1

    def read_reports(self, engine: ModelledEngine) -> None:
        """Do nothing; baselines use no reports of engines."""

    def read_vm_list(self) -> None:
        """Do nothing; baselines do not use the VM list."""

    def send_summaries(self) -> None:
        """Do nothing; baselines exchange no summaries."""

    def _serve_locally(self, req: Request) -> None:
        target = self._choose(req)
        self._destinations[id(req)] = target.id
        self._in_flight[target.id] += 1
        self._sim.send_to_target(self._node, req, target.id)

    def _hop_failed(self, req: Request) -> None:
        self.finished(req, served=False)
        req.sent_away = False
        if not req.ended:
            self._serve_locally(req)

    def _choose(self, req: Request) -> Target:
        raise NotImplementedError

    def _spill_region(self, req: Request) -> RegionId | None:
        return None

    def _least_in_flight(self) -> Target:
        return min(
            self._targets,
            key=lambda target: (self._in_flight[target.id], self._sim.rng.random()),
        )


class RoundRobin(_Baseline):
    """Uses the targets of the region in turn."""

    def __init__(self, *, sim: Simulation, node: EntryNode) -> None:
        super().__init__(sim=sim, node=node)
        self._request_count = 0

    def _choose(self, req: Request) -> Target:
        self._request_count += 1
        return self._targets[self._request_count % len(self._targets)]


class LeastInFlight(_Baseline):
    """Chooses the target with the fewest requests of this entry VM in flight."""

    def _choose(self, req: Request) -> Target:
        return self._least_in_flight()


class PrefixHash(_Baseline):
    """Rendezvous hashing of the prompt's first blocks, with bounded load."""

    def _choose(self, req: Request) -> Target:
        blocks = req.arrival.blocks
        if len(blocks) < MIN_HASHED_BLOCKS:
            return self._least_in_flight()
        key = blocks[min(len(blocks), MAX_HASHED_BLOCKS) - 1]
        ranked = sorted(
            self._targets, key=lambda target: zlib.crc32(f"{key}/{target.id}".encode())
        )
        total = sum(self._in_flight.values()) + 1
        bound = LOAD_BOUND_FACTOR * total / len(self._targets)
        for target in ranked:
            if self._in_flight[target.id] < bound:
                return target
        return ranked[0]


class Spill(LeastInFlight):
    """Least in flight; spills to another region above a utilisation threshold."""

    def _spill_region(self, req: Request) -> RegionId | None:
        nodes = self._sim.nodes
        local_nodes = [node for node in nodes if node.region == self._node.region]
        slots = sum(target.slots for target in self._targets)
        utilisation = sum(self._in_flight.values()) * len(local_nodes) / slots
        if utilisation < SPILL_THRESHOLD_UTILISATION:
            return None
        unreachable = self._sim.unreachable(self._node.region)
        regions = [
            region
            for region in req.arrival.customer.allowed_regions
            if region != self._node.region and region not in unreachable
        ]
        if not regions:
            return None
        return min(regions, key=lambda region: self._in_flight_by_region[region])


BASELINES: dict[str, Callable[..., _Baseline]] = {
    "round robin": RoundRobin,
    "least in flight": LeastInFlight,
    "prefix hash": PrefixHash,
    "spill at threshold": Spill,
}
