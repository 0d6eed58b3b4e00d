"""Starts of targets of which something is known, while their entries lapse and return.

What a target says in its answers, and how it fails, belongs to one start of it. Its
entry may expire or be removed while it runs on, and the same start may register again.
"""

from collections.abc import Callable, Hashable

from pimentospool.ids import TargetId

LAPSED_SECONDS = 600.0
"""Time after which a start without an entry is forgotten. Entries expire while the
store can't be reached, which lasts for minutes at most."""
MAX_LAPSED_STARTS = 1024
"""Starts without an entry that are remembered; above it, those that lapsed first are
forgotten."""


class KnownStarts:
    """The start of each target to which what is known of the target belongs.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    forget : callable
        Called with a target of which nothing is to be known any more.
    """

    def __init__(
        self, *, clock: Callable[[], float], forget: Callable[[TargetId], None]
    ) -> None:
        self._clock = clock
        self._forget = forget
        self._starts: dict[TargetId, Hashable] = {}
        self._lapsed_at: dict[TargetId, float] = {}
        """Times at which entries lapsed, the earliest first."""

    def register(self, target: TargetId, start: Hashable) -> None:
        """Record that an entry names `start` as the start of `target`."""
        self._lapsed_at.pop(target, None)
        if self._starts.get(target, start) != start:
            self._forget(target)
        self._starts[target] = start

    def lapse(self, target: TargetId) -> None:
        """Record that the entry of `target` has expired or was removed."""
        if target not in self._starts:
            return
        self._lapsed_at.pop(target, None)
        self._lapsed_at[target] = self._clock()
        self._drop_old()

    def is_known(self, target: TargetId) -> bool:
        """Return whether something may be kept about `target`."""
        return target in self._starts

    def counts(self, target: TargetId, start: Hashable) -> bool:
        """Return whether what `start` of `target` says still matters."""
        return self._starts.get(target) == start

    def _drop_old(self) -> None:
        oldest = self._clock() - LAPSED_SECONDS
        for target, lapsed_at in list(self._lapsed_at.items()):
            if lapsed_at > oldest and len(self._lapsed_at) <= MAX_LAPSED_STARTS:
                return
            del self._lapsed_at[target], self._starts[target]
            self._forget(target)
