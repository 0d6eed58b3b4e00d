"""Reading of one answer and passing it on, as far as it is one."""

import asyncio
from collections.abc import Callable

from pimentospool.gateway._connections import AnswerStream
from pimentospool.gateway._dependencies import ServingTools
from pimentospool.gateway._dialect import AnswerClass, HopRefusal
from pimentospool.gateway._model import HttpRoute, RequestKind
from pimentospool.gateway._progress import Progress
from pimentospool.gateway._relay import relay_stream
from pimentospool.gateway._replies import Reply
from pimentospool.policy import Assignment
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

CLOCK_SECONDS = 0.01
"""Time to a deadline at which it counts as reached; the event loop's timers and the
steady clock differ by some milliseconds."""
STALL_SHARE = 0.5
"""Part of callers' patience with a stream's pause after which it is resumed at another
target, so that its next event can still come in time."""
REJECTION_SECONDS = 0.2
"""Longest wait for the rest of a rejection, whose connection can be kept then."""


class HopRefusedError(AttemptFailure):
    """The entry VM of another region refused the request.

    Parameters
    ----------
    detail : str
        What was seen.
    refusal : HopRefusal
        What the entry VM says.
    """

    def __init__(self, *, detail: str, refusal: HopRefusal) -> None:
        super().__init__(
            detail=detail, verdict=refusal.verdict, cause=FailureCause.REFUSED
        )
        self.refusal = refusal


class AnswerReceiver:
    """Receives the answers of one request's attempts.

    Parameters
    ----------
    tools : ServingTools
        What all requests share.
    reply : Reply
        Where the answer goes.
    route : HttpRoute
        What the route allows.
    progress : Progress
        Attempts so far.
    remaining : callable
        Returns the seconds to the request's deadline.
    """

    def __init__(
        self,
        *,
        tools: ServingTools,
        reply: Reply,
        route: HttpRoute,
        progress: Progress,
        remaining: Callable[[], float],
    ) -> None:
        self._tools = tools
        self._reply = reply
        self._route = route
        self._progress = progress
        self._remaining = remaining

    async def receive(
        self,
        stream: AnswerStream,
        assignment: Assignment | None,
        answer_seconds: float,
    ) -> None:
        """Pass the answer on, as far as it is one.

        Raises
        ------
        AttemptFailure
            If it is none, or ends early.
        """
        try:
            async with asyncio.timeout(answer_seconds):
                head = await stream.wait_head()
        except TimeoutError as exc:
            raise self._silent(exc) from exc
        dialect = self._tools.dialect
        # An answer without an assignment is that of an entry VM.
        refusal = dialect.hop_refusal(head) if assignment is None else None
        if refusal is not None:
            self._progress.retry_after_seconds = dialect.retry_after_seconds(head)
            await self._finish_reading(stream)
            raise HopRefusedError(
                detail=f"the entry VM refused with status {head.status}",
                refusal=refusal,
            )
        kind = dialect.classify(head)
        if kind is AnswerClass.REJECTION:
            self._progress.retry_after_seconds = dialect.retry_after_seconds(head)
            await self._finish_reading(stream)
            raise AttemptFailure(
                detail=f"the target rejected with status {head.status}",
                verdict=Verdict.NOT_RUN,
                cause=FailureCause.REFUSED,
            )
        if kind is AnswerClass.ABSENT:
            await self._finish_reading(stream)
            raise AttemptFailure(
                detail="another target answers at the address",
                verdict=Verdict.NOT_RUN,
                cause=FailureCause.UNREACHABLE,
            )
        if kind is AnswerClass.INVALID:
            raise AttemptFailure(
                detail=f"status {head.status} without a target's signature",
                verdict=Verdict.MAY_HAVE_RUN,
                cause=FailureCause.BROKEN,
            )
        at_target = assignment is not None
        if kind is AnswerClass.ERROR and at_target and self._repeats_errors():
            await self._finish_reading(stream)
            raise AttemptFailure(
                detail=f"the target answered with status {head.status}",
                verdict=Verdict.RAN,
                cause=FailureCause.TARGET_ERROR,
            )
        try:
            async with asyncio.timeout(self._remaining()):
                if (
                    self._route.kind is RequestKind.STREAM
                    and kind is AnswerClass.SUCCESS
                ):
                    await relay_stream(
                        stream,
                        head,
                        self._reply,
                        self._progress,
                        resumable=self._route.resumable,
                        clock=self._tools.clock,
                        assignment=assignment,
                        stall_seconds=self._stall_seconds(assignment),
                    )
                else:
                    await self._pass_whole(stream, kind)
        except TimeoutError as exc:
            raise self._silent(exc) from exc

    def _stall_seconds(self, assignment: Assignment | None) -> float | None:
        """Return the pause after which a stream goes on elsewhere, None for never.

        Another entry VM does this for a stream that it serves.
        """
        moves = self._route.resumable and self._progress.targets_left > 1
        if assignment is None or not moves:
            return None
        return self._route.event_patience_seconds * STALL_SHARE

    async def _pass_whole(self, stream: AnswerStream, kind: AnswerClass) -> None:
        pieces = []
        while piece := await stream.read():
            pieces.append(piece)
        assert stream.head is not None
        if self._reply.started:
            raise AttemptFailure(
                detail=f"status {stream.head.status} for the rest of a stream",
                verdict=Verdict.MAY_HAVE_RUN,
                cause=FailureCause.TARGET_ERROR,
            )
        await self._reply.whole(stream.head, b"".join(pieces))

    def _repeats_errors(self) -> bool:
        """Whether another attempt is likely to be made after a target's error."""
        progress = self._progress
        return (
            self._route.repeatable
            and progress.attempts == 0
            and self._route.max_targets > 1
            and not self._reply.started
        )

    async def _finish_reading(self, stream: AnswerStream) -> None:
        """Read a rejection to its end, so that its connection can be kept."""
        try:
            async with asyncio.timeout(
                min(REJECTION_SECONDS, max(self._remaining(), 0.01))
            ):
                while await stream.read():
                    pass
        except (TimeoutError, AttemptFailure):
            return

    def _silent(self, exc: Exception) -> AttemptFailure:
        late = self._remaining() <= CLOCK_SECONDS
        return AttemptFailure(
            detail="no whole answer arrived in time",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=FailureCause.LATE if late else FailureCause.SILENT,
        )
