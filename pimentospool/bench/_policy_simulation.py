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

REPORT_INTERVAL_SECONDS = 0.5
SUMMARY_INTERVAL_SECONDS = 0.5
LINK_DETECTION_SECONDS = 2.0
VM_LIST_LAG_SECONDS = 5.0
CALLER_TIMEOUT_SECONDS = 1.0
FAULT_START_SECONDS = 60.0
FAULT_END_SECONDS = 300.0
WARM_UP_SECONDS = 30.0
DRAIN_SECONDS = 90.0
STALE_REPORT_INTERVAL = 10
"""In a stale fault, one report in this many is read."""
EVENT_LOSS_SHARE = 0.02
STALE_EVENT_LOSS_SHARE = 0.5
ENTRIES_PER_REGION = {"magnolia": (3, 3, 2), "tsuzumi": (3, 2, 2)}
ZONE_DELAY_SECONDS = {"magnolia": 0.001, "tsuzumi": 0.0015}
CALLER_DELAY_SECONDS = {"magnolia": 0.003, "tsuzumi": 0.001}
SHORT_PRIORITY = 0
LONG_PRIORITY = 10
"""Engines serve lower numbers first."""


class Fault(Enum):
    """What fails between `FAULT_START_SECONDS` and `FAULT_END_SECONDS`.

    `REGION` takes the first region down, `LINK` cuts the link between the first two,
    and `STALE` makes reports of engines rare and loses many cache events.
    """

    NONE = "none"
    REGION = "region"
    LINK = "link"
    STALE = "stale"


class Request(msgspec.Struct, kw_only=True, eq=False):
    """State and outcome of one request of the simulation.

    `first_token_seconds` counts from the arrival. `attempt` rises when the caller sends
    the request again after the loss of a region, so that later events of the earlier
    attempt are ignored.
    """

    arrival: Arrival
    entry: EntryId | None = None
    served_region: RegionId | None = None
    first_token_seconds: float | None = None
    ended: bool = False
    refused: bool = False
    sent_away: bool = False
    servable: bool = True
    attempt: int = 0
    job: Job | None = None


class EntryPolicy(Protocol):
    """Routing policy of one entry VM, called by the simulation."""

    def submit(self, req: Request, *, is_hop: bool) -> None:
        """Send the request to a target or a region, queue it or refuse it."""
        ...

    def first_token(self, req: Request) -> None:
        """Record that the first token of the response arrived."""
        ...

    def finished(self, req: Request, *, served: bool) -> None:
        """Record that the request ended, and release what it holds."""
        ...

    def read_reports(self, engine: ModelledEngine) -> None:
        """Read the load report and the cache events of one engine."""
        ...

    def read_vm_list(self) -> None:
        """Read the list of live entry VMs."""
        ...

    def send_summaries(self) -> None:
        """Send the load summary to the other entry VMs."""
        ...


