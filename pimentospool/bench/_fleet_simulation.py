"""Membership of a whole fleet on a simulated clock and network."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord, GossipMessage
from pimentospool.gateway._heartbeats import INTERVAL_SECONDS, SEED_ROUNDS
from pimentospool.gateway._model import Address
from pimentospool.policy import EntryState

LOCAL_DELAY_SECONDS = 0.002
REMOTE_DELAY_SECONDS = 0.055
_ZONES_PER_REGION = 2
_GENERATION = 1_790_000_000_000_000_000


class SimulatedEntry:
    """One entry VM of the simulation.

    Attributes
    ----------
    running : bool
        False while the process is killed or paused; it loses what arrives meanwhile.
    """

    def __init__(self, *, number: int, fleet: Fleet) -> None:
        self.number = number
        self.fleet = fleet
        self.running = True
        self.round = 0
        self.sent_bytes = 0

    @property
    def region(self) -> str:
        """Region of the entry VM."""
        return self.fleet.local_record.region

    @property
    def known(self) -> set[str]:
        """Ids of the other entry VMs that it considers alive."""
        return {rec.id for rec in self.fleet.live()}


class FleetSimulation:
    """Entry VMs that exchange gossip messages over a lossy network.

    Parameters
    ----------
    size, regions : int
        Number of entry VMs, and of regions over which they are spread.
    loss : float
        Share of the datagrams that are lost.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, *, size: int, regions: int, loss: float, seed: int) -> None:
        self.now = 0.0
        self.entries: list[SimulatedEntry] = []
        self.blocked: Callable[[SimulatedEntry, SimulatedEntry], bool] = (
            lambda sender, receiver: False
        )
        """Whether a datagram from one entry VM to another one is dropped."""
        self._rng = random.Random(seed)
        self._loss = loss
        self._regions = regions
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._by_address: dict[Address, SimulatedEntry] = {}
        for number in range(size):
            self.start(number)

    def start(self, number: int, *, generation: int = 0) -> SimulatedEntry:
        """Start, or restart, the entry VM with `number`."""
        region = number % self._regions
        zone = number // self._regions % _ZONES_PER_REGION
        address = Address(f"10.{region}.{number // 250}.{number % 250}", 7660)
        record = EntryRecord(
            id=f"edge-{region}-{zone}-{number}",
            generation=_GENERATION + generation,
            region=f"region{region}",
            zone=f"region{region}-{zone}",
            front=address,
            peer=address,
        )
        fleet = Fleet(
            local_record=record,
            clock=lambda: self.now,
            rng=random.Random(self._rng.random()),
        )
        fleet.local_state = EntryState.READY
        entry = SimulatedEntry(number=number, fleet=fleet)
        if number < len(self.entries):
            self.entries[number].running = False
            self.entries[number] = entry
        else:
            self.entries.append(entry)
        self._by_address[address] = entry
        self._schedule(self._rng.uniform(0, INTERVAL_SECONDS), self._round(entry))
        return entry

    def run(self, seconds: float, check: Callable[[], None] | None = None) -> None:
        """Advance the clock; call `check` once in each interval of the rounds."""
        end = self.now + seconds
        next_check = self.now
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
            if check is not None and self.now >= next_check:
                check()
                next_check += INTERVAL_SECONDS
        self.now = end

    def missing_pairs(self) -> int:
        """Return how many pairs of running entry VMs don't know each other."""
        ids = {entry.fleet.local_record.id for entry in self.entries if entry.running}
        return sum(
            len(ids - entry.known) - 1 for entry in self.entries if entry.running
        )

    def count_knowing(self, ids: Iterable[str]) -> int:
        """Return how many running entry VMs consider any of `ids` alive."""
        wanted = set(ids)
        return sum(
            1 for entry in self.entries if entry.running and entry.known & wanted
        )

    def _round(self, entry: SimulatedEntry) -> Callable[[], None]:
        def action() -> None:
            if self.entries[entry.number] is not entry:
                return
            if entry.running:
                for msg, receivers in entry.fleet.next_round():
                    for record in receivers:
                        self._send(entry, record.peer, msg)
                if entry.round % SEED_ROUNDS == 0 or not entry.fleet.live():
                    known = entry.fleet.peer_addresses()
                    for seed in self.entries[:3]:
                        address = seed.fleet.local_record.peer
                        if address not in known:
                            self._send(entry, address, entry.fleet.announcement())
                entry.round += 1
            self._schedule(INTERVAL_SECONDS * self._rng.uniform(1.0, 1.05), action)

        return action

    def _send(
        self, sender: SimulatedEntry, address: Address, msg: GossipMessage
    ) -> None:
        sender.sent_bytes += len(msg.vector) + 100 * (1 + len(msg.records))
        receiver = self._by_address[address]
        if self._rng.random() < self._loss or self.blocked(sender, receiver):
            return
        remote = sender.region != receiver.region

        def deliver() -> None:
            if receiver.running:
                for reply in receiver.fleet.receive(msg):
                    self._send(receiver, sender.fleet.local_record.peer, reply)

        self._schedule(REMOTE_DELAY_SECONDS if remote else LOCAL_DELAY_SECONDS, deliver)

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))
