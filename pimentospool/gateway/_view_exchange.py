"""Transfer of the routing state, and of its changes, between entry VMs."""

import asyncio
from collections import Counter
from random import Random
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp import web

from pimentospool.gateway._access import knows_tenants
from pimentospool.gateway._change_log import ChangeLog
from pimentospool.gateway._facts import (
    ConfigurationPublished,
    DatedFact,
    FactBatch,
    FactPosition,
)
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord
from pimentospool.gateway._model import Address
from pimentospool.gateway._routing_state import RoutingState, RoutingView
from pimentospool.ids import MemberKey, StreamKey
from pimentospool.log import Event, log_event
from pimentospool.policy import StreamKnowledge, StreamVersions
from pimentospool.sending import TRANSPORT_ERRORS, open_session, read_body
from pimentospool.tasks import timeout_after_read

VIEW_PATH = "/view"
CHANGES_PATH = "/changes"
STREAMS_PATH = "/streams"
STORE_WAIT_SECONDS = 0.6
"""Time after the start in which the configuration may still come from the store."""
RETRY_INTERVAL_SECONDS = 0.3
"""Time between requests to other entry VMs."""
AGREEMENT_INTERVAL_SECONDS = 1.0
"""Time between checks whether another entry VM has a newer configuration. It usually
arrives from the store in less time."""
REQUEST_TIMEOUT_SECONDS = 1.0
"""Timeout of a request to another entry VM."""
LEARNING_SECONDS = 5.0
"""Time after the start in which others are asked for what they know of streams; by then
their answers are known, or they have just started, too."""
LEARNING_INTERVAL_SECONDS = 0.1
"""Time between these requests, unless there are others that have not been asked."""
LEARNING_MEMBERS = 3
"""Number of entry VMs that are asked at a time, the oldest ones first."""
MAX_CONFIGURATION_BYTES = 16 * 1024
"""Size above which a configuration is left out of the changes that are sent to another
entry VM. A relay with a slow link could not send it to all of its region in time."""
MAX_VIEW_BYTES = 16 * 1024 * 1024
"""Size above which a response of another entry VM is not read."""

T = TypeVar("T")


def view_address(peer: Address) -> Address:
    """Return the address at which the entry VM at `peer` serves its view."""
    return Address(peer.host, peer.port + 1)


