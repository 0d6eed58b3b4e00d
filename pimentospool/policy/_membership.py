"""Membership of one availability zone as one entry VM sees it.

Records merge by a total order, so views that received the same gossip updates agree,
whatever the order, loss or repetition of the messages. Probing and piggybacked gossip
updates follow SWIM (Das, Gupta, Motivala, 2002).
"""

import hashlib
import math
import random
from enum import Enum

import msgspec

from pimentospool._generated.peers import Member, MemberState
from pimentospool.ids import EntryId

TOMBSTONE_SECONDS = 300.0
_RETRANSMIT_FACTOR = 3
_STATE_PRECEDENCE = {
    MemberState.LIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.GONE: 3,
}


class ChangeKind(Enum):
    """Kind of a change to the membership."""

    JOINED = "joined"
    UPDATED = "updated"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    GONE = "gone"
    REFUTED = "refuted"
    REPLACED = "replaced"


class MemberChange(msgspec.Struct, kw_only=True, frozen=True):
    """A change to the membership and the record after it."""

    kind: ChangeKind
    member: Member


def newer_member(a: Member, b: Member) -> Member:
    """Return whichever of two records of one entry VM takes precedence."""
    return max(a, b, key=_precedence)


def _precedence(member: Member) -> tuple[int, int, int, str, str]:
    return (
        member.incarnation,
        _STATE_PRECEDENCE[member.state],
        member.life,
        member.caller_address,
        member.peer_address,
    )


