"""Judges whether each accepted configuration came into force and stayed."""

from collections import defaultdict

from pimentospool._generated.scenario import FaultKind
from pimentospool.drill._evidence import (
    Evidence,
    FaultWindow,
    Promise,
    PromiseResult,
    Publication,
    RevisionSample,
)
from pimentospool.ids import EntryId

IN_FORCE_SECONDS = 4.0
_BLOCKING = (
    FaultKind.CONFIGURATION_DOWN,
    FaultKind.CONFIGURATION_STALE,
    FaultKind.REGION_LOST,
    FaultKind.REGION_ISOLATED,
    FaultKind.ENTRY_KILLED,
    FaultKind.ENTRY_PAUSED,
    FaultKind.ENTRY_REPLACED,
)


def judge_configuration(evidence: Evidence) -> PromiseResult:
    """Return the result of the promise on configuration.

    A revision is due at an entry VM `IN_FORCE_SECONDS` after its publication, or
    after the end of the last failure that kept the entry VM from hearing of it.
    """
    result = PromiseResult(
        promise=Promise.CONFIGURATION,
        bound=f"{IN_FORCE_SECONDS:g} s at each entry VM that can hear of it",
    )
    samples: dict[EntryId, list[RevisionSample]] = defaultdict(list)
    for sample in evidence.samples:
        samples[sample.entry].append(sample)
    refused = {item.revision for item in evidence.publications if not item.acceptable}
    for entry, seen in samples.items():
        seen.sort(key=lambda sample: sample.at)
        _judge_order(result, entry, seen, refused)
        for publication in evidence.publications:
            if publication.acceptable:
                _judge_arrival(result, evidence, entry, seen, publication)
    return result


def _judge_order(
    result: PromiseResult,
    entry: EntryId,
    samples: list[RevisionSample],
    refused: set[int],
) -> None:
    highest = 0
    for sample in samples:
        if not sample.revision:
            continue
        faults = []
        if sample.revision < highest:
            faults.append(f"went back from {highest} to {sample.revision}")
        if sample.revision in refused:
            faults.append(f"took the refused revision {sample.revision}")
        if sample.accepts_newest is False:
            faults.append(f"names revision {sample.revision} and does not follow it")
        if sample.revision > highest or faults:
            result.count(bool(faults), f"{entry} " + "; ".join(faults))
        highest = max(highest, sample.revision)


def _judge_arrival(
    result: PromiseResult,
    evidence: Evidence,
    entry: EntryId,
    samples: list[RevisionSample],
    publication: Publication,
) -> None:
    due = _due(evidence, entry, publication.at)
    later = [sample for sample in samples if sample.at >= due and sample.revision]
    if not later:
        return
    first = later[0]
    late = first.revision < publication.revision
    message = (
        f"{entry} follows {first.revision} instead of {publication.revision}, "
        f"{first.at - publication.at:.1f} s after its publication"
    )
    result.count(late, message)


def _due(evidence: Evidence, entry: EntryId, published: float) -> float:
    due = published + IN_FORCE_SECONDS
    for window in sorted(evidence.faults, key=lambda item: item.start):
        blocks = window.kind in _BLOCKING and _concerns(evidence, window, entry)
        if blocks and window.start <= due and window.end >= published:
            due = max(due, window.end + IN_FORCE_SECONDS)
    return due


def _concerns(evidence: Evidence, window: FaultWindow, entry: EntryId) -> bool:
    if window.kind in (FaultKind.CONFIGURATION_DOWN, FaultKind.CONFIGURATION_STALE):
        return True
    if window.entry is not None:
        return window.entry == entry
    return window.region == evidence.entry_regions.get(entry)
