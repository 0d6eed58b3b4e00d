"""Attempts of one request that are in progress at targets and regions."""

import asyncio
import math
from enum import Enum

from pimentospool.gateway._answer_streams import BodyEnd
from pimentospool.gateway._model import Registration
from pimentospool.ids import RegionId, SoftwareVersion, TargetId
from pimentospool.policy import Assignment, RegionChoice, TargetChoice
from pimentospool.running_attempts import Attempt, ConcurrentAttempts

OVERLAP_SECONDS = 0.25
"""Time for which a target may still work on a stream that another one has accepted. A
target must not be at work 0.4 s after the stream goes on elsewhere."""


class AttemptStage(Enum):
    """How far an attempt has come."""

    CONNECTING = "connecting"
    SENT = "sent"
    ANSWERING = "answering"


class RunningAttempt(Attempt):
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
        super().__init__(stall_seconds=stall_seconds)
        self.choice = choice
        self.assignment = assignment
        self.registration: Registration | None = None
        """Start of the target to which the request is sent, None before that."""
        self.sent_before = False
        """Whether the target has been sent the request before."""
        self.stage = AttemptStage.CONNECTING
        self.version = SoftwareVersion("")
        """Software version of the target that answers."""
        self.body_end: BodyEnd | None = None
        """What tells the end of the response's body."""
        self.within_event = False
        """Whether the last event of the stream received so far is incomplete."""

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

    def release(self) -> None:
        """Count the request at its target no more."""
        if self.assignment is not None:
            self.assignment.end()


class RunningAttempts(ConcurrentAttempts[RunningAttempt]):
    """The attempts of one request that are in progress."""

    @property
    def targets(self) -> set[TargetId]:
        """Targets that may be running the request now."""
        return {item.target for item in self._attempts if item.target is not None}

    def limit_overlap(self, attempt: RunningAttempt) -> None:
        """Let a stream go on at `attempt`, whose target has accepted it.

        An event of the other attempt within `OVERLAP_SECONDS` keeps it there.
        """
        if any(item.target != attempt.target for item in self._attempts):
            asyncio.get_running_loop().call_later(
                OVERLAP_SECONDS, self.claim_reply, attempt
            )
