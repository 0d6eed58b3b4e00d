"""Receives the response to one attempt and relays it if it answers the request."""

import asyncio
from collections.abc import Callable

from pimentospool.byte_buffers import ByteBuffer
from pimentospool.gateway._answer_streams import AnswerHead, AnswerStream, stated_length
from pimentospool.gateway._dependencies import GatewayDependencies
from pimentospool.gateway._dialect import AnswerClass, HopRefusal
from pimentospool.gateway._model import HttpRoute, RequestKind
from pimentospool.gateway._progress import RequestProgress
from pimentospool.gateway._relay import relay_stream
from pimentospool.gateway._replies import Reply
from pimentospool.gateway._running_attempts import AttemptStage, RunningAttempt
from pimentospool.policy import AnswerHold
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.tasks import timeout_after_read
from pimentospool.verdicts import Verdict

DEADLINE_TOLERANCE_SECONDS = 0.01
"""Remaining time at which a deadline counts as reached. The event loop's timers and the
monotonic clock differ by some milliseconds."""
MAX_WHOLE_BODY_BYTES = 4 * 1024 * 1024
"""Limit on a response that is held until it is whole. A faulty server sends one without
end, and several of them must not fill the memory of a small VM."""
REJECTION_READ_TIMEOUT_SECONDS = 0.2
"""Timeout for reading the body of a rejection. A connection whose response was read to
the end can be reused."""


class HopRefusedError(AttemptFailure):
    """The entry VM of another region refused the request.

    Parameters
    ----------
    detail : str
        Description of the response.
    refusal : HopRefusal
        The refusal that the entry VM reported.
    """

    def __init__(self, *, detail: str, refusal: HopRefusal) -> None:
        super().__init__(
            detail=detail, verdict=refusal.verdict, cause=FailureCause.REFUSED
        )
        self.refusal = refusal