class ViewExchange:
    """Serves the view of this entry VM, and fetches that of others.

    Parameters
    ----------
    routing_state : RoutingState
        Source of the view, and where a fetched one is applied.
    changes : ChangeLog
        Changes of the routing state, for entry VMs that follow this one.
    fleet : Fleet
        Membership of the entry VMs.
    stream_versions : StreamVersions
        Software versions at which streams began.
    rng : Random
        Chooses among the other entry VMs.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        changes: ChangeLog,
        fleet: Fleet,
        stream_versions: StreamVersions,
        rng: Random,
    ) -> None:
        self._routing_state = routing_state
        self._changes = changes
        self._fleet = fleet
        self._stream_versions = stream_versions
        self._rng = rng
        self._encoder = msgspec.msgpack.Encoder()
        self._view_decoder = msgspec.msgpack.Decoder(RoutingView)
        self._streams_decoder = msgspec.msgpack.Decoder(StreamKnowledge)
        self._batch_decoder = msgspec.msgpack.Decoder(FactBatch)
        self._session: aiohttp.ClientSession | None = None

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Respond to another entry VM with the current view, or with changes."""
        if http.path == VIEW_PATH:
            view = self._routing_state.view(self._changes.position)
            if view is None:
                return web.Response(status=503)
            return web.Response(body=self._encoder.encode(view))
        if http.path == CHANGES_PATH:
            return self._handle_changes(http)
        if http.path == STREAMS_PATH:
            return self._handle_streams(http)
        return web.Response(status=404)

    def _handle_streams(self, http: web.BaseRequest) -> web.Response:
        try:
            key = StreamKey(int(http.query["key"])) if "key" in http.query else None
        except ValueError:
            return web.Response(status=400)
        knowledge = self._stream_versions.knowledge(key)
        return web.Response(body=self._encoder.encode(knowledge))

    def _handle_changes(self, http: web.BaseRequest) -> web.Response:
        try:
            after = FactPosition(
                int(http.query.get("era", "")), int(http.query.get("revision", ""))
            )
        except ValueError:
            return web.Response(status=400)
        batch = self._changes.after(after)
        if batch is None:
            return web.Response(status=410)
        facts = [self._without_large_value(dated) for dated in batch.facts]
        return web.Response(body=self._encoder.encode(FactBatch(batch.position, facts)))

    def _without_large_value(self, dated: DatedFact) -> DatedFact:
        fact = dated.fact
        if not isinstance(fact, ConfigurationPublished):
            return dated
        if len(self._encoder.encode(fact)) <= MAX_CONFIGURATION_BYTES:
            return dated
        return DatedFact(dated.revision, ConfigurationPublished(None))

    async def run(self) -> None:
        """Fetch views while there is no configuration, or peers have a newer one."""
        await asyncio.sleep(STORE_WAIT_SECONDS)
        while True:
            if self._routing_state.configuration is None:
                for record in self._peers_to_ask():
                    if await self._take_view(record):
                        break
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            else:
                newer = self._fleet.newest_configuration() or self._complete_peer()
                if newer is not None:
                    await self.take_configuration(newer)
                await asyncio.sleep(AGREEMENT_INTERVAL_SECONDS)

    async def learn_streams(self) -> None:
        """Ask others at the start for the versions at which earlier streams began.

        Those that were not reached are asked again after all others: they may have
        ended, while one that is leaving and still knows may end within a second.
        """
        versions, asked = self._stream_versions, set()
        failures: Counter[MemberKey] = Counter()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + LEARNING_SECONDS
        while not versions.complete and loop.time() < ends_at:
            others = [rec for rec in self._fleet.running() if rec.key not in asked]
            others.sort(key=lambda rec: (failures[rec.key], rec.generation))
            records = others[:LEARNING_MEMBERS]
            learned = await asyncio.gather(
                *(self._learn_streams_from(record) for record in records)
            )
            for record, succeeded in zip(records, learned, strict=True):
                if succeeded:
                    asked.add(record.key)
                else:
                    failures[record.key] += 1
            if any(learned) or not any(failures[rec.key] == 0 for rec in others):
                await asyncio.sleep(LEARNING_INTERVAL_SECONDS)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def fetch_changes(
        self, record: EntryRecord, after: FactPosition
    ) -> FactBatch | None:
        """Return the changes after a position, None if they can't be had."""
        path = f"{CHANGES_PATH}?era={after.era}&revision={after.revision}"
        return await self._fetch(record, path, self._batch_decoder)

    async def take_configuration(self, record: EntryRecord) -> None:
        """Adopt the configuration of another entry VM if it is still newer."""
        view = await self._fetch(record, VIEW_PATH, self._view_decoder)
        if view is not None:
            self._routing_state.adopt(view.configuration, era=view.configuration_era)

    async def learn_stream(self, record: EntryRecord, key: StreamKey) -> bool:
        """Store what another entry VM knows of a stream; return if it responded."""
        path = f"{STREAMS_PATH}?key={key}"
        knowledge = await self._fetch(record, path, self._streams_decoder)
        if knowledge is not None:
            self._stream_versions.merge(knowledge)
        return knowledge is not None

    async def _learn_streams_from(self, record: EntryRecord) -> bool:
        knowledge = await self._fetch(record, STREAMS_PATH, self._streams_decoder)
        if knowledge is None:
            return False
        self._stream_versions.merge(knowledge)
        log_event(
            Event.STREAMS_LEARNED,
            entry=record.id,
            complete_seconds=round(knowledge.complete_seconds, 1),
            streams=sum(len(keys) for keys in knowledge.records.values()),
        )
        return True

    def _peers_to_ask(self) -> list[EntryRecord]:
        records = self._fleet.started()
        self._rng.shuffle(records)
        local_region = self._fleet.local_region
        return sorted(
            records,
            key=lambda rec: (not knows_tenants(rec), rec.region != local_region),
        )[:2]

    def _complete_peer(self) -> EntryRecord | None:
        """Return an entry VM to ask for the tenants that the configuration lacks.

        An older build may have passed it on while the store can't be read.
        """
        configuration = self._routing_state.configuration
        if configuration is None or configuration.tenants is not None:
            return None
        return next((rec for rec in self._peers_to_ask() if knows_tenants(rec)), None)

    async def _take_view(self, record: EntryRecord) -> bool:
        view = await self._fetch(record, VIEW_PATH, self._view_decoder)
        if view is None or not self._routing_state.apply_view(view):
            return False
        # Without the tenants, the configuration has to be read from the source.
        is_complete = view.configuration.tenants is not None
        if is_complete and view.position is not None and self._changes.position is None:
            self._changes.restart(view.position)
        log_event(
            Event.VIEW_TAKEN,
            entry=record.id,
            version=view.configuration.version,
            targets=len(view.targets),
        )
        return True

    async def _fetch(
        self, record: EntryRecord, path: str, decoder: msgspec.msgpack.Decoder[T]
    ) -> T | None:
        if self._session is None:
            self._session = open_session()
        url = f"http://{view_address(record.peer)}{path}"
        try:
            async with (
                timeout_after_read(REQUEST_TIMEOUT_SECONDS),
                self._session.get(url) as resp,
            ):
                if resp.status != 200:
                    return None
                return decoder.decode(await read_body(resp, MAX_VIEW_BYTES))
        except (*TRANSPORT_ERRORS, msgspec.MsgspecError, RecursionError) as exc:
            log_event(Event.VIEW_REFUSED, entry=record.id, reason=repr(exc))
            return None
