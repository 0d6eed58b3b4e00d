"""Cancellation of background tasks."""

import asyncio
from collections.abc import Iterable
from typing import Any

_CANCEL_INTERVAL_SECONDS = 0.25


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
