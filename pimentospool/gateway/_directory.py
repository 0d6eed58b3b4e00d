"""Which entry VMs a caller is told to use."""

from pimentospool.gateway._fleet import EntryRecord, EntryState, Fleet
from pimentospool.gateway._knowledge import Knowledge
from pimentospool.gateway._model import Address
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

        Those of another region are named only if none of the caller's is ready, and
        then those of the host's home regions first.
        """
        records = self._fleet.ready(region)
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
        table = self._knowledge.routes
        if table is None:
            return frozenset()
        bound = [rt.home_regions for rt in table.routes_of(host) if rt.home_regions]
        return frozenset.intersection(*bound) if bound else frozenset()
