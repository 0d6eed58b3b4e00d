"""Components that all requests of one gateway process share."""

import math
import random
from collections.abc import Callable

from pimentospool.gateway._crash_watch import CrashWatch
from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._outcomes import RoutedOutcome
from pimentospool.gateway._placement import Placement, SharedBounds
from pimentospool.gateway._pools import ConnectionPools
from pimentospool.gateway._replies import RefusalReason
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.gateway._start_checks import StartChecker
from pimentospool.gateway._start_proofs import StartProofs
from pimentospool.gateway._stream_origins import StreamOrigins
from pimentospool.ids import ServiceId, SuspectKey
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    CrashSuspects,
    MemoryBudget,
    RouteTimes,
    SharedRetryBudget,
    StreamVersions,
    SuspectKind,
)
from pimentospool.signals import Signal


class GatewayDependencies:
    """Components needed to route a request, and the retry budget of each service.

    Parameters
    ----------
    routing_state : RoutingState
        Current configuration and registered targets.
    fleet : Fleet
        Membership of the entry VMs.
    placement : Placement
        Chooses the target or region of each attempt.
    pools : ConnectionPools
        Connections to targets and entry VMs.
    dialect : TargetDialect
        Encoding of requests and reading of responses.
    stream_versions : StreamVersions
        Software versions at which streams began.
    stream_origins : StreamOrigins
        Finds the version that began a stream which is taken up.
    memory : MemoryBudget
        Limit on the bytes of requests and answers in progress.
    bounds : SharedBounds
        Limits on retries.
    regions : int
        Number of regions in the deployment.
    clock : callable
        Returns a monotonic time in seconds.
    rng : random.Random
        Chooses among the entry VMs of a region.
    seconds_left : callable
        Returns the time until the process aborts its requests, infinite unless it is
        leaving.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        fleet: Fleet,
        placement: Placement,
        pools: ConnectionPools,
        dialect: TargetDialect,
        stream_versions: StreamVersions,
        stream_origins: StreamOrigins,
        memory: MemoryBudget,
        bounds: SharedBounds,
        regions: int,
        clock: Callable[[], float],
        rng: random.Random,
        seconds_left: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.routing_state = routing_state
        self.fleet = fleet
        self.placement = placement
        self.pools = pools
        self.dialect = dialect
        self.stream_versions = stream_versions
        self.stream_origins = stream_origins
        self.memory = memory
        self.clock = clock
        self.rng = rng
        self.seconds_left = seconds_left
        self.route_times = RouteTimes(clock=clock)
        self.start_proofs = StartProofs(
            dialect=dialect,
            origins=stream_origins,
            doubted=placement.doubted_starts,
        )
        self.start_checker = StartChecker(
            routing_state=routing_state,
            fleet=fleet,
            placement=placement,
            pools=pools,
            dialect=dialect,
        )
        self.request_ended: Signal[RoutedOutcome] = Signal(name="request_ended")
        self.request_refused: Signal[RefusalReason] = Signal(name="request_refused")
        """Sent for a request that is refused before a destination is chosen."""
        self._bounds = bounds
        self.regions = regions
        self.crash_suspects = CrashSuspects(
            clock=clock,
            on_quarantine=_log_quarantine,
            on_release=_log_release,
        )
        self.crash_watch = CrashWatch(
            suspects=self.crash_suspects, health=placement.start_health, clock=clock
        )
        self._retry_budgets: dict[ServiceId, SharedRetryBudget] = {}

    def retry_budget(self, service: ServiceId) -> SharedRetryBudget:
        """Return the retry budget of `service`."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                ratio=self._bounds.retry_ratio,
                reserve=self._bounds.retry_reserve,
                regions=self.regions,
                window_seconds=self._bounds.retry_window_seconds,
                clock=self.clock,
            )
            self._retry_budgets[service] = budget
        return budget


def _log_quarantine(kind: SuspectKind, suspect: SuspectKey, crashes: int) -> None:
    if kind is SuspectKind.PART:
        log_event(Event.PART_QUARANTINED, part=f"{suspect:08x}", crashes=crashes)
    else:
        log_event(Event.REQUEST_QUARANTINED, content=f"{suspect:08x}", crashes=crashes)


def _log_release(kind: SuspectKind, suspect: SuspectKey) -> None:
    if kind is SuspectKind.PART:
        log_event(Event.PART_RELEASED, part=f"{suspect:08x}")
    else:
        log_event(Event.REQUEST_RELEASED, content=f"{suspect:08x}")
