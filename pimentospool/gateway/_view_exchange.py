"""Transfer of the routing state to entry VMs that start during a store outage."""

import asyncio
from random import Random

import aiohttp
import msgspec
from aiohttp import web

from pimentospool.gateway._fleet import EntryRecord, EntryState, Fleet
from pimentospool.gateway._model import Address
from pimentospool.gateway._routing_state import RoutingState, RoutingView
from pimentospool.log import Event, log_event
from pimentospool.sending import TRANSPORT_ERRORS, open_session

VIEW_PATH = "/view"
STORE_WAIT_SECONDS = 0.6
"""Time after the start in which the configuration may still come from the store."""
RETRY_INTERVAL_SECONDS = 0.3
"""Time between requests to other entry VMs."""
REQUEST_TIMEOUT_SECONDS = 1.0
"""Timeout of a request to another entry VM."""


def view_address(peer: Address) -> Address:
    """Return the address at which the entry VM at `peer` serves its view."""
    return Address(peer.host, peer.port + 1)


class ViewExchange:
    """Serves the view of this entry VM, and fetches that of another one at the start.

    Parameters
    ----------
    routing_state : RoutingState
        Source of the view, and where a fetched one is applied.
    fleet : Fleet
        Membership of the entry VMs.
    rng : Random
        Chooses among the other entry VMs.
    """

    def __init__(
        self, *, routing_state: RoutingState, fleet: Fleet, rng: Random
    ) -> None:
        self._routing_state = routing_state
        self._fleet = fleet
        self._rng = rng
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(RoutingView)

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Respond to another entry VM with the current view."""
        view = self._routing_state.view()
        if http.path != VIEW_PATH or view is None:
            return web.Response(status=404 if http.path != VIEW_PATH else 503)
        return web.Response(body=self._encoder.encode(view))

    async def run(self) -> None:
        """Ask other entry VMs for their view until a configuration is known."""
        await asyncio.sleep(STORE_WAIT_SECONDS)
        async with open_session() as session:
            while self._routing_state.configuration is None:
                for record in self._peers_to_ask():
                    if await self._fetch_view(session, record):
                        break
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    def _peers_to_ask(self) -> list[EntryRecord]:
        records = [
            rec for rec in self._fleet.live() if rec.state != EntryState.STARTING.value
        ]
        self._rng.shuffle(records)
        local_region = self._fleet.local_record.region
        return sorted(records, key=lambda rec: rec.region != local_region)[:2]

    async def _fetch_view(
        self, session: aiohttp.ClientSession, record: EntryRecord
    ) -> bool:
        url = f"http://{view_address(record.peer)}{VIEW_PATH}"
        try:
            async with (
                asyncio.timeout(REQUEST_TIMEOUT_SECONDS),
                session.get(url) as resp,
            ):
                if resp.status != 200:
                    return False
                view = self._decoder.decode(await resp.read())
        except (*TRANSPORT_ERRORS, msgspec.MsgspecError) as exc:
            log_event(Event.VIEW_REFUSED, entry=record.id, reason=repr(exc))
            return False
        applied = self._routing_state.apply_view(view)
        if applied:
            log_event(
                Event.VIEW_TAKEN,
                entry=record.id,
                version=view.configuration.version,
                targets=len(view.targets),
            )
        return applied
