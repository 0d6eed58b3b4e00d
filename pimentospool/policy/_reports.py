"""Reports that spread between nodes; of each key the newest number wins."""

import math

import msgspec

from pimentospool._generated.peers import Report
from pimentospool.ids import EntryId


class _Held(msgspec.Struct, kw_only=True):
    report: Report
    risen_at: float


def newer_report(a: Report, b: Report) -> Report:
    """Return the report of the two that wins; both are of one key."""
    return max(a, b, key=_rank)


def _rank(report: Report) -> tuple[int, str, bytes]:
    return report.number, report.producer, report.data


class ReportBook:
    """The newest report of each key.

    Attributes
    ----------
    changes : int
        Grows when the data of any key changes.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._held: dict[str, _Held] = {}

    def get(self, key: str) -> Report | None:
        """Return the newest report of `key`, if any."""
        held = self._held.get(key)
        return held.report if held else None

    def with_prefix(self, prefix: str) -> list[Report]:
        """Return the reports whose key starts with `prefix`."""
        return [
            held.report for key, held in self._held.items() if key.startswith(prefix)
        ]

    def age(self, key: str, *, now: float) -> float | None:
        """Return the time since the number of `key` last rose here."""
        held = self._held.get(key)
        return now - held.risen_at if held else None

    def numbers(self, *, since: float = -math.inf) -> dict[str, int]:
        """Return the number of each key that rose after `since`."""
        return {
            key: held.report.number
            for key, held in self._held.items()
            if held.risen_at > since
        }

    def merge(self, report: Report, *, now: float) -> bool:
        """Take in a report; return whether it was newer than the one held."""
        held = self._held.get(report.key)
        if held is not None and newer_report(held.report, report) == held.report:
            return False
        if held is None or held.report.data != report.data:
            self.changes += 1
        self._held[report.key] = _Held(report=report, risen_at=now)
        return True

    def drop(self, key: str) -> None:
        """Forget the report of `key`."""
        self._held.pop(key, None)
        self.changes += 1

    def publish(
        self, key: str, data: bytes, *, producer: EntryId, number: int, now: float
    ) -> Report:
        """Set a report of this node above all that it knows.

        Parameters
        ----------
        number : int
            Lowest number to give, such as the time, so that a node that lost its
            memory does not start below its earlier reports.
        """
        held = self.get(key)
        if held is not None:
            number = max(number, held.number + 1)
        report = Report(key=key, number=number, producer=producer, data=data)
        self.merge(report, now=now)
        return report

    def missing_from(
        self, numbers: dict[str, int], *, since: float = -math.inf
    ) -> list[Report]:
        """Return the reports that a node with these numbers lacks.

        Parameters
        ----------
        since : float
            Reports whose number did not rise after this time are left out.
        """
        return [
            held.report
            for key, held in self._held.items()
            if held.risen_at > since and held.report.number > numbers.get(key, -1)
        ]

    def wanted_from(self, numbers: dict[str, int]) -> list[str]:
        """Return the keys for which a node with these numbers has newer reports."""
        wanted = []
        for key, number in numbers.items():
            held = self._held.get(key)
            if held is None or number > held.report.number:
                wanted.append(key)
        return wanted
