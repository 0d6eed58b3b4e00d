"""Loads of the other regions, as their entry VMs report them."""

import math
from collections.abc import Callable, Mapping, Sequence
from statistics import median

from pimentospool.gateway._fleet_messages import EntryRecord, ServiceLoad
from pimentospool.ids import EntryId, MemberKey, RegionId, ServiceId

LOAD_REPORTERS = 2
"""Number of entry VMs of a region that report its load to each one of another region.
Which ones do follows from their order, since with random receivers some would learn of
no region for seconds."""
LOAD_REPORT_TTL_SECONDS = 2.5
"""Age up to which the loads reported by several entry VMs of a region are combined;
each entry VM receives about three reports in this time."""
MAX_LOAD_AGE_SECONDS = 10.0
"""Age above which the last load of a region says nothing. A region whose reports got
lost may still be the only one with targets."""


class RegionLoads:
    """Newest load reports of the entry VMs of other regions.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._reports: dict[
            RegionId, dict[EntryId, tuple[float, dict[str, ServiceLoad]]]
        ] = {}

    def record(self, sender: EntryRecord, loads: dict[str, ServiceLoad]) -> None:
        """Store the report of an entry VM of another region."""
        reports = self._reports.setdefault(RegionId(sender.region), {})
        reports[EntryId(sender.id)] = (self._clock(), loads)

    def expire(self) -> None:
        """Drop reports that are too old to say anything."""
        oldest = self._clock() - MAX_LOAD_AGE_SECONDS
        for reports in self._reports.values():
            for entry, (received_at, _) in list(reports.items()):
                if received_at < oldest:
                    del reports[entry]

    def of_service(
        self, service: ServiceId, *, is_served: Callable[[RegionId], bool]
    ) -> dict[RegionId, ServiceLoad]:
        """Return the load of `service` in each region that has reported one.

        It is the median of recent reports of the region's entry VMs. Each of them knows
        only a part of the region's load, so the lowest of many reports is far below the
        actual load.

        Parameters
        ----------
        service : ServiceId
            The service.
        is_served : callable
            Returns whether a region has entry VMs that accept requests; if so, its
            newest report counts when there is no recent one.
        """
        oldest = self._clock() - LOAD_REPORT_TTL_SECONDS
        result = {}
        for region, reports in self._reports.items():
            recent = [by_service for at, by_service in reports.values() if at >= oldest]
            if not recent and reports and is_served(region):
                recent = [max(reports.values(), key=lambda report: report[0])[1]]
            loads = [
                by_service[service] for by_service in recent if service in by_service
            ]
            if loads:
                result[region] = ServiceLoad(
                    median(load.wait_seconds for load in loads),
                    median(load.slot_utilisation for load in loads),
                )
        return result


def choose_load_receivers(
    local: EntryRecord,
    *,
    reporters: Sequence[EntryRecord],
    live: Mapping[MemberKey, EntryRecord],
) -> list[EntryRecord]:
    """Return the entry VMs of other regions to which `local` reports its load.

    Parameters
    ----------
    local : EntryRecord
        The entry VM that reports.
    reporters : sequence of EntryRecord
        Entry VMs of its region that share the reports between them.
    live : mapping
        Other entry VMs that are alive, by key.
    """
    keys = sorted(record.key for record in reporters)
    if local.key not in keys:
        return []
    rank = keys.index(local.key)
    by_region: dict[str, list[EntryRecord]] = {}
    for key in sorted(live):
        record = live[key]
        if record.region != local.region:
            by_region.setdefault(record.region, []).append(record)
    receivers = []
    for records in by_region.values():
        size = math.ceil(LOAD_REPORTERS * len(records) / len(keys))
        size = min(size, len(records))
        first = rank * size
        receivers += [
            records[number % len(records)] for number in range(first, first + size)
        ]
    return receivers
