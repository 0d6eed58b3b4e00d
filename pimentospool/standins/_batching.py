"""Batch slots of the model engine stand-in, granted by priority."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count


class SlotQueue:
    """Limits concurrent requests; waiting ones get slots by ascending priority number.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent holders.
    """

    def __init__(self, *, slots: int) -> None:
        self.running = 0
        self._slots = slots
        self._arrival_numbers = count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(not fut.done() for _, _, fut in self._waiting)

    @asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot while the context is active."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self.running < self._slots:
            self.running += 1
            return
        fut = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._arrival_numbers), fut))
        try:
            await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1
