"""Chooses the target or region for each attempt of a request."""

import math
from collections.abc import Callable
from functools import partial

import msgspec

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord, ServiceLoad
from pimentospool.gateway._model import (
    HttpRoute,
    InboundRequest,
    Registration,
    ServiceSpec,
)
from pimentospool.gateway._progress import RequestProgress
from pimentospool.gateway._region_contact import RegionContact
from pimentospool.gateway._routing_state import RoutingState, TargetState
from pimentospool.gateway._stream_placement import StreamPlacement
from pimentospool.ids import EntryId, RegionId, ServiceId, SoftwareVersion, TargetId
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    Assignment,
    BrittleTargets,
    CachedParts,
    Candidate,
    ColdStartLimiter,
    DoubtedStarts,
    KnownStarts,
    NamedLimits,
    NeighbourUse,
    NoChoice,
    OccupancyBook,
    RegionChoice,
    RemoteRegion,
    ServicePace,
    StreamPlan,
    TargetChoice,
    TargetHealth,
    WarmUp,
    choose_destination,
    neighbour_use,
    preferred_target,
)
from pimentospool.signals import Signal


class SharedBounds(msgspec.Struct, kw_only=True, frozen=True):
    """Limits for all entry VMs together; each one may use its share of them."""

    retry_ratio: float
    """Retries allowed per request."""
    retry_reserve: float
    """Retries allowed in one window in addition."""
    retry_window_seconds: float
    cold_overage: float
    """Factor on the request rate that the service states for a cold target."""
    cold_slack: float
    """Requests per second to a cold target in addition."""


