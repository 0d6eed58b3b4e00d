"""Losses that the manifest declares between two times."""

from collections.abc import Sequence

from pimentospool._generated.manifest import DrillKind, DrillWindow
from pimentospool.ids import RegionId


class DrillView:
    """Drill windows of one revision, seen from one region.

    Parameters
    ----------
    region : RegionId
        Region of this entry VM.
    windows : sequence of DrillWindow
        Windows of the manifest in force.
    """

    def __init__(self, *, region: RegionId, windows: Sequence[DrillWindow]) -> None:
        self._region = region
        self._windows = tuple(windows)

    def in_force(self, *, time: float) -> list[DrillWindow]:
        """Return the windows in force at a Unix time in seconds."""
        return [win for win in self._windows if win.start <= time < win.end]

    def lost_regions(self, *, time: float) -> frozenset[RegionId]:
        """Return the regions that count as lost from here, this one included."""
        lost: set[RegionId] = set()
        for win in self.in_force(time=time):
            if win.kind is DrillKind.REGION:
                lost |= set(win.regions)
            elif win.kind is DrillKind.LINK and self._region in win.regions:
                lost |= set(win.regions) - {self._region}
        return frozenset(lost)

    def configuration_lost(self, *, time: float) -> bool:
        """Return whether the platform counts as lost."""
        kinds = {win.kind for win in self.in_force(time=time)}
        return DrillKind.CONFIGURATION in kinds
