"""Choice of the target, or of the region, that serves a request."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from pimentospool.errors import Reason
from pimentospool.ids import ModelId, RegionId, ServiceId, TargetId
from pimentospool.manifest import ManifestIndex, Target, TargetKind


class RouteQuery(msgspec.Struct, kw_only=True, frozen=True):
    """What routing knows of a request."""

    allowed_regions: frozenset[RegionId]
    model: ModelId | None = None
    adapter: str = ""
    service: ServiceId | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    blocks: tuple[str, ...] = ()
    hopped: bool = False
    excluded_targets: frozenset[TargetId] = frozenset()
    excluded_regions: frozenset[RegionId] = frozenset()


class TargetRoute(msgspec.Struct, kw_only=True, frozen=True):
    """Serve at a target of the own region."""

    target: Target
    explanation: str


class RegionRoute(msgspec.Struct, kw_only=True, frozen=True):
    """Send one hop to an entry VM of another region."""

    region: RegionId
    explanation: str


class RouteRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """No target may serve the request now."""

    reason: Reason
    detail: str
    retry_after_seconds: float | None = None


class Router:
    """Chooses targets for the requests that one entry VM receives.

    Parameters
    ----------
    region : RegionId
        Region of the entry VM.
    """

    def __init__(self, *, region: RegionId) -> None:
        self._region = region
        self._index: ManifestIndex | None = None
        self._in_flight: Counter[TargetId] = Counter()
        self._leaving: frozenset[TargetId] = frozenset()

    def set_manifest(self, index: ManifestIndex) -> None:
        """Route by the manifest behind `index` from now on."""
        self._index = index

    def set_leaving(self, targets: frozenset[TargetId]) -> None:
        """Give no new request to `targets`."""
        self._leaving = targets

    def choose(self, query: RouteQuery) -> TargetRoute | RegionRoute | RouteRefusal:
        """Return where the request goes, or why it goes nowhere."""
        if self._index is None:
            return RouteRefusal(
                reason=Reason.NOT_READY, detail="no configuration is in force yet"
            )
        local = [
            target
            for target in self._serving(query)
            if self._index.region_of(target) == self._region
        ]
        if local and self._region in query.allowed_regions:
            best = min(local, key=lambda target: self._in_flight[target.id])
            return TargetRoute(target=best, explanation="least requests in flight")
        if not query.hopped:
            for region in sorted(self._other_regions(query)):
                return RegionRoute(region=region, explanation="not served here")
        return RouteRefusal(
            reason=Reason.NO_TARGET,
            detail="no target in an allowed region can serve the request",
            retry_after_seconds=1.0,
        )

    def request_started(self, target: TargetId) -> None:
        """Count a request in flight at `target`."""
        self._in_flight[target] += 1

    def request_finished(self, target: TargetId) -> None:
        """Count a request at `target` as ended."""
        self._in_flight[target] -= 1

    def _other_regions(self, query: RouteQuery) -> set[RegionId]:
        assert self._index is not None
        regions = {self._index.region_of(target) for target in self._serving(query)}
        regions &= query.allowed_regions
        return regions - query.excluded_regions - {self._region}

    def _serving(self, query: RouteQuery) -> Iterator[Target]:
        assert self._index is not None
        for target in self._index.manifest.targets:
            if target.id in self._leaving or target.id in query.excluded_targets:
                continue
            if query.service is not None:
                if query.service in target.services:
                    yield target
            elif target.kind is TargetKind.ENGINE and query.model is not None:
                region = self._index.region_of(target)
                if region in self._index.serving_regions(query.model):
                    yield target
