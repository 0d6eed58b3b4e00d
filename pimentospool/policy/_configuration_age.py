"""Time for which the configuration in force has not been known to be the newest.

A confirmation is a moment of this VM's boot clock: the configuration in force here
holds all that the store had acknowledged by then. A withdrawn API key is refused in
time as long as every key is checked against the age of that moment.
"""

import math
from collections.abc import Callable, Sequence
from enum import IntEnum
from random import Random
from typing import TypeVar

import msgspec

MARGIN_SECONDS = 0.25
"""Part of the bound that is not used; covers the differing rates of clocks."""
QUERY_AGE_SECONDS = 0.6
"""Age from which a VM that does not read the store asks another one."""
REGION_SHARE = 0.4
"""Share of the bound from which more VMs of the region than a relay are asked. A relay
that holds its watches for 1 s has a confirmation of 1 to 2 s."""
REMOTE_SHARE = 0.5
"""Share of the bound from which a VM of another region is asked, too. Traffic between
regions is priced. A VM that reads the store asks nobody before that: its own responses
are as recent as those of others."""
READ_SHARE = 0.6
"""Share of the bound from which a VM reads the store by itself, even if it has relays.
Some lost queries don't lead to it."""
REGION_RECEIVERS = 2
"""Number of VMs of the region that one round of queries goes to besides its relays."""
MAX_PENDING = 4
"""Number of confirmations of newer configurations that are kept."""

Stamp = tuple[int, int]
"""Version and era of a configuration; that of a newer one compares greater."""

T = TypeVar("T")


class QueryReach(IntEnum):
    """Which VMs are asked how old their confirmation is."""

    NONE = 0
    RELAY = 1
    """One relay of the region, or one of its VMs if it has no relay."""
    REGION = 2
    """All relays, and some other VMs of the region."""
    REMOTE = 3
    """These, and a VM of another region."""


class Confirmation(msgspec.Struct, frozen=True):
    """A moment up to which a configuration is known to be the newest."""

    at: float
    """Moment of the boot clock in seconds."""
    source: str
    """Where this is known from: the store, or the id of another VM."""


class ConfigurationAge:
    """Latest confirmation of the configuration in force, and whether it suffices.

    Parameters
    ----------
    bound_seconds : float
        Time after which a withdrawn key must not be accepted; infinite if there is no
        such bound. All keys count as confirmed then.
    clock : callable
        Returns the time in seconds of a clock that counts while the VM is suspended.
    stamp : callable
        Returns the stamp of the configuration in force, None before the first one.
    """

    def __init__(
        self,
        *,
        bound_seconds: float,
        clock: Callable[[], float],
        stamp: Callable[[], Stamp | None],
    ) -> None:
        self.bound_seconds = bound_seconds
        self.now = clock
        self.stamp = stamp
        self._latest: Confirmation | None = None
        self._pending: dict[Stamp, Confirmation] = {}

    @property
    def is_bounded(self) -> bool:
        """Whether withdrawn keys have to be refused within some time."""
        return math.isfinite(self.bound_seconds)

    @property
    def is_confirmed(self) -> bool:
        """Whether no key can have been withdrawn for longer than the bound allows."""
        if not self.is_bounded:
            return True
        return self.seconds < self.bound_seconds - MARGIN_SECONDS

    @property
    def seconds(self) -> float:
        """Age of the latest confirmation; infinite without one."""
        latest = self.latest
        return math.inf if latest is None else self.now() - latest.at

    @property
    def latest(self) -> Confirmation | None:
        """Latest confirmation of the configuration in force, None without one."""
        self._take_pending()
        return self._latest

    @property
    def pending(self) -> dict[Stamp, Confirmation]:
        """Confirmations of configurations that are newer than the one in force."""
        self._take_pending()
        return dict(self._pending)

    def confirm(self, at: float, *, source: str) -> None:
        """Store that the configuration in force was the newest one at `at`.

        An earlier moment than the known one changes nothing: the configuration in force
        is only ever replaced by a newer one, which the earlier confirmations hold for.
        """
        if self.stamp() is None:
            return
        if self._latest is None or at > self._latest.at:
            self._latest = Confirmation(at, source)

    def receive(self, at: float, *, stamp: Stamp, source: str) -> None:
        """Store that the configuration with `stamp` was the newest one at `at`.

        It counts once that configuration, or a newer one, is in force here.
        """
        self._take_pending()
        own = self.stamp()
        if own is not None and own >= stamp:
            self.confirm(at, source=source)
            return
        known = self._pending.get(stamp)
        if known is None or at > known.at:
            self._pending[stamp] = Confirmation(at, source)
        if len(self._pending) > MAX_PENDING:
            del self._pending[min(self._pending, key=lambda key: self._pending[key].at)]

    def reach(self, *, reads_source: bool) -> QueryReach:
        """Return which VMs are to be asked now.

        Parameters
        ----------
        reads_source : bool
            Whether this VM reads the store by itself, and gets responses.
        """
        if not self.is_bounded:
            return QueryReach.NONE
        age = self.seconds
        if age > self.bound_seconds * REMOTE_SHARE:
            return QueryReach.REMOTE
        if reads_source or age <= QUERY_AGE_SECONDS:
            return QueryReach.NONE
        if age > self.bound_seconds * REGION_SHARE:
            return QueryReach.REGION
        return QueryReach.RELAY

    @property
    def is_old(self) -> bool:
        """Whether this VM should read the store by itself, even if it has relays."""
        return self.is_bounded and self.seconds > self.bound_seconds * READ_SHARE

    def _take_pending(self) -> None:
        """Count the confirmations whose configurations have become active."""
        own = self.stamp()
        if not self._pending or own is None:
            return
        for stamp in [stamp for stamp in self._pending if stamp <= own]:
            reached = self._pending.pop(stamp)
            self.confirm(reached.at, source=reached.source)


def choose_query_receivers(
    reach: QueryReach,
    *,
    relays: Sequence[T],
    region: Sequence[T],
    remote: Sequence[T],
    rng: Random,
) -> list[T]:
    """Return the VMs that one round of queries goes to.

    Parameters
    ----------
    reach : QueryReach
        How far the round goes.
    relays : sequence
        Relays of the region; empty in a small one.
    region : sequence
        Other VMs of the region.
    remote : sequence
        VMs of other regions.
    rng : Random
        Chooses among equal ones, so that no VM is asked by all.
    """
    if reach is QueryReach.NONE:
        return []
    if reach is QueryReach.RELAY:
        nearest = relays or region
        return [rng.choice(nearest)] if nearest else []
    receivers = [*relays, *rng.sample(region, min(REGION_RECEIVERS, len(region)))]
    if reach is QueryReach.REMOTE and remote:
        receivers.append(rng.choice(remote))
    return receivers