class EntryNode:
    """An entry VM: its id, its region and its policy."""

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
        Deployment to simulate.
    fault : Fault
        Fault to inject.
    seed : int
        Seed of every random choice except the arrivals.
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
        loss = STALE_EVENT_LOSS_SHARE if fault is Fault.STALE else EVENT_LOSS_SHARE
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
            for region, count in zip(index.regions, counts, strict=True)
            for number in range(count)
        ]
        self._by_entry = {node.entry: node for node in self.nodes}
        self._lost_region: RegionId | None = None
        self._cut_regions: frozenset[RegionId] = frozenset()
        self._detected_cut_regions: frozenset[RegionId] = frozenset()

    def run(self, arrivals: list[Arrival]) -> None:
        """Run the simulation until every arrival has been served or refused."""
        for arrival in arrivals:
            req = Request(arrival=arrival)
            self.requests.append(req)
            self.time.after(arrival.at, partial(self._arrive, req))
        for node in self.nodes:
            phase = self.rng.random()
            self.time.after(
                phase * REPORT_INTERVAL_SECONDS, partial(self._read_reports, node, 0)
            )
            self.time.after(
                phase * SUMMARY_INTERVAL_SECONDS, partial(self._send_summaries, node)
            )
        self.time.after(FAULT_START_SECONDS, self._begin_fault)
        self.time.after(FAULT_END_SECONDS, self._end_fault)
        self.time.run(DURATION_SECONDS + DRAIN_SECONDS)

    # Methods that policies call

    def delay(self, a: RegionId, b: RegionId) -> float:
        """Return the one-way delay in seconds between entry VMs of two regions."""
        if a == b:
            return self._zone_delay
        return self.index.delay_ms(a, b) / 1000.0

    def unreachable(self, region: RegionId) -> frozenset[RegionId]:
        """Return the regions that `region` knows to be unreachable."""
        regions = set() if self._lost_region is None else {self._lost_region}
        if region in self._detected_cut_regions:
            regions |= self._detected_cut_regions - {region}
        return frozenset(regions)

    def connected(self, a: RegionId, b: RegionId) -> bool:
        """Return whether messages between two regions arrive."""
        return a == b or not {a, b} <= self._cut_regions

    def send_to_target(self, node: EntryNode, req: Request, target: TargetId) -> None:
        """Send the request to an engine in the entry VM's region."""
        req.served_region = node.region
        self.time.after(
            self._zone_delay, partial(self._submit_to_engine, node, req, target)
        )

    def send_to_region(
        self,
        node: EntryNode,
        req: Request,
        region: RegionId,
        on_failure: Callable[[], None],
    ) -> None:
        """Send the request to a live entry VM of another region.

        If the link is cut, `on_failure` runs after the connection times out.
        """
        if not self.connected(node.region, region):
            self.time.after(CALLER_TIMEOUT_SECONDS, on_failure)
            return
        req.sent_away = True
        peers = [peer for peer in self.nodes if peer.region == region and peer.alive]
        peer = self.rng.choice(peers)
        self.time.after(
            self.delay(node.region, region),
            partial(peer.policy.submit, req, is_hop=True),
        )

    def refuse(self, req: Request, reason: str) -> None:
        """End the request without a response and count the reason."""
        if req.servable and not req.ended:
            self.refusals[reason] += 1
        self._finish(req, refused=True)

    def ingress(self, req: Request) -> EntryNode:
        """Return the entry VM that received the request from its caller."""
        assert req.entry is not None
        return self._by_entry[req.entry]

    # Request lifecycle

    def _arrive(self, req: Request) -> None:
        arrival = req.arrival
        allowed = arrival.customer.allowed_regions
        home = [n for n in self.nodes if n.alive and n.region == arrival.region]
        allowed_nodes = [n for n in self.nodes if n.alive and n.region in allowed]
        choices = home or allowed_nodes
        if not any(node.region in allowed for node in choices):
            req.servable = False
            self.refuse(req, "no allowed region is up")
            return
        node = self.rng.choice(choices)
        req.entry = node.entry
        req.attempt += 1
        attempt = req.attempt
        remaining_seconds = arrival.at + arrival.deadline_seconds - self.time.now
        self.time.after(
            self._delay_to_caller(req),
            partial(self._deliver_to_entry, node, req, attempt),
        )
        if attempt == 1:
            self.time.after(remaining_seconds, partial(self._expire, req))

    def _delay_to_caller(self, req: Request) -> float:
        region = self.ingress(req).region
        home = req.arrival.region
        region_delay = self.delay(home, region) if region != home else 0.0
        return self._caller_delay + region_delay

    def _deliver_to_entry(self, node: EntryNode, req: Request, attempt: int) -> None:
        if req.attempt == attempt and not req.ended and node.alive:
            node.policy.submit(req, is_hop=False)

    def _submit_to_engine(
        self, node: EntryNode, req: Request, target: TargetId
    ) -> None:
        if req.ended:
            return
        attempt = req.attempt
        arrival = req.arrival
        req.job = Job(
            blocks=arrival.blocks,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.max_tokens,
            priority=SHORT_PRIORITY if arrival.short else LONG_PRIORITY,
            on_first_token=partial(self._receive_first_token, node, req, attempt),
            on_end=partial(self._end_job, node, req, attempt),
        )
        self.engines[target].submit(req.job)

    def _receive_first_token(self, node: EntryNode, req: Request, attempt: int) -> None:
        if req.ended or req.attempt != attempt:
            return
        response_delay = self._zone_delay + self._delay_to_caller(req)
        ingress = self.ingress(req)
        node.policy.first_token(req)
        if ingress is not node:
            response_delay += self.delay(node.region, ingress.region)
            ingress.policy.first_token(req)
        req.first_token_seconds = self.time.now + response_delay - req.arrival.at

    def _end_job(
        self, node: EntryNode, req: Request, attempt: int, completed: bool
    ) -> None:
        if req.attempt == attempt and not req.ended and completed:
            self._finish(req, refused=False)

    def _expire(self, req: Request) -> None:
        if req.first_token_seconds is None and not req.ended:
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

    def _read_reports(self, node: EntryNode, round_number: int) -> None:
        self.time.after(
            REPORT_INTERVAL_SECONDS, partial(self._read_reports, node, round_number + 1)
        )
        stale = self.fault is Fault.STALE and self._in_fault()
        if not node.alive or (stale and round_number % STALE_REPORT_INTERVAL):
            return
        for engine in self.engines.values():
            if engine.region == node.region:
                node.policy.read_reports(engine)

    def _send_summaries(self, node: EntryNode) -> None:
        self.time.after(SUMMARY_INTERVAL_SECONDS, partial(self._send_summaries, node))
        if node.alive:
            node.policy.send_summaries()

    # Faults

    def _in_fault(self) -> bool:
        return FAULT_START_SECONDS <= self.time.now < FAULT_END_SECONDS

    def _begin_fault(self) -> None:
        regions = list(self.index.regions)
        if self.fault is Fault.LINK:
            self._cut_regions = frozenset(regions[:2])
            self.time.after(LINK_DETECTION_SECONDS, self._detect_cut)
        elif self.fault is Fault.REGION:
            self._lose_region(regions[0])

    def _detect_cut(self) -> None:
        self._detected_cut_regions = self._cut_regions

    def _end_fault(self) -> None:
        self._cut_regions = frozenset()
        self._detected_cut_regions = frozenset()
        if self._lost_region is None:
            return
        for engine in self.engines.values():
            engine.start()
        for node in self.nodes:
            node.alive = True
        self._lost_region = None
        self.time.after(VM_LIST_LAG_SECONDS, self._read_vm_lists)

    def _read_vm_lists(self) -> None:
        for node in self.nodes:
            if node.alive:
                node.policy.read_vm_list()

    def _lose_region(self, region: RegionId) -> None:
        self._lost_region = region
        for node in self.nodes:
            node.alive = node.region != region
        for engine in self.engines.values():
            if engine.region == region:
                engine.stop()
        self.time.after(VM_LIST_LAG_SECONDS, self._read_vm_lists)
        for req in self.requests:
            if not req.ended and self._passed_through(req, region):
                for node in self.nodes:
                    node.policy.finished(req, served=False)
                req.attempt += 1
                req.first_token_seconds = None
                req.sent_away = False
                self.time.after(CALLER_TIMEOUT_SECONDS, partial(self._arrive, req))

    def _passed_through(self, req: Request, region: RegionId) -> bool:
        if req.entry is None:
            return False
        return self.ingress(req).region == region or req.served_region == region
