"""Checks that each acceptable revision became active everywhere and stayed so."""

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

ACTIVATION_LIMIT_SECONDS = 4.0
_BLOCKING_KINDS = (
    FaultKind.CONFIGURATION_DOWN,
    FaultKind.CONFIGURATION_STALE,
    FaultKind.REGION_LOST,
    FaultKind.REGION_ISOLATED,
    FaultKind.ENTRY_KILLED,
    FaultKind.ENTRY_PAUSED,
    FaultKind.ENTRY_REPLACED,
)


def check_configuration(evidence: Evidence) -> PromiseResult:
    """Return the result of the configuration promise.

    A revision must be active at an entry VM `ACTIVATION_LIMIT_SECONDS` after its
    publication, or after the end of the last failure that kept the entry VM from
    receiving it.
    """
    result = PromiseResult(
        promise=Promise.CONFIGURATION,
        bound=f"{ACTIVATION_LIMIT_SECONDS:g} s at each entry VM that can hear of it",
    )
    samples: dict[EntryId, list[RevisionSample]] = defaultdict(list)
    for sample in evidence.samples:
        samples[sample.entry].append(sample)
    unacceptable = {
        item.revision for item in evidence.publications if not item.acceptable
    }
    for entry, entry_samples in samples.items():
        entry_samples.sort(key=lambda sample: sample.sampled_at)
        _check_order(result, entry, entry_samples, unacceptable)
        for publication in evidence.publications:
            if publication.acceptable:
                _check_activation(result, evidence, entry, entry_samples, publication)
    return result


def _check_order(
    result: PromiseResult,
    entry: EntryId,
    samples: list[RevisionSample],
    unacceptable: set[int],
) -> None:
    highest = 0
    for sample in samples:
        if not sample.revision:
            continue
        violations = []
        if sample.revision < highest:
            violations.append(f"went back from {highest} to {sample.revision}")
        if sample.revision in unacceptable:
            violations.append(f"took the refused revision {sample.revision}")
        if sample.accepts_probe_key is False:
            violations.append(
                f"names revision {sample.revision} and does not follow it"
            )
        if sample.revision > highest or violations:
            result.count_case(bool(violations), f"{entry} " + "; ".join(violations))
        highest = max(highest, sample.revision)


def _check_activation(
    result: PromiseResult,
    evidence: Evidence,
    entry: EntryId,
    samples: list[RevisionSample],
    publication: Publication,
) -> None:
    due_at = _due_at(evidence, entry, publication.published_at)
    due_samples = [
        sample for sample in samples if sample.sampled_at >= due_at and sample.revision
    ]
    if not due_samples:
        return
    first = due_samples[0]
    is_late = first.revision < publication.revision
    message = (
        f"{entry} follows {first.revision} instead of {publication.revision}, "
        f"{first.sampled_at - publication.published_at:.1f} s after its publication"
    )
    result.count_case(is_late, message)


def _due_at(evidence: Evidence, entry: EntryId, published_at: float) -> float:
    due_at = published_at + ACTIVATION_LIMIT_SECONDS
    for window in sorted(evidence.faults, key=lambda item: item.start):
        is_blocking = window.kind in _BLOCKING_KINDS and _affects(
            evidence, window, entry
        )
        if is_blocking and window.start <= due_at and window.end >= published_at:
            due_at = max(due_at, window.end + ACTIVATION_LIMIT_SECONDS)
    return due_at


def _affects(evidence: Evidence, window: FaultWindow, entry: EntryId) -> bool:
    if window.kind in (FaultKind.CONFIGURATION_DOWN, FaultKind.CONFIGURATION_STALE):
        return True
    if window.entry is not None:
        return window.entry == entry
    return window.region == evidence.entry_regions.get(entry)
