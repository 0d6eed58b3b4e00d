"""State of other availability zones, from their summaries and the VM list."""

import math

import msgspec

from pimentospool._generated.peers import Member, Report, ZoneSummary
from pimentospool._generated.platform import VmKind, VmRecord
from pimentospool.ids import RegionId, ZoneId
from pimentospool.peers._gossip import ZONE_HEARTBEAT_PREFIX
from pimentospool.policy import ReportBook

SUMMARY_PREFIX = "zone/"


class ZoneView:
    """State of the other zones, as known to one entry VM.

    Parameters
    ----------
    own_zone : ZoneId
        Zone of the local entry VM.
    reports : ReportBook
        Receives the summaries and heartbeats of zones.
    heartbeat_seconds, gone_after_seconds : float
        Times from the settings.
    """

    def __init__(
        self,
        *,
        own_zone: ZoneId,
        reports: ReportBook,
        heartbeat_seconds: float,
        gone_after_seconds: float,
    ) -> None:
        self._own_zone = own_zone
        self._reports = reports
        self._heartbeat_seconds = heartbeat_seconds
        self._gone_after_seconds = gone_after_seconds
        self._listed_vms: list[VmRecord] = []
        self._cached_changes = -1
        self._cached_summaries: list[ZoneSummary] = []
        self._decoded: dict[str, tuple[Report, ZoneSummary]] = {}

    def set_listed_vms(self, vms: list[VmRecord]) -> None:
        """Store the entry VMs of the platform's VM list."""
        self._listed_vms = [vm for vm in vms if vm.kind is VmKind.ENTRY]

    @property
    def listed_vms(self) -> list[VmRecord]:
        """Entry VMs of the platform's VM list."""
        return self._listed_vms

    def summaries(self) -> list[ZoneSummary]:
        """Return the latest summary of each other zone."""
        if self._cached_changes == self._reports.changes:
            return self._cached_summaries
        self._cached_changes = self._reports.changes
        self._cached_summaries = self._read_summaries()
        return self._cached_summaries

    def _read_summaries(self) -> list[ZoneSummary]:
        summaries = []
        for report in self._reports.with_prefix(SUMMARY_PREFIX):
            summary = self._decode(report)
            if summary is not None and summary.zone != self._own_zone:
                summaries.append(summary)
        return summaries

    def zones(self) -> list[ZoneId]:
        """Return every other zone that a summary or the VM list names."""
        zones = {summary.zone for summary in self.summaries()}
        zones |= {vm.zone for vm in self._listed_vms}
        return sorted(zones - {self._own_zone})

    def age(self, zone: ZoneId, *, now: float) -> float | None:
        """Return the seconds since a zone's last heartbeat, or None if none came."""
        return self._reports.age(ZONE_HEARTBEAT_PREFIX + zone, now=now)

    def unreachable_after_seconds(self) -> float:
        """Return the age in seconds at which a zone counts as unreachable.

        Zone heartbeats spread by gossip from zone to zone, in a number of steps that
        grows with the logarithm of the number of zones.
        """
        steps = math.ceil(math.log2(len(self.zones()) + 2))
        return self._gone_after_seconds + 2 * steps * self._heartbeat_seconds

    def reachable(self, zone: ZoneId, *, now: float) -> bool:
        """Return whether a zone's last heartbeat is recent enough."""
        age = self.age(zone, now=now)
        return age is not None and age < self.unreachable_after_seconds()

    def gateways(self, zone: ZoneId) -> list[Member]:
        """Return the entry VMs of a zone that other zones use."""
        report = self._reports.get(SUMMARY_PREFIX + zone)
        summary = self._decode(report) if report else None
        return summary.gateways if summary else []

    def addresses(self, zone: ZoneId, *, now: float) -> list[str]:
        """Return peer addresses at which a zone may be reached."""
        found = [member.peer_address for member in self.gateways(zone)]
        if not self.reachable(zone, now=now):
            found += [vm.peer_address for vm in self._listed_vms if vm.zone == zone]
        return found

    def region_of(self, zone: ZoneId) -> RegionId | None:
        """Return the region of another zone, if it is known."""
        for summary in self.summaries():
            if summary.zone == zone:
                return summary.region
        for vm in self._listed_vms:
            if vm.zone == zone:
                return vm.region
        return None

    def _decode(self, report: Report) -> ZoneSummary | None:
        cached = self._decoded.get(report.key)
        if cached is not None and cached[0] is report:
            return cached[1]
        try:
            summary = msgspec.msgpack.decode(report.data, type=ZoneSummary)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None
        self._decoded[report.key] = (report, summary)
        return summary
