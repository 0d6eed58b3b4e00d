"""Membership of the entry VMs of all regions, exchanged by gossip over datagrams.

Liveness and states travel as the table of heartbeat counters (`policy`). The record of
an entry VM, with its addresses, never changes; it is sent once to whoever lacks it.
Lost datagrams only delay updates, and there is no connection that could fail silently.
"""

from collections.abc import Callable, Sequence
from random import Random

import msgspec

from pimentospool.gateway._fleet_messages import (
    EntryRecord,
    GossipMessage,
    ServiceLoad,
    decode_vector,
    encode_vector,
)
from pimentospool.gateway._model import Address
from pimentospool.gateway._region_loads import RegionLoads, choose_load_receivers
from pimentospool.ids import EntryId, MemberKey, RegionId, ServiceId
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    EntryState,
    HeartbeatTable,
    RelayCandidate,
    choose_relays,
)

MEMBER_TIMEOUT_SECONDS = 3.0
"""Silence after which an entry VM of the own region is considered gone. At 5% loss a
counter reaches all of 65 entry VMs within two seconds."""
REMOTE_TIMEOUT_SECONDS = 4.0
"""The same for other regions, where counters take a further second to arrive. While
its region is reachable, the other entry VMs there announce that a member is gone."""
SUPERSEDED_SILENCE_SECONDS = 1.0
"""Silence of an entry VM's newer start after which an older one counts again; its clock
may have been set back at a restart."""
TOMBSTONE_SECONDS = 600.0
"""Time for which entry VMs that are gone still count when shared limits are divided."""
COMPLETE_VIEW_SECONDS = 5.0
"""Time after the start in which the other entry VMs become known; all of 195 that start
together know each other after three to four seconds."""
PAUSE_SECONDS = 1.0
"""Time between two rounds above which this process itself was paused."""
ZONE_FANOUT = 2
"""Number of entry VMs of the own zone that a round is sent to."""
ZONE_ROUNDS = 2
"""Interval, in rounds, of messages to one entry VM of the region's other zones."""
REGION_ROUNDS = 15
"""Longest interval, in rounds, of messages to one entry VM of each other region, and to
one that is gone. Traffic between regions is priced."""
MIN_REGION_ROUNDS = 2
MEMBERS_PER_REGION_ROUND = 4
"""Entry VMs of the region for each round of that interval: all of them together send
about five messages a second or more to each other region."""
LOAD_ROUNDS = 6
"""Interval, in rounds, of load reports to other regions."""
MAX_RECORDS_PER_MESSAGE = 10
"""Limit on the records in one datagram, so that it fits into a packet."""
MAX_RECORDS_PER_REQUEST = 60
"""Limit on the records that one message asks for."""
WITNESSES_PER_ZONE = 2
"""Number of entry VMs of a zone that are asked what they know of a stream."""
RECORD_RETRY_SECONDS = 0.3
"""Time after which a record that did not arrive is asked for again."""


class Member(msgspec.Struct, kw_only=True):
    """Another entry VM: its record, and when it was considered gone."""

    record: EntryRecord
    gone_at: float | None = None


