"""The end of background tasks."""

import asyncio
from collections.abc import Iterable
from typing import Any

_REPEAT_SECONDS = 0.25


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel `tasks` and return when all of them have ended.

    The cancellation is repeated: an operation of a library that completes at the
    moment of its cancellation may swallow it, and a loop around it would go on.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        ended, pending = await asyncio.wait(pending, timeout=_REPEAT_SECONDS)
        for task in ended:
            if not task.cancelled():
                task.exception()
