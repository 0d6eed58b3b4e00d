"""Supervision and cancellation of background tasks."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from pimentospool.log import Event, log_event

RESTART_DELAY_SECONDS = 1.0
"""Delay before a background task that failed is started again."""
_CANCEL_INTERVAL_SECONDS = 0.25


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
