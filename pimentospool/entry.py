"""One entry process: its components, their start and their shutdown."""

import asyncio
import random
import signal
import time
from typing import TYPE_CHECKING

from pimentospool._generated.settings import Settings
from pimentospool._generated.status import EntryStatus
from pimentospool.admin import AdminServer
from pimentospool.admission import Admission
from pimentospool.callers import CallerServer
from pimentospool.configuration_service import PlatformClient
from pimentospool.control import ControlPlane
from pimentospool.control_metrics import add_control_gauges
from pimentospool.dispatch import Dispatcher
from pimentospool.log import Event, log_event
from pimentospool.metrics import (
    METRICS_PATH,
    EntryMetrics,
    ProcessGaugeReaders,
    add_process_gauges,
)
from pimentospool.operations import OperationServer
from pimentospool.policy import QuotaShares, Router
from pimentospool.reports import ReportPoller
from pimentospool.revisions import Revision
from pimentospool.status import STATUS_PATH, control_status, status_page
from pimentospool.summaries import SummaryExchange
from pimentospool.targets import ExchangeClient
from pimentospool.tasks import cancel_tasks
from pimentospool.tls import CertificateUse, TlsContexts
from pimentospool.traces import NoOpTracer, Tracer
from pimentospool.views import View

if TYPE_CHECKING:
    from pimentospool.trace_export import ExportingTracer


class Entry:
    """The components of one entry process; tests run several in one process.

    Parameters
    ----------
    cfg : Settings
        Checked settings.

    Attributes
    ----------
    admin : AdminServer
        Admin pages; extensions add theirs before `start`.
    generation : int
        Generation of this process: its start in microseconds since the epoch.
    """

    def __init__(self, *, cfg: Settings) -> None:
        self.generation = time.time_ns() // 1000
        self.view = View()
        self._platform = PlatformClient(cfg=cfg.platform)
        self.control = ControlPlane(
            cfg=cfg,
            view=self.view,
            platform=self._platform,
            generation=self.generation,
            rng=random.Random(),
        )
        self.fleet = self.control.fleet
        self.shares = QuotaShares(entry=cfg.entry.id, clock=time.monotonic)
        self.router = Router(
            region=cfg.entry.region,
            entry=cfg.entry.id,
            clock=time.monotonic,
            rng=random.Random(),
            shares=self.shares,
        )
        self._admission = Admission(shares=self.shares)
        self.admin = AdminServer(cfg=cfg.entry)
        self._cfg = cfg
        self._adopted_at = time.monotonic()
        self._exporter: ExportingTracer | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.view.revision_adopted.connect(self._on_revision_adopted)

    async def start(self) -> None:
        """Start every component and serve callers."""
        cfg = self._cfg
        self._tls = TlsContexts(cfg=cfg.tls)
        self._tls.reloaded.connect(self._on_certificate_reloaded)
        self._tasks.append(asyncio.create_task(self._tls.watch()))
        self._client = ExchangeClient(cfg=cfg.targets, tls=self._tls.hop_context)
        self.dispatcher = Dispatcher(
            cfg=cfg,
            view=self.view,
            fleet=self.fleet,
            router=self.router,
            admission=self._admission,
            client=self._client,
            rng=random.Random(),
            tracer=self._make_tracer(),
        )
        self.operations = OperationServer(
            cfg=cfg,
            view=self.view,
            fleet=self.fleet,
            router=self.router,
            dispatcher=self.dispatcher,
            rng=random.Random(),
        )
        self.callers = CallerServer(
            cfg=cfg,
            view=self.view,
            control=self.control,
            dispatcher=self.operations,
            tls=self._tls,
        )
        self._summaries = SummaryExchange(
            control=self.control,
            router=self.router,
            shares=self.shares,
            clock=time.monotonic,
        )
        self._publish_metrics()
        self.admin.add_page(STATUS_PATH, lambda: status_page(self.status()))
        await self.admin.start()
        await self.control.start()
        self._tasks.append(asyncio.create_task(self._summaries.run()))
        self._reports = ReportPoller(cfg=cfg.targets, router=self.router)
        self._tasks.append(asyncio.create_task(self._reports.run()))
        await self.callers.start()
        log_event(
            Event.ENTRY_STARTED, entry=cfg.entry.id, address=cfg.entry.caller_address
        )

    async def stop(self) -> None:
        """Stop taking requests, let those in progress end, and shut down."""
        log_event(Event.ENTRY_LEAVING, entry=self._cfg.entry.id)
        await self.control.leave()
        await asyncio.sleep(self._cfg.peers.leave_seconds)
        await self.callers.drain()
        await self.operations.drain()
        await cancel_tasks(self._tasks)
        await self.callers.close()
        await self.admin.close()
        await self._reports.close()
        await self._client.close()
        await self.control.close()
        await self._platform.close()
        if self._exporter is not None:
            await self._exporter.flush()
        log_event(Event.ENTRY_STOPPED, entry=self._cfg.entry.id)

    def _make_tracer(self) -> Tracer:
        traces = self._cfg.traces
        if not (traces.file or traces.otlp_endpoint):
            return NoOpTracer()
        # Imported here, so that a process that exports no traces does not load the SDK,
        # which takes memory.
        from pimentospool.trace_export import ExportingTracer

        self._exporter = ExportingTracer(cfg=traces, entry=self._cfg.entry)
        self._platform.tracer = self._exporter
        self._tasks.append(asyncio.create_task(self._exporter.run()))
        return self._exporter

    def status(self) -> EntryStatus:
        """Return the status of this process for operators."""
        return control_status(
            control=self.control,
            view=self.view,
            cfg=self._cfg.entry,
            in_progress=self.callers.in_progress,
        )

    def _publish_metrics(self) -> None:
        metrics = EntryMetrics(region=self._cfg.entry.region)
        self.dispatcher.request_ended.connect(metrics.record)
        readers = ProcessGaugeReaders(
            revision=lambda: self.view.number,
            revision_age_seconds=lambda: time.monotonic() - self._adopted_at,
            in_progress=lambda: self.callers.in_progress,
            leaving=lambda: self.callers.leaving,
        )
        add_process_gauges(metrics, readers)
        add_control_gauges(metrics, self.control)
        self.admin.add_page(METRICS_PATH, metrics.render)

    def _on_certificate_reloaded(self, use: CertificateUse) -> None:
        if use is CertificateUse.PEER:
            renewal = self.control.node.renew_certificate()
            self._tasks.append(asyncio.create_task(renewal))

    def _on_revision_adopted(self, revision: Revision) -> None:
        self._adopted_at = time.monotonic()
        self.router.set_manifest(self.view.index)
        self._admission.set_manifest(self.view.index)
        log_event(
            Event.REVISION_ADOPTED, revision=revision.number, digest=revision.digest
        )


async def run_entry(cfg: Settings) -> None:
    """Run an entry process until SIGTERM or SIGINT, then shut down gracefully."""
    entry = Entry(cfg=cfg)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await entry.start()
    await stopping.wait()
    await entry.stop()
