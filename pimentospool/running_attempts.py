"""Attempts of one request that are in progress, and which of them answers it.

A second attempt may run beside one whose target is silent. The one whose response
continues first answers the request, and the other one is cancelled.
"""

import asyncio
import math
from collections.abc import Coroutine
from typing import Generic, TypeVar

from pimentospool.tasks import cancel_tasks, read_arrived

STANDBY_INTERVAL_SECONDS = 0.25
"""Time between checks whether an attempt may begin beside a stalled one."""


class Attempt:
    """One attempt, from its start to its end.

    Parameters
    ----------
    stall_seconds : float
        Silence after which another attempt may begin beside this one.
    """

    def __init__(self, *, stall_seconds: float = math.inf) -> None:
        self.stall_seconds = stall_seconds
        self.stalls_at = math.inf
        """Time at which the attempt counts as stalled if nothing arrives before."""
        self.stalled = False
        """Whether another attempt has begun beside this one."""
        self.superseded = False
        """Whether another attempt has answered the request."""
        self.task: asyncio.Task[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether the attempt has answered the request or failed."""
        return self.task is not None and self.task.done()

    def expect_part(self, now: float) -> None:
        """Record that the next part of the response is waited for from now on."""
        self.stalls_at = now + self.stall_seconds

    def release(self) -> None:
        """Release what the attempt holds, at the end of its task."""


A = TypeVar("A", bound=Attempt)


class ConcurrentAttempts(Generic[A]):
    """The attempts of one request that are in progress."""

    def __init__(self) -> None:
        self._attempts: list[A] = []

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def sole(self) -> A | None:
        """The only attempt in progress, None if there are none or several."""
        return self._attempts[0] if len(self._attempts) == 1 else None

    def start(self, attempt: A, send: Coroutine[None, None, None]) -> None:
        """Run `send`, which makes `attempt`."""
        attempt.task = asyncio.create_task(send)
        self._attempts.append(attempt)
        # A task that is cancelled before it starts runs none of its own cleanup.
        attempt.task.add_done_callback(lambda _: attempt.release())

    def claim_reply(self, attempt: A) -> None:
        """Let `attempt` write the next part of the response; cancel any other one."""
        if attempt not in self._attempts or attempt.superseded or attempt.ended:
            return
        for other in self._attempts:
            if other is not attempt and other.task is not None:
                other.superseded = True
                other.task.cancel()

    async def wait_for_end(self, timeout_seconds: float) -> A | None:
        """Return an attempt that has ended, None if none does within the timeout."""
        done, _ = await asyncio.wait(
            [item.task for item in self._attempts if item.task is not None],
            timeout=timeout_seconds if math.isfinite(timeout_seconds) else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            await read_arrived()
        for attempt in self._attempts:
            if attempt.task is not None and attempt.task.done():
                self._attempts.remove(attempt)
                return attempt
        return None

    async def cancel(self) -> list[A]:
        """Cancel all attempts, and return those that had not ended."""
        cancelled = [item for item in self._attempts if not item.ended]
        await cancel_tasks(
            item.task for item in self._attempts if item.task is not None
        )
        for item in self._attempts:
            # A cancelled task refers to the frames that hold bodies and the attempt.
            item.task = None
        self._attempts.clear()
        return cancelled
