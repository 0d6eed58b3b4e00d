"""Which entry VMs a caller is told to use."""

from collections import Counter

from pimentospool.gateway._fleet import EntryRecord, EntryState, Fleet
from pimentospool.gateway._model import Address
from pimentospool.gateway._routing_state import Knowledge
from pimentospool.ids import RegionId

MAX_ADDRESSES = 64
"""Addresses that a caller accepts in one answer."""


class EntryDirectory:
    """Answers of the directory.

    Parameters
    ----------
    fleet : Fleet
        The entry VMs.
    knowledge : Knowledge
        Routes, whose home regions bound where bodies may be sent.
    """

    def __init__(self, *, fleet: Fleet, knowledge: Knowledge) -> None:
        self._fleet = fleet
        self._knowledge = knowledge

    def lookup(self, host: str, region: RegionId) -> list[Address]:
        """Return the entry VMs for callers of `host` in `region`.

        Leaving ones are named only if none of the caller's region is ready, and those
        of another region only if there are none of these either, the host's home
        regions first.
        """
        records = self._fleet.ready(region) or self._fleet.leaving(region)
        if not records:
            records = self._elsewhere(host, region)
        return [record.front for record in records[:MAX_ADDRESSES]]

    def _elsewhere(self, host: str, region: RegionId) -> list[EntryRecord]:
        records = [
            rec
            for rec in [*self._fleet.live(), self._fleet.own]
            if rec.region != region and rec.state == EntryState.READY.value
        ]
        homes = self._home_regions(host)
        return [rec for rec in records if rec.region in homes] or records

    def _home_regions(self, host: str) -> frozenset[RegionId]:
        """Return the regions that most routes of `host` with homes allow."""
        table = self._knowledge.routes
        if table is None:
            return frozenset()
        bound = [rt.home_regions for rt in table.routes_of(host) if rt.home_regions]
        counts = Counter(region for homes in bound for region in homes)
        most = max(counts.values(), default=0)
        return frozenset(region for region, count in counts.items() if count == most)
