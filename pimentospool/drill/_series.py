"""Time series of a drill, in buckets of one second."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from pimentospool._generated.records import CallerRecord, CallKind, CallOutcome
from pimentospool.drill._evidence import Evidence, RevisionSample
from pimentospool.ids import RegionId
from pimentospool.manifest import ManifestIndex

BUCKET_SECONDS = 1.0
_MS_PER_SECOND = 1e3
_PERCENT = 100.0
T = TypeVar("T")


class Curve(msgspec.Struct, kw_only=True):
    """A named series of values over the seconds since the drill's start."""

    name: str
    seconds: list[float]
    values: list[float]


class DrillSeries(msgspec.Struct, kw_only=True):
    """The curves that a drill's report plots."""

    first_token_ms: list[Curve]
    sent_away_percent: list[Curve]
    not_answered: list[Curve]
    revisions: list[Curve]


def start_time(evidence: Evidence) -> float:
    """Return the earliest time in the evidence, from which seconds are counted."""
    times = [record.intended_at for record in evidence.records]
    times += [window.start for window in evidence.faults]
    times += [sample.sampled_at for sample in evidence.samples]
    return min(times, default=0.0)


def make_series(evidence: Evidence) -> DrillSeries:
    """Return every curve that the report plots."""
    start = start_time(evidence)
    return DrillSeries(
        first_token_ms=_first_token_curves(evidence, start),
        sent_away_percent=_sent_away_curves(evidence, start),
        not_answered=_failure_curves(evidence, start),
        revisions=_revision_curves(evidence, start),
    )


def _first_token_curves(evidence: Evidence, start: float) -> list[Curve]:
    curves = []
    for kind in (CallKind.SHORT, CallKind.LONG):
        records = [
            record
            for record in evidence.records
            if record.kind is kind and record.outcome is CallOutcome.WHOLE
        ]
        buckets = _group_into_buckets(
            records, lambda record: record.intended_at - start
        )
        curves.append(_make_curve(f"{kind.value}, slowest", buckets, _slowest_first_ms))
    return curves


def _slowest_first_ms(records: list[CallerRecord]) -> float:
    return max(
        ((record.first_at or record.ended_at) - record.intended_at) * _MS_PER_SECOND
        for record in records
    )


def _sent_away_curves(evidence: Evidence, start: float) -> list[Curve]:
    index = ManifestIndex(manifest=evidence.manifest)
    serving_regions: dict[str, set[RegionId]] = defaultdict(set)
    for item in evidence.executions:
        region = index.region_of(index.targets[item.target])
        serving_regions[item.execution.body_digest].add(region)

    def percent_sent_away(records: list[CallerRecord]) -> float:
        sent_away = sum(
            bool(serving_regions[record.body_digest] - {record.region})
            for record in records
        )
        return sent_away / len(records) * _PERCENT

    buckets = _group_into_buckets(
        evidence.records, lambda record: record.intended_at - start
    )
    return [_make_curve("sent to another region", buckets, percent_sent_away)]


def _failure_curves(evidence: Evidence, start: float) -> list[Curve]:
    curves = []
    for outcome in CallOutcome:
        if outcome is CallOutcome.WHOLE:
            continue
        records = [item for item in evidence.records if item.outcome is outcome]
        buckets = _group_into_buckets(
            records, lambda record: record.intended_at - start
        )
        if buckets:
            curves.append(
                _make_curve(outcome.value, _with_empty_neighbours(buckets), len)
            )
    return curves


def _revision_curves(evidence: Evidence, start: float) -> list[Curve]:
    regions = {region.id for region in evidence.manifest.regions}
    curves = []
    for region in sorted(regions):
        samples = [
            sample
            for sample in evidence.samples
            if evidence.entry_regions.get(sample.entry) == region and sample.revision
        ]
        buckets = _group_into_buckets(samples, lambda sample: sample.sampled_at - start)
        curves.append(_make_curve(f"lowest in {region}", buckets, _lowest_revision))
    return curves


def _lowest_revision(samples: list[RevisionSample]) -> float:
    return min(sample.revision for sample in samples)


def _group_into_buckets(
    items: Iterable[T], seconds_of: Callable[[T], float]
) -> dict[int, list[T]]:
    buckets: dict[int, list[T]] = defaultdict(list)
    for item in items:
        buckets[int(seconds_of(item) / BUCKET_SECONDS)].append(item)
    return buckets


def _with_empty_neighbours(buckets: dict[int, list[T]]) -> dict[int, list[T]]:
    """Return the buckets with an empty one on each side, so that curves fall to 0."""
    numbers = {number + step for number in buckets for step in (-1, 0, 1)}
    return {number: buckets.get(number, []) for number in numbers if number >= 0}


def _make_curve(
    name: str, buckets: dict[int, list[T]], reduce: Callable[[list[T]], float]
) -> Curve:
    numbers = sorted(buckets)
    return Curve(
        name=name,
        seconds=[number * BUCKET_SECONDS for number in numbers],
        values=[float(reduce(buckets[number])) for number in numbers],
    )
