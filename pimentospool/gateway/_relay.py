"""Passing a stream of events on as they arrive."""

import asyncio
from collections.abc import Callable

from pimentospool.gateway._connections import AnswerHead, AnswerStream
from pimentospool.gateway._progress import Progress
from pimentospool.gateway._replies import Reply
from pimentospool.policy import Assignment
from pimentospool.targets import AttemptFailure, EventSplitter, FailureCause
from pimentospool.verdicts import Verdict


async def relay_stream(
    stream: AnswerStream,
    head: AnswerHead,
    reply: Reply,
    progress: Progress,
    *,
    resumable: bool,
    clock: Callable[[], float],
    assignment: Assignment | None,
    stall_seconds: float | None,
) -> None:
    """Send a stream to `reply`, whose head is that of the first run.

    Of a stream that may be resumed only whole events are sent on, so that another
    target can go on after the last one. The reply begins with the first bytes, so
    that a failure before them can still be answered.

    With `stall_seconds` the stream is given up after so long a pause between events.

    Raises
    ------
    AttemptFailure
        If the stream breaks off.
    TimeoutError
        If it pauses for too long.
    """
    splitter = EventSplitter() if resumable else None
    while piece := await _read(stream, stall_seconds if progress.events else None):
        if splitter is not None:
            batch = splitter.feed(piece)
            if batch is None:
                continue
            piece = batch.data
            if batch.last_id is not None:
                progress.last_event = batch.last_id
        if assignment is not None:
            assignment.first_event()
        if not reply.started:
            await reply.begin(head)
        progress.events += 1
        progress.moved_at = clock()
        if progress.first_event_at is None:
            progress.first_event_at = progress.moved_at
        await reply.write(piece)
    if splitter is not None and splitter.pending_bytes:
        raise AttemptFailure(
            detail="the stream ended within an event",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=FailureCause.BROKEN,
        )
    if not reply.started:
        await reply.begin(head)
    await reply.end()


async def _read(stream: AnswerStream, seconds: float | None) -> bytes:
    if seconds is None:
        return await stream.read()
    async with asyncio.timeout(seconds):
        return await stream.read()
