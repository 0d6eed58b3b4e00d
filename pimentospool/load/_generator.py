"""Open-loop generator: a call leaves when it is due, whatever became of others."""

import asyncio
import time
from collections.abc import Callable, Iterable

from pimentospool._generated.records import CallerRecord
from pimentospool.load._arrivals import Arrival
from pimentospool.load._callers import Callers
from pimentospool.load._traffic import Call, TrafficSource

RecordHandler = Callable[[CallerRecord], None]


class LoadGenerator:
    """Sends calls at their planned times.

    Parameters
    ----------
    callers : Callers
        Sends each call.
    source : TrafficSource
        Makes the calls, in the order of the arrivals.
    """

    def __init__(self, *, callers: Callers, source: TrafficSource) -> None:
        self._callers = callers
        self._source = source
        self._sending: set[asyncio.Task[None]] = set()

    async def run(self, arrivals: Iterable[Arrival], handle: RecordHandler) -> None:
        """Send a call at each arrival; each record goes to `handle`.

        Returns when every call has ended.
        """
        try:
            await self._send_all(arrivals, handle)
            await asyncio.gather(*self._sending)
        finally:
            for task in self._sending:
                task.cancel()

    async def _send_all(
        self, arrivals: Iterable[Arrival], handle: RecordHandler
    ) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        started_wall = time.time()
        for arrival in arrivals:
            call = self._source.make(arrival.region)
            wait = started + arrival.at - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            sending = self._send(call, started_wall + arrival.at, handle)
            task = asyncio.create_task(sending)
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _send(
        self, call: Call, intended_at: float, handle: RecordHandler
    ) -> None:
        handle(await self._callers.send(call, intended_at=intended_at))