class AnswerReceiver:
    """Receives the responses to the attempts of one request.

    Parameters
    ----------
    deps : GatewayDependencies
        Components that all requests share.
    reply : Reply
        Sends the response to the caller.
    route : HttpRoute
        Route of the request.
    progress : RequestProgress
        State of the attempts made so far.
    remaining_seconds : callable
        Returns the seconds to the request's deadline.
    """

    def __init__(
        self,
        *,
        deps: GatewayDependencies,
        reply: Reply,
        route: HttpRoute,
        progress: RequestProgress,
        remaining_seconds: Callable[[], float],
    ) -> None:
        self._deps = deps
        self._reply = reply
        self._route = route
        self._progress = progress
        self._remaining_seconds = remaining_seconds

    async def receive(
        self,
        stream: AnswerStream,
        attempt: RunningAttempt,
        *,
        hold: AnswerHold,
        from_target: bool,
        on_event: Callable[[], None] = lambda: None,
        on_head: Callable[[AnswerHead], None] = lambda head: None,
    ) -> None:
        """Relay the response to the caller if it answers the request.

        Parameters
        ----------
        stream : AnswerStream
            The response.
        attempt : RunningAttempt
            The attempt to which it is the response.
        hold : AnswerHold
            Memory of the response.
        from_target : bool
            Whether a target responds, not an entry VM.
        on_event : callable
            Called for each part of a stream that arrives.
        on_head : callable
            Called with the status and headers of a response by the target itself.

        Raises
        ------
        AttemptFailure
            If the response is a refusal, is invalid, or does not arrive in full.
        """
        try:
            async with timeout_after_read(self._remaining_seconds()):
                head = await stream.wait_head()
        except TimeoutError as exc:
            raise self._timeout_failure() from exc
        attempt.body_end = stream.body_end
        attempt.stage = AttemptStage.ANSWERING
        dialect = self._deps.dialect
        refusal = None if from_target else dialect.hop_refusal(head)
        if refusal is not None:
            self._progress.retry_after_seconds = dialect.retry_after_seconds(head)
            await self._drain_body(stream)
            raise HopRefusedError(
                detail=f"the entry VM refused with status {head.status}",
                refusal=refusal,
            )
        answer_class = dialect.classify(head)
        if (
            answer_class in (AnswerClass.REJECTION, AnswerClass.MISDIRECTED)
            and stream.conn_was_used
            and not dialect.names_request(head)
        ):
            raise AttemptFailure(
                detail="the rejection may be that of an earlier request",
                verdict=Verdict.MAY_HAVE_RUN,
                cause=FailureCause.BROKEN,
            )
        if answer_class not in (AnswerClass.MISDIRECTED, AnswerClass.INVALID):
            on_head(head)
        if answer_class is AnswerClass.REJECTION:
            self._progress.retry_after_seconds = dialect.retry_after_seconds(head)
            await self._drain_body(stream)
            raise AttemptFailure(
                detail=f"the target rejected with status {head.status}",
                verdict=Verdict.NOT_RUN,
                cause=FailureCause.REFUSED,
            )
        if answer_class is AnswerClass.MISDIRECTED:
            await self._drain_body(stream)
            raise AttemptFailure(
                detail="another target answers at the address",
                verdict=Verdict.NOT_RUN,
                cause=FailureCause.UNREACHABLE,
            )
        if answer_class is AnswerClass.INVALID:
            raise AttemptFailure(
                detail=f"status {head.status} without a target's signature",
                verdict=Verdict.MAY_HAVE_RUN,
                cause=FailureCause.BROKEN,
            )
        if (
            answer_class is AnswerClass.ERROR
            and from_target
            and self._retries_target_errors()
        ):
            await self._drain_body(stream)
            raise AttemptFailure(
                detail=f"the target answered with status {head.status}",
                verdict=Verdict.RAN,
                cause=FailureCause.TARGET_ERROR,
            )
        try:
            async with timeout_after_read(self._remaining_seconds()):
                if (
                    self._route.kind is RequestKind.STREAM
                    and answer_class is AnswerClass.SUCCESS
                ):
                    self._progress.running.limit_overlap(attempt)
                    await relay_stream(
                        stream,
                        head,
                        self._reply,
                        self._progress,
                        attempt,
                        resumable=self._route.resumable,
                        clock=self._deps.clock,
                        on_event=on_event,
                    )
                else:
                    await self._relay_whole_body(stream, attempt, hold)
        except TimeoutError as exc:
            if hold.waits_for_others:
                raise _no_memory() from exc
            raise self._timeout_failure() from exc

    async def _relay_whole_body(
        self, stream: AnswerStream, attempt: RunningAttempt, hold: AnswerHold
    ) -> None:
        assert stream.head is not None
        length = 0 if stream.without_body else stated_length(stream.head)
        _check_answer_size(length or 0)
        if not await stream.hold_whole(length):
            raise _no_memory()
        body = ByteBuffer(length or 0)
        while chunk := await stream.read():
            _check_answer_size(len(body) + len(chunk))
            if length is None and not hold.grow(len(chunk)):
                raise _no_memory()
            body.append(chunk)
            chunk = b""
        hold.become_whole()
        if self._reply.started:
            raise AttemptFailure(
                detail=f"status {stream.head.status} for the rest of a stream",
                verdict=Verdict.MAY_HAVE_RUN,
                cause=FailureCause.TARGET_ERROR,
            )
        self._progress.running.claim_reply(attempt)
        await self._reply.send_response(stream.head, body.take())

    def _retries_target_errors(self) -> bool:
        """Whether another attempt is likely to be made after a target's error."""
        progress = self._progress
        return (
            self._route.retryable
            and (progress.attempts == 0 or len(progress.running) > 1)
            and self._route.max_targets > 1
            and not self._reply.started
        )

    async def _drain_body(self, stream: AnswerStream) -> None:
        """Read the rest of a response, so that its connection can be reused."""
        try:
            async with asyncio.timeout(
                min(
                    REJECTION_READ_TIMEOUT_SECONDS, max(self._remaining_seconds(), 0.01)
                )
            ):
                while await stream.read():
                    pass
        except (TimeoutError, AttemptFailure):
            return

    def _timeout_failure(self) -> AttemptFailure:
        deadline_passed = self._remaining_seconds() <= DEADLINE_TOLERANCE_SECONDS
        return AttemptFailure(
            detail="no whole answer arrived in time",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=FailureCause.LATE if deadline_passed else FailureCause.SILENT,
        )


def _check_answer_size(size_bytes: int) -> None:
    if size_bytes > MAX_WHOLE_BODY_BYTES:
        raise AttemptFailure(
            detail=f"the answer is longer than {MAX_WHOLE_BODY_BYTES} bytes",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=FailureCause.BROKEN,
        )


def _no_memory() -> AttemptFailure:
    return AttemptFailure(
        detail="no memory for the answer",
        verdict=Verdict.MAY_HAVE_RUN,
        cause=FailureCause.NO_MEMORY,
    )
