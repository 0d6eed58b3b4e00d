"""Virtual time and a queue model of the engine stand-in.

The model follows `pimentospool.standins._engine`: batch slots are granted by priority,
prefills run one at a time in the order in which slots were granted, the prefix cache
evicts least recently used blocks, decoding has a fixed rate, load reports lag, and
cache events are delayed and partly lost.
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
    """Event loop of the simulation; runs callbacks in the order of their due times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def clock(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run `callback` after `delay` seconds."""
        event = (self.now + delay, next(self._order), callback)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run every callback that is due by the time `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


class Job(msgspec.Struct, kw_only=True, eq=False):
    """One generation request at an engine.

    `on_end` gets whether the generation was completed.
    """

    blocks: tuple[str, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int
    on_first_token: Callable[[], None]
    on_end: Callable[[bool], None]
    cancelled: bool = False
    done: bool = False


class WorkTotals(msgspec.Struct):
    """Work of one engine.

    A prefill occupies the whole engine; a decode counts for one slot's share of it.
    """

    seconds: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class ModelledEngine:
    """Queue model of one engine.

    Parameters
    ----------
    target : Target
        The engine as the manifest declares it, with its slots and speeds.
    region : RegionId
        Region of the engine.
    time : VirtualTime
        Clock and event loop of the simulation.
    rng : random.Random
        Chooses which cache events are lost.
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
        self._reset()
        self._report = LoadReport(
            running=0, waiting=0, waiting_tokens=0, age_seconds=0.0
        )
        self._reported_at = -self._profile.load_lag_seconds

    def submit(self, job: Job) -> None:
        """Queue a generation; an engine that is down fails it immediately."""
        if not self.alive:
            job.on_end(False)
            return
        self._waiting_tokens += job.prompt_tokens
        heapq.heappush(self._queue, (job.priority, next(self._order), job))
        self._jobs.append(job)
        self._grant_slots()

    def cancel(self, job: Job) -> None:
        """Cancel a generation; it is dropped if it still waits for a slot."""
        job.cancelled = True

    def stop(self) -> None:
        """Crash: drop every generation without running its callbacks."""
        self.alive = False
        for job in self._jobs:
            job.cancelled = True
        self._reset()

    def start(self) -> None:
        """Restart with a cold cache."""
        self.alive = True

    def load(self) -> LoadReport:
        """Return the load report, which lags behind the real load."""
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
        """Return the published cache events after a sequence number."""
        return self._cache.events_after(after)

    def _reset(self) -> None:
        # Callbacks scheduled before a crash hold another object and then do nothing.
        self._epoch = object()
        self._order = count()
        self._queue: list[tuple[int, int, Job]] = []
        self._jobs: list[Job] = []
        self._running = 0
        self._waiting_tokens = 0
        self._prefill_queue: deque[Job] = deque()
        self._prefill_running = False
        self._cache = PrefixCache(
            capacity=self._profile.cache_blocks,
            event_delay_seconds=self._profile.event_delay_seconds,
            event_loss=self._event_loss,
            rng=self._rng,
            clock=self._time.clock,
        )

    def _grant_slots(self) -> None:
        while self._queue and self._running < self.target.slots:
            _, _, job = heapq.heappop(self._queue)
            if job.cancelled:
                self._waiting_tokens -= job.prompt_tokens
                self._jobs.remove(job)
                continue
            self._running += 1
            self._prefill_queue.append(job)
        self._begin_prefill()

    def _begin_prefill(self) -> None:
        if self._prefill_running or not self._prefill_queue:
            return
        job = self._prefill_queue.popleft()
        self._prefill_running = True
        cached = self._cache.match(list(job.blocks)) * BLOCK_TOKENS
        cached = min(cached, job.prompt_tokens)
        seconds = (job.prompt_tokens - cached) / self.target.prefill_tokens_per_second
        self.totals.prompt_tokens += job.prompt_tokens
        self.totals.cached_tokens += cached
        decode_seconds = job.max_tokens / self.target.decode_tokens_per_second
        self.totals.seconds += seconds + decode_seconds / self.target.slots
        epoch = self._epoch
        self._time.after(seconds, lambda: self._end_prefill(epoch, job, decode_seconds))

    def _end_prefill(self, epoch: object, job: Job, decode_seconds: float) -> None:
        if epoch is not self._epoch:
            return
        self._prefill_running = False
        self._waiting_tokens -= job.prompt_tokens
        self._cache.store(list(job.blocks))
        if not job.cancelled:
            job.on_first_token()
        self._time.after(decode_seconds, lambda: self._end_decode(epoch, job))
        self._begin_prefill()

    def _end_decode(self, epoch: object, job: Job) -> None:
        if epoch is not self._epoch:
            return
        self._running -= 1
        self._jobs.remove(job)
        job.done = True
        if not job.cancelled:
            job.on_end(True)
        self._grant_slots()
