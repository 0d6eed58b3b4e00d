"""One gateway process: its parts, their start and their end."""

import asyncio
import math
import random
import time

from aiohttp import web

from pimentospool.gateway._cold_checks import ColdChecks
from pimentospool.gateway._dependencies import ServingTools
from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._directory import EntryDirectory
from pimentospool.gateway._dispatch import Dispatcher
from pimentospool.gateway._fleet import EntryRecord, EntryState, Fleet
from pimentospool.gateway._heartbeats import HeartbeatLoop
from pimentospool.gateway._metrics import GatewayMetrics
from pimentospool.gateway._model import Configuration
from pimentospool.gateway._placement import Placing
from pimentospool.gateway._pools import Pools
from pimentospool.gateway._routing_state import Knowledge
from pimentospool.gateway._settings import GatewaySettings
from pimentospool.gateway._view_exchange import ViewExchange, view_address
from pimentospool.log import Event, log_event
from pimentospool.policy import OccupancyBook
from pimentospool.tasks import cancel_tasks

ACCEPT_SHARE = 0.15
"""Part of the time to SIGKILL in which a leaving process still takes connections of
callers that have not heard of its leaving."""
SERVE_SHARE = 0.35
"""Part of the time to SIGKILL in which requests on open connections are served; a
stream that begins later might not end in time."""
END_MARGIN_SECONDS = 0.5
"""Time before SIGKILL at which the last requests are cut."""
POLL_SECONDS = 0.05
"""Time between looks at the requests in progress of a leaving process."""


class Gateway:
    """Parts of a gateway process that do not depend on its surroundings.

    Parameters
    ----------
    cfg : GatewaySettings
        Checked settings.
    dialect : TargetDialect
        Form of requests and answers.
    """

    def __init__(self, *, cfg: GatewaySettings, dialect: TargetDialect) -> None:
        clock = time.monotonic
        self.cfg = cfg
        self.in_progress = 0
        self.knowledge = Knowledge(clock=clock, zone_regions=cfg.zone_regions)
        self._record = EntryRecord(
            id=cfg.entry,
            life=time.time_ns(),
            heartbeat=0,
            state=EntryState.STARTING.value,
            region=cfg.region,
            zone=cfg.zone,
            front=cfg.front,
            peer=cfg.peer,
            loads={},
        )
        self.fleet = Fleet(own=self._record, clock=clock, rng=random.Random())
        self.book = OccupancyBook(clock=clock)
        self._placing = Placing(
            region=cfg.region,
            knowledge=self.knowledge,
            fleet=self.fleet,
            book=self.book,
            bounds=cfg.bounds,
            clock=clock,
        )
        pools = Pools(region=cfg.region, fleet=self.fleet)
        self._cold_checks = ColdChecks(
            region=cfg.region,
            knowledge=self.knowledge,
            fleet=self.fleet,
            pools=pools,
            dialect=dialect,
            clock=clock,
        )
        self.tools = ServingTools(
            knowledge=self.knowledge,
            fleet=self.fleet,
            placing=self._placing,
            pools=pools,
            dialect=dialect,
            bounds=cfg.bounds,
            regions=len(set(cfg.zone_regions.values())) or 1,
            clock=clock,
            rng=random.Random(),
        )
        self.dispatcher = Dispatcher(tools=self.tools)
        self.metrics = self._open_metrics()
        self.directory = EntryDirectory(fleet=self.fleet, knowledge=self.knowledge)
        self.heartbeats = HeartbeatLoop(
            fleet=self.fleet,
            book=self.book,
            seeds=cfg.seeds,
            refresh=self._refresh_record,
            cold_answers=self._cold_checks.answers,
            learn_cold=self.knowledge.learn_cold,
        )
        self._views = ViewExchange(
            knowledge=self.knowledge, fleet=self.fleet, rng=random.Random()
        )
        self._view_server: asyncio.Server | None = None
        self.knowledge.configuration_adopted.connect(self._become_ready)
        self._tasks: list[asyncio.Task[None]] = []
        self._last_moment = math.inf
        self._serve_until = math.inf

    @property
    def state(self) -> EntryState:
        """Whether this process takes requests."""
        return EntryState(self._record.state)

    async def start(self) -> None:
        """Join the fleet."""
        await self.heartbeats.start(self.cfg.peer)
        server = web.Server(self._views.answer, access_log=None)
        address = view_address(self.cfg.peer)
        self._view_server = await asyncio.get_running_loop().create_server(
            server, address.host, address.port
        )
        self._tasks.append(asyncio.create_task(self.heartbeats.run()))
        self._tasks.append(asyncio.create_task(self._views.run()))
        self._tasks.append(asyncio.create_task(self._cold_checks.run()))

    @property
    def serving(self) -> bool:
        """Whether new requests are served."""
        return time.monotonic() < self._serve_until

    async def leave(self) -> None:
        """Tell the fleet, and return once new connections are no longer needed."""
        grace, now = self.cfg.grace_seconds, time.monotonic()
        self._last_moment = now + grace - END_MARGIN_SECONDS
        self._serve_until = now + grace * SERVE_SHARE
        self._record.state = EntryState.LEAVING.value
        log_event(Event.ENTRY_LEAVING, in_progress=self.in_progress)
        self.heartbeats.send_round(remote=True, reports=True, seeds=False)
        await asyncio.sleep(grace * ACCEPT_SHARE)
        while self.serving and not self.fleet.ready(self.cfg.region):
            await asyncio.sleep(POLL_SECONDS)
        self._record.state = EntryState.CLOSED.value
        self.heartbeats.send_round(remote=True, reports=True, seeds=False)

    async def finish_requests(self) -> None:
        """Return when all requests have ended or the time to SIGKILL is over."""
        await asyncio.sleep(POLL_SECONDS)
        while self.in_progress and time.monotonic() < self._last_moment:
            await asyncio.sleep(POLL_SECONDS)
        if self.in_progress:
            log_event(Event.ENTRY_DRAIN_EXPIRED, in_progress=self.in_progress)

    async def stop(self) -> None:
        """End the background tasks."""
        if self._view_server is not None:
            self._view_server.close()
        await cancel_tasks(self._tasks)
        log_event(Event.ENTRY_STOPPED)

    def _open_metrics(self) -> GatewayMetrics:
        metrics = GatewayMetrics()
        self.tools.request_ended.connect(metrics.record)
        metrics.add_gauge(
            "pimentospool_requests_in_progress",
            "Requests that have not ended.",
            lambda: self.in_progress,
        )
        metrics.add_gauge(
            "pimentospool_configuration_version",
            "Version of the configuration in force; 0 before the first.",
            self._configuration_version,
        )
        metrics.add_gauge(
            "pimentospool_known_targets",
            "Targets that are registered.",
            lambda: len(self.knowledge.known_targets()),
        )
        metrics.add_gauge(
            "pimentospool_live_entries",
            "Other entry VMs that are alive.",
            lambda: len(self.fleet.live()),
        )
        return metrics

    def _configuration_version(self) -> int:
        configuration = self.knowledge.configuration
        return configuration.version if configuration else 0

    def _become_ready(self, configuration: Configuration) -> None:
        if self.state is EntryState.STARTING:
            self._record.state = EntryState.READY.value

    def _refresh_record(self) -> None:
        self._record.loads = self._placing.local_loads()
