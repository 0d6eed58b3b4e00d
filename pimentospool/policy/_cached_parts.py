"""Which prompt parts each target probably keeps.

Answers the load of prompts that share their beginnings: a part is read once in a
region if all entry VMs send it to the same target.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Sequence

from pimentospool.ids import TargetId

KEEP_SECONDS = 20.0
"""Time after its last use for which a part is taken as kept."""
MAX_PARTS = 4096
"""Parts remembered for one target."""


class CachedParts:
    """Parts that this entry VM has sent to each target.

    Parameters
    ----------
    clock : callable
        Returns the steady time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._parts: dict[TargetId, OrderedDict[str, float]] = {}

    def sent(self, target: TargetId, parts: Sequence[str]) -> None:
        """Record that `target` reads a prompt of `parts`."""
        kept = self._parts.setdefault(target, OrderedDict())
        now = self._clock()
        for part in parts:
            kept[part] = now
            kept.move_to_end(part)
        while len(kept) > MAX_PARTS:
            kept.popitem(last=False)

    def leading(self, target: TargetId, parts: Sequence[str]) -> int:
        """Return how many of the first `parts` the target probably keeps."""
        kept = self._parts.get(target)
        if kept is None:
            return 0
        oldest = self._clock() - KEEP_SECONDS
        count = 0
        for part in parts:
            if kept.get(part, float("-inf")) < oldest:
                break
            count += 1
        return count

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a removed or restarted target."""
        self._parts.pop(target, None)


def preferred_target(key: str, targets: Sequence[TargetId]) -> TargetId | None:
    """Return the target on which all entry VMs place the part `key`, if any."""
    if not key or not targets:
        return None
    return max(targets, key=lambda target: _weight(key, target))


def _weight(key: str, target: TargetId) -> bytes:
    return hashlib.blake2b(f"{key}/{target}".encode(), digest_size=8).digest()
