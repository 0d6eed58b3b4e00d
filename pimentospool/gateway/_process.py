"""Components of a gateway process, its start and its shutdown."""

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from pimentospool.clocks import boot_time
from pimentospool.gateway._change_log import ChangeLog
from pimentospool.gateway._cold_checks import ColdTargetChecker
from pimentospool.gateway._configuration_catch_up import ConfigurationCatchUp
from pimentospool.gateway._dependencies import GatewayDependencies
from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._directory import EntryDirectory
from pimentospool.gateway._dispatch import Dispatcher
from pimentospool.gateway._fact_feed import FactFeed
from pimentospool.gateway._facts import FactSource
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import PROTOCOL_VERSION, EntryRecord
from pimentospool.gateway._freshness import FreshnessExchange
from pimentospool.gateway._heartbeats import INTERVAL_SECONDS, HeartbeatLoop
from pimentospool.gateway._metrics import GatewayMetrics
from pimentospool.gateway._model import Configuration
from pimentospool.gateway._placement import Placement
from pimentospool.gateway._pools import ConnectionPools
from pimentospool.gateway._quotas import FleetQuotas
from pimentospool.gateway._region_contact import ContactProber
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.gateway._settings import GatewaySettings
from pimentospool.gateway._store_confirmation import (
    StoreConfirmation,
    configuration_age,
)
from pimentospool.gateway._stream_origins import StreamOrigins
from pimentospool.gateway._stream_records import StreamRecordExchange
from pimentospool.gateway._target_reports import ReportExchange, relay_bytes
from pimentospool.gateway._view_exchange import ViewExchange
from pimentospool.ids import ServiceId, TargetId
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    EntryState,
    MemoryBudget,
    OccupancyBook,
    StreamVersions,
    SuspectKind,
    share_sockets,
)
from pimentospool.tasks import cancel_tasks, run_supervised

ACCEPT_CONNECTIONS_SHARE = 0.15
"""Share of the time until SIGKILL in which a leaving process still accepts connections
from callers that don't know yet that it is leaving."""
SERVE_REQUESTS_SHARE = 0.35
"""Share of the time until SIGKILL in which new requests on open connections are served.
A stream that starts later might not end in time."""
SIGKILL_MARGIN_SECONDS = 0.5
"""Time before SIGKILL at which the remaining requests are aborted."""
POLL_INTERVAL_SECONDS = 0.05
"""Time between checks of the requests in progress while the process is leaving."""


