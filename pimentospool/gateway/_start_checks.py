"""Checks whether targets that may have started again have done so.

Of the entry VMs that are ready, one checks each target, and others if it doesn't
succeed; it tells them the result. A target is asked for its start, and for the time for
which it stays cold if it doesn't say.
"""

import asyncio

from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._connections import Connection
from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._model import Registration, ServiceSpec
from pimentospool.gateway._placement import Placement
from pimentospool.gateway._pools import ConnectionPools
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.gateway._target_probes import read_health, read_reported_start
from pimentospool.ids import EntryId, ServiceId, TargetId
from pimentospool.log import Event, log_event
from pimentospool.policy import rank_members
from pimentospool.targets import AttemptFailure
from pimentospool.tasks import cancel_tasks, timeout_after_read

CHECK_INTERVAL_SECONDS = 0.5
"""Time between two checks of a target by the first entry VM, as reports are priced; the
second one waits twice as long, and so on."""
MAX_CHECK_INTERVALS = 5
"""Longest time between two checks, as a multiple of that."""
REPORT_WAIT_SECONDS = 0.3
"""Longest wait for a report, after which a target is asked for its cold time instead.
Most targets report within milliseconds."""
CHECK_TIMEOUT_SECONDS = 4.0
"""Timeout of a health check; a new start isn't cold for much longer."""
NEXT_CHECKER_SECONDS = 0.1
"""Time after which the next entry VM checks a target that is still in doubt. Most
targets report within milliseconds."""


