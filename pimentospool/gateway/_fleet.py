"""Membership of the entry VMs, exchanged by gossip over datagrams.

Each entry VM increments a heartbeat counter and sends it along with the newest known
counters of some others. An entry VM whose counter stops is considered gone. Lost
datagrams only delay updates, and there is no connection that could fail silently.
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

MEMBER_TIMEOUT_SECONDS = 3.0
"""Time without a new heartbeat after which an entry VM is considered gone."""
DIRECT_RESTART_SECONDS = 0.3
"""Age of the known record above which a record that the entry VM itself sends from
another generation replaces it, even if the clock of the restarted VM is behind."""
TOMBSTONE_SECONDS = 600.0
"""Time for which entry VMs that are gone still count when shared limits are divided."""
FANOUT = 6
"""Number of entry VMs of the region that one round of heartbeats is sent to."""
REPORT_FANOUT = 32
"""Limit on the entry VMs of the region that one round of load reports is sent to. In
regions up to this size all of them receive it, so that none sends requests to a target
that others are filling."""
REMOTE_FANOUT = 2
"""Number of entry VMs of other regions that one round is sent to."""
MAX_RELAYED_RECORDS = 8
"""Limit on the records of other entry VMs in one datagram, so that it fits into a
packet."""


class EntryState(Enum):
    """Whether an entry VM accepts requests."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    """Still accepts connections of callers that don't know yet that it is leaving."""
    CLOSED = 3


class ServiceLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load of a service in one region, at its target with the least cost."""

    wait_seconds: float
    """Expected time to the first byte of a small request."""
    slot_utilisation: float
    """Share of the target's slots in use."""


class EntryRecord(msgspec.Struct, array_like=True, omit_defaults=False):
    """Record that an entry VM publishes about itself; encoded as an array."""

    id: str
    generation: int
    """Start time of the process in Unix nanoseconds."""
    heartbeat: int
    state: int
    region: str
    zone: str
    front: Address
    """Address at which callers connect."""
    peer: Address
    """Address for requests and heartbeats of other entry VMs."""
    loads: dict[str, ServiceLoad]
    """Load of its region by service; services without a usable target are omitted."""


class FleetMessage(msgspec.Struct, array_like=True):
    """Content of one datagram; encoded as an array."""

    sender: EntryRecord
    relayed: list[EntryRecord]
    occupancy: dict[str, tuple[int, int, int]]
    """The sender's requests in progress at each target; only sent within a region."""
    cold_seconds: dict[str, float] = {}
    """Seconds for which targets that the sender has checked stay cold."""


class Member(msgspec.Struct, kw_only=True):
    """Newest record of another entry VM, and when it was received."""

    record: EntryRecord
    last_seen_at: float


