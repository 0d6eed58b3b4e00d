"""Adopts the configuration by which another entry VM routed a request."""

import asyncio
from collections.abc import Awaitable, Callable

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord
from pimentospool.gateway._model import Configuration, ConfigurationStamp, HopOrigin
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.ids import EntryId
from pimentospool.log import Event, log_event

OWN_NEWS_SECONDS = 0.3
"""Time in which a new configuration may still arrive by itself. It is read from the
other entry VM only after that, as traffic between regions is charged for."""


class ConfigurationCatchUp:
    """Keeps hops from being served by an older configuration than their sender's.

    A caller would otherwise see a version in force, and then the one before it,
    depending on the region that serves its request.

    Parameters
    ----------
    routing_state : RoutingState
        Holds the configuration of this entry VM.
    fleet : Fleet
        Membership of the entry VMs.
    fetch : callable
        Adopts the configuration of another entry VM.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        fleet: Fleet,
        fetch: Callable[[EntryRecord], Awaitable[None]],
    ) -> None:
        self._routing_state = routing_state
        self._fleet = fleet
        self._fetch = fetch
        self._adopted = asyncio.Event()
        self._fetches: dict[ConfigurationStamp, asyncio.Task[None]] = {}
        routing_state.configuration_adopted.connect(self._wake)

    async def reach(self, origin: HopOrigin) -> bool:
        """Return whether the configuration of `origin`, or a later one, is active.

        Waits for it, and reads it from the entry VM that follows it, if it isn't. A
        process without any configuration has no targets yet either, so it doesn't wait.
        """
        known = self._routing_state.stamp
        if known is None:
            return False
        if self._is_reached(origin.stamp):
            return True
        await self._wait_for_own_news(origin.stamp)
        if not self._is_reached(origin.stamp):
            await asyncio.shield(self._shared_fetch(origin))
        reached = self._is_reached(origin.stamp)
        log_event(
            Event.CONFIGURATION_BEHIND,
            entry=origin.entry,
            version=origin.stamp.version,
            known=known.version,
            adopted=reached,
        )
        return reached

    def _is_reached(self, stamp: ConfigurationStamp) -> bool:
        known = self._routing_state.stamp
        return known is not None and known >= stamp

    async def _wait_for_own_news(self, stamp: ConfigurationStamp) -> None:
        try:
            async with asyncio.timeout(OWN_NEWS_SECONDS):
                while not self._is_reached(stamp):
                    self._adopted.clear()
                    await self._adopted.wait()
        except TimeoutError:
            return

    def _shared_fetch(self, origin: HopOrigin) -> asyncio.Task[None]:
        """Return the task that fetches a configuration, for all hops that wait."""
        task = self._fetches.get(origin.stamp)
        if task is None:
            task = asyncio.create_task(self._fetch_from(origin.entry))
            self._fetches[origin.stamp] = task
            task.add_done_callback(lambda _: self._fetches.pop(origin.stamp))
        return task

    async def _fetch_from(self, entry: EntryId) -> None:
        record = self._fleet.live_record(entry)
        if record is not None:
            await self._fetch(record)

    def _wake(self, configuration: Configuration) -> None:
        self._adopted.set()
