"""Choice of the entry VMs that relay reports and store changes within a region."""

from collections.abc import Iterable

import msgspec

from pimentospool.ids import MemberKey

DIRECT_MEMBERS = 12
"""Size of a region up to which there are no relays: all its entry VMs read the store
and report to each other."""
RELAYS = 2
"""Number of relays; one goes on while the loss of the other is not yet known."""


class RelayCandidate(msgspec.Struct, kw_only=True, frozen=True):
    """An entry VM that accepts requests and may be a relay."""

    key: MemberKey
    zone: str
    link_mbps: float
    """Bandwidth of its link in Mbit/s, 0 if it isn't known."""


def choose_relays(candidates: Iterable[RelayCandidate]) -> list[MemberKey]:
    """Return the relays of a region, from different zones if there are several.

    A relay sends what all entry VMs report to each of them, which can be more than a
    slow link carries, so fast links come first. Among equal ones, keys are hashes, so
    the lowest are a random choice on which all entry VMs with the same members agree.

    Parameters
    ----------
    candidates : iterable of RelayCandidate
        Entry VMs of the region that accept requests.

    Returns
    -------
    list of MemberKey
        Empty in a small region.
    """
    ranked = sorted(candidates, key=lambda item: (-item.link_mbps, item.key))
    if len(ranked) <= DIRECT_MEMBERS:
        return []
    first = ranked[0]
    others = [item for item in ranked[1:] if item.zone != first.zone] or ranked[1:]
    return [item.key for item in [first, *others[: RELAYS - 1]]]
