"""Ranking of entry VMs for callers that ask which ones to use."""

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
        Active configuration.
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
            Location of the caller; that of this entry VM by default.
        caller : str
            Key that tells callers apart, such as an address.
        """
        local = self._cfg.entry
        if zone is None and region is None:
            zone = local.zone
        if region is None:
            region = self._region_of(zone) or local.region
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
        record = self._view.index.zones.get(zone)
        return record.region if record else None

    def _delay_ms(self, a: RegionId, b: RegionId) -> float:
        if self._view.revision is None:
            return math.inf
        return self._view.index.delay_ms(a, b)
