"""Which entry VM counts a tenant's quota for its region, and how much of it.

The first of the region's entry VMs in rendezvous-hash order counts; the next ones only
stand in for it. What several of them may admit at the same time, while their views of
the membership differ, is limited by `docs/design/quotas.md`.
"""

from collections.abc import Collection

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
MAX_REMEMBERED_ORDERS = 1_000


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


def region_share(*, heard: int, known: int, hears_others: bool) -> float:
    """Return the share of its region's rate that the first owner may use.

    Parameters
    ----------
    heard : int
        Entry VMs of the region that the owner hears from, itself included.
    known : int
        Entry VMs of the region, with those that are gone.
    hears_others : bool
        Whether it hears from other regions too. The other half of a region whose halves
        both do is heard of through them, so that it is gone if it is not.
    """
    if 2 * heard > known or (2 * heard == known and hears_others):
        return 1.0
    return MINORITY_FACTOR * heard / known


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


def startup_share(seconds: float, startup_seconds: float) -> float:
    """Return the factor on all shares of a process that runs for `seconds`.

    It may not know the other entry VMs yet, which then believe to be owners too.
    """
    return 1.0 if seconds >= startup_seconds else 1.0 / MIN_MEMBER_COUNT


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
