"""One run of the policy bench: entry VMs, engines, delays, faults and outcomes."""

import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Protocol

import msgspec

from pimentospool.bench._policy_engine import Job, ModelledEngine, VirtualTime
from pimentospool.bench._policy_traffic import DURATION_SECONDS, Arrival
from pimentospool.ids import EntryId, RegionId, TargetId
from pimentospool.manifest import ManifestIndex, TargetKind

REPORT_SECONDS = 0.5
SUMMARY_SECONDS = 0.5
DETECTION_SECONDS = 2.0
VM_LIST_LAG_SECONDS = 5.0
CALLER_TIMEOUT_SECONDS = 1.0
FAULT_START_SECONDS = 60.0
FAULT_END_SECONDS = 300.0
WARM_UP_SECONDS = 30.0
DRAIN_SECONDS = 90.0
STALE_REPORTS = 10
EVENT_LOSS = 0.02
STALE_EVENT_LOSS = 0.5
ENTRIES_PER_REGION = {"magnolia": (3, 3, 2), "tsuzumi": (3, 2, 2)}
ZONE_DELAY_SECONDS = {"magnolia": 0.001, "tsuzumi": 0.0015}
CALLER_DELAY_SECONDS = {"magnolia": 0.003, "tsuzumi": 0.001}
SHORT_PRIORITY = 0
LONG_PRIORITY = 10


class Fault(Enum):
    """What fails between `FAULT_START_SECONDS` and `FAULT_END_SECONDS`."""

    NONE = "none"
    REGION = "region"
    LINK = "link"
    STALE = "stale"


class Request(msgspec.Struct, kw_only=True, eq=False):
    """One arrival on its way, and its outcome; times in seconds."""

    arrival: Arrival
    entry: EntryId | None = None
    served_region: RegionId | None = None
    first_seconds: float | None = None
    ended: bool = False
    refused: bool = False
    away: bool = False
    servable: bool = True
    attempt: int = 0
    job: Job | None = None


class EntryPolicy(Protocol):
    """Decisions of one entry VM."""

    def submit(self, req: Request, *, hopped: bool) -> None:
        """Send the request somewhere or refuse it."""
        ...

    def first_token(self, req: Request) -> None:
        """Hear that the answer has begun."""
        ...

    def finished(self, req: Request, *, served: bool) -> None:
        """Hear that the request has ended here."""
        ...

    def poll(self, engine: ModelledEngine) -> None:
        """Read one engine's reports."""
        ...

    def read_vm_list(self) -> None:
        """Read which entry VMs there are."""
        ...

    def exchange(self) -> None:
        """Send summaries to the other entry VMs."""
        ...


class EntryNode:
    """An entry VM: its place and its policy."""

    def __init__(self, *, entry: EntryId, region: RegionId) -> None:
        self.entry = entry
        self.region = region
        self.alive = True
        self.policy: EntryPolicy

    def __repr__(self) -> str:
        return f"EntryNode({self.entry})"


