"""Drill windows: losses that the manifest declares between two times."""

from collections.abc import Sequence

from pimentospool._generated.manifest import DrillKind, DrillWindow
from pimentospool.ids import RegionId


class DrillSchedule:
    """Drill windows of one revision, as they affect one region.

    Parameters
    ----------
    region : RegionId
        Region of this entry VM.
    windows : sequence of DrillWindow
        Windows of the active manifest.
    """

    def __init__(self, *, region: RegionId, windows: Sequence[DrillWindow]) -> None:
        self._region = region
        self._windows = tuple(windows)

    def active_windows(self, *, time: float) -> list[DrillWindow]:
        """Return the windows that are active at a Unix time in seconds."""
        return [window for window in self._windows if window.start <= time < window.end]

    def lost_regions(self, *, time: float) -> frozenset[RegionId]:
        """Return the regions that this one sees as lost; it may be among them."""
        lost: set[RegionId] = set()
        for window in self.active_windows(time=time):
            if window.kind is DrillKind.REGION:
                lost |= set(window.regions)
            elif window.kind is DrillKind.LINK and self._region in window.regions:
                lost |= set(window.regions) - {self._region}
        return frozenset(lost)

    def platform_lost(self, *, time: float) -> bool:
        """Return whether the platform counts as lost at `time`."""
        kinds = {window.kind for window in self.active_windows(time=time)}
        return DrillKind.CONFIGURATION in kinds
