"""Reading of load reports, cache events and held models from the own region's engines.

One loop reads all targets, spread evenly over the interval, and at most a fixed number
a second: with more targets than that allows, each is read less often. A target that
does not answer is asked less and less often, and routing hears of its silence.
"""

import asyncio
import math
import time
from heapq import nsmallest

import aiohttp
import msgspec

from pimentospool._generated.engine import CacheEvents, EngineState, LoadReport
from pimentospool._generated.settings import TargetSettings
from pimentospool.ids import TargetId
from pimentospool.log import Event, log_event
from pimentospool.manifest import Target, TargetKind
from pimentospool.policy import Router
from pimentospool.sending import open_session
from pimentospool.tasks import cancel_tasks

MOST_AT_ONCE = 64
MOST_TARGETS_PER_SECOND = 20.0
STATE_EVERY = 4
LONGEST_BACKOFF = 16
_IDLE_SECONDS = 0.1


class _Polled(msgspec.Struct):
    """Progress of the reading of one target."""

    due_at: float
    next_event: int = 0
    rounds: int = 0
    failures: int = 0
    busy: bool = False


class ReportPoller:
    """Reads what engines report and feeds the router.

    Parameters
    ----------
    cfg : TargetSettings
        Interval and timeouts.
    router : Router
        Receives the reports.
    """

    def __init__(self, *, cfg: TargetSettings, router: Router) -> None:
        self._cfg = cfg
        self._router = router
        self._polled: dict[TargetId, _Polled] = {}
        self._reading: set[asyncio.Task[None]] = set()
        self._session = open_session(
            connector=aiohttp.TCPConnector(limit=MOST_AT_ONCE, limit_per_host=1),
            timeout=aiohttp.ClientTimeout(
                total=cfg.connect_timeout_seconds + cfg.report_interval_seconds
            ),
        )

    async def run(self) -> None:
        """Read for ever."""
        while True:
            targets = self._engines()
            pause = self._pause(len(targets))
            most = math.ceil(pause * MOST_TARGETS_PER_SECOND)
            for target in self._due(targets, most):
                self._start(target)
            await asyncio.sleep(pause)

    async def close(self) -> None:
        """End the reading and close the connections."""
        await cancel_tasks(self._reading)
        await self._session.close()

    def _engines(self) -> dict[TargetId, Target]:
        return {
            target.id: target
            for target in self._router.own_targets()
            if target.kind is TargetKind.ENGINE
        }

    def _pause(self, count: int) -> float:
        if not count:
            return _IDLE_SECONDS
        spread = self._cfg.report_interval_seconds / count
        return min(_IDLE_SECONDS, max(spread, 1.0 / MOST_TARGETS_PER_SECOND))

    def _due(self, targets: dict[TargetId, Target], most: int) -> list[Target]:
        now = time.monotonic()
        for gone in self._polled.keys() - targets.keys():
            del self._polled[gone]
        for number, target_id in enumerate(targets):
            if target_id not in self._polled:
                offset = number / len(targets) * self._cfg.report_interval_seconds
                self._polled[target_id] = _Polled(due_at=now + offset)
        due = [
            (polled.due_at, target_id)
            for target_id, polled in self._polled.items()
            if polled.due_at <= now and not polled.busy
        ]
        free = MOST_AT_ONCE - len(self._reading)
        return [targets[target_id] for _, target_id in nsmallest(min(most, free), due)]

    def _start(self, target: Target) -> None:
        polled = self._polled[target.id]
        polled.busy = True
        task = asyncio.create_task(self._read(target, polled))
        self._reading.add(task)
        task.add_done_callback(self._reading.discard)

    async def _read(self, target: Target, polled: _Polled) -> None:
        try:
            await self._read_reports(target, polled)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.DecodeError,
        ) as exc:
            polled.failures += 1
            if polled.failures == 1:
                log_event(Event.TARGET_SILENT, target=target.id, error=repr(exc))
            self._router.record_unanswered_poll(target.id)
        else:
            if polled.failures:
                log_event(Event.TARGET_REPORTS, target=target.id)
            polled.failures = 0
        finally:
            factor = min(LONGEST_BACKOFF, 2**polled.failures)
            interval = self._cfg.report_interval_seconds
            polled.due_at = time.monotonic() + interval * factor
            polled.busy = False

    async def _read_reports(self, target: Target, polled: _Polled) -> None:
        base = f"http://{target.address}"
        load = await self._get(f"{base}/load")
        self._router.apply_load_report(
            target.id, msgspec.json.decode(load, type=LoadReport)
        )
        if polled.rounds % STATE_EVERY == 0:
            state = await self._get(f"{base}/state")
            engine = msgspec.json.decode(state, type=EngineState)
            self._router.apply_engine_state(target.id, engine)
        data = await self._get(f"{base}/events?after={polled.next_event}")
        events = msgspec.json.decode(data, type=CacheEvents)
        polled.next_event = events.next
        self._router.apply_cache_events(target.id, events)
        polled.rounds += 1

    async def _get(self, url: str) -> bytes:
        async with self._session.get(url) as resp:
            resp.raise_for_status()
            return await resp.read()
