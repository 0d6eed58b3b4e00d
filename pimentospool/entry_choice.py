"""Answers to callers that ask which entry VMs to use."""

import math

from pimentospool._generated.callers import EntryList
from pimentospool._generated.settings import Settings
from pimentospool.fleet import PeerFleet
from pimentospool.ids import RegionId, ZoneId
from pimentospool.policy import rank_entries
from pimentospool.views import View

_MAX_ENTRIES = 16


class EntryChooser:
    """Ranks entry VMs for callers.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Configuration in force.
    fleet : PeerFleet
        Entry VMs that take requests.
    """

    def __init__(self, *, cfg: Settings, view: View, fleet: PeerFleet) -> None:
        self._cfg = cfg
        self._view = view
        self._fleet = fleet

    def choose(
        self, *, zone: ZoneId | None, region: RegionId | None, caller: str
    ) -> EntryList:
        """Return the entry VMs for a caller, best first.

        Parameters
        ----------
        zone, region : ZoneId or None, RegionId or None
            Where the caller is; this entry VM's own place by default.
        caller : str
            What tells callers apart.
        """
        own = self._cfg.entry
        if zone is None and region is None:
            zone = own.zone
        if region is None:
            region = self._region_of(zone) or own.region
        entries = rank_entries(
            self._fleet.members(),
            zone=zone,
            region=region,
            caller=caller,
            lost_regions=self._fleet.lost_regions(),
            delay_ms=lambda other: self._delay_ms(region, other),
            limit=_MAX_ENTRIES,
        )
        return EntryList(
            revision=self._view.number,
            lifetime_seconds=self._cfg.callers.entries_lifetime_seconds,
            entries=entries,
        )

    def _region_of(self, zone: ZoneId | None) -> RegionId | None:
        if zone is None or self._view.revision is None:
            return None
        known = self._view.index.zones.get(zone)
        return known.region if known else None

    def _delay_ms(self, a: RegionId, b: RegionId) -> float:
        if self._view.revision is None:
            return math.inf
        return self._view.index.delay_ms(a, b)
