"""The entry VMs that are alive, told by datagrams from one to the next.

Each entry VM counts a heartbeat of its own and sends the newest known counts of
some others with it. An entry VM whose count stands still is taken as gone. Loss of
datagrams costs time only, and there is no connection that could go silent.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from statistics import median

import msgspec

from pimentospool.gateway._model import Address
from pimentospool.ids import EntryId, RegionId, ServiceId, TargetId, ZoneId
from pimentospool.log import Event, log_event
from pimentospool.policy import Occupancy

GONE_SECONDS = 3.0
"""Time without a new heartbeat after which an entry VM is taken as gone."""
DIRECT_RESTART_SECONDS = 0.3
"""Age of the known record from which a message of another life replaces it, even
if the clock of the restarted VM is behind."""
MEMORY_SECONDS = 600.0
"""Time for which gone entry VMs count in shares of common bounds."""
FANOUT = 6
"""Other entry VMs of the region that one round of heartbeats goes to."""
REPORT_FANOUT = 32
"""Entry VMs of the region that hear of this one's work in one round of reports; all of
them in regions up to this size, so that none sends to a target that others fill."""
REMOTE_FANOUT = 2
"""Entry VMs of other regions that one round goes to."""
RELAYED = 8
"""Records of other entry VMs in one datagram, which then fits into a packet."""


class EntryState(Enum):
    """Whether an entry VM takes requests."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    """It still takes connections of callers that have not heard of its leaving."""
    CLOSED = 3


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of the target of a service at which a small request waits least."""

    wait_seconds: float
    """Expected time to a first byte."""
    crowding: float
    """Share of its slots in use."""


class EntryRecord(msgspec.Struct, array_like=True, omit_defaults=False):
    """What one entry VM says of itself; encoded as an array."""

    id: str
    life: int
    """Start of the process in Unix nanoseconds."""
    heartbeat: int
    state: int
    region: str
    zone: str
    front: Address
    peer: Address
    loads: dict[str, ServiceLoad]
    """Load of its region by service; services without a usable target are left out."""


class FleetMessage(msgspec.Struct, array_like=True):
    """One datagram."""

    sender: EntryRecord
    relayed: list[EntryRecord]
    occupancy: dict[str, tuple[int, int, int]]
    """Work of the sender at each target; only between VMs of one region."""
    cold: dict[str, float] = {}
    """Seconds for which targets that the sender has asked stay cold."""


class Member(msgspec.Struct, kw_only=True):
    """An entry VM and when it was last heard of."""

    record: EntryRecord
    heard_at: float


