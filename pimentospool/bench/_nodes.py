"""Node processes of a benchmark."""

import asyncio
from collections.abc import Sequence

import aiohttp

from pimentospool.programs import Program
from pimentospool.sending import open_session
from pimentospool.standins import GRACE_SECONDS

READY_SECONDS = 20.0
"""Timeout for the nodes to become ready; they start at once."""
READY_POLL_SECONDS = 0.05
STOP_SECONDS = GRACE_SECONDS + 1.0
"""Timeout for a node to end; its settings give it the grace."""
SETTLE_SECONDS = 1.5
"""Time in which ready nodes learn of the targets and of each other."""


async def wait_ready(addresses: Sequence[str]) -> None:
    """Wait until the nodes with these ready listeners can take requests."""
    async with open_session() as session, asyncio.timeout(READY_SECONDS):
        for address in addresses:
            while not await _is_ready(session, f"http://{address}/ready"):
                await asyncio.sleep(READY_POLL_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)


async def stop_node(node: Program) -> None:
    """End a node gracefully, so that its whole log is written."""
    if node.pid is None:
        return
    try:
        async with asyncio.timeout(STOP_SECONDS):
            node.terminate()
            await node.wait()
    except TimeoutError:
        await node.close()


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as resp:
            return resp.status == 200
    except (aiohttp.ClientError, OSError):
        return False
