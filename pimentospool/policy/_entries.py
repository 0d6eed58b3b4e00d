"""Which entry VMs a caller should use."""

import hashlib
from collections.abc import Callable, Iterable, Set

from pimentospool._generated.callers import EntryChoice
from pimentospool._generated.peers import Member
from pimentospool.ids import RegionId, ZoneId

_FIRST_WEIGHT = 1.0
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

    The nearest group with a member has all the weight and stands first: the
    caller's zone, then its region, then other regions by delay. Inside a group the
    order differs by caller, so that callers spread evenly and keep their entry VM
    from one answer to the next.

    Parameters
    ----------
    members : iterable of Member
        Entry VMs that take requests.
    zone : ZoneId or None
        Zone of the caller, if it is known.
    region : RegionId
        Region of the caller.
    caller : str
        What tells callers apart, such as an address.
    lost_regions : set of RegionId
        Regions to leave out.
    delay_ms : callable
        One-way delay from `region` to another one in milliseconds.
    limit : int
        Longest list to return.
    """

    def distance(member: Member) -> tuple[int, float]:
        if member.zone == zone:
            return 0, 0.0
        if member.region == region:
            return 1, 0.0
        return 2, delay_ms(member.region)

    candidates = [member for member in members if member.region not in lost_regions]
    candidates.sort(key=lambda member: (distance(member), _order(caller, member)))
    if not candidates:
        return []
    nearest = distance(candidates[0])
    return [
        EntryChoice(
            id=member.id,
            address=member.caller_address,
            region=member.region,
            zone=member.zone,
            weight=_FIRST_WEIGHT if distance(member) == nearest else _FALLBACK_WEIGHT,
        )
        for member in candidates[:limit]
    ]


def _order(caller: str, member: Member) -> bytes:
    text = f"{caller}/{member.id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
