"""Finds targets that crash, and the requests that they had not answered yet."""

import asyncio
from collections.abc import Callable

from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._model import InboundRequest, Registration
from pimentospool.gateway._routing_state import TargetState
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    SURVIVAL_SECONDS,
    CrashSuspects,
    RequestTraits,
    TargetHealth,
)
from pimentospool.targets import AttemptFailure, FailureCause

CRASH_CHECK_DELAY_SECONDS = 0.05
"""Time from a lost connection to the check whether its target still accepts any. The
other connections to a target that crashes are lost within milliseconds."""


class Exposure:
    """A request that was sent to a target, which may crash under it.

    Parameters
    ----------
    traits : RequestTraits
        What of the request may make the target crash.
    suspects : CrashSuspects
        Told if the target survives it.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        traits: RequestTraits,
        suspects: CrashSuspects,
        clock: Callable[[], float],
    ) -> None:
        self.traits = traits
        self.survived = False
        self._suspects = suspects
        self._clock = clock
        self._first_event_at: float | None = None

    def record_event(self) -> None:
        """Record an event of the response."""
        if self.survived:
            return
        now = self._clock()
        if self._first_event_at is None:
            self._first_event_at = now
        elif now - self._first_event_at >= SURVIVAL_SECONDS:
            self.record_survival()

    def record_survival(self) -> None:
        """Record that the target has answered and is still alive."""
        if not self.survived:
            self.survived = True
            self._suspects.record_survival(self.traits)


class CrashWatch:
    """Checks targets whose connections were lost, and reports those that crashed.

    Parameters
    ----------
    suspects : CrashSuspects
        Told the requests under which a target crashed.
    health : callable
        Returns the health of one start of a target.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        suspects: CrashSuspects,
        health: Callable[[Registration], TargetHealth],
        clock: Callable[[], float],
    ) -> None:
        self._suspects = suspects
        self._health = health
        self._clock = clock
        self._lost: dict[str, list[RequestTraits]] = {}
        """Requests by the start of the target that is being checked."""
        self._checks: set[asyncio.Task[None]] = set()

    def expose(self, traits: RequestTraits) -> Exposure:
        """Return a record of a request that is about to be sent to a target."""
        return Exposure(traits=traits, suspects=self._suspects, clock=self._clock)

    def connection_lost(
        self, state: TargetState, pool: ConnectionPool, exposure: Exposure
    ) -> None:
        """Check whether the target crashed that closed the connection of a request."""
        if exposure.survived:
            return
        registration = state.registration
        start = f"{registration.id}/{registration.started_at}"
        if start in self._lost:
            self._lost[start].append(exposure.traits)
            return
        self._lost[start] = [exposure.traits]
        check = asyncio.create_task(self._check(start, registration, pool))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(
        self, start: str, registration: Registration, pool: ConnectionPool
    ) -> None:
        try:
            await asyncio.sleep(CRASH_CHECK_DELAY_SECONDS)
            try:
                pool.release(await pool.acquire())
            except AttemptFailure as exc:
                if exc.cause is not FailureCause.UNREACHABLE:
                    return
            else:
                return
            requests = self._lost[start]
            self._health(registration).record_connect_failure()
            log_event(
                Event.TARGET_CRASHED,
                target=registration.id,
                start=start,
                unanswered_requests=len(requests),
            )
            self._suspects.record_crash(start, requests)
        finally:
            del self._lost[start]


def request_traits(req: InboundRequest) -> RequestTraits:
    """Return what may make `req` crash targets."""
    texts = (req.method, req.host, req.path)
    return RequestTraits(
        parts=[part.id for part in req.prompt.shared_parts] if req.prompt else [],
        content=(
            *(text.encode("utf-8", "surrogateescape") for text in texts),
            req.caller,
            req.body,
        ),
    )