class Fleet:
    """Membership of entry VMs, without sockets.

    Parameters
    ----------
    own : EntryRecord
        This entry VM; its record is updated in place.
    clock : callable
        Returns the steady time in seconds.
    rng : Random
        Choice of receivers.
    """

    def __init__(
        self, *, own: EntryRecord, clock: Callable[[], float], rng: Random
    ) -> None:
        self.own = own
        self.own_id = EntryId(own.id)
        self._clock = clock
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._gone: dict[str, tuple[float, str]] = {}

    def receive(self, msg: FleetMessage) -> None:
        """Take the records of a message."""
        self._update(msg.sender, direct=True)
        for record in msg.relayed:
            self._update(record, direct=False)

    def live(self, *, region: RegionId | None = None) -> list[EntryRecord]:
        """Return other entry VMs that are alive, of `region` if given."""
        self._expire()
        return [
            member.record
            for member in self._members.values()
            if region is None or member.record.region == region
        ]

    def ready(self, region: RegionId) -> list[EntryRecord]:
        """Return entry VMs of `region` that take requests, this one included."""
        records = self.live(region=region)
        if self.own.region == region:
            records.append(self.own)
        return [rec for rec in records if rec.state == EntryState.READY.value]

    def leaving(self, region: RegionId) -> list[EntryRecord]:
        """Return entry VMs of `region` that leave but still take connections."""
        records = [*self.live(region=region), self.own]
        return [
            rec
            for rec in records
            if rec.region == region and rec.state == EntryState.LEAVING.value
        ]

    def loads(self, service: ServiceId) -> dict[RegionId, ServiceLoad]:
        """Return the load of `service` in each other region.

        It is the median of what the region's entry VMs report: each of them has heard
        of a part of the region's work only, and the least report of many is far below
        the load.
        """
        reports: dict[RegionId, list[ServiceLoad]] = {}
        for rec in self.live():
            load = rec.loads.get(service)
            if (
                load is not None
                and rec.region != self.own.region
                and rec.state == EntryState.READY.value
            ):
                reports.setdefault(RegionId(rec.region), []).append(load)
        return {
            region: ServiceLoad(
                median(load.wait_seconds for load in loads),
                median(load.crowding for load in loads),
            )
            for region, loads in reports.items()
        }

    def known_ids(self, region: RegionId | None = None) -> list[EntryId]:
        """Return entry VMs known lately, gone ones and this one included."""
        self._expire()
        ids = [
            EntryId(member.record.id)
            for member in self._members.values()
            if region is None or member.record.region == region
        ]
        ids += [
            EntryId(entry)
            for entry, (_, gone_region) in self._gone.items()
            if region is None or gone_region == region
        ]
        if region is None or self.own.region == region:
            ids.append(EntryId(self.own.id))
        return ids

    def receivers(
        self, *, remote: bool, reports: bool
    ) -> list[tuple[EntryRecord, bool]]:
        """Return to whom the next round goes, each with whether records are relayed.

        Parameters
        ----------
        remote : bool
            Whether entry VMs of other regions are told.
        reports : bool
            Whether all entry VMs of the region are told, not only some.
        """
        members = self.live()
        near = [rec for rec in members if rec.region == self.own.region]
        near = self._sample(near, REPORT_FANOUT if reports else FANOUT)
        self._rng.shuffle(near)
        chosen = [(rec, number < FANOUT) for number, rec in enumerate(near)]
        if remote:
            far = [rec for rec in members if rec.region != self.own.region]
            chosen += [(rec, True) for rec in self._sample(far, REMOTE_FANOUT)]
        return chosen

    def message(
        self,
        receiver: EntryRecord | None,
        occupancy: dict[TargetId, Occupancy],
        cold: dict[TargetId, float],
        *,
        relays: bool = True,
    ) -> FleetMessage:
        """Return the message to `receiver`, or to one that is not known yet."""
        near = receiver is not None and receiver.region == self.own.region
        others = []
        if relays:
            others = [rec for rec in self.live() if rec is not receiver]
        return FleetMessage(
            sender=self.own,
            relayed=self._sample(others, RELAYED),
            occupancy=_encode_occupancy(occupancy) if near else {},
            cold={str(key): seconds for key, seconds in cold.items()} if near else {},
        )

    def _sample(self, records: Sequence[EntryRecord], size: int) -> list[EntryRecord]:
        if len(records) <= size:
            return list(records)
        return self._rng.sample(records, size)

    def _update(self, record: EntryRecord, *, direct: bool) -> None:
        if record.id == self.own.id:
            return
        now = self._clock()
        known = self._members.get(record.id)
        if known is None:
            if not direct and self._is_stale(record):
                return
            self._members[record.id] = Member(record=record, heard_at=now)
            self._gone.pop(record.id, None)
            self._log_change(record, "alive")
            return
        if record.life == known.record.life:
            newer = record.heartbeat > known.record.heartbeat
        else:
            newer = record.life > known.record.life or (
                direct and now - known.heard_at > DIRECT_RESTART_SECONDS
            )
        if newer:
            if record.state != known.record.state:
                self._log_change(record, EntryState(record.state).name.lower())
            known.record = record
            known.heard_at = now

    def _is_stale(self, record: EntryRecord) -> bool:
        """Whether a relayed record may be that of an entry VM found gone."""
        return record.id in self._gone

    def _expire(self) -> None:
        now = self._clock()
        for entry, member in list(self._members.items()):
            if now - member.heard_at > GONE_SECONDS:
                del self._members[entry]
                self._gone[entry] = (now, member.record.region)
                self._log_change(member.record, "gone")
        for entry, (gone_at, _) in list(self._gone.items()):
            if now - gone_at > MEMORY_SECONDS:
                del self._gone[entry]

    def _log_change(self, record: EntryRecord, state: str) -> None:
        log_event(
            Event.MEMBER_CHANGED,
            entry=record.id,
            zone=ZoneId(record.zone),
            state=state,
            heartbeat=record.heartbeat,
        )


def _encode_occupancy(
    occupancy: dict[TargetId, Occupancy],
) -> dict[str, tuple[int, int, int]]:
    return {
        str(target): (load.running, load.waiting_tokens, load.held_tokens)
        for target, load in occupancy.items()
    }


def decode_occupancy(msg: FleetMessage) -> dict[TargetId, Occupancy]:
    """Return the work of the sender of `msg` at each target."""
    return {
        TargetId(target): Occupancy(*load) for target, load in msg.occupancy.items()
    }