class Placement:
    """Chooses targets and regions; tracks health and cached prompt parts of targets.

    Parameters
    ----------
    region : RegionId
        Region of this entry VM.
    routing_state : RoutingState
        Current configuration and registered targets.
    fleet : Fleet
        Membership of the entry VMs.
    book : OccupancyBook
        Requests in progress at each target.
    bounds : SharedBounds
        Limits on requests to cold targets.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        routing_state: RoutingState,
        fleet: Fleet,
        book: OccupancyBook,
        bounds: SharedBounds,
        clock: Callable[[], float],
    ) -> None:
        self._region = region
        self._routing_state = routing_state
        self._fleet = fleet
        self._book = book
        self._bounds = bounds
        self._clock = clock
        self._cached_parts = CachedParts(clock=clock)
        self._cold_start_limiter = ColdStartLimiter(entry=fleet.local_id, clock=clock)
        self.named_limits = NamedLimits(
            entry=fleet.local_id, clock=clock, on_change=_log_limit
        )
        self.brittle_targets = BrittleTargets(
            entry=fleet.local_id,
            clock=clock,
            on_change=lambda target, brittle: log_event(
                Event.TARGET_BRITTLE, target=target, brittle=brittle
            ),
        )
        self.contact = RegionContact(
            fleet=fleet, routing_state=routing_state, clock=clock
        )
        self.doubts_changed: Signal[[]] = Signal(name="doubts_changed")
        """Sent when the other entry VMs are to be told of a doubt or a proof."""
        self.start_doubted: Signal[[TargetId, bool]] = Signal(name="start_doubted")
        """Sent when it changes whether the start of a target is in doubt."""
        self.doubted_starts = DoubtedStarts(
            own=fleet.local_record.key,
            clock=clock,
            on_change=self._report_doubt,
            on_news=self.doubts_changed.send,
        )
        self._health: dict[TargetId, TargetHealth] = {}
        self._paces: dict[ServiceId, ServicePace] = {}
        self._warm_ups: dict[TargetId, WarmUp] = {}
        self.streams = StreamPlacement(
            region=region, routing_state=routing_state, book=book, clock=clock
        )
        self._starts = KnownStarts(clock=clock, forget=self._forget_target)
        for target in routing_state.known_targets():
            state = routing_state.target(target)
            assert state is not None
            self._register_start(state.registration)
        routing_state.target_started.connect(self._register_start)
        routing_state.target_removed.connect(self._lapse)

    def choose(
        self,
        req: InboundRequest,
        route: HttpRoute,
        service: ServiceSpec,
        progress: RequestProgress,
        *,
        first_byte_timeout_seconds: float,
        may_try_idle: bool = True,
        may_continue: Callable[[TargetState], bool] = lambda state: True,
        seconds_left: float = math.inf,
        refuses_late: bool = False,
    ) -> TargetChoice | RegionChoice | NoChoice:
        """Return the target or region for the next attempt of `req`.

        `first_byte_timeout_seconds` is the time for which the caller still waits for a
        first byte, `may_try_idle` is that of `choose_destination`. `may_continue` tells
        whether a stream that has begun may go on at a target of its version.
        `seconds_left` is the time until the deadline of the request, and `refuses_late`
        whether a stream is refused that would not end by then.
        """
        preferred_region = self._preferred_region(req, route, service)
        plan = self.streams.plan(req, route, service, progress)
        remotes = []
        if not req.is_hop and progress.targets_left:
            remotes = self._remote_regions(
                req, route, service, progress, preferred_region=preferred_region
            )
        candidates, min_wait_seconds = [], math.inf
        if route.allows(self._region):
            preferred_elsewhere = any(
                remote.region == preferred_region for remote in remotes
            )
            states = [
                state
                for state in self._usable_targets(service.id)
                if progress.may_use(state.id)
                and progress.stream_version in (None, state.registration.version)
                and (progress.stream_version is None or may_continue(state))
            ]
            waits = self._wait_times(states)
            min_wait_seconds = min(waits.values(), default=math.inf)
            candidates = self._candidates(
                req,
                service,
                [state for state in states if not waits.get(state.id)],
                progress,
                has_preferred_target=not preferred_elsewhere,
                plan=plan,
            )
            if not req.is_hop and progress.targets_left:
                neighbours = self._neighbours(
                    req,
                    service,
                    progress,
                    has_candidates=any(not item.cold for item in candidates),
                    has_remotes=bool(remotes),
                    is_preferred=preferred_region == self._region,
                )
                if neighbours is not None:
                    candidates = []
                    remotes.append(neighbours)
        if plan is not None:
            remotes = self.streams.expect(plan, service, remotes)
        candidates, remotes = self.streams.reserve(route, service, candidates, remotes)
        choose = partial(
            choose_destination,
            remotes=remotes,
            seconds_left=max(0.0, seconds_left) if plan is not None else math.inf,
            refuses_late=refuses_late,
            first_byte_timeout_seconds=first_byte_timeout_seconds,
            objective_seconds=route.target_latency_seconds or math.inf,
            min_wait_seconds=min_wait_seconds,
            may_try_idle=may_try_idle,
        )
        # Targets whose limit is reached are used only if there is no other way.
        within_limit = [item for item in candidates if not item.over_limit]
        over_limit = [item for item in candidates if item.over_limit]
        choice = self._choose_allowed(choose, within_limit, service)
        if (
            isinstance(choice, NoChoice)
            and over_limit
            and all(item.cold for item in within_limit)
        ):
            choice = self._choose_allowed(choose, over_limit, service)
        if isinstance(choice, TargetChoice):
            self.named_limits.record_send(choice.candidate.target)
        elif isinstance(choice, NoChoice) and choice.completion_seconds:
            self.streams.late_choices += 1
        return choice

    def _choose_allowed(
        self,
        choose: Callable[[list[Candidate]], TargetChoice | RegionChoice | NoChoice],
        candidates: list[Candidate],
        service: ServiceSpec,
    ) -> TargetChoice | RegionChoice | NoChoice:
        """Return the choice among `candidates`, a cold one only if it is allowed."""
        choice = choose(candidates)
        if (
            isinstance(choice, TargetChoice)
            and choice.candidate.cold
            and not self._acquire_cold_start(choice.candidate, service)
        ):
            choice = choose([item for item in candidates if not item.cold])
        return choice

    def is_cold(self, state: TargetState) -> bool:
        """Whether a target is cold, or may be as it may have started again."""
        return state.is_cold(self._clock()) or (
            self.doubted_starts.is_doubted(state.id)
            and self._cold_seconds(state.registration.service) > 0
        )

    def record_loss(self, target: TargetId, was_connected: bool = True) -> None:
        """Record that all connections to a target were lost, or none can be opened."""
        state = self._routing_state.target(target)
        if state is not None and self._cold_seconds(state.registration.service) > 0:
            self.doubted_starts.record_doubt(target, was_connected=was_connected)

    def record_reached(self, target: TargetId) -> None:
        """Record that a connection to a target was opened."""
        state = self._routing_state.target(target)
        if state is not None:
            cold_seconds = self._cold_seconds(state.registration.service)
            self.doubted_starts.record_reached(target, cold_seconds=cold_seconds)

    def continuations(
        self, route: HttpRoute, service: ServiceId, progress: RequestProgress
    ) -> list[TargetState]:
        """Return the targets of this region that have the version of the stream.

        Those that were not sent the request come first.
        """
        if not route.allows(self._region):
            return []
        states = [
            state
            for state in self._usable_targets(service)
            if state.registration.version == progress.stream_version
            and progress.may_use(state.id)
        ]
        return sorted(states, key=lambda state: state.id in progress.tried_targets)

    def continues_elsewhere(
        self, route: HttpRoute, service: ServiceId, progress: RequestProgress
    ) -> bool:
        """Whether another region has a target of the version of the stream."""
        return any(
            route.allows(region)
            and region not in progress.excluded_regions
            and self._has_version(service, region, progress.stream_version)
            for region in self._fleet.loads(service)
        )

    def hop_receivers(self, region: RegionId, service: ServiceId) -> list[EntryRecord]:
        """Return the entry VMs that may serve a request in `region`."""
        receivers = self.contact.receivers(region, service)
        if not receivers and region != self._region:
            return self._fleet.ready(region)
        return receivers

    def in_contact(self, service: ServiceId, progress: RequestProgress) -> bool:
        """Whether a request needs no neighbour to reach targets of `service`."""
        states = self._routing_state.usable_targets(service, self._region)
        return not states or NeighbourUse.NEVER is neighbour_use(
            contact_lost=self.contact.lost,
            all_targets_failed=self._all_failed(states),
            unreachable_targets=len(progress.unreachable_targets),
        )

    def begin_assignment(self, req: InboundRequest, candidate: Candidate) -> Assignment:
        """Count `req` as in progress at the target of `candidate`."""
        prompt = req.prompt
        if prompt is not None and candidate.cache_tokens:
            parts = [part.id for part in prompt.parts]
            self._cached_parts.record_sent(candidate.target, parts)
            held_tokens = prompt.tokens + prompt.max_output_tokens
        else:
            held_tokens = 0
        return self._book.begin(
            candidate.target,
            waiting_tokens=candidate.prefill_tokens,
            held_tokens=held_tokens,
        )

    def health(self, target: TargetId) -> TargetHealth:
        """Return the health of `target`."""
        health = self._health.get(target)
        if health is None:
            health = TargetHealth(clock=self._clock)
            if self._starts.is_known(target):
                self._health[target] = health
        return health

    def start_health(self, registration: Registration) -> TargetHealth:
        """Return the health of one start of a target.

        What is recorded there is lost if the target has started again.
        """
        if self.counts(registration):
            return self.health(registration.id)
        return TargetHealth(clock=self._clock)

    def counts(self, registration: Registration) -> bool:
        """Whether what this start of a target says still matters.

        It does while the target's entry has lapsed, and no longer once the target has
        started again.
        """
        return self._starts.counts(registration.id, _start(registration))

    def pace(self, service: ServiceId) -> ServicePace:
        """Return the speed of the targets of `service`."""
        pace = self._paces.get(service)
        if pace is None:
            pace = self._paces[service] = ServicePace()
        return pace

    def record_first_byte(
        self, registration: Registration, candidate: Candidate, seconds: float
    ) -> None:
        """Record the time from a request to the first byte of its response."""
        pace = self.pace(registration.service)
        ratio = seconds / (candidate.reference_seconds + candidate.queue_seconds)
        self.start_health(registration).record_answer(pace.relative(ratio))
        warm_up = self._warm_ups.get(registration.id)
        if warm_up is not None and self.counts(registration):
            warm_up.record_answer(
                pace.relative(ratio), running=candidate.occupancy.running + 1
            )
        if not candidate.queue_seconds:
            pace.record(ratio)

    def record_failure(self, registration: Registration) -> None:
        """Record that a target failed, rejected or did not answer a request."""
        warm_up = self._warm_ups.get(registration.id)
        if warm_up is not None and self.counts(registration):
            warm_up.record_failure()

    def _warm_up(self, state: TargetState) -> WarmUp | None:
        """Return the limit of a target that has started or recovered, if it has one.

        A doubt begins none: sound targets that end connections are in doubt for
        moments, and one that has started again is cold by its new registration. Nor
        does a failed connection to a target at which requests are in progress, as the
        path to it may have failed alone.
        """
        warm_up = self._warm_ups.get(state.id)
        cold = state.is_cold(self._clock())
        recovers = (
            self.health(state.id).last_connect_failed
            and not self._book.total(state.id).running
        )
        if (cold or recovers) and (
            warm_up is None or (warm_up.over and not warm_up.active)
        ):
            warm_up = WarmUp(slots=state.registration.slots, clock=self._clock)
            self._warm_ups[state.id] = warm_up
        if warm_up is not None:
            warm_up.active = cold or recovers
        return warm_up

    def local_loads(self) -> dict[str, ServiceLoad]:
        """Return the load of this region's targets by service."""
        configuration = self._routing_state.configuration
        if configuration is None or self.contact.lost:
            return {}
        loads = {}
        for service in configuration.services.values():
            states = self._unrestricted(self._usable_targets(service.id))
            # A cold target gets few requests and an unreachable one none, so their
            # low occupancy says nothing about the region's load.
            representative = [
                state
                for state in states
                if not (
                    self.is_cold(state) or self.health(state.id).last_connect_failed
                )
            ]
            candidates = [
                self._make_candidate(state, service, prefill_tokens=0, tokens=0)
                for state in representative or states
            ]
            if candidates:
                cheapest = min(candidates, key=lambda item: item.cost_seconds)
                loads[str(service.id)] = ServiceLoad(
                    round(cheapest.cost_seconds, 3), round(cheapest.slot_utilisation, 2)
                )
        return loads

    def _unrestricted(self, states: list[TargetState]) -> list[TargetState]:
        """Return those of `states` that name no limit and don't want quiet."""
        limit = self.named_limits.limit
        return [
            state
            for state in states
            if math.isinf(limit(state.id)) and not self.health(state.id).quiet_seconds
        ]

    def _wait_times(self, states: list[TargetState]) -> dict[TargetId, float]:
        """Return the time until each restricted target may be sent a request.

        It is infinite if that depends on others, and 0 or missing without a wait.
        """
        unrestricted = {state.id for state in self._unrestricted(states)}
        members = self._region_members()
        waits = {}
        for state in states:
            if state.id not in unrestricted:
                waits[state.id] = max(
                    self.named_limits.wait_seconds(state.id, members),
                    self.health(state.id).quiet_seconds,
                )
            if not self.brittle_targets.allows(
                state.id,
                slots=state.registration.slots,
                in_progress=self._book.local(state.id).running,
                members=members,
            ):
                waits[state.id] = math.inf
        return waits

    def _region_members(self) -> list[EntryId]:
        """Return the entry VMs that may send to targets of this region."""
        others = self._fleet.live(region=self._region)
        return [self._fleet.local_id, *(EntryId(record.id) for record in others)]

    def _usable_targets(self, service: ServiceId) -> list[TargetState]:
        states = self._routing_state.usable_targets(service, self._region)
        return [state for state in states if not self.health(state.id).ejected]

    def _candidates(
        self,
        req: InboundRequest,
        service: ServiceSpec,
        states: list[TargetState],
        progress: RequestProgress,
        *,
        has_preferred_target: bool,
        plan: StreamPlan | None = None,
    ) -> list[Candidate]:
        """Return those of `states` that the request may be sent to.

        `has_preferred_target` tells whether one of them is preferred because it is
        expected to have the shared part of the prompt in its cache.
        """
        tried, running = progress.tried_targets, progress.running.targets
        states = (
            [state for state in states if state.id not in tried]
            or [state for state in states if state.id not in running]
            or states
        )
        prompt = req.prompt
        if prompt is None or service.engine is None:
            return [
                self._make_candidate(
                    state, service, prefill_tokens=0, tokens=0, plan=plan
                )
                for state in states
            ]
        preferred = None
        if has_preferred_target:
            preferred = preferred_target(
                prompt.shared_key, [state.id for state in self._unrestricted(states)]
            )
        tokens = prompt.tokens + prompt.max_output_tokens
        return [
            self._make_candidate(
                state,
                service,
                prefill_tokens=self._prefill_tokens(req, state.id, preferred=preferred),
                tokens=tokens,
                plan=plan,
            )
            for state in states
        ]

    def _make_candidate(
        self,
        state: TargetState,
        service: ServiceSpec,
        *,
        prefill_tokens: int,
        tokens: int,
        plan: StreamPlan | None = None,
    ) -> Candidate:
        health = self.health(state.id)
        occupancy, slots = self._book.total(state.id), state.registration.slots
        warm_up = self._warm_up(state)
        rest_seconds = 0.0
        if plan is not None:
            # Requests beyond the slots wait instead of joining the batch.
            batch_size = min(occupancy.running + 1, max(slots, 1))
            rest_seconds = self.streams.rest_seconds(
                plan, running=batch_size, target=state.id
            )
        return Candidate(
            target=state.id,
            version=state.registration.version,
            occupancy=occupancy,
            slots=slots,
            cache_tokens=service.engine.cache_tokens if service.engine else 0,
            prefill_tokens=prefill_tokens,
            required_cache_tokens=tokens,
            service_pace=self.pace(service.id).value,
            latency_ratio=health.latency_ratio,
            failure_rate=health.failure_rate,
            slot_hold_seconds=health.slot_hold_seconds,
            cold=self.is_cold(state),
            warmed_share=1.0 if warm_up is None else warm_up.share,
            over_limit=warm_up is not None and not warm_up.allows(occupancy.running),
            rest_seconds=rest_seconds,
        )

    def _prefill_tokens(
        self, req: InboundRequest, target: TargetId, *, preferred: TargetId | None
    ) -> int:
        """Return the prompt tokens that `target` has to read as they aren't cached.

        The preferred target is expected to have all parts but the last in its cache.
        """
        prompt = req.prompt
        assert prompt is not None
        if not prompt.parts:
            return prompt.tokens
        parts = prompt.parts
        cached_count = self._cached_parts.cached_prefix_length(
            target, [part.id for part in parts]
        )
        if target == preferred:
            cached_count = max(cached_count, len(parts) - 1)
        return sum(part.tokens for part in parts[cached_count:])

    def _remote_regions(
        self,
        req: InboundRequest,
        route: HttpRoute,
        service: ServiceSpec,
        progress: RequestProgress,
        *,
        preferred_region: RegionId | None,
    ) -> list[RemoteRegion]:
        loads = {
            region: load
            for region, load in self._fleet.loads(service.id).items()
            if route.allows(region)
            and region not in progress.excluded_regions
            and self._has_version(service.id, region, progress.stream_version)
        }
        if not loads:
            return []
        return [
            RemoteRegion(
                region=region,
                wait_seconds=load.wait_seconds,
                slot_utilisation=load.slot_utilisation,
                prefill_tokens=self._prefill_tokens_in_region(
                    req, service, is_preferred=region == preferred_region
                ),
                service_pace=self.pace(service.id).value,
            )
            for region, load in loads.items()
        ]

    def _neighbours(
        self,
        req: InboundRequest,
        service: ServiceSpec,
        progress: RequestProgress,
        *,
        has_candidates: bool,
        has_remotes: bool,
        is_preferred: bool,
    ) -> RemoteRegion | None:
        """Return the region's other entry VMs if the request has to go by them.

        Their load is that of the targets, which all of the region report.
        """
        states = self._routing_state.usable_targets(service.id, self._region)
        lost = self.contact.lost
        all_failed = self._all_failed(states)
        use = neighbour_use(
            contact_lost=lost,
            all_targets_failed=all_failed,
            unreachable_targets=len(progress.unreachable_targets),
        )
        # Those of another region that serve are a surer way than neighbours that
        # have had nothing to try.
        proven = has_remotes or not (lost or all_failed)
        if (
            not states
            or use is NeighbourUse.NEVER
            or (has_candidates and use is NeighbourUse.WITHOUT_TARGET)
            or self._region in progress.excluded_regions
            or not self._has_version(service.id, self._region, progress.stream_version)
            or not self.contact.neighbours(service.id, proven=proven)
        ):
            return None
        best = min(
            (
                msgspec.structs.replace(
                    self._make_candidate(state, service, prefill_tokens=0, tokens=0),
                    latency_ratio=1.0,
                    failure_rate=0.0,
                )
                for state in states
            ),
            key=lambda item: item.cost_seconds,
        )
        return RemoteRegion(
            region=self._region,
            wait_seconds=best.first_byte_seconds,
            slot_utilisation=best.slot_utilisation,
            prefill_tokens=self._prefill_tokens_in_region(
                req, service, is_preferred=is_preferred
            ),
            service_pace=self.pace(service.id).value,
            round_trip_seconds=0.0,
        )

    def _all_failed(self, states: list[TargetState]) -> bool:
        # An answer on an old connection doesn't end an ejection.
        return all(
            self.doubted_starts.is_own(state.id)
            or self.health(state.id).last_connect_failed
            or self.health(state.id).ejected
            for state in states
        )

    def _has_version(
        self, service: ServiceId, region: RegionId, version: SoftwareVersion | None
    ) -> bool:
        """Whether a usable target of a region has `version`; True if that is None."""
        return version is None or any(
            state.registration.version == version
            for state in self._routing_state.usable_targets(service, region)
        )

    def _preferred_region(
        self, req: InboundRequest, route: HttpRoute, service: ServiceSpec
    ) -> RegionId | None:
        """Return the region of the target that all entry VMs prefer for the prompt."""
        if req.prompt is None or service.engine is None:
            return None
        regions = {
            state.id: region
            for region in set(self._routing_state.zone_regions.values())
            if route.allows(region)
            for state in self._routing_state.usable_targets(service.id, region)
        }
        preferred = preferred_target(req.prompt.shared_key, list(regions))
        return regions[preferred] if preferred is not None else None

    def _prefill_tokens_in_region(
        self, req: InboundRequest, service: ServiceSpec, *, is_preferred: bool
    ) -> int:
        """Return the prompt tokens that a target of another region has to read."""
        prompt = req.prompt
        if prompt is None or service.engine is None:
            return 0
        if not is_preferred or not prompt.parts:
            return prompt.tokens
        return prompt.parts[-1].tokens

    def _acquire_cold_start(self, candidate: Candidate, service: ServiceSpec) -> bool:
        bounds = self._bounds
        rate = service.cold_requests_per_second * bounds.cold_overage
        return self._cold_start_limiter.acquire(
            candidate.target,
            limit_per_second=rate + bounds.cold_slack,
            members=self._fleet.known_ids(self._region),
        )

    def confirm_cold_start(self, candidate: Candidate) -> bool:
        """Whether a request to a target may be sent now, as it isn't cold or allowed.

        The choice has allowed it, but another one may have been sent since.
        """
        return not candidate.cold or self._cold_start_limiter.confirm(candidate.target)

    def record_check(self, target: TargetId) -> None:
        """Count a health check or a report against the limit of a cold target."""
        self._cold_start_limiter.record(target)

    def _cold_seconds(self, service: ServiceId) -> float:
        """Return how long a new start of a target of `service` is cold."""
        configuration = self._routing_state.configuration
        spec = None if configuration is None else configuration.services.get(service)
        return 0.0 if spec is None else spec.cold_seconds

    def _register_start(self, registration: Registration) -> None:
        was_doubted = self.doubted_starts.register(
            registration.id, registration.started_at
        )
        if was_doubted and not registration.cold_seconds:
            self._routing_state.assume_cold(registration.id)
        # The new start may have said it before its entry came.
        quiet_seconds = (
            self.health(registration.id).quiet_seconds if was_doubted else 0.0
        )
        self._starts.register(registration.id, _start(registration))
        if quiet_seconds:
            self.health(registration.id).record_quiet(quiet_seconds)

    def _report_doubt(self, target: TargetId, doubted: bool) -> None:
        log_event(Event.TARGET_START_DOUBTED, target=target, doubted=doubted)
        self.start_doubted.send(target, doubted)

    def _lapse(self, target: TargetId) -> None:
        self._cached_parts.forget(target)
        self._starts.lapse(target)

    def _forget_target(self, target: TargetId) -> None:
        self._health.pop(target, None)
        self.streams.forget(target)
        self._warm_ups.pop(target, None)
        if not self._starts.is_known(target):
            self.doubted_starts.forget(target)
        self.named_limits.forget(target)
        self.brittle_targets.forget(target)


def _start(registration: Registration) -> object:
    """Return what tells a start of a target from its others."""
    return registration.started_at or registration.address


def _log_limit(target: TargetId, rate: float) -> None:
    if math.isinf(rate):
        log_event(Event.TARGET_UNLIMITED, target=target)
    else:
        log_event(Event.TARGET_LIMITED, target=target, requests_per_second=rate)
