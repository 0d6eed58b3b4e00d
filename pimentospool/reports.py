"""Polling of load reports, cache events and loaded models of the region's engines.

One loop polls all engines, spread evenly over the report interval, with a limit on the
polls per second: if there are more engines than that allows, each is polled less often.
An engine that does not respond is polled with exponential backoff, and the router is
told that it is silent.
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

MAX_CONCURRENT_POLLS = 64
MAX_POLLS_PER_SECOND = 20.0
POLLS_PER_STATE_READ = 4
MAX_BACKOFF_FACTOR = 16
_MAX_PAUSE_SECONDS = 0.1


class _PollState(msgspec.Struct):
    """Polling state of one target."""

    due_at: float
    next_event: int = 0
    polls: int = 0
    failures: int = 0
    busy: bool = False


class ReportPoller:
    """Polls the reports of engines and passes them to the router.

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
        self._states: dict[TargetId, _PollState] = {}
        self._polls: set[asyncio.Task[None]] = set()
        self._session = open_session(
            connector=aiohttp.TCPConnector(
                limit=MAX_CONCURRENT_POLLS, limit_per_host=1
            ),
            timeout=aiohttp.ClientTimeout(
                total=cfg.connect_timeout_seconds + cfg.report_interval_seconds
            ),
        )

    async def run(self) -> None:
        """Poll without end."""
        while True:
            targets = self._engines()
            pause_seconds = self._pause_seconds(len(targets))
            limit = math.ceil(pause_seconds * MAX_POLLS_PER_SECOND)
            for target in self._due(targets, limit):
                self._start_poll(target)
            await asyncio.sleep(pause_seconds)

    async def close(self) -> None:
        """Cancel polls in progress and close the connections."""
        await cancel_tasks(self._polls)
        await self._session.close()

    def _engines(self) -> dict[TargetId, Target]:
        return {
            target.id: target
            for target in self._router.own_targets()
            if target.kind is TargetKind.ENGINE
        }

    def _pause_seconds(self, target_count: int) -> float:
        if not target_count:
            return _MAX_PAUSE_SECONDS
        spread = self._cfg.report_interval_seconds / target_count
        return min(_MAX_PAUSE_SECONDS, max(spread, 1.0 / MAX_POLLS_PER_SECOND))

    def _due(self, targets: dict[TargetId, Target], limit: int) -> list[Target]:
        now = time.monotonic()
        for removed in self._states.keys() - targets.keys():
            del self._states[removed]
        for number, target_id in enumerate(targets):
            if target_id not in self._states:
                offset = number / len(targets) * self._cfg.report_interval_seconds
                self._states[target_id] = _PollState(due_at=now + offset)
        due = [
            (state.due_at, target_id)
            for target_id, state in self._states.items()
            if state.due_at <= now and not state.busy
        ]
        free = MAX_CONCURRENT_POLLS - len(self._polls)
        return [targets[target_id] for _, target_id in nsmallest(min(limit, free), due)]

    def _start_poll(self, target: Target) -> None:
        state = self._states[target.id]
        state.busy = True
        task = asyncio.create_task(self._poll(target, state))
        self._polls.add(task)
        task.add_done_callback(self._polls.discard)

    async def _poll(self, target: Target, state: _PollState) -> None:
        try:
            await self._read_reports(target, state)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.DecodeError,
        ) as exc:
            state.failures += 1
            if state.failures == 1:
                log_event(Event.TARGET_SILENT, target=target.id, error=repr(exc))
            self._router.record_unanswered_poll(target.id)
        else:
            if state.failures:
                log_event(Event.TARGET_REPORTS, target=target.id)
            state.failures = 0
        finally:
            factor = min(MAX_BACKOFF_FACTOR, 2**state.failures)
            interval = self._cfg.report_interval_seconds
            state.due_at = time.monotonic() + interval * factor
            state.busy = False

    async def _read_reports(self, target: Target, state: _PollState) -> None:
        base = f"http://{target.address}"
        load = await self._get(f"{base}/load")
        self._router.apply_load_report(
            target.id, msgspec.json.decode(load, type=LoadReport)
        )
        if state.polls % POLLS_PER_STATE_READ == 0:
            response = await self._get(f"{base}/state")
            engine = msgspec.json.decode(response, type=EngineState)
            self._router.apply_engine_state(target.id, engine)
        data = await self._get(f"{base}/events?after={state.next_event}")
        events = msgspec.json.decode(data, type=CacheEvents)
        state.next_event = events.next
        self._router.apply_cache_events(target.id, events)
        state.polls += 1

    async def _get(self, url: str) -> bytes:
        async with self._session.get(url) as resp:
            resp.raise_for_status()
            return await resp.read()
