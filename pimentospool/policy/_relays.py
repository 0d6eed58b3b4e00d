"""Choice of the entry VMs that relay reports and store changes within a region."""

from collections.abc import Mapping

from pimentospool.ids import MemberKey

DIRECT_MEMBERS = 12
"""Size of a region up to which there are no relays: all its entry VMs read the store
and report to each other."""
RELAYS = 2
"""Number of relays; one goes on while the loss of the other is not yet known."""


def choose_relays(zone_by_member: Mapping[MemberKey, str]) -> list[MemberKey]:
    """Return the relays of a region, from different zones if there are several.

    Keys are hashes, so the members with the lowest ones are a random choice on which
    all entry VMs with the same members agree.

    Parameters
    ----------
    zone_by_member : mapping of MemberKey to str
        Availability zone of each entry VM of the region that accepts requests.

    Returns
    -------
    list of MemberKey
        Empty in a small region.
    """
    if len(zone_by_member) <= DIRECT_MEMBERS:
        return []
    ranked = sorted(zone_by_member)
    first = ranked[0]
    zone = zone_by_member[first]
    others = [key for key in ranked[1:] if zone_by_member[key] != zone] or ranked[1:]
    return [first, *others[: RELAYS - 1]]
