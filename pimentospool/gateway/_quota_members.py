"""Which entry VMs own the quotas of tenants, as this one knows the membership."""

import hashlib
from collections.abc import Callable, Collection

from pimentospool.gateway._fleet import (
    COMPLETE_VIEW_SECONDS,
    TOMBSTONE_SECONDS,
    Fleet,
)
from pimentospool.gateway._fleet_messages import EntryRecord
from pimentospool.ids import EntryId, MemberKey, RegionId, TenantId
from pimentospool.policy import (
    HeardMembers,
    OwnerRanks,
    region_share,
    startup_share,
)

QUOTA_PROTOCOL = 1
"""Version of messages since which entry VMs know those of quotas."""
SETTLED_SECONDS = 3.0
"""Time after which an entry VM that has joined may own quotas. The others know it by
then, and it has had copies of their state."""
ALONE_SECONDS = 2.0
"""Time after which a process that has met no other entry VM takes itself for the only
one. It sends to all seeds every 0.2 s until then; cut off from all of them, it would
most likely not have got a configuration either."""
COPY_RANKS = 4
"""Owners, with the first, that have copies of its state. If half of all VMs fail at
once, the first two have failed for a quarter of the tenants, and all four for a
sixteenth."""
CACHE_SECONDS = 0.05
"""Time for which a view of the membership is reused; heartbeats come every 0.2 s."""
_HASH_BYTES = 8
_NANOSECONDS_PER_SECOND = 1e9


def tenant_hash(tenant: TenantId) -> int:
    """Return the number that stands for a tenant in datagrams."""
    digest = hashlib.blake2b(tenant.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "little")


class QuotaMembers:
    """Owners of quotas in each region, and the part of the region that is heard.

    Parameters
    ----------
    fleet : Fleet
        Membership of the entry VMs.
    regions : collection of RegionId
        All regions of the deployment.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        regions: Collection[RegionId],
        clock: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.started_at = clock()
        self.region_count = len(set(regions) | {fleet.local_region})
        self._other_regions = sorted(set(regions) - {fleet.local_region})
        self._clock = clock
        self._first_seen = {fleet.local_record.key: self.started_at}
        self._ranks: dict[tuple[RegionId, bool], OwnerRanks] = {}
        self._read_at = -1e9
        self._ready: dict[RegionId, list[EntryRecord]] = {}
        self._counted: list[RegionId] = []
        self._unknown = 0
        self._share = 1.0
        self._known = 1
        self._live_near: set[MemberKey] = set()
        self._joined_at = self.started_at

    def owners(
        self,
        tenant: int,
        region: RegionId | None = None,
        *,
        settled: bool = True,
    ) -> list[EntryRecord]:
        """Return the entry VMs of a region in the order in which they own a quota.

        Parameters
        ----------
        tenant : int
            Hash of the tenant's name.
        region : RegionId or None
            The region; None for the own one, in which there is at least this entry VM.
        settled : bool
            Whether those are left out that have joined a moment ago, unless all have.
        """
        self._refresh()
        region = region or self.fleet.local_region
        records = self._ready.get(region, [])
        if settled:
            records = self._settled(records)
        if not records:
            is_local = region == self.fleet.local_region
            return [self.fleet.local_record] if is_local else []
        by_id = {EntryId(record.id): record for record in records}
        ranks = self._ranks.setdefault((region, settled), OwnerRanks())
        return [by_id[entry] for entry in ranks.order(tenant, by_id.keys())]

    def _settled(self, records: list[EntryRecord]) -> list[EntryRecord]:
        """Return the entry VMs that have not joined others a moment ago.

        Those that start together are settled from the start, since all of them are
        equally new. Their times of start are compared, which are the same in all views.
        """
        latest = self._clock() - SETTLED_SECONDS
        oldest = min((record.generation for record in records), default=0)
        return [
            record
            for record in records
            if record.generation - oldest < SETTLED_SECONDS * _NANOSECONDS_PER_SECOND
            or self._first_seen[record.key] <= latest
        ]

    def deputies(self, tenant: int) -> list[EntryRecord]:
        """Return the owners that would go on, also one that has just joined."""
        settled = self.owners(tenant)[:COPY_RANKS]
        joined = self.owners(tenant, settled=False)[:COPY_RANKS]
        local = self.fleet.local_record
        records = {rec.key: rec for rec in (*settled, *joined) if rec != local}
        return list(records.values())

    def rank(self, tenant: int) -> int:
        """Return the place of this entry VM among the owners, 0 for the first."""
        owners = self.owners(tenant)
        local = self.fleet.local_record
        return owners.index(local) if local in owners else len(owners)

    @property
    def counted_regions(self) -> list[RegionId]:
        """Other regions that have a part in quotas.

        One whose entry VMs are all silent counts as long as the fleet remembers them:
        it can't be told from one behind a partition, which goes on admitting requests.
        """
        self._refresh()
        return self._counted

    @property
    def known_part(self) -> float:
        """Part of quotas that is divided between the regions that are known.

        A region of which no entry VM has been known since the start of this process
        may have been behind a partition all the time; it is assumed to use an even
        part, until one that was known would be forgotten too.
        """
        self._refresh()
        return 1.0 - self._unknown / self.region_count

    @property
    def region_share(self) -> float:
        """Share of the region's rate that this entry VM may use as first owner."""
        self._refresh()
        return self._share

    @property
    def startup_share(self) -> float:
        """Factor on all shares while this process may not know the other owners."""
        self._refresh()
        now = self._clock()
        return startup_share(
            now - self.started_at,
            members=len(self._live_near) + 1,
            unchanged_seconds=now - self._joined_at,
        )

    @property
    def known_count(self) -> int:
        """Known entry VMs of the region, gone ones and this one included."""
        self._refresh()
        return self._known

    def _refresh(self) -> None:
        now = self._clock()
        if now - self._read_at < CACHE_SECONDS:
            return
        self._read_at = now
        fleet, local = self.fleet, self.fleet.local_region
        self._ready = {}
        first_seen: dict[MemberKey, float] = {}
        for record in fleet.ready():
            if record.protocol >= QUOTA_PROTOCOL:
                self._ready.setdefault(RegionId(record.region), []).append(record)
                first_seen[record.key] = self._first_seen.get(record.key, now)
        first_seen[fleet.local_record.key] = self.started_at
        self._first_seen = first_seen
        age = now - self.started_at
        all_known = fleet.known_ids()
        unknown = [reg for reg in self._other_regions if not fleet.known_ids(reg)]
        self._counted = [
            region
            for region in self._other_regions
            if age < COMPLETE_VIEW_SECONDS or region not in unknown
        ]
        if age >= ALONE_SECONDS and len(all_known) == 1:
            self._counted, unknown = [], []
        is_assumed = COMPLETE_VIEW_SECONDS <= age < TOMBSTONE_SECONDS
        self._unknown = len(unknown) if is_assumed else 0
        live = fleet.live()
        near = {rec.key for rec in live if rec.region == local}
        if not near <= self._live_near:
            self._joined_at = now
        self._live_near = near
        heard = {rec.id for rec in live if rec.region == local} | {fleet.local_id}
        known = fleet.known_ids(local)
        self._known = len(known)
        self._share = region_share(
            HeardMembers(len(heard), len(known)),
            fleet=HeardMembers(len({rec.id for rec in live}) + 1, len(all_known)),
            holds_first=min(known) in heard,
        )
