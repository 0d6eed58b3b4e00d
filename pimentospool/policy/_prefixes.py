"""Which targets and regions probably hold which prompt prefixes."""

import math
from collections import OrderedDict
from collections.abc import Sequence

from pimentospool._generated.engine import CacheEvents

MAX_BLOCKS = 100_000
MAX_HOLDERS = 16
DECAY_SECONDS = 600.0
BLOCK_TOKENS = 64


class PrefixIndex:
    """Expected holders of prompt blocks, from late and gappy events.

    A holder is the id of a target or of a region. An entry is believed less the
    older it is, since the event of its eviction may have been lost.

    Parameters
    ----------
    max_blocks : int
        Blocks remembered; the least recently touched are forgotten first.
    """

    def __init__(self, *, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._since: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def store(self, holder: str, blocks: Sequence[str], now: float) -> None:
        """Expect `holder` to hold `blocks` from now on."""
        for block in blocks:
            self._store_block(holder, block, now)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def take_events(self, holder: str, events: CacheEvents, now: float) -> None:
        """Take over cache events of `holder`."""
        for event in events.events:
            if event.stored:
                self._store_block(holder, event.block, now)
            else:
                self._evict_block(holder, event.block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def forget(self, holder: str, now: float) -> None:
        """Expect nothing at `holder` that it held before `now`."""
        self._since[holder] = now

    def holders(self, blocks: Sequence[str]) -> Sequence[str]:
        """Return the holders of the longest prefix of `blocks` that any has."""
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

        The search halves the prefix at each step, so a lost event in the middle
        costs accuracy and never more time.
        """
        since = self._since.get(holder, -math.inf)
        if not blocks:
            return 0.0
        low, high = 0, len(blocks)
        seen_at = 0.0
        while low < high:
            middle = (low + high + 1) // 2
            entry = self._blocks.get(blocks[middle - 1])
            time = entry.get(holder) if entry else None
            if time is not None and time >= since:
                low = middle
                seen_at = time
            else:
                high = middle - 1
        if not low:
            return 0.0
        return low * BLOCK_TOKENS * math.exp((seen_at - now) / DECAY_SECONDS)

    def _store_block(self, holder: str, block: str, now: float) -> None:
        entry = self._blocks.get(block)
        if entry is None:
            self._blocks[block] = {holder: now}
            return
        entry.pop(holder, None)
        entry[holder] = now
        if len(entry) > MAX_HOLDERS:
            del entry[next(iter(entry))]
        self._blocks.move_to_end(block)

    def _evict_block(self, holder: str, block: str) -> None:
        entry = self._blocks.get(block)
        if entry is None:
            return
        entry.pop(holder, None)
        if not entry:
            del self._blocks[block]
