"""Open-loop generator: sends each call when it is due, even if others are pending."""

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
        Generates the calls, in the order of the arrivals.
    """

    def __init__(self, *, callers: Callers, source: TrafficSource) -> None:
        self._callers = callers
        self._source = source
        self._in_flight: set[asyncio.Task[None]] = set()

    async def run(self, arrivals: Iterable[Arrival], on_record: RecordHandler) -> None:
        """Send a call at each arrival, and pass each record to `on_record`.

        Returns when every call has ended.
        """
        try:
            await self._send_all(arrivals, on_record)
            await asyncio.gather(*self._in_flight)
        finally:
            for task in self._in_flight:
                task.cancel()

    async def _send_all(
        self, arrivals: Iterable[Arrival], on_record: RecordHandler
    ) -> None:
        loop = asyncio.get_running_loop()
        start_loop_time = loop.time()
        start_time = time.time()
        for arrival in arrivals:
            call = self._source.next_call(arrival.region)
            delay = start_loop_time + arrival.due_seconds - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            coroutine = self._send(call, start_time + arrival.due_seconds, on_record)
            task = asyncio.create_task(coroutine)
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)

    async def _send(
        self, call: Call, intended_at: float, on_record: RecordHandler
    ) -> None:
        on_record(await self._callers.send(call, intended_at=intended_at))
