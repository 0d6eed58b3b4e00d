"""Admission at an entry VM: the customers' limits and the queue of long requests."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager

from pimentospool.errors import Reason, RequestFailure
from pimentospool.manifest import ManifestIndex
from pimentospool.policy import (
    CustomerLimiter,
    QueueRefusal,
    QueueTicket,
    QuotaShares,
    RouteRefusal,
    WaitQueue,
)
from pimentospool.requests import GatewayRequest
from pimentospool.verdicts import Verdict

_FALLBACK_WAKE_SECONDS = 0.2
"""Delay until a queued request wakes the queue although no attempt has ended."""
_DEFAULT_QUEUE_LENGTH = 64


class Admission:
    """Enforces the customers' limits and queues long requests by deadline.

    Parameters
    ----------
    shares : QuotaShares
        Shares of the customers' quotas that this entry VM may use.
    """

    def __init__(self, *, shares: QuotaShares) -> None:
        self.shares = shares
        self.queue = WaitQueue(capacity=_DEFAULT_QUEUE_LENGTH)
        self._wakeups: dict[QueueTicket, asyncio.Future[None]] = {}
        self._limiter = CustomerLimiter(shares=shares, clock=time.monotonic)

    def set_manifest(self, index: ManifestIndex) -> None:
        """Use the queue length of the manifest of `index` from now on."""
        self.queue.capacity = index.manifest.limits.queue_length

    @property
    def pressure(self) -> float:
        """Fraction of the queue that is occupied; 1 is full."""
        if not self.queue.capacity:
            return 0.0
        return len(self.queue) / self.queue.capacity

    @contextmanager
    def admit(self, req: GatewayRequest) -> Iterator[None]:
        """Count `req` against its customer's limits while the context is open.

        A hop was counted at the entry VM that the caller reached, and is not counted
        again.

        Raises
        ------
        RequestFailure
            If the request exceeds a limit; it has not run.
        """
        if req.hop is not None:
            yield
            return
        refusal = self._limiter.admit(
            req.customer,
            tokens=req.prompt_tokens + req.max_tokens,
            pressure=self.pressure,
        )
        if refusal is not None:
            raise RequestFailure(
                reason=refusal.reason,
                detail=refusal.detail,
                verdict=Verdict.NOT_RUN,
                retry_after_seconds=refusal.retry_after_seconds,
            )
        try:
            yield
        finally:
            self._limiter.finished(req.customer)

    async def wait_in_queue(self, req: GatewayRequest, refusal: RouteRefusal) -> None:
        """Wait in the queue until a target may have room for `req`.

        Raises
        ------
        RequestFailure
            At once if the request could not leave the queue in time, and when its
            deadline leaves no time to run it.
        """
        loop = asyncio.get_running_loop()
        remaining = req.deadline - loop.time()
        now = time.monotonic()
        ticket_or_refusal = self.queue.offer(
            deadline=now + remaining, work_seconds=refusal.work_seconds, now=now
        )
        if isinstance(ticket_or_refusal, QueueRefusal):
            raise _overloaded(
                ticket_or_refusal.detail, ticket_or_refusal.retry_after_seconds
            )
        wakeup = loop.create_future()
        self._wakeups[ticket_or_refusal] = wakeup
        fallback_wake = loop.call_later(_FALLBACK_WAKE_SECONDS, self.wake_next)
        try:
            async with asyncio.timeout_at(req.deadline - refusal.work_seconds):
                await wakeup
        except TimeoutError as exc:
            raise _overloaded(
                "no target had room in time", refusal.retry_after_seconds
            ) from exc
        finally:
            fallback_wake.cancel()
            self.queue.cancel(ticket_or_refusal)
            self._wakeups.pop(ticket_or_refusal, None)

    def wake_next(self) -> None:
        """Wake the queued request with the earliest deadline."""
        ticket = self.queue.pop()
        if ticket is None:
            return
        wakeup = self._wakeups.get(ticket)
        if wakeup is not None and not wakeup.done():
            wakeup.set_result(None)

    def record_placed_after_wait(self) -> None:
        """Record that a request found its destination after a wait in the queue."""
        self.queue.record_served(time.monotonic())


def _overloaded(detail: str, retry_after_seconds: float | None) -> RequestFailure:
    return RequestFailure(
        reason=Reason.OVERLOADED,
        detail=detail,
        verdict=Verdict.NOT_RUN,
        retry_after_seconds=retry_after_seconds,
    )