class Membership:
    """Members of one zone, as known to this process.

    Parameters
    ----------
    own : Member
        Record of this process.
    suspicion_timeout_seconds : float
        Time after which a suspect counts as gone, unless a newer record arrives.
    rng : random.Random
        Random generator for the order of probes.
    """

    def __init__(
        self, *, own: Member, suspicion_timeout_seconds: float, rng: random.Random
    ) -> None:
        self._own_id = own.id
        self._suspicion_timeout_seconds = suspicion_timeout_seconds
        self._rng = rng
        self._records: dict[EntryId, Member] = {own.id: own}
        self._changed_at: dict[EntryId, float] = {}
        self._retransmits_left: dict[EntryId, int] = {}
        self._probe_order: list[EntryId] = []
        self._digest: int | None = None

    @property
    def own(self) -> Member:
        """Record of this process."""
        return self._records[self._own_id]

    def record(self, entry: EntryId) -> Member | None:
        """Return the record of an entry VM, if it is known."""
        return self._records.get(entry)

    def records(self) -> list[Member]:
        """Return all records, including the tombstones of gone members."""
        return list(self._records.values())

    def present(self) -> list[Member]:
        """Return the members that are not gone."""
        return [
            member
            for member in self._records.values()
            if member.state is not MemberState.GONE
        ]

    def live(self) -> list[Member]:
        """Return the members that take requests."""
        return [
            member
            for member in self._records.values()
            if member.state is MemberState.LIVE
        ]

    def others(self) -> list[Member]:
        """Return the members that are not gone, except this process."""
        return [member for member in self.present() if member.id != self._own_id]

    @property
    def digest(self) -> int:
        """Digest of the members that are not gone, equal for equal views."""
        if self._digest is None:
            self._digest = 0
            for member in self.present():
                self._digest ^= _member_digest(member)
        return self._digest

    def merge(self, record: Member, *, now: float) -> MemberChange | None:
        """Merge a record received from a peer; return the change it made, if any."""
        if record.zone != self.own.zone:
            return None
        if record.id == self._own_id:
            return self._merge_own_record(record, now=now)
        known = self._records.get(record.id)
        if known is None:
            self._store(record, now=now)
            if record.state is MemberState.GONE:
                return None
            return MemberChange(kind=ChangeKind.JOINED, member=record)
        if newer_member(known, record) == known:
            return None
        self._store(record, now=now)
        return MemberChange(kind=_change_kind(known, record), member=record)

    def suspect(self, probed: Member, *, now: float) -> MemberChange | None:
        """Mark an entry VM that answered neither a direct nor an indirect probe.

        Parameters
        ----------
        probed : Member
            Record at the start of the probe. If a higher incarnation became known
            in the meantime, nothing is marked.

        Returns
        -------
        MemberChange or None
            A live member becomes a suspect, and a leaving one is gone.
        """
        known = self._records.get(probed.id)
        if known is None or probed.id == self._own_id:
            return None
        if known.incarnation != probed.incarnation:
            return None
        if known.state is MemberState.LIVE:
            return self._change_state(known, MemberState.SUSPECT, now=now)
        if known.state is MemberState.LEAVING:
            return self._change_state(known, MemberState.GONE, now=now)
        return None

    def expire(self, *, now: float) -> list[MemberChange]:
        """Mark suspects as gone after their timeout; remove expired tombstones."""
        changes = []
        for entry, member in list(self._records.items()):
            age = now - self._changed_at.get(entry, now)
            if (
                member.state is MemberState.SUSPECT
                and age >= self._suspicion_timeout_seconds
            ):
                changes.append(self._change_state(member, MemberState.GONE, now=now))
            elif member.state is MemberState.GONE and age >= TOMBSTONE_SECONDS:
                del self._records[entry]
                self._changed_at.pop(entry, None)
                self._retransmits_left.pop(entry, None)
        return changes

    def restart_timers(self, *, now: float) -> None:
        """Restart all suspicion and tombstone timers, after a pause of this process."""
        for entry in self._changed_at:
            self._changed_at[entry] = now

    def raise_incarnation(self, *, at_least: int = 0, now: float) -> Member:
        """Refute all gossip updates about this process; return its new record."""
        number = max(self.own.incarnation + 1, at_least)
        self._store(msgspec.structs.replace(self.own, incarnation=number), now=now)
        return self.own

    def leave(self, *, now: float) -> Member:
        """Mark this process as taking no new requests; return its new record."""
        leaving = msgspec.structs.replace(self.own, state=MemberState.LEAVING)
        self._store(leaving, now=now)
        return self.raise_incarnation(now=now)

    def next_probe(self) -> Member | None:
        """Return the member to probe next; each round probes all in random order."""
        while True:
            if not self._probe_order:
                self._probe_order = [member.id for member in self.others()]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self._records.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.GONE:
                return member

    def gossip_updates(self, *, limit: int) -> list[Member]:
        """Return the records to piggyback on a message, the least often sent first."""
        ranked = sorted(
            self._retransmits_left,
            key=lambda entry: (-self._retransmits_left[entry], entry),
        )
        chosen = ranked[:limit]
        for entry in chosen:
            self._retransmits_left[entry] -= 1
            if not self._retransmits_left[entry]:
                del self._retransmits_left[entry]
        return [self._records[entry] for entry in chosen]

    def _merge_own_record(self, record: Member, *, now: float) -> MemberChange | None:
        own = self.own
        if record.life > own.life:
            return MemberChange(kind=ChangeKind.REPLACED, member=record)
        if newer_member(own, record) == own:
            return None
        self.raise_incarnation(at_least=record.incarnation + 1, now=now)
        return MemberChange(kind=ChangeKind.REFUTED, member=self.own)

    def _change_state(
        self, member: Member, state: MemberState, *, now: float
    ) -> MemberChange:
        record = msgspec.structs.replace(member, state=state)
        self._store(record, now=now)
        return MemberChange(kind=_change_kind(member, record), member=record)

    def _store(self, record: Member, *, now: float) -> None:
        self._records[record.id] = record
        self._changed_at[record.id] = now
        size = len(self._records)
        self._retransmits_left[record.id] = _RETRANSMIT_FACTOR * math.ceil(
            math.log2(size + 1)
        )
        self._digest = None


def _change_kind(before: Member, after: Member) -> ChangeKind:
    if after.state is MemberState.GONE:
        return ChangeKind.GONE
    if after.state is MemberState.LEAVING:
        return ChangeKind.LEAVING
    if after.state is MemberState.SUSPECT:
        return ChangeKind.SUSPECTED
    if before.state is MemberState.GONE:
        return ChangeKind.JOINED
    return ChangeKind.UPDATED


def _member_digest(member: Member) -> int:
    text = f"{member.id}/{member.incarnation}/{member.state}/{member.life}"
    raw = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(raw, "big")