class Gateway:
    """Components of a gateway process that are independent of the deployment.

    Parameters
    ----------
    cfg : GatewaySettings
        Validated settings.
    dialect : TargetDialect
        Encoding of requests and reading of responses.
    source : FactSource
        Where configurations and registrations are published.
    origin_source : FactSource
        The same, with connections of its own, read when a stream is taken up.
    """

    def __init__(
        self,
        *,
        cfg: GatewaySettings,
        dialect: TargetDialect,
        source: FactSource,
        origin_source: FactSource,
    ) -> None:
        clock = time.monotonic
        self.cfg = cfg
        self.in_progress = 0
        """Number of requests in progress, counted by the listeners."""
        self.routing_state = RoutingState(
            clock=clock,
            zone_regions=cfg.zone_regions,
            expects_tenants=cfg.expects_tenants,
        )
        local_record = EntryRecord(
            id=cfg.entry,
            generation=time.time_ns(),
            region=cfg.region,
            zone=cfg.zone,
            front=cfg.front,
            peer=cfg.peer,
            link_mbps=cfg.link_mbps,
            protocol=PROTOCOL_VERSION,
        )
        self.fleet = Fleet(local_record=local_record, clock=clock, rng=random.Random())
        self.book = OccupancyBook(clock=clock)
        self._placement = Placement(
            region=cfg.region,
            routing_state=self.routing_state,
            fleet=self.fleet,
            book=self.book,
            bounds=cfg.bounds,
            clock=clock,
        )
        self.sockets = share_sockets(
            max_descriptors=cfg.max_descriptors, process_bytes=cfg.memory_bytes
        )
        pools = ConnectionPools(
            region=cfg.region,
            fleet=self.fleet,
            max_connections=self.sockets.opened,
            on_loss=self._placement.record_loss,
            on_reached=self._placement.record_reached,
        )
        self._cold_checker = ColdTargetChecker(
            region=cfg.region,
            routing_state=self.routing_state,
            fleet=self.fleet,
            pools=pools,
            dialect=dialect,
            limits=self._placement.named_limits,
            clock=clock,
            record_check=self._placement.record_check,
        )
        self._contact_prober = ContactProber(
            contact=self._placement.contact, pools=pools, clock=clock
        )
        stream_versions = StreamVersions(
            clock=boot_time,
            serving=self.routing_state.versions,
            first_start=cfg.first_start,
            on_mixed=_log_mixed_versions,
        )
        self.routing_state.target_observed.connect(
            lambda registration: stream_versions.observe(
                registration.service, registration.version
            )
        )
        changes = ChangeLog()
        self._view_exchange = ViewExchange(
            routing_state=self.routing_state,
            changes=changes,
            fleet=self.fleet,
            stream_versions=stream_versions,
            rng=random.Random(),
        )
        self._stream_origins = StreamOrigins(
            versions=stream_versions,
            source=origin_source,
            changes=changes,
            fleet=self.fleet,
            peers=self._view_exchange,
            known_start=self._known_start,
            clock=boot_time,
        )
        self.deps = GatewayDependencies(
            routing_state=self.routing_state,
            fleet=self.fleet,
            placement=self._placement,
            pools=pools,
            dialect=dialect,
            stream_versions=stream_versions,
            stream_origins=self._stream_origins,
            memory=MemoryBudget(process_bytes=cfg.memory_bytes),
            bounds=cfg.bounds,
            regions=len(set(cfg.zone_regions.values())) or 1,
            clock=clock,
            rng=random.Random(),
            seconds_left=lambda: self.grace_seconds_left,
        )
        self.configuration_age = configuration_age(
            self.routing_state, bound_seconds=cfg.revocation_seconds, clock=boot_time
        )
        self.metrics = self._create_metrics()
        self.quotas = FleetQuotas(
            fleet=self.fleet,
            regions=set(cfg.zone_regions.values()),
            bounds=cfg.quota_bounds,
            configuration=lambda: self.routing_state.configuration,
            clock=clock,
            rng=random.Random(),
            registry=self.metrics.registry,
        )
        self.dispatcher = Dispatcher(
            deps=self.deps,
            catch_up=ConfigurationCatchUp(
                routing_state=self.routing_state,
                fleet=self.fleet,
                fetch=self._view_exchange.take_configuration,
            ),
            confirmation=self.configuration_age,
            quotas=self.quotas,
        )
        self.directory = EntryDirectory(
            fleet=self.fleet, routing_state=self.routing_state
        )
        self.feed = FactFeed(
            source=source,
            routing_state=self.routing_state,
            fleet=self.fleet,
            changes=changes,
            reader=self._view_exchange,
            confirmation=StoreConfirmation(
                age=self.configuration_age, routing_state=self.routing_state
            ),
            bound_seconds=cfg.follow_seconds,
            clock=clock,
        )
        reports = ReportExchange(
            fleet=self.fleet,
            book=self.book,
            limits=self._placement.named_limits,
            brittle=self._placement.brittle_targets,
            contact=self._placement.contact,
            doubted=self._placement.doubted_starts,
            cold_reports=self._cold_checker.recent_reports,
            receive_cold_report=self.routing_state.receive_cold_report,
            position=self.feed.announced_position,
            receive_position=self.feed.receive_position,
            bytes_per_round=relay_bytes(cfg.link_mbps, INTERVAL_SECONDS),
        )
        self.heartbeats = HeartbeatLoop(
            fleet=self.fleet,
            reports=reports,
            seeds=cfg.seeds,
            refresh_loads=self._refresh_loads,
            suspects=self.deps.crash_suspects,
            streams=StreamRecordExchange(fleet=self.fleet, versions=stream_versions),
        )
        self.freshness = FreshnessExchange(
            age=self.configuration_age,
            fleet=self.fleet,
            reads_source=lambda: self.feed.reads_source,
            fetch=self._view_exchange.take_configuration,
            send=self.heartbeats.send,
            rng=random.Random(),
        )
        if self.configuration_age.is_bounded:
            self.freshness.connect(self.heartbeats)
        self.freshness.add_gauges(self.metrics)
        self.quotas.connect(self.heartbeats)
        self._placement.doubts_changed.connect(self.heartbeats.send_reports_soon)
        self.routing_state.configuration_adopted.connect(self._follow_configuration)
        self._tasks: list[asyncio.Task[None]] = []
        self._abort_requests_at = math.inf
        self._serve_until = math.inf

    @property
    def state(self) -> EntryState:
        """Whether this process accepts requests."""
        return self.fleet.local_state

    async def start(self) -> None:
        """Read the published facts and join the other entry VMs."""
        self._start_task("facts", self.feed.run)
        await self.heartbeats.start(self.cfg.peer)
        self._start_task("heartbeats", self.heartbeats.run)
        if self.cfg.quota_bounds.window_seconds > 0.0:
            self._start_task("quotas", self.quotas.run)
        self._start_task("views", self._view_exchange.run)
        self._start_task("streams", self._view_exchange.learn_streams)
        self._start_task("cold checks", self._cold_checker.run)
        self._start_task("contact probes", self._contact_prober.run)
        if self.configuration_age.is_bounded:
            self._start_task("freshness", self.freshness.run)

    async def handle_view(self, http: web.BaseRequest) -> web.StreamResponse:
        """Respond to another entry VM with what this one knows."""
        return await self._view_exchange.handle(http)

    @property
    def serving(self) -> bool:
        """Whether new requests are still served."""
        return time.monotonic() < self._serve_until

    async def leave(self) -> None:
        """Announce the shutdown; return once no new connections need accepting."""
        grace_seconds, now = self.cfg.grace_seconds, time.monotonic()
        self._abort_requests_at = now + grace_seconds - SIGKILL_MARGIN_SECONDS
        self._serve_until = now + grace_seconds * SERVE_REQUESTS_SHARE
        self.fleet.local_state = EntryState.LEAVING
        log_event(Event.ENTRY_LEAVING, in_progress=self.in_progress)
        self.heartbeats.announce_state()
        await asyncio.sleep(grace_seconds * ACCEPT_CONNECTIONS_SHARE)
        while self.serving and not self.fleet.ready(self.cfg.region):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self.fleet.local_state = EntryState.CLOSED
        self.heartbeats.announce_state()

    @property
    def grace_seconds_left(self) -> float:
        """Time until the remaining requests are aborted."""
        return self._abort_requests_at - time.monotonic()

    async def finish_requests(self) -> None:
        """Wait until all requests have ended, at most until shortly before SIGKILL."""
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        while self.in_progress and time.monotonic() < self._abort_requests_at:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        if self.in_progress:
            log_event(Event.ENTRY_DRAIN_EXPIRED, in_progress=self.in_progress)

    async def stop(self) -> None:
        """Cancel the background tasks."""
        await cancel_tasks(self._tasks)
        await self.deps.start_checker.close()
        await self.deps.start_proofs.close()
        await self._view_exchange.close()
        await self._stream_origins.close()
        log_event(Event.ENTRY_STOPPED)

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(run_supervised(name, run)))

    def _create_metrics(self) -> GatewayMetrics:
        metrics = GatewayMetrics()
        self.deps.request_ended.connect(metrics.record)
        self.deps.request_refused.connect(metrics.record_refusal)
        metrics.add_gauge(
            "pimentospool_requests_in_progress",
            "Requests that have not ended.",
            lambda: self.in_progress,
        )
        metrics.add_gauge(
            "pimentospool_request_bytes",
            "Bytes that requests and answers in progress hold.",
            lambda: self.deps.memory.used_bytes,
        )
        metrics.add_gauge(
            "pimentospool_head_bytes",
            "Bytes that heads hold of those, beyond ordinary ones.",
            lambda: self.deps.memory.heads.used_bytes,
        )
        metrics.add_gauge(
            "pimentospool_answers_held_back",
            "Answers that wait for room in the share of their target or service.",
            lambda: len(self.deps.memory.answer_shares.waiting),
        )
        metrics.add_gauge(
            "pimentospool_configuration_version",
            "Version of the configuration in force; 0 before the first.",
            self._configuration_version,
        )
        metrics.add_gauge(
            "pimentospool_known_targets",
            "Targets that are registered.",
            lambda: len(self.routing_state.known_targets()),
        )
        metrics.add_gauge(
            "pimentospool_late_stream_choices",
            "Choices for streams that would end after their deadline everywhere.",
            lambda: self._placement.streams.late_choices,
        )
        metrics.add_gauge(
            "pimentospool_doubted_targets",
            "Targets that may have started again, and get no more than cold ones.",
            lambda: len(self._placement.doubted_starts.doubted_targets()),
        )
        metrics.add_gauge(
            "pimentospool_live_entries",
            "Other entry VMs that are alive.",
            lambda: len(self.fleet.live()),
        )
        metrics.add_gauge(
            "pimentospool_quarantined_parts",
            "Parts of prompts that are kept from targets, as these crash under them.",
            lambda: self.deps.crash_suspects.quarantined_count(SuspectKind.PART),
        )
        metrics.add_gauge(
            "pimentospool_quarantined_requests",
            "Requests that are kept from targets, as these crash under them.",
            lambda: self.deps.crash_suspects.quarantined_count(SuspectKind.REQUEST),
        )
        return metrics

    def _known_start(self, target: TargetId) -> int | None:
        state = self.routing_state.target(target)
        return None if state is None else state.registration.started_at

    def _configuration_version(self) -> int:
        configuration = self.routing_state.configuration
        return configuration.version if configuration else 0

    def _follow_configuration(self, configuration: Configuration) -> None:
        self.fleet.local_version = configuration.version
        if self.state is EntryState.STARTING:
            self.fleet.local_state = EntryState.READY

    def _refresh_loads(self) -> None:
        self.fleet.local_loads = self._placement.local_loads()


def _log_mixed_versions(service: ServiceId, mixed: bool) -> None:
    log_event(Event.VERSIONS_MIXED, service=service, mixed=mixed)