class Fleet:
    """Known entry VMs and the messages to exchange with them; does no I/O.

    Parameters
    ----------
    local_record : EntryRecord
        Record of this entry VM, which is updated in place.
    clock : callable
        Returns a monotonic time in seconds.
    rng : Random
        Chooses the receivers.
    """

    def __init__(
        self, *, local_record: EntryRecord, clock: Callable[[], float], rng: Random
    ) -> None:
        self.local_record = local_record
        self.local_id = EntryId(local_record.id)
        self._clock = clock
        self._rng = rng
        self._members: dict[str, Member] = {}
        self._tombstones: dict[str, tuple[float, str]] = {}

    def receive(self, msg: FleetMessage) -> None:
        """Merge the records of a message into the membership."""
        self._apply_record(msg.sender, direct=True)
        for record in msg.relayed:
            self._apply_record(record, direct=False)

    def live(self, *, region: RegionId | None = None) -> list[EntryRecord]:
        """Return the other entry VMs that are alive; only those of `region` if set."""
        self._expire()
        return [
            member.record
            for member in self._members.values()
            if region is None or member.record.region == region
        ]

    def ready(self, region: RegionId) -> list[EntryRecord]:
        """Return entry VMs of `region` that accept requests, this one included."""
        records = self.live(region=region)
        if self.local_record.region == region:
            records.append(self.local_record)
        return [rec for rec in records if rec.state == EntryState.READY.value]

    def leaving(self, region: RegionId) -> list[EntryRecord]:
        """Return leaving entry VMs of `region`, which still accept connections."""
        records = [*self.live(region=region), self.local_record]
        return [
            rec
            for rec in records
            if rec.region == region and rec.state == EntryState.LEAVING.value
        ]

    def loads(self, service: ServiceId) -> dict[RegionId, ServiceLoad]:
        """Return the load of `service` in each other region.

        It is the median of the reports of the region's entry VMs. Each of them knows
        only a part of the region's load, so the lowest of many reports is far below the
        actual load.
        """
        reports: dict[RegionId, list[ServiceLoad]] = {}
        for rec in self.live():
            load = rec.loads.get(service)
            if (
                load is not None
                and rec.region != self.local_record.region
                and rec.state == EntryState.READY.value
            ):
                reports.setdefault(RegionId(rec.region), []).append(load)
        return {
            region: ServiceLoad(
                median(load.wait_seconds for load in loads),
                median(load.slot_utilisation for load in loads),
            )
            for region, loads in reports.items()
        }

    def known_ids(self, region: RegionId | None = None) -> list[EntryId]:
        """Return ids of recently known entry VMs, gone ones and this one included."""
        self._expire()
        ids = [
            EntryId(member.record.id)
            for member in self._members.values()
            if region is None or member.record.region == region
        ]
        ids += [
            EntryId(entry)
            for entry, (_, gone_region) in self._tombstones.items()
            if region is None or gone_region == region
        ]
        if region is None or self.local_record.region == region:
            ids.append(EntryId(self.local_record.id))
        return ids

    def receivers(
        self, *, remote: bool, reports: bool
    ) -> list[tuple[EntryRecord, bool]]:
        """Return the receivers of the next round, each with whether to relay records.

        Parameters
        ----------
        remote : bool
            Whether to include entry VMs of other regions.
        reports : bool
            Whether the round reports load to all entry VMs of the region, up to
            `REPORT_FANOUT`, instead of `FANOUT`.
        """
        members = self.live()
        same_region = [rec for rec in members if rec.region == self.local_record.region]
        same_region = self._sample(same_region, REPORT_FANOUT if reports else FANOUT)
        self._rng.shuffle(same_region)
        chosen = [(rec, number < FANOUT) for number, rec in enumerate(same_region)]
        if remote:
            other_regions = [
                rec for rec in members if rec.region != self.local_record.region
            ]
            chosen += [
                (rec, True) for rec in self._sample(other_regions, REMOTE_FANOUT)
            ]
        return chosen

    def build_message(
        self,
        receiver: EntryRecord | None,
        occupancy: dict[TargetId, Occupancy],
        cold_seconds: dict[TargetId, float],
        *,
        relays: bool = True,
    ) -> FleetMessage:
        """Return the message to `receiver`; None stands for an unknown entry VM."""
        same_region = (
            receiver is not None and receiver.region == self.local_record.region
        )
        others = []
        if relays:
            others = [rec for rec in self.live() if rec is not receiver]
        return FleetMessage(
            sender=self.local_record,
            relayed=self._sample(others, MAX_RELAYED_RECORDS),
            occupancy=_encode_occupancy(occupancy) if same_region else {},
            cold_seconds={str(key): seconds for key, seconds in cold_seconds.items()}
            if same_region
            else {},
        )

    def _sample(self, records: Sequence[EntryRecord], size: int) -> list[EntryRecord]:
        if len(records) <= size:
            return list(records)
        return self._rng.sample(records, size)

    def _apply_record(self, record: EntryRecord, *, direct: bool) -> None:
        if record.id == self.local_record.id:
            return
        now = self._clock()
        known = self._members.get(record.id)
        if known is None:
            if not direct and self._has_tombstone(record):
                return
            self._members[record.id] = Member(record=record, last_seen_at=now)
            self._tombstones.pop(record.id, None)
            self._log_state(record, "alive")
            return
        if record.generation == known.record.generation:
            newer = record.heartbeat > known.record.heartbeat
        else:
            newer = record.generation > known.record.generation or (
                direct and now - known.last_seen_at > DIRECT_RESTART_SECONDS
            )
        if newer:
            if record.state != known.record.state:
                self._log_state(record, EntryState(record.state).name.lower())
            known.record = record
            known.last_seen_at = now

    def _has_tombstone(self, record: EntryRecord) -> bool:
        """Whether a relayed record may be an old one of an entry VM that is gone."""
        return record.id in self._tombstones

    def _expire(self) -> None:
        now = self._clock()
        for entry, member in list(self._members.items()):
            if now - member.last_seen_at > MEMBER_TIMEOUT_SECONDS:
                del self._members[entry]
                self._tombstones[entry] = (now, member.record.region)
                self._log_state(member.record, "gone")
        for entry, (removed_at, _) in list(self._tombstones.items()):
            if now - removed_at > TOMBSTONE_SECONDS:
                del self._tombstones[entry]

    def _log_state(self, record: EntryRecord, state: str) -> None:
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
    """Return the occupancy that the sender of `msg` reports for each target."""
    return {
        TargetId(target): Occupancy(*load) for target, load in msg.occupancy.items()
    }
