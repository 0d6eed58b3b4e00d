"""Supervision and cancellation of tasks, and timeouts that allow for pauses."""

import asyncio
import contextlib
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any

from pimentospool.log import Event, log_event

RESTART_DELAY_SECONDS = 1.0
"""Delay before a background task that failed is started again."""
_CANCEL_INTERVAL_SECONDS = 0.25
_READ_TURNS = 8
"""Turns of the event loop in which bytes that have arrived reach the task that waits
for them: one to poll the sockets, one for each task and future between."""


async def read_arrived() -> None:
    """Let what has arrived at sockets be read before silence is concluded.

    After a pause of the process, timers run before sockets are polled.
    """
    for _ in range(_READ_TURNS):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def timeout_after_read(seconds: float) -> AsyncIterator[None]:
    """Cancel the block after a timeout, but not before what has arrived was read.

    Parameters
    ----------
    seconds : float
        Time after which the block is cancelled.

    Raises
    ------
    TimeoutError
        If the block has not ended.
    """
    loop = asyncio.get_running_loop()
    handle: asyncio.Handle

    def expire(turns: int) -> None:
        nonlocal handle
        if turns:
            handle = loop.call_soon(expire, turns - 1)
        else:
            timeout.reschedule(loop.time())

    async with asyncio.timeout(None) as timeout:
        handle = loop.call_later(max(0.0, seconds), expire, _READ_TURNS)
        try:
            yield
        finally:
            handle.cancel()


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a background task, and run it again after an unexpected error.

    Without it, an error would end the task unnoticed, and the process would go on
    without it.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    run : callable
        Runs until it is cancelled.
    """
    while True:
        try:
            await run()
            return
        except Exception as exc:
            log_event(
                Event.TASK_FAILED,
                task=name,
                error=repr(exc),
                trace=traceback.format_exc(limit=-3),
            )
        await asyncio.sleep(RESTART_DELAY_SECONDS)


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel `tasks` and return when all of them have done.

    The cancellation is repeated, because a library's operation that completes at the
    moment of its cancellation may swallow it, and a loop around it would run on.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        done, pending = await asyncio.wait(pending, timeout=_CANCEL_INTERVAL_SECONDS)
        for task in done:
            if not task.cancelled():
                task.exception()
