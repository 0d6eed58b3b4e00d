"""One entry process: its parts and their start and end."""

import asyncio
import random
import signal
import time

from pimentospool._generated.platform import RevisionIndex
from pimentospool._generated.settings import Settings
from pimentospool._generated.status import EntryStatus, RevisionStatus
from pimentospool.admin import AdminServer
from pimentospool.admission import Admission
from pimentospool.callers import CallerServer
from pimentospool.dispatch import Dispatcher
from pimentospool.errors import DocumentErrors
from pimentospool.fleet import ListedFleet
from pimentospool.log import Event, log_event
from pimentospool.metrics import (
    METRICS_PATH,
    EntryMetrics,
    ProcessReadings,
    add_process_gauges,
)
from pimentospool.operations import OperationServer
from pimentospool.platform import PlatformClient, PlatformError
from pimentospool.policy import QuotaShares, Router
from pimentospool.reports import ReportPoller
from pimentospool.revisions import Revision, index_digest, unpack_manifest
from pimentospool.status import STATUS_PATH, status_page
from pimentospool.targets import ExchangeClient
from pimentospool.views import View

_RETRY_SECONDS = 0.5


class Entry:
    """An entry process, without the process.

    Parameters
    ----------
    cfg : Settings
        Checked settings.

    Attributes
    ----------
    admin : AdminServer
        Pages for operators and scrapers; extensions add theirs before `start`.
    life : int
        Number of this process's life: its start in microseconds since the epoch.
    """

    def __init__(self, *, cfg: Settings) -> None:
        self.life = time.time_ns() // 1000
        self.view = View()
        self.fleet = ListedFleet()
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
        self._tasks: list[asyncio.Task[None]] = []
        self.view.revision_adopted.connect(self._follow_revision)

    async def start(self) -> None:
        """Start every part and serve callers."""
        cfg = self._cfg
        self._platform = PlatformClient(cfg=cfg.platform)
        self._client = ExchangeClient(cfg=cfg.targets)
        self.dispatcher = Dispatcher(
            cfg=cfg,
            view=self.view,
            fleet=self.fleet,
            router=self.router,
            admission=self._admission,
            client=self._client,
            rng=random.Random(),
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
            cfg=cfg, view=self.view, fleet=self.fleet, dispatcher=self.operations
        )
        self._tasks.append(asyncio.create_task(self._watch_configuration()))
        self._tasks.append(asyncio.create_task(self._watch_vms()))
        self._reports = ReportPoller(cfg=cfg.targets, router=self.router)
        self._tasks.append(asyncio.create_task(self._reports.run()))
        self._publish_metrics()
        self.admin.add_page(STATUS_PATH, lambda: status_page(self.status()))
        await self.admin.start()
        await self.callers.start()
        log_event(
            Event.ENTRY_STARTED, entry=cfg.entry.id, address=cfg.entry.caller_address
        )

    async def stop(self) -> None:
        """Take no new requests, end those in progress and stop."""
        log_event(Event.ENTRY_LEAVING, entry=self._cfg.entry.id)
        await self.callers.drain()
        await self.operations.drain()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.callers.close()
        await self.admin.close()
        await self._reports.close()
        await self._client.close()
        await self._platform.close()
        log_event(Event.ENTRY_STOPPED, entry=self._cfg.entry.id)

    def status(self) -> EntryStatus:
        """Return what operators see of this process."""
        entry = self._cfg.entry
        return EntryStatus(
            entry=entry.id,
            region=entry.region,
            zone=entry.zone,
            life=self.life,
            leaving=self.callers.leaving,
            in_progress=self.callers.in_progress,
            revision=RevisionStatus(number=self.view.number),
        )

    def _publish_metrics(self) -> None:
        metrics = EntryMetrics(region=self._cfg.entry.region)
        self.dispatcher.request_ended.connect(metrics.record)
        readings = ProcessReadings(
            revision=lambda: self.view.number,
            revision_age_seconds=lambda: time.monotonic() - self._adopted_at,
            in_progress=lambda: self.callers.in_progress,
            leaving=lambda: self.callers.leaving,
        )
        add_process_gauges(metrics, readings)
        self.admin.add_page(METRICS_PATH, metrics.render)

    def _follow_revision(self, revision: Revision) -> None:
        self._adopted_at = time.monotonic()
        self.router.set_manifest(self.view.index)
        self._admission.set_manifest(self.view.index)
        log_event(
            Event.REVISION_ADOPTED, revision=revision.number, digest=revision.digest
        )

    async def _watch_configuration(self) -> None:
        version = 0
        while True:
            try:
                published = await self._platform.watch_index(after=version)
                if published is None:
                    continue
                version = published.version
                await self._read_revision(published.index)
            except PlatformError as exc:
                log_event(Event.PLATFORM_UNREACHABLE, error=str(exc))
                await asyncio.sleep(_RETRY_SECONDS)

    async def _read_revision(self, index: RevisionIndex) -> None:
        if index.revision <= self.view.number:
            return
        parts = {
            ref.digest: await self._platform.read_part(ref.digest)
            for ref in index.parts
        }
        try:
            manifest = unpack_manifest(index, parts)
        except DocumentErrors as exc:
            faults = [str(fault) for fault in exc.exceptions]
            log_event(Event.REVISION_REFUSED, revision=index.revision, faults=faults)
            return
        revision = Revision(
            number=index.revision,
            digest=index_digest(index),
            index=index,
            manifest=manifest,
        )
        self.view.adopt(revision)

    async def _watch_vms(self) -> None:
        while True:
            try:
                self.fleet.update(await self._platform.read_vms())
                self.router.set_leaving(self.fleet.leaving_targets())
                own = self.fleet.entries(self._cfg.entry.region)
                self.router.set_entry_count(len(own))
                self.shares.set_entries(self.fleet.entry_ids())
            except PlatformError as exc:
                log_event(Event.PLATFORM_UNREACHABLE, error=str(exc))
            await asyncio.sleep(self._cfg.platform.vm_list_interval_seconds)


async def run_entry(cfg: Settings) -> None:
    """Run an entry process until SIGTERM or SIGINT, then end gracefully."""
    entry = Entry(cfg=cfg)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await entry.start()
    await stopping.wait()
    await entry.stop()