class Simulation:
    """A deployment in virtual time.

    Parameters
    ----------
    index : ManifestIndex
        The deployment.
    fault : Fault
        What fails.
    seed : int
        Seed of everything but the arrivals.
    """

    def __init__(self, *, index: ManifestIndex, fault: Fault, seed: int) -> None:
        self.index = index
        self.fault = fault
        self.time = VirtualTime()
        self.rng = random.Random(seed)
        self.requests: list[Request] = []
        self.refusals: Counter[str] = Counter()
        deployment = index.manifest.deployment
        self._zone_delay = ZONE_DELAY_SECONDS.get(deployment, 0.001)
        self._caller_delay = CALLER_DELAY_SECONDS.get(deployment, 0.002)
        loss = STALE_EVENT_LOSS if fault is Fault.STALE else EVENT_LOSS
        self.engines: dict[TargetId, ModelledEngine] = {
            target.id: ModelledEngine(
                target=target,
                region=index.region_of(target),
                time=self.time,
                rng=random.Random(f"{seed}/{target.id}"),
                event_loss=loss,
            )
            for target in index.manifest.targets
            if target.kind is TargetKind.ENGINE
        }
        counts = ENTRIES_PER_REGION.get(deployment, (2,) * len(index.regions))
        self.nodes = [
            EntryNode(entry=EntryId(f"{region}-{number}"), region=region)
            for region, many in zip(index.regions, counts, strict=True)
            for number in range(many)
        ]
        self._by_entry = {node.entry: node for node in self.nodes}
        self._lost: RegionId | None = None
        self._cut: frozenset[RegionId] = frozenset()
        self._known_cut: frozenset[RegionId] = frozenset()

    def run(self, arrivals: list[Arrival]) -> None:
        """Run all arrivals to their ends."""
        for arrival in arrivals:
            req = Request(arrival=arrival)
            self.requests.append(req)
            self.time.after(arrival.at, partial(self._arrive, req))
        for node in self.nodes:
            phase = self.rng.random()
            self.time.after(phase * REPORT_SECONDS, partial(self._poll, node, 0))
            self.time.after(phase * SUMMARY_SECONDS, partial(self._exchange, node))
        self.time.after(FAULT_START_SECONDS, self._begin_fault)
        self.time.after(FAULT_END_SECONDS, self._end_fault)
        self.time.run(DURATION_SECONDS + DRAIN_SECONDS)

    # What policies use

    def delay(self, a: RegionId, b: RegionId) -> float:
        """Return the one-way delay between two entry VMs' regions in seconds."""
        if a == b:
            return self._zone_delay
        return self.index.delay_ms(a, b) / 1000.0

    def unreachable(self, region: RegionId) -> frozenset[RegionId]:
        """Return the regions known to be unreachable from `region`."""
        regions = set() if self._lost is None else {self._lost}
        if region in self._known_cut:
            regions |= self._known_cut - {region}
        return frozenset(regions)

    def connected(self, a: RegionId, b: RegionId) -> bool:
        """Return whether messages pass between two regions."""
        return a == b or not {a, b} <= self._cut

    def send_to_target(self, node: EntryNode, req: Request, target: TargetId) -> None:
        """Give the request to an engine of the entry VM's region."""
        req.served_region = node.region
        self.time.after(self._zone_delay, partial(self._submit, node, req, target))

    def send_to_region(
        self,
        node: EntryNode,
        req: Request,
        region: RegionId,
        failed: Callable[[], None],
    ) -> None:
        """Give the request to an entry VM of another region."""
        if not self.connected(node.region, region):
            self.time.after(CALLER_TIMEOUT_SECONDS, failed)
            return
        req.away = True
        peers = [peer for peer in self.nodes if peer.region == region and peer.alive]
        peer = self.rng.choice(peers)
        self.time.after(
            self.delay(node.region, region),
            partial(peer.policy.submit, req, hopped=True),
        )

    def refuse(self, req: Request, why: str) -> None:
        """End the request without an answer."""
        if req.servable and not req.ended:
            self.refusals[why] += 1
        self._finish(req, refused=True)

    def ingress(self, req: Request) -> EntryNode:
        """Return the entry VM where the request came in."""
        assert req.entry is not None
        return self._by_entry[req.entry]

    # Course of a request

    def _arrive(self, req: Request) -> None:
        arrival = req.arrival
        allowed = arrival.customer.allowed_regions
        home = [n for n in self.nodes if n.alive and n.region == arrival.region]
        others = [n for n in self.nodes if n.alive and n.region in allowed]
        choices = home or others
        if not any(node.region in allowed for node in choices):
            req.servable = False
            self.refuse(req, "no allowed region is up")
            return
        node = self.rng.choice(choices)
        req.entry = node.entry
        req.attempt += 1
        attempt = req.attempt
        left = arrival.at + arrival.deadline_seconds - self.time.now
        self.time.after(self._caller_way(req), partial(self._enter, node, req, attempt))
        if attempt == 1:
            self.time.after(left, partial(self._expire, req))

    def _caller_way(self, req: Request) -> float:
        region = self.ingress(req).region
        home = req.arrival.region
        far = self.delay(home, region) if region != home else 0.0
        return self._caller_delay + far

    def _enter(self, node: EntryNode, req: Request, attempt: int) -> None:
        if req.attempt == attempt and not req.ended and node.alive:
            node.policy.submit(req, hopped=False)

    def _submit(self, node: EntryNode, req: Request, target: TargetId) -> None:
        if req.ended:
            return
        attempt = req.attempt
        arrival = req.arrival
        req.job = Job(
            blocks=arrival.blocks,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.max_tokens,
            priority=SHORT_PRIORITY if arrival.short else LONG_PRIORITY,
            on_first=partial(self._first, node, req, attempt),
            on_end=partial(self._served, node, req, attempt),
        )
        self.engines[target].submit(req.job)

    def _first(self, node: EntryNode, req: Request, attempt: int) -> None:
        if req.ended or req.attempt != attempt:
            return
        back = self._zone_delay + self._caller_way(req)
        ingress = self.ingress(req)
        node.policy.first_token(req)
        if ingress is not node:
            back += self.delay(node.region, ingress.region)
            ingress.policy.first_token(req)
        req.first_seconds = self.time.now + back - req.arrival.at

    def _served(self, node: EntryNode, req: Request, attempt: int, whole: bool) -> None:
        if req.attempt == attempt and not req.ended and whole:
            self._finish(req, refused=False)

    def _expire(self, req: Request) -> None:
        if req.first_seconds is None and not req.ended:
            self.refuse(req, "no first token before the deadline")

    def _finish(self, req: Request, *, refused: bool) -> None:
        if req.ended:
            return
        req.ended = True
        req.refused = refused
        if refused and req.job is not None:
            req.job.cancelled = True
        for node in self.nodes:
            if node.alive:
                node.policy.finished(req, served=not refused)

    # Reports and summaries

    def _poll(self, node: EntryNode, turn: int) -> None:
        self.time.after(REPORT_SECONDS, partial(self._poll, node, turn + 1))
        stale = self.fault is Fault.STALE and self._in_fault()
        if not node.alive or (stale and turn % STALE_REPORTS):
            return
        for engine in self.engines.values():
            if engine.region == node.region:
                node.policy.poll(engine)

    def _exchange(self, node: EntryNode) -> None:
        self.time.after(SUMMARY_SECONDS, partial(self._exchange, node))
        if node.alive:
            node.policy.exchange()

    # Faults

    def _in_fault(self) -> bool:
        return FAULT_START_SECONDS <= self.time.now < FAULT_END_SECONDS

    def _begin_fault(self) -> None:
        regions = list(self.index.regions)
        if self.fault is Fault.LINK:
            self._cut = frozenset(regions[:2])
            self.time.after(DETECTION_SECONDS, self._learn_cut)
        elif self.fault is Fault.REGION:
            self._lose_region(regions[0])

    def _learn_cut(self) -> None:
        self._known_cut = self._cut

    def _end_fault(self) -> None:
        self._cut = frozenset()
        self._known_cut = frozenset()
        if self._lost is None:
            return
        for engine in self.engines.values():
            engine.start()
        for node in self.nodes:
            node.alive = True
        self._lost = None
        self.time.after(VM_LIST_LAG_SECONDS, self._read_vm_lists)

    def _read_vm_lists(self) -> None:
        for node in self.nodes:
            if node.alive:
                node.policy.read_vm_list()

    def _lose_region(self, region: RegionId) -> None:
        self._lost = region
        for node in self.nodes:
            node.alive = node.region != region
        for engine in self.engines.values():
            if engine.region == region:
                engine.stop()
        self.time.after(VM_LIST_LAG_SECONDS, self._read_vm_lists)
        for req in self.requests:
            if not req.ended and self._was_in(req, region):
                for node in self.nodes:
                    node.policy.finished(req, served=False)
                req.attempt += 1
                req.first_seconds = None
                req.away = False
                self.time.after(CALLER_TIMEOUT_SECONDS, partial(self._arrive, req))

    def _was_in(self, req: Request, region: RegionId) -> bool:
        if req.entry is None:
            return False
        return self.ingress(req).region == region or req.served_region == region
