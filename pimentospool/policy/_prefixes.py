"""Which targets and regions probably have which prompt prefixes in their cache."""

import math
from collections import OrderedDict
from collections.abc import Sequence

from pimentospool._generated.engine import CacheEvents

MAX_BLOCKS = 100_000
MAX_HOLDERS_PER_BLOCK = 16
CONFIDENCE_DECAY_SECONDS = 600.0
BLOCK_TOKENS = 64


class PrefixIndex:
    """Expected holders of prompt blocks, from delayed and incomplete cache events.

    A holder is the id of a target or the key of a region. The confidence in an entry
    decays with its age, since the event of its eviction may have been lost.

    Parameters
    ----------
    max_blocks : int
        Maximum number of blocks; the least recently stored are evicted first.
    """

    def __init__(self, *, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        # By block, the time at which each holder stored it.
        self._blocks: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._valid_from: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def store(self, holder: str, blocks: Sequence[str], now: float) -> None:
        """Record that `holder` has `blocks` in its cache since `now`."""
        for block in blocks:
            self._store_block(holder, block, now)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def apply_events(self, holder: str, events: CacheEvents, now: float) -> None:
        """Apply cache events of `holder`."""
        for event in events.events:
            if event.stored:
                self._store_block(holder, event.block, now)
            else:
                self._evict_block(holder, event.block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def invalidate(self, holder: str, now: float) -> None:
        """Ignore what `holder` stored before `now`; its cache may be lost."""
        self._valid_from[holder] = now

    def holders(self, blocks: Sequence[str]) -> Sequence[str]:
        """Return the holders of the longest prefix of `blocks` that any holder has."""
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high + 1) // 2
            if self._blocks.get(blocks[middle - 1]):
                low = middle
            else:
                high = middle - 1
        return list(self._blocks[blocks[low - 1]]) if low else ()

    def hit_tokens(self, holder: str, blocks: Sequence[str], now: float) -> float:
        """Return the expected number of prompt tokens that `holder` has cached.

        The binary search over the prefix's length takes the same time if the event of
        a block was lost; only the estimate becomes less accurate.
        """
        valid_from = self._valid_from.get(holder, -math.inf)
        if not blocks:
            return 0.0
        low, high = 0, len(blocks)
        stored_at = 0.0
        while low < high:
            middle = (low + high + 1) // 2
            holders = self._blocks.get(blocks[middle - 1])
            block_stored_at = holders.get(holder) if holders else None
            if block_stored_at is not None and block_stored_at >= valid_from:
                low = middle
                stored_at = block_stored_at
            else:
                high = middle - 1
        if not low:
            return 0.0
        return (
            low * BLOCK_TOKENS * math.exp((stored_at - now) / CONFIDENCE_DECAY_SECONDS)
        )

    def _store_block(self, holder: str, block: str, now: float) -> None:
        holders = self._blocks.get(block)
        if holders is None:
            self._blocks[block] = {holder: now}
            return
        holders.pop(holder, None)
        holders[holder] = now
        if len(holders) > MAX_HOLDERS_PER_BLOCK:
            del holders[next(iter(holders))]
        self._blocks.move_to_end(block)

    def _evict_block(self, holder: str, block: str) -> None:
        holders = self._blocks.get(block)
        if holders is None:
            return
        holders.pop(holder, None)
        if not holders:
            del self._blocks[block]
