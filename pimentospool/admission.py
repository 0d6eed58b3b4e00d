"""Admission of requests at an entry VM: limits at ingress and the wait for a turn."""

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

_POLL_SECONDS = 0.2
_DEFAULT_QUEUE_LENGTH = 64


class Admission:
    """Admits requests and lets long ones wait by deadline.

    Parameters
    ----------
    shares : QuotaShares
        Parts of the customers' quotas that this entry VM may use.
    """

    def __init__(self, *, shares: QuotaShares) -> None:
        self.shares = shares
        self.queue = WaitQueue(capacity=_DEFAULT_QUEUE_LENGTH)
        self._turns: dict[QueueTicket, asyncio.Future[None]] = {}
        self._limiter = CustomerLimiter(shares=shares, clock=time.monotonic)

    def set_manifest(self, index: ManifestIndex) -> None:
        """Limit by the manifest behind `index` from now on."""
        self.queue.capacity = index.manifest.limits.queue_length

    @property
    def pressure(self) -> float:
        """Share of the queue that is in use; 1 is full."""
        if not self.queue.capacity:
            return 0.0
        return len(self.queue) / self.queue.capacity

    @contextmanager
    def admitted(self, req: GatewayRequest) -> Iterator[None]:
        """Count `req` against its customer's limits for the time of the context.

        A hop was admitted where it came in, and is not counted again.

        Raises
        ------
        RequestFailure
            If the request is refused; it has not run.
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

    async def wait_turn(self, req: GatewayRequest, refusal: RouteRefusal) -> None:
        """Wait until a target may have room for `req`.

        Raises
        ------
        RequestFailure
            At once where the wait would be in vain, and at the deadline.
        """
        loop = asyncio.get_running_loop()
        remaining = req.deadline - loop.time()
        now = time.monotonic()
        place = self.queue.offer(
            deadline=now + remaining, work_seconds=refusal.work_seconds, now=now
        )
        if isinstance(place, QueueRefusal):
            raise _overloaded(place.detail, place.retry_after_seconds)
        turn = loop.create_future()
        self._turns[place] = turn
        polled = loop.call_later(_POLL_SECONDS, self.wake)
        try:
            async with asyncio.timeout_at(req.deadline - refusal.work_seconds):
                await turn
        except TimeoutError as exc:
            raise _overloaded(
                "no target had room in time", refusal.retry_after_seconds
            ) from exc
        finally:
            polled.cancel()
            self.queue.cancel(place)
            self._turns.pop(place, None)

    def wake(self) -> None:
        """Give the request with the earliest deadline its turn."""
        ticket = self.queue.pop()
        if ticket is None:
            return
        turn = self._turns.get(ticket)
        if turn is not None and not turn.done():
            turn.set_result(None)

    def turn_used(self) -> None:
        """Count a request that waited and found its target."""
        self.queue.record_served(time.monotonic())


def _overloaded(detail: str, retry_after_seconds: float | None) -> RequestFailure:
    return RequestFailure(
        reason=Reason.OVERLOADED,
        detail=detail,
        verdict=Verdict.NOT_RUN,
        retry_after_seconds=retry_after_seconds,
    )
