"""What a drill saw over time, in buckets of one second."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from pimentospool._generated.records import CallerRecord, CallKind, CallOutcome
from pimentospool.drill._evidence import Evidence, RevisionSample
from pimentospool.ids import RegionId
from pimentospool.manifest import ManifestIndex

BUCKET_SECONDS = 1.0
_MILLISECONDS = 1e3
_PERCENT = 100.0
T = TypeVar("T")


class Curve(msgspec.Struct, kw_only=True):
    """Values over seconds since the drill's start."""

    name: str
    seconds: list[float]
    values: list[float]


class DrillSeries(msgspec.Struct, kw_only=True):
    """Curves of a drill."""

    first_token_ms: list[Curve]
    sent_away_percent: list[Curve]
    not_answered: list[Curve]
    revisions: list[Curve]


def start_of(evidence: Evidence) -> float:
    """Return the time from which a drill's seconds count."""
    times = [record.intended_at for record in evidence.records]
    times += [window.start for window in evidence.faults]
    times += [sample.at for sample in evidence.samples]
    return min(times, default=0.0)


def make_series(evidence: Evidence) -> DrillSeries:
    """Return the curves of everything that the report plots."""
    start = start_of(evidence)
    return DrillSeries(
        first_token_ms=_first_tokens(evidence, start),
        sent_away_percent=_sent_away(evidence, start),
        not_answered=_not_answered(evidence, start),
        revisions=_revisions(evidence, start),
    )


def _first_tokens(evidence: Evidence, start: float) -> list[Curve]:
    curves = []
    for kind in (CallKind.SHORT, CallKind.LONG):
        records = [
            record
            for record in evidence.records
            if record.kind is kind and record.outcome is CallOutcome.WHOLE
        ]
        buckets = _bucket(records, lambda record: record.intended_at - start)
        curves.append(_curve(f"{kind.value}, slowest", buckets, _slowest_first_ms))
    return curves


def _slowest_first_ms(records: list[CallerRecord]) -> float:
    return max(
        ((record.first_at or record.ended_at) - record.intended_at) * _MILLISECONDS
        for record in records
    )


def _sent_away(evidence: Evidence, start: float) -> list[Curve]:
    index = ManifestIndex(manifest=evidence.manifest)
    served: dict[str, set[RegionId]] = defaultdict(set)
    for item in evidence.executions:
        region = index.region_of(index.targets[item.target])
        served[item.execution.body_digest].add(region)

    def percent_away(records: list[CallerRecord]) -> float:
        away = sum(
            bool(served[record.body_digest] - {record.region}) for record in records
        )
        return away / len(records) * _PERCENT

    buckets = _bucket(evidence.records, lambda record: record.intended_at - start)
    return [_curve("sent to another region", buckets, percent_away)]


def _not_answered(evidence: Evidence, start: float) -> list[Curve]:
    curves = []
    for outcome in CallOutcome:
        if outcome is CallOutcome.WHOLE:
            continue
        records = [item for item in evidence.records if item.outcome is outcome]
        buckets = _bucket(records, lambda record: record.intended_at - start)
        if buckets:
            curves.append(_curve(outcome.value, _filled(buckets), len))
    return curves


def _revisions(evidence: Evidence, start: float) -> list[Curve]:
    regions = {region.id for region in evidence.manifest.regions}
    curves = []
    for region in sorted(regions):
        samples = [
            sample
            for sample in evidence.samples
            if evidence.entry_regions.get(sample.entry) == region and sample.revision
        ]
        buckets = _bucket(samples, lambda sample: sample.at - start)
        curves.append(_curve(f"lowest in {region}", buckets, _lowest_revision))
    return curves


def _lowest_revision(samples: list[RevisionSample]) -> float:
    return min(sample.revision for sample in samples)


def _bucket(items: Iterable[T], seconds_of: Callable[[T], float]) -> dict[int, list[T]]:
    buckets: dict[int, list[T]] = defaultdict(list)
    for item in items:
        buckets[int(seconds_of(item) / BUCKET_SECONDS)].append(item)
    return buckets


def _filled(buckets: dict[int, list[T]]) -> dict[int, list[T]]:
    """Return the buckets with empty ones beside each, so that a curve falls to 0."""
    beside = {number + step for number in buckets for step in (-1, 0, 1)}
    return {number: buckets.get(number, []) for number in beside if number >= 0}


def _curve(
    name: str, buckets: dict[int, list[T]], reduce: Callable[[list[T]], float]
) -> Curve:
    numbers = sorted(buckets)
    return Curve(
        name=name,
        seconds=[number * BUCKET_SECONDS for number in numbers],
        values=[float(reduce(buckets[number])) for number in numbers],
    )
