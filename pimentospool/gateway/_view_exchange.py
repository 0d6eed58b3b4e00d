"""What an entry VM knows, handed to one that starts while the store is away."""

import asyncio
from random import Random

import aiohttp
import msgspec
from aiohttp import web

from pimentospool.gateway._fleet import EntryRecord, EntryState, Fleet
from pimentospool.gateway._model import Address
from pimentospool.gateway._routing_state import Knowledge, KnowledgeView
from pimentospool.log import Event, log_event
from pimentospool.sending import TRANSPORT_ERRORS, open_session

VIEW_PATH = "/view"
FIRST_SECONDS = 0.6
"""Time that the store has to answer a process that has just started."""
RETRY_SECONDS = 0.3
"""Time between questions to other entry VMs."""
ANSWER_SECONDS = 1.0
"""Longest wait for an entry VM's answer."""


def view_address(peer: Address) -> Address:
    """Return where the entry VM with the peer address `peer` hands out its view."""
    return Address(peer.host, peer.port + 1)


class ViewExchange:
    """Hands out this entry VM's view, and takes that of another one.

    Parameters
    ----------
    knowledge : Knowledge
        The view.
    fleet : Fleet
        Other entry VMs.
    rng : Random
        Choice among them.
    """

    def __init__(self, *, knowledge: Knowledge, fleet: Fleet, rng: Random) -> None:
        self._knowledge = knowledge
        self._fleet = fleet
        self._rng = rng
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(KnowledgeView)

    async def answer(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer another entry VM's question."""
        view = self._knowledge.view()
        if http.path != VIEW_PATH or view is None:
            return web.Response(status=404 if http.path != VIEW_PATH else 503)
        return web.Response(body=self._encoder.encode(view))

    async def run(self) -> None:
        """Ask other entry VMs until a configuration is known from anywhere."""
        await asyncio.sleep(FIRST_SECONDS)
        async with open_session() as session:
            while self._knowledge.configuration is None:
                for record in self._informed():
                    if await self._take(session, record):
                        break
                await asyncio.sleep(RETRY_SECONDS)

    def _informed(self) -> list[EntryRecord]:
        records = [
            rec for rec in self._fleet.live() if rec.state != EntryState.STARTING.value
        ]
        self._rng.shuffle(records)
        near = self._fleet.own.region
        return sorted(records, key=lambda rec: rec.region != near)[:2]

    async def _take(self, session: aiohttp.ClientSession, record: EntryRecord) -> bool:
        url = f"http://{view_address(record.peer)}{VIEW_PATH}"
        try:
            async with asyncio.timeout(ANSWER_SECONDS), session.get(url) as resp:
                if resp.status != 200:
                    return False
                view = self._decoder.decode(await resp.read())
        except (*TRANSPORT_ERRORS, msgspec.MsgspecError) as exc:
            log_event(Event.VIEW_REFUSED, entry=record.id, reason=repr(exc))
            return False
        taken = self._knowledge.take_view(view)
        if taken:
            log_event(
                Event.VIEW_TAKEN,
                entry=record.id,
                version=view.configuration.version,
                targets=len(view.targets),
            )
        return taken
