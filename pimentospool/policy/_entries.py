"""Ranking of the entry VMs that a caller should use."""

import hashlib
from collections.abc import Callable, Iterable, Set

from pimentospool._generated.callers import EntryChoice
from pimentospool._generated.peers import Member
from pimentospool.ids import RegionId, ZoneId

_NEAREST_WEIGHT = 1.0
_FALLBACK_WEIGHT = 0.0


def rank_entries(
    members: Iterable[Member],
    *,
    zone: ZoneId | None,
    region: RegionId,
    caller: str,
    lost_regions: Set[RegionId],
    delay_ms: Callable[[RegionId], float],
    limit: int,
) -> list[EntryChoice]:
    """Return entry VMs for a caller, best first.

    Entry VMs are grouped by distance: the caller's zone, then its region, then other
    regions by delay. The nearest group that has any gets all the weight. Within a
    group the order is a hash of the caller, so that callers spread evenly and keep
    their entry VM from one response to the next.

    Parameters
    ----------
    members : iterable of Member
        Entry VMs that take requests.
    zone : ZoneId or None
        Zone of the caller, if it is known.
    region : RegionId
        Region of the caller.
    caller : str
        Identifier of the caller, such as its address.
    lost_regions : set of RegionId
        Regions whose entry VMs are left out.
    delay_ms : callable
        One-way delay from `region` to another one in milliseconds.
    limit : int
        Maximum number of entry VMs to return.
    """

    def distance(member: Member) -> tuple[int, float]:
        if member.zone == zone:
            return 0, 0.0
        if member.region == region:
            return 1, 0.0
        return 2, delay_ms(member.region)

    candidates = [member for member in members if member.region not in lost_regions]
    candidates.sort(key=lambda member: (distance(member), _caller_hash(caller, member)))
    if not candidates:
        return []
    nearest = distance(candidates[0])
    return [
        EntryChoice(
            id=member.id,
            address=member.caller_address,
            region=member.region,
            zone=member.zone,
            weight=_NEAREST_WEIGHT if distance(member) == nearest else _FALLBACK_WEIGHT,
        )
        for member in candidates[:limit]
    ]


def _caller_hash(caller: str, member: Member) -> bytes:
    text = f"{caller}/{member.id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
