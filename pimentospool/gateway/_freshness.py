"""Asks other entry VMs how old the confirmations of their configurations are.

The reply states an age, and the age counts from the moment at which the query was sent.
A datagram that is late, queued, repeated or out of order can therefore only make the
configuration look older than it is.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Any

import msgspec

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import (
    EntryRecord,
    FreshnessQuery,
    FreshnessReply,
)
from pimentospool.gateway._heartbeats import HeartbeatLoop
from pimentospool.gateway._metrics import GatewayMetrics
from pimentospool.gateway._model import Address
from pimentospool.ids import MemberKey
from pimentospool.log import Event, log_event
from pimentospool.policy import ConfigurationAge, choose_query_receivers
from pimentospool.tasks import cancel_tasks

QUERY_INTERVAL_SECONDS = 0.4
"""Time between rounds of queries while the confirmation is old."""
FETCH_DELAY_SECONDS = 0.4
"""Time after a reply that names a newer configuration in which that may still arrive by
itself. It is read from the replier after that."""
MAX_OUTSTANDING = 64
"""Number of queries whose replies are awaited; the oldest is dropped beyond it."""
_NUMBER_BITS = 63
_FIRST_PROTOCOL = 1
"""Version of the messages from which these datagrams are understood."""


class _Query(msgspec.Struct, frozen=True):
    sent_at: float
    receiver: EntryRecord


class FreshnessExchange:
    """Queries other entry VMs, and replies to their queries.

    Parameters
    ----------
    age : ConfigurationAge
        Confirmations of the configuration in force.
    fleet : Fleet
        Membership of the entry VMs.
    reads_source : callable
        Whether this VM reads the store by itself, and gets responses.
    fetch : callable
        Adopts the configuration of another entry VM.
    send : callable
        Sends a datagram to some addresses.
    rng : Random
        Chooses receivers and numbers.
    """

    def __init__(
        self,
        *,
        age: ConfigurationAge,
        fleet: Fleet,
        reads_source: Callable[[], bool],
        fetch: Callable[[EntryRecord], Awaitable[None]],
        send: Callable[[Any, Sequence[Address]], object],
        rng: Random,
    ) -> None:
        self.query_count = 0
        self._age = age
        self._fleet = fleet
        self._reads_source = reads_source
        self._fetch = fetch
        self._send = send
        self._rng = rng
        self._outstanding: dict[int, _Query] = {}
        self._fetching: asyncio.Task[None] | None = None
        self._newer: tuple[float, EntryRecord] | None = None
        """When a reply named a newer configuration, and whose it was."""
        self._started_at = age.now()
        self._logged_confirmed = True

    @property
    def handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        """Return what processes each type of datagram."""
        return {FreshnessQuery: self.receive_query, FreshnessReply: self.receive_reply}

    def connect(self, heartbeats: HeartbeatLoop) -> None:
        """Receive the datagrams of other entry VMs."""
        heartbeats.add_handler(FreshnessQuery, lambda msg, _: self.receive_query(msg))
        heartbeats.add_handler(FreshnessReply, lambda msg, _: self.receive_reply(msg))

    async def run(self) -> None:
        """Ask others while the confirmation is old, until cancelled."""
        try:
            while True:
                self.log_change()
                self.send_queries()
                self._fetch_newer()
                await asyncio.sleep(QUERY_INTERVAL_SECONDS)
        finally:
            if self._fetching is not None:
                await cancel_tasks([self._fetching])

    def send_queries(self) -> None:
        """Send one round of queries if the confirmation is old."""
        reach = self._age.reach(reads_source=self._reads_source())
        others = [
            rec for rec in self._fleet.started() if rec.protocol >= _FIRST_PROTOCOL
        ]
        local_region = self._fleet.local_record.region
        near = [rec for rec in others if rec.region == local_region]
        relays = set(self._fleet.relays(self._fleet.local_region))
        for record in choose_query_receivers(
            reach,
            relays=[rec for rec in near if rec.key in relays],
            region=[rec for rec in near if rec.key not in relays],
            remote=[rec for rec in others if rec.region != local_region],
            rng=self._rng,
        ):
            self._send_query(record)

    def _send_query(self, record: EntryRecord) -> None:
        # Numbers are random, so that no late reply to an earlier start of this process
        # matches a query of this one.
        number = self._rng.getrandbits(_NUMBER_BITS)
        self._outstanding[number] = _Query(self._age.now(), record)
        while len(self._outstanding) > MAX_OUTSTANDING:
            del self._outstanding[next(iter(self._outstanding))]
        self.query_count += 1
        query = FreshnessQuery(self._fleet.local_record.key, number)
        self._send(query, [record.peer])

    def receive_query(self, msg: FreshnessQuery) -> None:
        """Reply with the age of the own confirmation, if there is one."""
        record = self._fleet.record(MemberKey(msg.sender))
        stamp, seconds = self._age.stamp(), self._age.seconds
        if record is None or record.protocol < _FIRST_PROTOCOL:
            return
        if stamp is None or not math.isfinite(seconds):
            return
        reply = FreshnessReply(msg.number, *stamp, max(0.0, seconds))
        self._send(reply, [record.peer])

    def receive_reply(self, msg: FreshnessReply) -> None:
        """Store what a reply proves; one without a query proves nothing."""
        query = self._outstanding.pop(msg.number, None)
        if query is None:
            return
        stamp = (msg.version, msg.era)
        self._age.receive(
            query.sent_at - msg.age_seconds, stamp=stamp, source=query.receiver.id
        )
        if self._newer is None and stamp in self._age.pending:
            self._newer = self._age.now(), query.receiver

    def _fetch_newer(self) -> None:
        """Read the newer configuration of a replier if it has not arrived by itself."""
        if self._newer is None:
            return
        received_at, record = self._newer
        if not self._age.pending:
            self._newer = None
        elif self._age.now() - received_at >= FETCH_DELAY_SECONDS:
            self._newer = None
            if self._fetching is None or self._fetching.done():
                self._fetching = asyncio.create_task(self._run_fetch(record))

    async def _run_fetch(self, record: EntryRecord) -> None:
        await self._fetch(record)

    def add_gauges(self, metrics: GatewayMetrics) -> None:
        """Publish the age of the confirmation and the number of queries."""
        metrics.add_gauge(
            "pimentospool_configuration_age_seconds",
            "Time since the configuration was known to be the newest; -1 if never.",
            lambda: -1.0 if self._age.latest is None else self._age.seconds,
        )
        metrics.add_gauge(
            "pimentospool_freshness_queries",
            "Queries to other entry VMs for the age of their configurations.",
            lambda: self.query_count,
        )

    def log_change(self) -> None:
        """Log that keys have become unconfirmed, or are confirmed again.

        A process that has just started has the time of the bound for its first one.
        """
        age, confirmed = self._age, self._age.is_confirmed
        if (
            self._age.now() - self._started_at < age.bound_seconds
            and age.latest is None
        ):
            return
        if confirmed is self._logged_confirmed:
            return
        self._logged_confirmed = confirmed
        latest = age.latest
        log_event(
            Event.KEYS_CONFIRMED if confirmed else Event.KEYS_UNCONFIRMED,
            age_seconds=None if latest is None else round(age.seconds, 3),
            source=None if latest is None else latest.source,
        )
