"""Relays the events of a stream as they arrive."""

import math
from collections.abc import Callable

from pimentospool.gateway._answer_streams import AnswerHead, AnswerStream, BodyEnd
from pimentospool.gateway._progress import RequestProgress
from pimentospool.gateway._replies import Reply
from pimentospool.gateway._running_attempts import RunningAttempt
from pimentospool.policy import continuation_head_fault
from pimentospool.targets import (
    AttemptFailure,
    EventBoundary,
    EventSplitter,
    FailureCause,
)
from pimentospool.verdicts import Verdict

MAX_PENDING_EVENT_BYTES = 256 * 1024
"""Limit on an event of a stream, which is held until it is complete."""


async def relay_stream(
    stream: AnswerStream,
    head: AnswerHead,
    reply: Reply,
    progress: RequestProgress,
    attempt: RunningAttempt,
    *,
    resumable: bool,
    clock: Callable[[], float],
    on_event: Callable[[], None],
) -> None:
    """Relay a stream to `reply`; a resumed stream keeps the head of the first target.

    Only complete events of a resumable stream are relayed, so that another target can
    continue after the last one. The head is sent with the first bytes of the body, so
    that a failure before them can still be reported with its own status. A stream is
    complete only if it ends after a complete event, as a target that fails may end its
    body by closing the connection.

    Parameters
    ----------
    stream : AnswerStream
        The response of the target or entry VM.
    head : AnswerHead
        Its status and headers.
    reply : Reply
        Sends the response to the caller.
    progress : RequestProgress
        Records which events the caller received.
    attempt : RunningAttempt
        The attempt that brought the response. It stalls while no event is completed:
        a slow stream has events, a stalled one may still send single bytes.
    resumable : bool
        Whether another target can resume the stream.
    clock : callable
        Returns a monotonic time in seconds.
    on_event : callable
        Called for each part of the stream that is relayed.

    Raises
    ------
    AttemptFailure
        If the stream ends early, or an event is too long.
    """
    splitter = EventSplitter() if resumable else None
    boundary = EventBoundary()
    position = progress.position
    continues = resumable and (reply.started or position.last_id is not None)
    resumed_after = position.last_id
    held = b""
    if continues:
        _check(continuation_head_fault(head.status, head.get(b"content-type")))
    if progress.chunks_sent:
        attempt.expect_part(clock())
    while chunk := await stream.read():
        boundary.feed(chunk)
        attempt.within_event = boundary.within_event
        if splitter is not None:
            batch = splitter.feed(chunk)
            if splitter.pending_bytes > MAX_PENDING_EVENT_BYTES:
                raise _broken_off(
                    f"an event is longer than {MAX_PENDING_EVENT_BYTES} bytes"
                )
            if batch is None:
                if position.last_id != resumed_after:
                    position.next_has_begun |= splitter.has_begun_event
                continue
            chunk = batch.data
            if continues:
                at_start = position.last_id == resumed_after
                _check(position.events_fault(chunk, at_start=at_start))
            position.record(chunk)
            position.next_has_begun = splitter.has_begun_event
            held += chunk
            if continues and position.last_id == resumed_after:
                # A comment doesn't show yet that the target goes on with the stream.
                if len(held) > MAX_PENDING_EVENT_BYTES:
                    raise _broken_off(f"{len(held)} bytes without an event")
                continue
            chunk, held = held, b""
        progress.running.claim_reply(attempt)
        # The time of a write is the caller's, not a silence of the target.
        attempt.stalls_at = math.inf
        progress.events_sent = (
            position.event_count if resumable else progress.events_sent + _events(chunk)
        )
        on_event()
        if not reply.started:
            await reply.start_stream(head, attempt.version)
        progress.chunks_sent += 1
        progress.last_progress_at = clock()
        if progress.first_event_at is None:
            progress.first_event_at = progress.last_progress_at
        await reply.write(chunk)
        progress.write_seconds += clock() - progress.last_progress_at
        attempt.expect_part(clock())
    if boundary.within_event or (splitter is not None and splitter.pending_bytes):
        raise _broken_off("the stream ended within an event")
    if boundary.empty and stream.body_end is BodyEnd.CLOSE:
        raise _broken_off("the connection was closed before the first event")
    if continues:
        _check(
            position.end_fault(
                has_events=position.last_id != resumed_after,
                ends_by_close=stream.body_end is BodyEnd.CLOSE,
            )
        )
    progress.running.claim_reply(attempt)
    if not reply.started:
        await reply.start_stream(head, attempt.version)
    if held:
        await reply.write(held)
    await reply.end_stream()


def _events(chunk: bytes) -> int:
    """Return the number of events whose last line is in `chunk`, as far as it shows."""
    return chunk.count(b"\n\n") + chunk.count(b"\r\n\r\n")


def _check(fault: str | None) -> None:
    """Raise if `fault` says why a response does not continue the stream."""
    if fault is not None:
        raise _broken_off(fault)


def _broken_off(detail: str) -> AttemptFailure:
    return AttemptFailure(
        detail=detail, verdict=Verdict.MAY_HAVE_RUN, cause=FailureCause.BROKEN
    )
