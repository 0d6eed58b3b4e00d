"""Virtual time and a queue model of the engine stand-in.

The model follows `pimentospool.standins._engine`: batch slots granted by priority, one
prefill at a time in the order of the slots, a least-recently-used prefix cache,
decoding at a fixed rate, reports with a lag, and late cache events with gaps.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from itertools import count

import msgspec

from pimentospool._generated.engine import CacheEvents, LoadReport
from pimentospool.ids import RegionId
from pimentospool.manifest import Target
from pimentospool.prompts import BLOCK_TOKENS
from pimentospool.standins._engine import EngineProfile
from pimentospool.standins._prefix_cache import PrefixCache


class VirtualTime:
    """Runs callbacks in the order of their times, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def clock(self) -> float:
        """Return the present time."""
        return self.now

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run `callback` after `delay` seconds."""
        event = (self.now + delay, next(self._order), callback)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run everything up to the time `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


class Job(msgspec.Struct, kw_only=True, eq=False):
    """One generation at an engine."""

    blocks: tuple[str, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int
    on_first: Callable[[], None]
    on_end: Callable[[bool], None]
    cancelled: bool = False
    done: bool = False


class WorkTotals(msgspec.Struct):
    """Work of one engine; a second of prefill takes the whole engine."""

    seconds: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class ModelledEngine:
    """Queue model of one engine.

    Parameters
    ----------
    target : Target
        Its slots and speeds.
    region : RegionId
        Its region.
    time : VirtualTime
        Time of the simulation.
    rng : random.Random
        Source of lost events.
    event_loss : float
        Share of cache events that are lost.
    """

    def __init__(
        self,
        *,
        target: Target,
        region: RegionId,
        time: VirtualTime,
        rng: random.Random,
        event_loss: float,
    ) -> None:
        self.target = target
        self.region = region
        self.alive = True
        self.totals = WorkTotals()
        self._time = time
        self._rng = rng
        self._event_loss = event_loss
        self._profile = EngineProfile()
        self._clear()
        self._report = LoadReport(
            running=0, waiting=0, waiting_tokens=0, age_seconds=0.0
        )
        self._reported_at = -self._profile.load_lag_seconds

    def submit(self, job: Job) -> None:
        """Queue a generation; an engine that is down fails it at once."""
        if not self.alive:
            job.on_end(False)
            return
        self._waiting_tokens += job.prompt_tokens
        heapq.heappush(self._queue, (job.priority, next(self._order), job))
        self._jobs.append(job)
        self._grant()

    def cancel(self, job: Job) -> None:
        """Give up a generation that has not begun its prefill."""
        job.cancelled = True

    def stop(self) -> None:
        """Lose everything, with no word to the waiting."""
        self.alive = False
        for job in self._jobs:
            job.cancelled = True
        self._clear()

    def start(self) -> None:
        """Come back with a cold cache."""
        self.alive = True

    def load(self) -> LoadReport:
        """Return the load as reported, with its lag."""
        now = self._time.now
        if now - self._reported_at >= self._profile.load_lag_seconds:
            self._reported_at = now
            waiting = [j for _, _, j in self._queue if not j.cancelled]
            self._report = LoadReport(
                running=self._running,
                waiting=len(waiting),
                waiting_tokens=self._waiting_tokens,
                age_seconds=0.0,
            )
        age = now - self._reported_at
        return msgspec.structs.replace(self._report, age_seconds=age)

    def events(self, after: int) -> CacheEvents:
        """Return the cache events that can be read by now."""
        return self._cache.events_after(after)

    def _clear(self) -> None:
        self._epoch = object()
        self._order = count()
        self._queue: list[tuple[int, int, Job]] = []
        self._jobs: list[Job] = []
        self._running = 0
        self._waiting_tokens = 0
        self._prefills: deque[Job] = deque()
        self._prefilling = False
        self._cache = PrefixCache(
            capacity=self._profile.cache_blocks,
            event_delay_seconds=self._profile.event_delay_seconds,
            event_loss=self._event_loss,
            rng=self._rng,
            clock=self._time.clock,
        )

    def _grant(self) -> None:
        while self._queue and self._running < self.target.slots:
            _, _, job = heapq.heappop(self._queue)
            if job.cancelled:
                self._waiting_tokens -= job.prompt_tokens
                self._jobs.remove(job)
                continue
            self._running += 1
            self._prefills.append(job)
        self._begin_prefill()

    def _begin_prefill(self) -> None:
        if self._prefilling or not self._prefills:
            return
        job = self._prefills.popleft()
        self._prefilling = True
        cached = self._cache.match(list(job.blocks)) * BLOCK_TOKENS
        cached = min(cached, job.prompt_tokens)
        seconds = (job.prompt_tokens - cached) / self.target.prefill_tokens_per_second
        self.totals.prompt_tokens += job.prompt_tokens
        self.totals.cached_tokens += cached
        decode = job.max_tokens / self.target.decode_tokens_per_second
        self.totals.seconds += seconds + decode / self.target.slots
        epoch = self._epoch
        self._time.after(seconds, lambda: self._end_prefill(epoch, job, decode))

    def _end_prefill(self, epoch: object, job: Job, decode: float) -> None:
        if epoch is not self._epoch:
            return
        self._prefilling = False
        self._waiting_tokens -= job.prompt_tokens
        self._cache.store(list(job.blocks))
        if not job.cancelled:
            job.on_first()
        self._time.after(decode, lambda: self._end(epoch, job))
        self._begin_prefill()

    def _end(self, epoch: object, job: Job) -> None:
        if epoch is not self._epoch:
            return
        self._running -= 1
        self._jobs.remove(job)
        job.done = True
        if not job.cancelled:
            job.on_end(True)
        self._grant()