class StartChecker:
    """Checks targets whose starts are in doubt.

    Parameters
    ----------
    routing_state : RoutingState
        Registered targets.
    fleet : Fleet
        Membership of the entry VMs.
    placement : Placement
        Holds the doubts; told the results.
    pools : ConnectionPools
        Connections to the targets.
    dialect : TargetDialect
        Encoding of the questions and reading of the answers.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        fleet: Fleet,
        placement: Placement,
        pools: ConnectionPools,
        dialect: TargetDialect,
    ) -> None:
        self._routing_state = routing_state
        self._fleet = fleet
        self._placement = placement
        self._doubted = placement.doubted_starts
        self._pools = pools
        self._dialect = dialect
        self._checks: dict[TargetId, asyncio.Task[None]] = {}
        self._answers: dict[TargetId, asyncio.Future[None]] = {}
        """Done once a target that is in doubt has been checked."""
        placement.start_doubted.connect(self._follow)

    async def wait(self, service: ServiceId, *, within_seconds: float) -> bool:
        """Wait until a target of `service` has been checked; return whether one was.

        Parameters
        ----------
        service : ServiceId
            Service of the targets.
        within_seconds : float
            Longest wait.
        """
        answers = [
            answer
            for target, answer in self._answers.items()
            if not answer.done() and self._is_local(target, service)
        ]
        if not answers or self._placement.contact.lost:
            return False
        done, _ = await asyncio.wait(
            answers, timeout=within_seconds, return_when=asyncio.FIRST_COMPLETED
        )
        return bool(done)

    async def close(self) -> None:
        """End the checks that are in progress."""
        await cancel_tasks(list(self._checks.values()))

    def _follow(self, target: TargetId, doubted: bool) -> None:
        if not doubted:
            self._end_wait(target)
            return
        if not self._is_local(target):
            return
        if target not in self._answers:
            self._answers[target] = asyncio.get_running_loop().create_future()
        if target not in self._checks:
            check = asyncio.create_task(self._check(target))
            self._checks[target] = check
            check.add_done_callback(lambda check: self._end_check(target, check))

    def _end_check(self, target: TargetId, check: asyncio.Task[None]) -> None:
        del self._checks[target]
        # A doubt that began as the check was ending found it still there.
        ended = not check.cancelled() and check.exception() is None
        if ended and target in self._answers and self._doubted.is_doubted(target):
            self._follow(target, True)

    def _end_wait(self, target: TargetId) -> None:
        answer = self._answers.pop(target, None)
        if answer is not None and not answer.done():
            answer.set_result(None)

    def _is_local(self, target: TargetId, service: ServiceId | None = None) -> bool:
        """Whether the target is of this region, and of `service` if that is set."""
        state = self._routing_state.target(target)
        return (
            state is not None
            and service in (None, state.registration.service)
            and self._routing_state.region_of(state.registration.zone)
            == self._fleet.local_region
        )

    async def _check(self, target: TargetId) -> None:
        """Check `target` until it is no longer in doubt."""
        await asyncio.sleep(self._rank(target) * NEXT_CHECKER_SECONDS)
        while self._doubted.is_doubted(target) and self._is_local(target):
            intervals = 1
            if not self._placement.contact.lost:
                is_answered = await self._ask(target)
                self._end_wait(target)
                if is_answered:
                    return
                intervals = min(1 + self._rank(target), MAX_CHECK_INTERVALS)
            await asyncio.sleep(intervals * CHECK_INTERVAL_SECONDS)

    def _rank(self, target: TargetId) -> int:
        """Return the place of this entry VM among those that check `target`."""
        if self._doubted.is_private(target):
            return 0
        local_id = self._fleet.local_id
        ready = {EntryId(rec.id) for rec in self._fleet.ready(self._fleet.local_region)}
        return rank_members(ready | {local_id}, purpose=target).index(local_id)

    async def _ask(self, target: TargetId) -> bool:
        """Ask a target for its start; return whether it needs no further check.

        It needs none if it has started again, or says how long it stays cold.
        """
        state = self._routing_state.target(target)
        configuration = self._routing_state.configuration
        if state is None or configuration is None:
            return False
        registration = state.registration
        service = configuration.services.get(registration.service)
        if service is None:
            return False
        doubts = self._doubted.open_doubts(target)
        pool = self._pools.target_pool(registration, service)
        started_at, cold_seconds = None, None
        try:
            report, started_at = await self._read_start(registration, pool)
            if started_at is None:
                cold_seconds = await self._read_cold_seconds(
                    registration, service, pool
                )
        except AttemptFailure as exc:
            # No connection could be opened.
            report = exc.cause.value
        if cold_seconds:
            self._doubted.record_reached(target, cold_seconds=cold_seconds)
        restarted = started_at not in (None, registration.started_at)
        proved = not restarted and (started_at is not None or cold_seconds == 0)
        if proved:
            self._doubted.settle(target, registration.started_at, doubts)
        log_event(
            Event.TARGET_START_ASKED,
            target=target,
            proved=proved,
            report=report,
            started_at=started_at,
            cold_seconds=cold_seconds,
        )
        return restarted or bool(cold_seconds)

    async def _read_start(
        self, registration: Registration, pool: ConnectionPool
    ) -> tuple[str, int | None]:
        """Return what came of a target's report, and the start that it names."""
        conn = await pool.acquire()
        self._placement.record_check(registration.id)
        try:
            return await read_reported_start(
                self._dialect, registration, conn, timeout_seconds=REPORT_WAIT_SECONDS
            )
        finally:
            self._release(registration.id, pool, conn)

    async def _read_cold_seconds(
        self, registration: Registration, service: ServiceSpec, pool: ConnectionPool
    ) -> float | None:
        """Return how long a target says that it stays cold, None if it doesn't say."""
        if not service.health_path:
            return None
        conn = await pool.acquire()
        self._placement.record_check(registration.id)
        try:
            async with timeout_after_read(CHECK_TIMEOUT_SECONDS):
                head = await read_health(self._dialect, registration, service, conn)
        except (AttemptFailure, TimeoutError):
            return None
        finally:
            self._release(registration.id, pool, conn)
        return self._dialect.cold_seconds(head)

    def _release(
        self, target: TargetId, pool: ConnectionPool, conn: Connection
    ) -> None:
        if not conn.closed:
            self._placement.record_reached(target)
        pool.release(conn)
