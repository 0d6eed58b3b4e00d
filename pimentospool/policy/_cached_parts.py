"""Estimate of the prompt parts in each target's cache, and cache-affine routing.

Prompts often share their beginnings. If all entry VMs send such a part to the same
target, it is computed once in the region and then found in that target's cache.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Sequence

from pimentospool.ids import TargetId

CACHE_TTL_SECONDS = 20.0
"""Time after its last use for which a part is assumed to be cached."""
MAX_PARTS_PER_TARGET = 4096
"""Number of parts above which the least recently used are forgotten."""


class CachedParts:
    """Prompt parts that this entry VM has sent to each target, by time of use.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_used_at: dict[TargetId, OrderedDict[str, float]] = {}

    def record_sent(self, target: TargetId, parts: Sequence[str]) -> None:
        """Record that a prompt with these `parts` is sent to `target`."""
        last_used_at = self._last_used_at.setdefault(target, OrderedDict())
        now = self._clock()
        for part in parts:
            last_used_at[part] = now
            last_used_at.move_to_end(part)
        while len(last_used_at) > MAX_PARTS_PER_TARGET:
            last_used_at.popitem(last=False)

    def cached_prefix_length(self, target: TargetId, parts: Sequence[str]) -> int:
        """Return how many leading `parts` the target probably has in its cache."""
        last_used_at = self._last_used_at.get(target)
        if last_used_at is None:
            return 0
        oldest = self._clock() - CACHE_TTL_SECONDS
        count = 0
        for part in parts:
            if last_used_at.get(part, float("-inf")) < oldest:
                break
            count += 1
        return count

    def forget(self, target: TargetId) -> None:
        """Drop the parts of a target that was removed or restarted."""
        self._last_used_at.pop(target, None)


def preferred_target(key: str, targets: Sequence[TargetId]) -> TargetId | None:
    """Return the target to which all entry VMs send the part `key`, if any.

    The choice is by rendezvous hashing.
    """
    if not key or not targets:
        return None
    return max(targets, key=lambda target: _rendezvous_weight(key, target))


def _rendezvous_weight(key: str, target: TargetId) -> bytes:
    return hashlib.blake2b(f"{key}/{target}".encode(), digest_size=8).digest()