class Fleet:
    """Known entry VMs and the messages to exchange with them; does no I/O.

    Parameters
    ----------
    local_record : EntryRecord
        Record of this entry VM.
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
        self.local_region = RegionId(local_record.region)
        self.local_loads: dict[str, ServiceLoad] = {}
        """Load of this region by service; services without a target are omitted."""
        self.local_version = 0
        """Version of this entry VM's configuration; 0 before the first."""
        self._clock = clock
        self._rng = rng
        self._newest_version = 0
        self._newest_version_from: EntryRecord | None = None
        self._table = HeartbeatTable(own=local_record.key, clock=clock)
        self._members: dict[MemberKey, Member] = {}
        self._key_by_id: dict[str, MemberKey] = {}
        self._live: dict[MemberKey, EntryRecord] = {}
        self._requested_at: dict[MemberKey, float] = {}
        self._region_loads = RegionLoads(clock=clock)
        # Entry VMs that start together don't send to other regions at the same time.
        self._round = rng.randrange(REGION_ROUNDS * LOAD_ROUNDS)
        self._round_at = self._started_at = clock()

    @property
    def local_state(self) -> EntryState:
        """State of this entry VM."""
        return self._table.own_state

    @local_state.setter
    def local_state(self, state: EntryState) -> None:
        self._table.own_state = state

    # Queries.

    def live(self, *, region: RegionId | None = None) -> list[EntryRecord]:
        """Return the other entry VMs that are alive; only those of `region` if set."""
        return [
            rec for rec in self._live.values() if region is None or rec.region == region
        ]

    def started(self) -> list[EntryRecord]:
        """Return the other entry VMs that are alive and have a configuration."""
        return [
            rec
            for key, rec in self._live.items()
            if self._table.state(key) is not EntryState.STARTING
        ]

    def running(self) -> list[EntryRecord]:
        """Return the other entry VMs that run, also those that start or are closed.

        One that is closed runs until its last request has ended.
        """
        return [
            member.record
            for key, member in self._members.items()
            if self._table.silence_seconds(key) < MEMBER_TIMEOUT_SECONDS
        ]

    def witnesses(self) -> list[list[EntryRecord]]:
        """Return entry VMs to ask, for each zone in which others were known.

        They are the one that has run for longest and a random one; none for a zone of
        which all are gone, as they may be behind a partition.
        """
        local = self.local_record
        zones: dict[str, list[EntryRecord]] = {}
        for member in self._members.values():
            if member.record.id != local.id:
                zones.setdefault(member.record.zone, [])
        for record in self.running():
            zones[record.zone].append(record)
        for records in zones.values():
            records.sort(key=lambda record: record.generation)
            if len(records) > WITNESSES_PER_ZONE:
                rest = records[1:]
                records[1:] = self._rng.sample(rest, WITNESSES_PER_ZONE - 1)
        return list(zones.values())

    def ready(self, region: RegionId | None = None) -> list[EntryRecord]:
        """Return the entry VMs that accept requests, this one included.

        Only those of `region` if set.
        """
        return self._in_state(EntryState.READY, region)

    def leaving(self, region: RegionId) -> list[EntryRecord]:
        """Return leaving entry VMs of `region`, which still accept connections."""
        return self._in_state(EntryState.LEAVING, region)

    def relays(self, region: RegionId) -> list[MemberKey]:
        """Return the relays of `region`; a small region has none."""
        return choose_relays(
            RelayCandidate(key=rec.key, zone=rec.zone, link_mbps=rec.link_mbps)
            for rec in self.ready(region)
        )

    def record(self, key: MemberKey) -> EntryRecord | None:
        """Return the record of a member, None if it isn't known."""
        member = self._members.get(key)
        return None if member is None else member.record

    def live_record(self, entry: EntryId) -> EntryRecord | None:
        """Return the record of the entry VM with this id, None if it isn't alive."""
        key = self._key_by_id.get(entry)
        return None if key is None else self._live.get(key)

    def known_ids(self, region: RegionId | None = None) -> list[EntryId]:
        """Return ids of recently known entry VMs, gone ones and this one included."""
        ids = {
            EntryId(member.record.id)
            for member in self._members.values()
            if region is None or member.record.region == region
        }
        if region is None or self.local_record.region == region:
            ids.add(self.local_id)
        return list(ids)

    def has_known_regions(self, count: int) -> bool:
        """Whether entry VMs of at least `count` regions were known for some time.

        Those that are gone count, as limits are also divided by their number.
        """
        if self._clock() - self._started_at < COMPLETE_VIEW_SECONDS:
            return False
        regions = {member.record.region for member in self._members.values()}
        return len(regions | {self.local_region}) >= count

    def loads(self, service: ServiceId) -> dict[RegionId, ServiceLoad]:
        """Return the load of `service` in each other region."""
        return self._region_loads.of_service(
            service, is_served=lambda region: bool(self.ready(region))
        )

    def newest_configuration(self) -> EntryRecord | None:
        """Return an entry VM with a newer configuration than this one, if known."""
        record = self._newest_version_from
        if record is None or self._newest_version <= self.local_version:
            return None
        # Heard of again if this attempt to get it fails.
        self._newest_version_from = None
        self._newest_version = 0
        return record

    # Messages.

    def receive(self, msg: GossipMessage) -> list[GossipMessage]:
        """Merge a message; return the replies to its sender."""
        keys, values = decode_vector(msg.vector)
        value_by_key = dict(zip(keys, values, strict=True))
        for record in (msg.sender, *msg.records):
            self._add_record(record, value_by_key.get(record.key))
        unknown, changed = self._table.merge(keys, values)
        for key in changed:
            self._update_state(key)
        if msg.version > max(self.local_version, self._newest_version):
            self._newest_version = msg.version
            self._newest_version_from = msg.sender
        if msg.loads is not None and msg.sender.region != self.local_record.region:
            self._region_loads.record(msg.sender, msg.loads)
        replies = self._encode_records(msg.wanted)
        wanted = self._records_to_request(unknown)
        if wanted:
            replies.append(GossipMessage(sender=self.local_record, wanted=wanted))
        return replies

    def next_round(self) -> list[tuple[GossipMessage, Sequence[EntryRecord]]]:
        """Begin a round; return its messages, each with its receivers."""
        now = self._clock()
        if now - self._round_at > PAUSE_SECONDS:
            self._table.restart_timers()
        self._round_at = now
        self._round += 1
        self._table.beat()
        self._expire()
        local = self.local_record
        receivers = self._sample(ZONE_FANOUT, region=local.region, zone=local.zone)
        if self._round % ZONE_ROUNDS == 0:
            receivers += self._sample(1, region=local.region, other_than=local.zone)
        remote: list[EntryRecord] = []
        if self._round % self._region_rounds() == 0:
            remote = self._sample_regions()
            receivers += self._sample_gone()
        full = GossipMessage(
            sender=local,
            vector=encode_vector(*self._table.vector()),
            loads=self.local_loads if remote else None,
            version=self.local_version,
        )
        messages: list[tuple[GossipMessage, Sequence[EntryRecord]]] = [
            (full, [*receivers, *remote])
        ]
        if self._round % LOAD_ROUNDS == 0:
            report = GossipMessage(sender=local, loads=self.local_loads)
            load_receivers = choose_load_receivers(
                local, reporters=self.ready(self.local_region), live=self._live
            )
            messages.append((report, load_receivers))
        return messages

    def beat(self) -> None:
        """Increment the heartbeat counter, so that a new state takes precedence."""
        self._table.beat()

    def sample_region(self, size: int) -> list[EntryRecord]:
        """Return at most `size` random entry VMs of this region."""
        return self._sample(size, region=self.local_record.region)

    def announcement(self) -> GossipMessage:
        """Return the message for entry VMs whose records aren't known."""
        return GossipMessage(
            sender=self.local_record, vector=encode_vector(*self._table.vector())
        )

    # Membership.

    def _in_state(
        self, state: EntryState, region: RegionId | None
    ) -> list[EntryRecord]:
        records = [
            rec
            for key, rec in self._live.items()
            if (region is None or rec.region == region)
            and self._table.state(key) is state
        ]
        local = self.local_record
        if self.local_state is state and region in (None, local.region):
            records.append(local)
        return records

    def _add_record(self, record: EntryRecord, value: int | None) -> None:
        key = record.key
        if value is None or key in self._members or record.id == self.local_record.id:
            return
        self._requested_at.pop(key, None)
        self._members[key] = Member(record=record)
        self._table.add(key, value)
        self._update_state(key)

    def _update_state(self, key: MemberKey) -> None:
        """Follow a change of a member's state in the table."""
        member = self._members[key]
        state = self._table.state(key)
        if state is EntryState.CLOSED:
            self._remove_live(key, "gone")
            return
        current = self._key_by_id.get(member.record.id)
        if current is not None and current != key:
            other = self._members[current].record
            if other.generation > member.record.generation and self._is_heard(current):
                return
            self._remove_live(current, "replaced")
        self._key_by_id[member.record.id] = key
        member.gone_at = None
        self._live[key] = member.record
        self._log_state(member.record, state.name.lower())

    def _remove_live(self, key: MemberKey, state: str) -> None:
        member = self._members[key]
        if member.gone_at is None:
            member.gone_at = self._clock()
        if self._live.pop(key, None) is not None:
            self._log_state(member.record, state)

    def _forget(self, key: MemberKey) -> None:
        member = self._members.pop(key)
        self._live.pop(key, None)
        self._table.remove(key)
        if self._key_by_id.get(member.record.id) == key:
            del self._key_by_id[member.record.id]

    def _expire(self) -> None:
        local_region = self.local_record.region
        near = [key for key, rec in self._live.items() if rec.region == local_region]
        far = [key for key, rec in self._live.items() if rec.region != local_region]
        for keys, timeout in (
            (near, MEMBER_TIMEOUT_SECONDS),
            (far, REMOTE_TIMEOUT_SECONDS),
        ):
            for key in self._table.close_silent(keys, timeout_seconds=timeout):
                self._remove_live(key, "silent")
        now = self._clock()
        for key, member in list(self._members.items()):
            if member.gone_at is not None:
                if now - member.gone_at > TOMBSTONE_SECONDS:
                    self._forget(key)
            elif key not in self._live and self._is_heard(key):
                self._update_state(key)
        self._requested_at = {
            key: at
            for key, at in self._requested_at.items()
            if now - at < RECORD_RETRY_SECONDS
        }
        self._region_loads.expire()

    def _is_heard(self, key: MemberKey) -> bool:
        return self._table.silence_seconds(key) < SUPERSEDED_SILENCE_SECONDS

    def _log_state(self, record: EntryRecord, state: str) -> None:
        log_event(Event.MEMBER_CHANGED, entry=record.id, zone=record.zone, state=state)

    # Receivers and records.

    def _sample(
        self,
        size: int,
        *,
        region: str,
        zone: str | None = None,
        other_than: str | None = None,
    ) -> list[EntryRecord]:
        """Return random members: live ones, or gone ones if none are alive.

        Those that are gone may be behind a partition that has ended.
        """

        def matches(rec: EntryRecord) -> bool:
            return (
                rec.region == region
                and (zone is None or rec.zone == zone)
                and rec.zone != other_than
            )

        records = [rec for rec in self._live.values() if matches(rec)]
        if not records:
            records = [
                member.record
                for member in self._members.values()
                if matches(member.record)
            ]
        if len(records) <= size:
            return records
        return self._rng.sample(records, size)

    def _region_rounds(self) -> int:
        members = len(self.live(region=self.local_region)) + 1
        rounds = members // MEMBERS_PER_REGION_ROUND
        return min(REGION_ROUNDS, max(MIN_REGION_ROUNDS, rounds))

    def _sample_regions(self) -> list[EntryRecord]:
        """Return one random member of each other region."""
        regions = {member.record.region for member in self._members.values()}
        return [
            record
            for region in sorted(regions - {self.local_record.region})
            for record in self._sample(1, region=region)
        ]

    def _sample_gone(self) -> list[EntryRecord]:
        """Return one random member that is gone; it may only be unable to send."""
        gone = [
            member.record
            for member in self._members.values()
            if member.gone_at is not None
        ]
        return [self._rng.choice(gone)] if gone else []

    def _records_to_request(self, unknown: Sequence[MemberKey]) -> list[int]:
        now = self._clock()
        wanted: list[int] = []
        for key in unknown[:MAX_RECORDS_PER_REQUEST]:
            if now - self._requested_at.get(key, -1e9) > RECORD_RETRY_SECONDS:
                self._requested_at[key] = now
                wanted.append(key)
        return wanted

    def _encode_records(self, wanted: Sequence[int]) -> list[GossipMessage]:
        """Return messages with the records that are known, and their table values."""
        keys = [
            MemberKey(key)
            for key in wanted[:MAX_RECORDS_PER_REQUEST]
            if MemberKey(key) in self._members
        ]
        messages = []
        for start in range(0, len(keys), MAX_RECORDS_PER_MESSAGE):
            chunk = keys[start : start + MAX_RECORDS_PER_MESSAGE]
            messages.append(
                GossipMessage(
                    sender=self.local_record,
                    vector=encode_vector(
                        chunk, [self._table.value(key) for key in chunk]
                    ),
                    records=[self._members[key].record for key in chunk],
                )
            )
        return messages

    def peer_addresses(self) -> set[Address]:
        """Return the peer addresses of this and all other live entry VMs."""
        return {rec.peer for rec in self._live.values()} | {self.local_record.peer}
