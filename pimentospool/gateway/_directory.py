"""Selection of the entry VMs that the directory returns to callers."""

from collections import Counter

from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import EntryRecord
from pimentospool.gateway._model import Address
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.ids import RegionId

MAX_ADDRESSES = 64
"""Limit on the addresses that a caller accepts in one response."""


class EntryDirectory:
    """Selects the entry VMs that callers should connect to.

    Parameters
    ----------
    fleet : Fleet
        Membership of the entry VMs.
    routing_state : RoutingState
        Routes, whose home regions limit where request bodies may be sent.
    """

    def __init__(self, *, fleet: Fleet, routing_state: RoutingState) -> None:
        self._fleet = fleet
        self._routing_state = routing_state

    def lookup(self, host: str, region: RegionId) -> list[Address]:
        """Return the addresses of entry VMs for callers of `host` in `region`.

        Leaving entry VMs are returned only if none in the caller's region is ready, and
        those of other regions only if the caller's region has no leaving ones either.
        Then the home regions of the host come first.
        """
        records = self._fleet.ready(region) or self._fleet.leaving(region)
        if not records:
            records = self._records_in_other_regions(host, region)
        return [record.front for record in records[:MAX_ADDRESSES]]

    def _records_in_other_regions(
        self, host: str, region: RegionId
    ) -> list[EntryRecord]:
        records = [rec for rec in self._fleet.ready() if rec.region != region]
        homes = self._home_regions(host)
        return [rec for rec in records if rec.region in homes] or records

    def _home_regions(self, host: str) -> frozenset[RegionId]:
        """Return the home regions that the most routes of `host` have in common."""
        table = self._routing_state.routes
        if table is None:
            return frozenset()
        home_region_sets = [
            route.home_regions
            for route in table.routes_for_host(host)
            if route.home_regions
        ]
        counts = Counter(region for homes in home_region_sets for region in homes)
        max_count = max(counts.values(), default=0)
        return frozenset(
            region for region, count in counts.items() if count == max_count
        )
