"""Sends and receives the datagrams that entry VMs exchange."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from pimentospool.gateway._fleet import LOAD_ROUNDS, Fleet
from pimentospool.gateway._fleet_messages import (
    CrashMessage,
    EntryRecord,
    FleetMessage,
    GossipMessage,
    ReportMessage,
    StreamMessage,
)
from pimentospool.gateway._model import Address
from pimentospool.gateway._stream_records import StreamRecordExchange
from pimentospool.gateway._target_reports import ReportExchange
from pimentospool.log import Event, log_event
from pimentospool.policy import CrashSuspects

INTERVAL_SECONDS = 0.2
"""Time between rounds; limits the age of the load known of peers."""
SEED_ROUNDS = 10
"""Interval, in rounds, of messages to the seeds, by which groups of entry VMs that lost
contact find each other again."""
URGENT_REPORT_SECONDS = 0.005
"""Time for which urgent reports are collected; all connections to targets that end
together are lost within milliseconds."""
ANNOUNCEMENT_FANOUT = 12
"""Number of entry VMs of the region that a change of state is announced to at once; the
others receive it within a second."""

MessageHandler = Callable[[Any, Address], None]
"""Receives a message and the address that it came from."""


class HeartbeatLoop(asyncio.DatagramProtocol):
    """Exchanges membership and load with the other entry VMs.

    Parameters
    ----------
    fleet : Fleet
        Membership of the entry VMs.
    reports : ReportExchange
        Work at each target, shared within the region.
    seeds : sequence of Address
        Addresses of entry VMs to contact first.
    refresh_loads : callable
        Updates the load that other regions are told.
    suspects : CrashSuspects
        Parts of prompts under which targets crash, shared by all entry VMs.
    streams : StreamRecordExchange
        Software versions at which streams began, shared likewise.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        reports: ReportExchange,
        seeds: Sequence[Address],
        refresh_loads: Callable[[], None],
        suspects: CrashSuspects,
        streams: StreamRecordExchange,
    ) -> None:
        self._handlers: dict[type, MessageHandler] = {}
        self._suspects = suspects
        self._streams = streams
        self.seeds = list(seeds)
        self._fleet = fleet
        self._reports = reports
        self._refresh_loads = refresh_loads
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(FleetMessage)
        self._round = 0
        self._urgent_reports: asyncio.TimerHandle | None = None

    async def start(self, address: Address) -> None:
        """Receive messages at `address`."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def add_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Pass messages of `message_type` to `handler`."""
        self._handlers[message_type] = handler

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Process a message; log and skip one that can't be decoded."""
        try:
            msg = self._decoder.decode(data)
        except (msgspec.MsgspecError, RecursionError) as exc:
            log_event(Event.PEER_MESSAGE_REFUSED, reason=str(exc), sender=str(addr))
            return
        if isinstance(msg, ReportMessage):
            if self._reports.receive(msg):
                self.send_reports_soon()
            return
        if isinstance(msg, CrashMessage):
            self._suspects.merge(msg.evidence)
            return
        if isinstance(msg, StreamMessage):
            self._streams.receive(msg)
            return
        if not isinstance(msg, GossipMessage):
            handle = self._handlers.get(type(msg))
            if handle is not None and isinstance(addr, tuple):
                handle(msg, Address(host=addr[0], port=addr[1]))
            return
        for reply in self._fleet.receive(msg):
            self._send(reply, [msg.sender.peer])

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable receivers: their missing heartbeats show that."""

    async def run(self) -> None:
        """Send rounds until cancelled."""
        while True:
            self.send_round()
            await asyncio.sleep(INTERVAL_SECONDS)

    def send_round(self) -> None:
        """Send one round of heartbeats and reports."""
        fleet = self._fleet
        if self._round % LOAD_ROUNDS == 0:
            self._refresh_loads()
        evidence = self._suspects.evidence()
        for gossip, receivers in fleet.next_round():
            addresses = [record.peer for record in receivers]
            self._send(gossip, addresses)
            if evidence is not None:
                self._send(CrashMessage(evidence), addresses)
        self._send_reports(self._reports.next_round())
        for records, receivers in self._streams.next_round():
            self._send(records, [record.peer for record in receivers])
        if self._round % SEED_ROUNDS == 0 or not fleet.live():
            known = fleet.peer_addresses()
            self._send(
                fleet.announcement(),
                [address for address in self.seeds if address not in known],
            )
        self._round += 1

    def send_reports_soon(self) -> None:
        """Send what is new in the reports before the next round."""
        if self._urgent_reports is None:
            loop = asyncio.get_running_loop()
            self._urgent_reports = loop.call_later(
                URGENT_REPORT_SECONDS, self._send_urgent_reports
            )

    def _send_urgent_reports(self) -> None:
        self._urgent_reports = None
        self._send_reports(self._reports.messages())

    def _send_reports(
        self, messages: Sequence[tuple[ReportMessage, Sequence[EntryRecord]]]
    ) -> None:
        for report, receivers in messages:
            size_bytes = self._send(report, [record.peer for record in receivers])
            self._reports.record_sent(size_bytes)

    def announce_state(self) -> None:
        """Tell some entry VMs at once that this one's state has changed."""
        self._fleet.beat()
        receivers = self._fleet.sample_region(ANNOUNCEMENT_FANOUT)
        self._send(self._fleet.announcement(), [rec.peer for rec in receivers])

    def send(self, msg: FleetMessage, addresses: Sequence[Address]) -> None:
        """Send a message for which the receivers have a handler."""
        self._send(msg, addresses)

    def _send(self, msg: FleetMessage, addresses: Sequence[Address]) -> int:
        """Send a message; return the bytes of all its datagrams."""
        if self._transport is None or self._transport.is_closing() or not addresses:
            return 0
        data = self._encoder.encode(msg)
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))
        return len(data) * len(addresses)
