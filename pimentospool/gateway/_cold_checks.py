"""Health checks of targets that may be cold although their registration is not."""

import asyncio
import math
from collections.abc import Callable, Iterable

from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._pools import ConnectionPools
from pimentospool.gateway._routing_state import RoutingState, TargetState
from pimentospool.gateway._target_probes import read_health
from pimentospool.ids import EntryId, RegionId, TargetId, ZoneId
from pimentospool.policy import NamedLimits, responsible_entry
from pimentospool.targets import AttemptFailure
from pimentospool.tasks import timeout_after_read

CHECK_TIMEOUT_SECONDS = 1.0
"""Timeout of a health check. A target that doesn't answer stays assumed cold."""
POLL_INTERVAL_SECONDS = 0.3
"""Time between checks of a target while registrations can't be updated. A cold target
takes only a few requests per second, so it has to be detected within a fraction of a
second."""
REPORT_LIFETIME_SECONDS = 2.0
"""Time for which a result is reported to the other entry VMs of the region."""


class ColdTargetChecker:
    """Checks whether targets are cold where the registrations can't tell.

    A target in a zone whose evacuation has ended may or may not be cold, as may one
    that has just started again and doesn't say so in its registration, and any target
    may become cold while registrations can't be updated; only the target itself knows.
    One entry VM of the region checks each target and reports the result to the others.

    Parameters
    ----------
    region : RegionId
        Region whose targets are checked.
    routing_state : RoutingState
        Registered targets; receives the results.
    fleet : Fleet
        Membership of the entry VMs.
    pools : ConnectionPools
        Connections to the targets.
    dialect : TargetDialect
        Encoding of the health check and reading of its response.
    limits : NamedLimits
        Limits that targets name; limited ones are not checked periodically.
    clock : callable
        Returns a monotonic time in seconds.
    record_check : callable
        Called with each target that is sent a health check.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        routing_state: RoutingState,
        fleet: Fleet,
        pools: ConnectionPools,
        dialect: TargetDialect,
        limits: NamedLimits,
        clock: Callable[[], float],
        record_check: Callable[[TargetId], None] = lambda target: None,
    ) -> None:
        self._record_check = record_check
        self._region = region
        self._routing_state = routing_state
        self._fleet = fleet
        self._pools = pools
        self._dialect = dialect
        self._limits = limits
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._targets_in_check: set[TargetId] = set()
        self._reports: dict[TargetId, tuple[float, float]] = {}
        routing_state.zone_restored.connect(self._check_restored_zone)
        routing_state.cold_assumed.connect(self._check_target)

    def recent_reports(self) -> dict[TargetId, float]:
        """Return how long recently checked targets stay cold, in seconds."""
        now = self._clock()
        self._reports = {
            target: (reported_at, cold_until)
            for target, (reported_at, cold_until) in self._reports.items()
            if now - reported_at < REPORT_LIFETIME_SECONDS
        }
        return {
            target: max(0.0, cold_until - now)
            for target, (_, cold_until) in self._reports.items()
        }

    def _check_restored_zone(self, zone: ZoneId) -> None:
        if self._routing_state.region_of(zone) == self._region:
            self._check_all(self._routing_state.assumed_cold(zone))

    def _check_target(self, target: TargetId) -> None:
        state = self._routing_state.target(target)
        if state is not None and (
            self._routing_state.region_of(state.registration.zone) == self._region
        ):
            self._check_all([state])

    async def run(self) -> None:
        """Check all targets periodically while registrations can't be updated."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            configuration = self._routing_state.configuration
            if not self._routing_state.outdated or configuration is None:
                continue
            for service in configuration.services.values():
                if service.cold_seconds > 0:
                    states = self._routing_state.usable_targets(
                        service.id, self._region
                    )
                    self._check_all(
                        state
                        for state in states
                        if math.isinf(self._limits.limit(state.id))
                    )

    def _check_all(self, states: Iterable[TargetState]) -> None:
        members = [EntryId(rec.id) for rec in self._fleet.ready(self._region)]
        for state in states:
            checker = responsible_entry(state.id, members)
            if (
                checker == self._fleet.local_id
                and state.id not in self._targets_in_check
            ):
                self._targets_in_check.add(state.id)
                task = asyncio.create_task(self._check(state))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _check(self, state: TargetState) -> None:
        configuration = self._routing_state.configuration
        assert configuration is not None
        service = configuration.services.get(state.registration.service)
        if service is None or not service.health_path:
            self._targets_in_check.discard(state.id)
            return
        pool = self._pools.target_pool(state.registration, service)
        try:
            async with timeout_after_read(CHECK_TIMEOUT_SECONDS):
                conn = await pool.acquire()
                try:
                    sent_at = self._clock()
                    self._record_check(state.id)
                    head = await read_health(
                        self._dialect, state.registration, service, conn
                    )
                finally:
                    pool.release(conn)
        except (AttemptFailure, TimeoutError):
            # Without a response the target stays assumed cold.
            return
        finally:
            self._targets_in_check.discard(state.id)
        self._limits.record_answer(
            state.id, self._dialect.request_limit(head), sent_at=sent_at
        )
        if self._dialect.is_leaving(head):
            self._routing_state.receive_leaving(state.registration)
        seconds = self._dialect.cold_seconds(head)
        if seconds is not None:
            now = self._clock()
            self._reports[state.id] = (now, now + seconds)
            self._routing_state.receive_cold_report(state.id, seconds)
