"""Gathers what the choice of a target needs to know."""

import math
from collections.abc import Callable

import msgspec

from pimentospool.gateway._fleet import Fleet, ServiceLoad
from pimentospool.gateway._model import HttpRoute, InboundRequest, ServiceSpec
from pimentospool.gateway._progress import Progress
from pimentospool.gateway._routing_state import Knowledge, TargetState
from pimentospool.ids import RegionId, ServiceId, TargetId
from pimentospool.policy import (
    Assignment,
    CachedParts,
    Candidate,
    ColdShares,
    NoChoice,
    OccupancyBook,
    RegionChoice,
    RemoteRegion,
    TargetChoice,
    TargetHealth,
    choose_place,
    preferred_target,
)


class SharedBounds(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds that hold for all entry VMs together; shares of them are taken."""

    repeat_ratio: float
    repeat_reserve: float
    repeat_window_seconds: float
    cold_overage: float
    cold_slack: float


class Placing:
    """Places requests on targets and regions, and learns from their answers.

    Parameters
    ----------
    region : RegionId
        Region of this entry VM.
    knowledge : Knowledge
        Configuration and targets.
    fleet : Fleet
        Other entry VMs.
    book : OccupancyBook
        Work in progress.
    bounds : SharedBounds
        Bounds on cold targets.
    clock : callable
        Returns the steady time in seconds.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        knowledge: Knowledge,
        fleet: Fleet,
        book: OccupancyBook,
        bounds: SharedBounds,
        clock: Callable[[], float],
    ) -> None:
        self._region = region
        self._knowledge = knowledge
        self._fleet = fleet
        self._book = book
        self._bounds = bounds
        self._clock = clock
        self._cached = CachedParts(clock=clock)
        self._cold = ColdShares(own=fleet.own_id, clock=clock)
        self._health: dict[TargetId, TargetHealth] = {}
        knowledge.target_removed.connect(self._forget)

    def choose(
        self,
        req: InboundRequest,
        route: HttpRoute,
        service: ServiceSpec,
        progress: Progress,
        *,
        patience_seconds: float,
    ) -> TargetChoice | RegionChoice | NoChoice:
        """Return where the next attempt of `req` goes.

        `patience_seconds` is the time for which its caller waits for a first byte.
        """
        home = self._region_of_parts(req, route, service)
        remotes = []
        if not req.hopped and progress.targets_left:
            remotes = self._remotes(req, route, service, progress, home=home)
        candidates = []
        if route.allows(self._region):
            kept_elsewhere = any(remote.region == home for remote in remotes)
            candidates = self._candidates(
                req, service, progress, kept_here=not kept_elsewhere
            )
        objective = route.target_latency_seconds or math.inf
        choice = choose_place(
            candidates,
            remotes,
            patience_seconds=patience_seconds,
            objective_seconds=objective,
        )
        if (
            isinstance(choice, TargetChoice)
            and choice.candidate.cold
            and not self._take_cold(choice.candidate, service)
        ):
            warm = [item for item in candidates if not item.cold]
            return choose_place(
                warm,
                remotes,
                patience_seconds=patience_seconds,
                objective_seconds=objective,
            )
        return choice

    def begin(self, req: InboundRequest, candidate: Candidate) -> Assignment:
        """Count `req` at its target."""
        prompt = req.prompt
        if prompt is not None and candidate.cache_tokens:
            parts = [part.id for part in prompt.parts]
            self._cached.sent(candidate.target, parts)
            held = prompt.tokens + prompt.max_output_tokens
        else:
            held = 0
        return self._book.begin(
            candidate.target,
            waiting_tokens=candidate.unread_tokens,
            held_tokens=held,
        )

    def health(self, target: TargetId) -> TargetHealth:
        """Return the health of `target`."""
        health = self._health.get(target)
        if health is None:
            health = self._health[target] = TargetHealth(clock=self._clock)
        return health

    def local_loads(self) -> dict[str, ServiceLoad]:
        """Return the load of this region's targets by service."""
        configuration = self._knowledge.configuration
        if configuration is None:
            return {}
        loads = {}
        for service in configuration.services.values():
            states = self._usable(service.id)
            now = self._clock()
            # A cold target takes few requests and an unreachable one none, so that
            # their idleness says nothing of the region's load.
            steady = [
                state
                for state in states
                if not (state.is_cold(now) or self.health(state.id).doubtful)
            ]
            candidates = [
                self._candidate(state, service, unread=0, tokens=0)
                for state in steady or states
            ]
            if candidates:
                least = min(candidates, key=lambda item: item.cost_seconds)
                loads[str(service.id)] = ServiceLoad(
                    round(least.cost_seconds, 3), round(least.crowding, 2)
                )
        return loads

    def _usable(self, service: ServiceId) -> list[TargetState]:
        states = self._knowledge.usable_targets(service, self._region)
        return [state for state in states if not self.health(state.id).ejected]

    def _candidates(
        self,
        req: InboundRequest,
        service: ServiceSpec,
        progress: Progress,
        *,
        kept_here: bool,
    ) -> list[Candidate]:
        """Return this region's targets; `kept_here` says if one keeps the prompt."""
        states = [
            state for state in self._usable(service.id) if progress.may_use(state.id)
        ]
        fresh = [state for state in states if state.id not in progress.excluded]
        states = fresh or states
        prompt = req.prompt
        if prompt is None or service.engine is None:
            return [
                self._candidate(state, service, unread=0, tokens=0) for state in states
            ]
        preferred = None
        if kept_here:
            ids = [state.id for state in states]
            preferred = preferred_target(prompt.shared_key, ids)
        tokens = prompt.tokens + prompt.max_output_tokens
        return [
            self._candidate(
                state,
                service,
                unread=self._unread_tokens(req, state.id, preferred=preferred),
                tokens=tokens,
            )
            for state in states
        ]

    def _candidate(
        self, state: TargetState, service: ServiceSpec, *, unread: int, tokens: int
    ) -> Candidate:
        health = self.health(state.id)
        return Candidate(
            target=state.id,
            occupancy=self._book.total(state.id),
            slots=state.registration.slots,
            cache_tokens=service.engine.cache_tokens if service.engine else 0,
            unread_tokens=unread,
            prompt_tokens=tokens,
            pace=health.pace,
            failing=health.failing,
            turn_seconds=health.turn_seconds,
            cold=state.is_cold(self._clock()),
        )

    def _unread_tokens(
        self, req: InboundRequest, target: TargetId, *, preferred: TargetId | None
    ) -> int:
        prompt = req.prompt
        assert prompt is not None
        if not prompt.parts:
            return prompt.tokens
        parts = prompt.parts
        leading = self._cached.leading(target, [part.id for part in parts])
        if target == preferred:
            leading = max(leading, len(parts) - 1)
        return sum(part.tokens for part in parts[leading:])

    def _remotes(
        self,
        req: InboundRequest,
        route: HttpRoute,
        service: ServiceSpec,
        progress: Progress,
        *,
        home: RegionId | None,
    ) -> list[RemoteRegion]:
        loads = {
            region: load
            for region, load in self._fleet.loads(service.id).items()
            if route.allows(region) and region not in progress.excluded_regions
        }
        if not loads:
            return []
        return [
            RemoteRegion(
                region=region,
                wait_seconds=load.wait_seconds,
                crowding=load.crowding,
                unread_tokens=self._unread_in(req, service, kept=region == home),
            )
            for region, load in loads.items()
        ]

    def _region_of_parts(
        self, req: InboundRequest, route: HttpRoute, service: ServiceSpec
    ) -> RegionId | None:
        """Return the region whose target all entry VMs prefer for the prompt."""
        if req.prompt is None or service.engine is None:
            return None
        regions = {
            state.id: region
            for region in set(self._knowledge.zone_regions.values())
            if route.allows(region)
            for state in self._knowledge.usable_targets(service.id, region)
        }
        preferred = preferred_target(req.prompt.shared_key, list(regions))
        return regions[preferred] if preferred is not None else None

    def _unread_in(
        self, req: InboundRequest, service: ServiceSpec, *, kept: bool
    ) -> int:
        prompt = req.prompt
        if prompt is None or service.engine is None:
            return 0
        if not kept or not prompt.parts:
            return prompt.tokens
        return prompt.parts[-1].tokens

    def _take_cold(self, candidate: Candidate, service: ServiceSpec) -> bool:
        bounds = self._bounds
        rate = service.cold_requests_per_second * bounds.cold_overage
        return self._cold.take(
            candidate.target,
            bound_per_second=rate + bounds.cold_slack,
            members=self._fleet.known_ids(self._region),
        )

    def _forget(self, target: TargetId) -> None:
        self._health.pop(target, None)
        self._cached.forget(target)
