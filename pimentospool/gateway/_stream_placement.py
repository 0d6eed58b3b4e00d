"""What streams to engines take, and the room that other requests may need there."""

from collections.abc import Callable, Sequence

import msgspec

from pimentospool.gateway._model import (
    Configuration,
    HttpRoute,
    InboundRequest,
    Registration,
    RequestKind,
    ServiceSpec,
)
from pimentospool.gateway._progress import RequestProgress
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.ids import RegionId, ServiceId, TargetId
from pimentospool.policy import (
    Candidate,
    OccupancyBook,
    RemoteRegion,
    RouteKey,
    StatedLength,
    StreamExpectations,
    StreamObserver,
    StreamPlan,
    is_narrower,
    reserve_seconds,
)


class StreamPlacement:
    """Expected times of streams at targets and regions, learned from their answers.

    Parameters
    ----------
    region : RegionId
        Region of this entry VM.
    routing_state : RoutingState
        Current configuration.
    book : OccupancyBook
        Requests in progress at each target.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        routing_state: RoutingState,
        book: OccupancyBook,
        clock: Callable[[], float],
    ) -> None:
        self._region = region
        self._routing_state = routing_state
        self._book = book
        self.expectations = StreamExpectations(clock=clock)
        self.late_choices = 0
        """Choices for streams that would end after their deadline everywhere."""
        self._reserves: tuple[Configuration | None, dict[RouteKey, set[RegionId]]] = (
            None,
            {},
        )
        """Reserved regions by route, of one configuration."""

    def rest_seconds(
        self, plan: StreamPlan, *, running: int, target: TargetId
    ) -> float:
        """Return the expected time from the first event at `target` to the end."""
        return self.expectations.rest_seconds(plan, running=running, target=target)

    def expect(
        self, plan: StreamPlan, service: ServiceSpec, remotes: Sequence[RemoteRegion]
    ) -> list[RemoteRegion]:
        """Return other regions with the expected time to the end of a stream."""
        slots = service.engine.slots if service.engine is not None else 0
        return [
            msgspec.structs.replace(
                item,
                rest_seconds=self.expectations.rest_seconds(
                    plan, running=item.slot_utilisation * slots + 1
                ),
            )
            for item in remotes
        ]

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that was removed or has started again."""
        self.expectations.paces.forget(target)

    def observe(
        self, route: HttpRoute, registration: Registration
    ) -> StreamObserver | None:
        """Return what learns the pace of a target from a stream that it sends.

        None for a target that is no engine.
        """
        configuration = self._routing_state.configuration
        service = registration.service
        spec = None if configuration is None else configuration.services.get(service)
        if spec is None or spec.engine is None:
            return None
        target = registration.id
        return self.expectations.observe(
            _stream_key(route, service),
            target,
            running=lambda: self._book.total(target).running,
        )

    def record_length(
        self,
        req: InboundRequest,
        route: HttpRoute,
        service: ServiceSpec,
        events: int,
        *,
        whole: bool,
    ) -> None:
        """Record the events of a stream that has ended, from its beginning on."""
        if route.kind is RequestKind.STREAM and service.engine is not None:
            self.expectations.lengths.record(
                _stream_key(route, service.id), events, _stated(req), whole=whole
            )

    def plan(
        self,
        req: InboundRequest,
        route: HttpRoute,
        service: ServiceSpec,
        progress: RequestProgress,
    ) -> StreamPlan | None:
        """Return what is expected of a stream, None if nothing is."""
        if route.kind is not RequestKind.STREAM or service.engine is None:
            return None
        # The ids of a stream that is taken up count its events as far as is known.
        sent = progress.position.last_id or 0
        if req.resume_after is None:
            sent = progress.events_sent
        return self.expectations.plan(
            _stream_key(route, service.id), _stated(req), sent=sent
        )

    def reserve(
        self,
        route: HttpRoute,
        service: ServiceSpec,
        candidates: list[Candidate],
        remotes: list[RemoteRegion],
    ) -> tuple[list[Candidate], list[RemoteRegion]]:
        """Add the cost of the slots that requests of fewer regions may need."""
        reserved = self._reserved_regions(route, service)
        if not reserved or not remotes:
            return candidates, remotes
        if self._region in reserved:
            candidates = [
                msgspec.structs.replace(
                    item, reserve_seconds=reserve_seconds(item.slot_utilisation)
                )
                for item in candidates
            ]
        remotes = [
            msgspec.structs.replace(
                item, reserve_seconds=reserve_seconds(item.slot_utilisation)
            )
            if item.region in reserved
            else item
            for item in remotes
        ]
        return candidates, remotes

    def _reserved_regions(
        self, route: HttpRoute, service: ServiceSpec
    ) -> set[RegionId]:
        """Return the regions that routes with fewer regions than `route` use."""
        if route.kind is not RequestKind.STREAM or service.engine is None:
            return set()
        configuration = self._routing_state.configuration
        if configuration is None:
            return set()
        if self._reserves[0] is not configuration:
            self._reserves = (configuration, {})
        reserves, key = self._reserves[1], _stream_key(route, service.id)
        if key not in reserves:
            regions = set(self._routing_state.zone_regions.values())
            reserves[key] = {
                region
                for other in configuration.routes
                if any(item.service == service.id for item in other.services)
                and is_narrower(other.home_regions, route.home_regions, regions=regions)
                for region in other.home_regions
            }
        return reserves[key]


def _stream_key(route: HttpRoute, service: ServiceId) -> RouteKey:
    return RouteKey(service, route.name, True)


def _stated(req: InboundRequest) -> StatedLength:
    prompt = req.prompt
    if prompt is None:
        return StatedLength()
    return StatedLength(hint=prompt.length_hint, max_output=prompt.max_output_tokens)
