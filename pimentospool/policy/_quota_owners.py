"""Which entry VM counts a tenant's quota for its region, and how much of it.

The first of the region's entry VMs in rendezvous-hash order counts; the next ones only
stand in for it. What several of them may admit at the same time, while their views of
the membership differ, is limited by `docs/design/quotas.md`.
"""

from collections.abc import Collection

import msgspec

from pimentospool.ids import EntryId
from pimentospool.policy._rendezvous import rank_members
from pimentospool.policy._shared_limits import MIN_MEMBER_COUNT

MINORITY_FACTOR = 0.3
"""Factor on the share of an owner in the smaller part of its region, since the owner in
the larger part goes on with the whole rate of the region."""
STANDIN_SHARE = 0.4
"""Share of the region's rate of an owner that stands in for one that has failed."""
STANDIN_SECONDS = 3.0
"""Time for which it has that share: until the failed one is known to be gone."""
LONG_STANDIN_SHARE = 0.125
"""The share after that time. The first owner is alive then, but some entry VMs can't
reach it, so that both admit."""
FALLBACK_SHARE = 0.1
"""Share of the region's rate that entry VMs without an owner admit together."""
STARTUP_SECONDS = 2.0
"""Time in which a process may not know the other entry VMs yet."""
COMPLETE_SECONDS = 0.5
"""Time without a new entry VM of the region after which all of them count as known.
While a process learns of them, each of its rounds of 0.2 s brings some."""
FULL_REGION_MEMBERS = 32
"""Entry VMs of the largest region for which quotas are made."""
MAX_REMEMBERED_ORDERS = 1_000


class HeardMembers(msgspec.Struct, frozen=True):
    """Numbers of entry VMs."""

    heard: int
    """Those that this one hears from, itself included."""
    known: int
    """Those that it has recently known, with those that are gone."""


class OwnerRanks:
    """Orders of entry VMs by tenant, remembered while the members stay the same."""

    def __init__(self) -> None:
        self._members: frozenset[EntryId] = frozenset()
        self._orders: dict[int, list[EntryId]] = {}

    def order(self, tenant: int, members: Collection[EntryId]) -> list[EntryId]:
        """Return `members` in the order in which they own the quota of `tenant`."""
        known = frozenset(members)
        if known != self._members or len(self._orders) > MAX_REMEMBERED_ORDERS:
            self._members = known
            self._orders.clear()
        order = self._orders.get(tenant)
        if order is None:
            order = rank_members(known, purpose=f"quota/{tenant}")
            self._orders[tenant] = order
        return order


def region_share(
    region: HeardMembers, *, fleet: HeardMembers, holds_first: bool
) -> float:
    """Return the share of its region's rate that the first owner may use.

    Parameters
    ----------
    region : HeardMembers
        Entry VMs of the region.
    fleet : HeardMembers
        Entry VMs of all regions, of which the larger part decides between two halves
        of the region: a region that has lost one of two zones is in it.
    holds_first : bool
        Whether the owner hears from the first of the region's known entry VMs, which
        decides between two halves of all.
    """
    if 2 * region.heard > region.known:
        return 1.0
    if 2 * region.heard == region.known:
        if 2 * fleet.heard > fleet.known:
            return 1.0
        if 2 * fleet.heard == fleet.known and holds_first:
            return 1.0
    return MINORITY_FACTOR * region.heard / region.known


def standin_share(seconds: float, *, first_is_silent: bool) -> float:
    """Return the share of an owner that stands in for the first one.

    Parameters
    ----------
    seconds : float
        Time for which it has done so.
    first_is_silent : bool
        Whether the first owner has sent no copy of its state for some time.
    """
    if first_is_silent and seconds < STANDIN_SECONDS:
        return STANDIN_SHARE
    return LONG_STANDIN_SHARE


def startup_share(seconds: float, *, members: int, unchanged_seconds: float) -> float:
    """Return the factor on all shares of a process that runs for `seconds`.

    It may not know the other entry VMs yet, which then believe to be owners too. Of N
    that each know some `members`, N / members believe so, and their shares add up to
    N / `FULL_REGION_MEMBERS`.

    Parameters
    ----------
    seconds : float
        Time since the start of the process.
    members : int
        Entry VMs of the region that it knows, itself included.
    unchanged_seconds : float
        Time since the last of them became known.
    """
    is_complete = members > 1 and unchanged_seconds >= COMPLETE_SECONDS
    if is_complete or seconds >= STARTUP_SECONDS:
        return 1.0
    return min(1.0, max(1.0 / MIN_MEMBER_COUNT, members / FULL_REGION_MEMBERS))


def fallback_share(*, regions: int, known: int) -> float:
    """Return the share of a quota that an entry VM without an owner may admit.

    Parameters
    ----------
    regions : int
        Regions of the deployment.
    known : int
        Entry VMs of the own region, with those that are gone.
    """
    return FALLBACK_SHARE / regions / max(known, MIN_MEMBER_COUNT)
