"""Reports that nodes gossip; the highest number of each key wins."""

import math

import msgspec

from pimentospool._generated.peers import Report
from pimentospool.ids import EntryId


class _StoredReport(msgspec.Struct, kw_only=True):
    report: Report
    stored_at: float


def newer_report(a: Report, b: Report) -> Report:
    """Return whichever of two reports with one key takes precedence."""
    return max(a, b, key=_precedence)


def _precedence(report: Report) -> tuple[int, str, bytes]:
    return report.number, report.producer, report.data


class ReportBook:
    """The newest report of each key.

    Attributes
    ----------
    changes : int
        Counter that grows whenever the data of any key changes.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._reports: dict[str, _StoredReport] = {}

    def get(self, key: str) -> Report | None:
        """Return the newest report of `key`, if any."""
        stored = self._reports.get(key)
        return stored.report if stored else None

    def with_prefix(self, prefix: str) -> list[Report]:
        """Return the reports whose key starts with `prefix`."""
        return [
            stored.report
            for key, stored in self._reports.items()
            if key.startswith(prefix)
        ]

    def age(self, key: str, *, now: float) -> float | None:
        """Return the seconds since this node stored the report of `key`, if any."""
        stored = self._reports.get(key)
        return now - stored.stored_at if stored else None

    def numbers(self, *, since: float = -math.inf) -> dict[str, int]:
        """Return the number of each key whose report was stored after `since`."""
        return {
            key: stored.report.number
            for key, stored in self._reports.items()
            if stored.stored_at > since
        }

    def merge(self, report: Report, *, now: float) -> bool:
        """Store a report if it is newer than the stored one; return whether it was."""
        stored = self._reports.get(report.key)
        if stored is not None and newer_report(stored.report, report) == stored.report:
            return False
        if stored is None or stored.report.data != report.data:
            self.changes += 1
        self._reports[report.key] = _StoredReport(report=report, stored_at=now)
        return True

    def drop(self, key: str) -> None:
        """Remove the report of `key`."""
        self._reports.pop(key, None)
        self.changes += 1

    def publish(
        self, key: str, data: bytes, *, producer: EntryId, number: int, now: float
    ) -> Report:
        """Store a report of this node with a number above all known ones of its key.

        Parameters
        ----------
        number : int
            Lowest number to use, such as the time, so that a restarted node does not
            start below its earlier reports.
        """
        stored = self.get(key)
        if stored is not None:
            number = max(number, stored.number + 1)
        report = Report(key=key, number=number, producer=producer, data=data)
        self.merge(report, now=now)
        return report

    def missing_from(
        self, numbers: dict[str, int], *, since: float = -math.inf
    ) -> list[Report]:
        """Return the reports that are newer than those of a node with `numbers`.

        Keys absent from `numbers` are included.

        Parameters
        ----------
        since : float
            Reports stored at or before this time are left out.
        """
        return [
            stored.report
            for key, stored in self._reports.items()
            if stored.stored_at > since and stored.report.number > numbers.get(key, -1)
        ]

    def wanted_from(self, numbers: dict[str, int]) -> list[str]:
        """Return the keys for which a node with `numbers` has newer reports."""
        wanted = []
        for key, number in numbers.items():
            stored = self._reports.get(key)
            if stored is None or number > stored.report.number:
                wanted.append(key)
        return wanted
