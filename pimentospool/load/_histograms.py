"""Latency histograms of callers' records.

A latency counts from the time at which the call was due, not from the time at which
it was sent. A stall that delays later calls is therefore in the figures, and no
correction for coordinated omission has to be estimated.
"""

from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from pimentospool._generated.records import CallerRecord, CallKind, CallOutcome
from pimentospool.ids import RegionId

_MAX_MICROSECONDS = 600_000_000
_DIGITS = 3
_MICROSECONDS = 1e6
_MILLISECONDS = 1e3


class Latencies(msgspec.Struct, kw_only=True):
    """Quantiles in milliseconds; all 0 without samples."""

    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class LatencySummary(msgspec.Struct, kw_only=True):
    """What callers of one region saw of one kind of call."""

    region: RegionId
    kind: CallKind
    sent: int
    outcomes: dict[str, int]
    first: Latencies
    total: Latencies


class _Series:
    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.first = HdrHistogram(1, _MAX_MICROSECONDS, _DIGITS)
        self.total = HdrHistogram(1, _MAX_MICROSECONDS, _DIGITS)

    def add(self, record: CallerRecord) -> None:
        name = record.outcome.value
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if record.outcome is not CallOutcome.WHOLE:
            return
        first_at = record.first_at or record.ended_at
        _record(self.first, first_at - record.intended_at)
        _record(self.total, record.ended_at - record.intended_at)


def summarize(records: Iterable[CallerRecord]) -> list[LatencySummary]:
    """Return one summary for each region and kind, in their order."""
    series: dict[tuple[RegionId, CallKind], _Series] = {}
    for record in records:
        series.setdefault((record.region, record.kind), _Series()).add(record)
    return [
        LatencySummary(
            region=region,
            kind=kind,
            sent=sum(found.outcomes.values()),
            outcomes=found.outcomes,
            first=_latencies(found.first),
            total=_latencies(found.total),
        )
        for (region, kind), found in sorted(
            series.items(), key=lambda item: (item[0][0], item[0][1].value)
        )
    ]


def _record(histogram: HdrHistogram, seconds: float) -> None:
    value = int(seconds * _MICROSECONDS)
    histogram.record_value(min(_MAX_MICROSECONDS, max(1, value)))


def _latencies(histogram: HdrHistogram) -> Latencies:
    p50, p95, p99 = (
        histogram.get_value_at_percentile(share) / _MILLISECONDS
        for share in (50, 95, 99)
    )
    highest = histogram.get_max_value() if histogram.get_total_count() else 0
    return Latencies(p50_ms=p50, p95_ms=p95, p99_ms=p99, max_ms=highest / _MILLISECONDS)
