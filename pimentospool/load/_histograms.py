"""Latency histograms of callers' records.

A latency is measured from the time at which the call was due, not from the time at
which it was sent. The figures therefore include a stall that delays later calls, and
need no estimated correction for coordinated omission.
"""

from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from pimentospool._generated.records import CallerRecord, CallKind, CallOutcome
from pimentospool.ids import RegionId

_MAX_MICROSECONDS = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_SECOND = 1e6
_US_PER_MS = 1e3


class Latencies(msgspec.Struct, kw_only=True):
    """Quantiles in milliseconds; all 0 without samples."""

    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class LatencySummary(msgspec.Struct, kw_only=True):
    """Outcomes and latencies of one kind of call in one region.

    `first` is the time to the first byte, `total` the time to the end of the answer;
    both cover only calls with a whole answer.
    """

    region: RegionId
    kind: CallKind
    sent: int
    outcomes: dict[str, int]
    first: Latencies
    total: Latencies


class _Histograms:
    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.first = HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
        self.total = HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)

    def add(self, record: CallerRecord) -> None:
        name = record.outcome.value
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if record.outcome is not CallOutcome.WHOLE:
            return
        first_at = record.first_at or record.ended_at
        _record_seconds(self.first, first_at - record.intended_at)
        _record_seconds(self.total, record.ended_at - record.intended_at)


def summarize(records: Iterable[CallerRecord]) -> list[LatencySummary]:
    """Return a summary for each region and kind of call, sorted by both."""
    histograms: dict[tuple[RegionId, CallKind], _Histograms] = {}
    for record in records:
        histograms.setdefault((record.region, record.kind), _Histograms()).add(record)
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
            histograms.items(), key=lambda item: (item[0][0], item[0][1].value)
        )
    ]


def _record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    microseconds = int(seconds * _US_PER_SECOND)
    histogram.record_value(min(_MAX_MICROSECONDS, max(1, microseconds)))


def _latencies(histogram: HdrHistogram) -> Latencies:
    p50, p95, p99 = (
        histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in (50, 95, 99)
    )
    max_us = histogram.get_max_value() if histogram.get_total_count() else 0
    return Latencies(p50_ms=p50, p95_ms=p95, p99_ms=p99, max_ms=max_us / _US_PER_MS)
