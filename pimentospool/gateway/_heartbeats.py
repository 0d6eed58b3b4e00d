"""Sends and receives the datagrams that carry the heartbeats of entry VMs."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from pimentospool.gateway._fleet import Fleet, FleetMessage, decode_occupancy
from pimentospool.gateway._model import Address
from pimentospool.ids import EntryId, TargetId
from pimentospool.log import Event, log_event
from pimentospool.policy import OccupancyBook

INTERVAL_SECONDS = 0.25
"""Time between rounds within the region; limits the age of the load known of peers."""
REPORT_ROUNDS = 2
"""Interval, in rounds, of load reports to all entry VMs of the region. A shorter one
costs bandwidth; with a longer one entry VMs send a burst to the same idle targets."""
REMOTE_ROUNDS = 3
"""Interval, in rounds, of messages to entry VMs of other regions."""
SEED_ROUNDS = 8
"""Interval, in rounds, of messages to the seeds, by which groups of entry VMs that lost
contact find each other again."""


class HeartbeatLoop(asyncio.DatagramProtocol):
    """Exchanges membership and load with the other entry VMs.

    Parameters
    ----------
    fleet : Fleet
        Membership of the entry VMs.
    book : OccupancyBook
        Requests in progress at each target, shared within the region.
    seeds : sequence of Address
        Addresses of entry VMs to contact first.
    refresh : callable
        Updates the record of this entry VM before each round.
    cold_reports : callable
        Returns the seconds for which recently checked targets stay cold.
    receive_cold_report : callable
        Called with each such report of another entry VM.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        book: OccupancyBook,
        seeds: Sequence[Address],
        refresh: Callable[[], None],
        cold_reports: Callable[[], dict[TargetId, float]],
        receive_cold_report: Callable[[TargetId, float], None],
    ) -> None:
        self.seeds = list(seeds)
        self._fleet = fleet
        self._book = book
        self._refresh = refresh
        self._cold_reports = cold_reports
        self._receive_cold_report = receive_cold_report
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(FleetMessage)

    async def start(self, address: Address) -> None:
        """Receive messages at `address`."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Process a message; log and skip one that can't be decoded."""
        try:
            msg = self._decoder.decode(data)
        except msgspec.MsgspecError as exc:
            log_event(Event.PEER_MESSAGE_REFUSED, reason=str(exc), sender=str(addr))
            return
        self._fleet.receive(msg)
        if msg.occupancy or msg.sender.region == self._fleet.local_record.region:
            self._book.receive_report(EntryId(msg.sender.id), decode_occupancy(msg))
        for target, seconds in msg.cold_seconds.items():
            self._receive_cold_report(TargetId(target), seconds)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable receivers: their missing heartbeats show that."""

    async def run(self) -> None:
        """Send rounds until cancelled."""
        count = 0
        while True:
            self.send_round(
                remote=count % REMOTE_ROUNDS == 0,
                reports=count % REPORT_ROUNDS == 0,
                seeds=count % SEED_ROUNDS == 0 or not self._fleet.live(),
            )
            count += 1
            await asyncio.sleep(INTERVAL_SECONDS)

    def send_round(self, *, remote: bool, reports: bool, seeds: bool) -> None:
        """Send one round of heartbeats."""
        fleet = self._fleet
        self._refresh()
        fleet.local_record.heartbeat += 1
        occupancy, cold_seconds = self._book.local_occupancy(), self._cold_reports()
        known = {record.peer for record in fleet.live()} | {fleet.local_record.peer}
        for record, relays in fleet.receivers(remote=remote, reports=reports):
            msg = fleet.build_message(record, occupancy, cold_seconds, relays=relays)
            self._send(msg, record.peer)
        if seeds:
            for address in self.seeds:
                if address not in known:
                    self._send(fleet.build_message(None, {}, {}), address)

    def _send(self, msg: FleetMessage, address: Address) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(
                self._encoder.encode(msg), (address.host, address.port)
            )
