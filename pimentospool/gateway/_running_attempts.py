"""Attempts of one request that are in progress, and which of them answers it.

A second attempt may run beside one whose target is silent. The one whose response
continues first answers the request, and the other one is cancelled.
"""

import asyncio
import math
from collections.abc import Coroutine
from enum import Enum

from pimentospool.gateway._connections import BodyEnd
from pimentospool.ids import RegionId, SoftwareVersion, TargetId
from pimentospool.policy import Assignment, RegionChoice, TargetChoice
from pimentospool.tasks import cancel_tasks, read_arrived

OVERLAP_SECONDS = 0.25
"""Time for which a target may still work on a stream that another one has accepted. A
target must not be at work 0.4 s after the stream goes on elsewhere."""


class AttemptStage(Enum):
    """How far an attempt has come."""

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"


class RunningAttempt:
    """One attempt, from its start to its end.

    Parameters
    ----------
    choice : TargetChoice or RegionChoice
        Where the request is sent.
    stall_seconds : float
        Silence after which another attempt may begin beside this one.
    assignment : Assignment or None
        Counts the request at its target, None for another region.
    """

    def __init__(
        self,
        *,
        choice: TargetChoice | RegionChoice,
        stall_seconds: float = math.inf,
        assignment: Assignment | None = None,
    ) -> None:
        self.choice = choice
        self.assignment = assignment
        self.stall_seconds = stall_seconds
        self.stalls_at = math.inf
        """Time at which the attempt counts as stalled if nothing arrives before."""
        self.sent_before = False
        """Whether the target has been sent the request before."""
        self.stage = AttemptStage.CONNECTING
        self.stalled = False
        """Whether another attempt has begun beside this one."""
        self.superseded = False
        """Whether another attempt has answered the request."""
        self.version = SoftwareVersion("")
        """Software version of the target that answers."""
        self.body_end: BodyEnd | None = None
        """What tells the end of the response's body."""
        self.within_event = False
        """Whether the last event of the stream received so far is incomplete."""
        self.task: asyncio.Task[None] | None = None

    @property
    def target(self) -> TargetId | None:
        """Target to which the request is sent, None for another region."""
        choice = self.choice
        return choice.candidate.target if isinstance(choice, TargetChoice) else None

    @property
    def region(self) -> RegionId | None:
        """Region to which the request is sent, None for a target of this one."""
        choice = self.choice
        return choice.region if isinstance(choice, RegionChoice) else None

    @property
    def ended(self) -> bool:
        """Whether the attempt has answered the request or failed."""
        return self.task is not None and self.task.done()

    def expect_part(self, now: float) -> None:
        """Record that the next part of the response is waited for from now on."""
        self.stalls_at = now + self.stall_seconds


class RunningAttempts:
    """The attempts of one request that are in progress."""

    def __init__(self) -> None:
        self._attempts: list[RunningAttempt] = []

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def targets(self) -> set[TargetId]:
        """Targets that may be running the request now."""
        return {item.target for item in self._attempts if item.target is not None}

    @property
    def sole(self) -> RunningAttempt | None:
        """The only attempt in progress, None if there are none or several."""
        return self._attempts[0] if len(self._attempts) == 1 else None

    def start(self, attempt: RunningAttempt, send: Coroutine[None, None, None]) -> None:
        """Run `send`, which makes `attempt`."""
        attempt.task = asyncio.create_task(send)
        self._attempts.append(attempt)
        assignment = attempt.assignment
        if assignment is not None:
            # A task that is cancelled before it starts runs none of its own cleanup.
            attempt.task.add_done_callback(lambda _: assignment.end())

    def claim_reply(self, attempt: RunningAttempt) -> None:
        """Let `attempt` write the next part of the response; cancel any other one."""
        if attempt not in self._attempts or attempt.superseded or attempt.ended:
            return
        for other in self._attempts:
            if other is not attempt and other.task is not None:
                other.superseded = True
                other.task.cancel()

    def limit_overlap(self, attempt: RunningAttempt) -> None:
        """Let a stream go on at `attempt`, whose target has accepted it.

        An event of the other attempt within `OVERLAP_SECONDS` keeps it there.
        """
        if any(item.target != attempt.target for item in self._attempts):
            asyncio.get_running_loop().call_later(
                OVERLAP_SECONDS, self.claim_reply, attempt
            )

    async def wait_for_end(self, timeout_seconds: float) -> RunningAttempt | None:
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

    async def cancel(self) -> list[RunningAttempt]:
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
