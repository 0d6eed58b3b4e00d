"""Reads and validates scenarios, and plans their faults with a seeded generator."""

import random
from pathlib import Path
from typing import TypeVar

import msgspec

from pimentospool._generated.scenario import Fault, FaultKind, Scenario
from pimentospool.errors import DocumentError
from pimentospool.ids import EntryId, RegionId, TargetId
from pimentospool.manifest import Manifest, ManifestIndex, TargetKind
from pimentospool.readers import decode_toml

T = TypeVar("T")
LINK_KINDS = frozenset(
    {FaultKind.LINK_CUT, FaultKind.LINK_SILENT, FaultKind.LINK_ONE_WAY}
)
ENTRY_KINDS = frozenset(
    {FaultKind.ENTRY_KILLED, FaultKind.ENTRY_PAUSED, FaultKind.ENTRY_REPLACED}
)
INSTANT_KINDS = frozenset(
    {
        FaultKind.CONNECTIONS_SILENT,
        FaultKind.CACHES_COLD,
        FaultKind.MANIFEST_PUBLISHED,
        FaultKind.MANIFEST_REFUSED,
    }
)


class PlannedFault(msgspec.Struct, kw_only=True, frozen=True):
    """A fault with every choice made; times in seconds from the scenario's start."""

    kind: FaultKind
    start: float
    end: float
    region: RegionId
    other_region: RegionId | None = None
    entry: EntryId | None = None
    target: TargetId | None = None


def read_scenario(path: Path) -> Scenario:
    """Read and validate the scenario at `path`.

    Raises
    ------
    DocumentErrors
        With every error found in the file.
    """
    return parse_scenario(path.read_bytes())


def parse_scenario(data: bytes) -> Scenario:
    """Return the validated scenario given as TOML.

    Raises
    ------
    DocumentErrors
        With every error found in the document.
    """
    return decode_toml(data, Scenario, _check_scenario)


def _check_scenario(scenario: Scenario) -> list[DocumentError]:
    return [
        DocumentError(path=f"faults[{number}].{name}", message=message)
        for number, fault in enumerate(scenario.faults)
        for name, message in _find_errors(fault, scenario.seconds)
    ]


def _find_errors(fault: Fault, seconds: float) -> list[tuple[str, str]]:
    if fault.kind in INSTANT_KINDS:
        if fault.end:
            return [("end", f"{fault.kind.value} happens at one moment; leave it out")]
        if fault.start > seconds:
            return [("start", f"must be within the scenario's {seconds:g} s")]
        return []
    if not fault.start < fault.end <= seconds:
        return [("end", f"must be after start and within the scenario's {seconds:g} s")]
    return []


class ScenarioPlanner:
    """Plans the faults of a scenario for one deployment.

    Parameters
    ----------
    manifest : Manifest
        Regions and targets to choose from.
    entries : dict of RegionId to list of EntryId
        Entry VMs to choose from.
    rng : random.Random
        Generator for the choices that the scenario leaves open.
    """

    def __init__(
        self,
        *,
        manifest: Manifest,
        entries: dict[RegionId, list[EntryId]],
        rng: random.Random,
    ) -> None:
        self._manifest = manifest
        self._index = ManifestIndex(manifest=manifest)
        self._entries = entries
        self._rng = rng

    def plan(self, scenario: Scenario) -> list[PlannedFault]:
        """Return the planned faults in order of their start."""
        planned = [self._plan_fault(fault) for fault in scenario.faults]
        return sorted(planned, key=lambda fault: fault.start)

    def _plan_fault(self, fault: Fault) -> PlannedFault:
        regions = [region.id for region in self._manifest.regions]
        region = self._choose(regions, fault.region)
        other_regions = [item for item in regions if item != region]
        other_region = None
        if fault.kind in LINK_KINDS:
            if fault.other_region >= 0:
                other_region = regions[fault.other_region % len(regions)]
            if other_region is None or other_region == region:
                other_region = self._rng.choice(other_regions)
        entry = None
        if fault.kind in ENTRY_KINDS:
            entry = self._choose(self._entries[region], fault.member)
        target = None
        if fault.kind is FaultKind.TARGET_LEAVING:
            target = self._choose(self._engines(region), fault.member)
        return PlannedFault(
            kind=fault.kind,
            start=fault.start,
            end=max(fault.start, fault.end),
            region=region,
            other_region=other_region,
            entry=entry,
            target=target,
        )

    def _engines(self, region: RegionId) -> list[TargetId]:
        return [
            target.id
            for target in self._manifest.targets
            if target.kind is TargetKind.ENGINE
            and self._index.region_of(target) == region
        ]

    def _choose(self, items: list[T], index: int) -> T:
        """Return the item at `index` modulo the length, or a random one if below 0."""
        if index < 0:
            return self._rng.choice(items)
        return items[index % len(items)]
