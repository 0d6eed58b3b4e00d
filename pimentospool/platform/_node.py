"""One process on the platform: its listeners, signals and settings file."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from aiohttp import web

from pimentospool.gateway import Address, EntryState, Gateway, GatewaySettings
from pimentospool.ids import RegionId
from pimentospool.latencies import CONTENT_TYPE
from pimentospool.log import Event, log_event
from pimentospool.platform._exchange import PlatformDialect
from pimentospool.platform._front import Front, quiet_logger
from pimentospool.platform._settings import NodeSettingsError, read_node_settings
from pimentospool.platform._store import StoreFeed
from pimentospool.tasks import cancel_tasks

PageHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

METRICS_PATH = "/metrics"
BACKLOG = 512
"""Connections that wait to be accepted; a full queue costs callers seconds."""
SETTINGS_POLL_SECONDS = 1.0
"""Time between looks at the settings file, which may change without a signal."""


class Node:
    """A gateway process on the platform.

    Parameters
    ----------
    cfg : GatewaySettings
        Checked settings.
    path : Path
        The settings file, read again when it changes.
    """

    def __init__(self, *, cfg: GatewaySettings, path: Path) -> None:
        self._cfg = cfg
        self._path = path
        self._gateway = Gateway(cfg=cfg, dialect=PlatformDialect())
        self._servers: list[asyncio.Server] = []
        self._fronts = [
            Front(gateway=self._gateway, hop=False),
            Front(gateway=self._gateway, hop=True),
        ]
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then let requests in progress end."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._start()
        await self._stopping.wait()
        await self._gateway.leave()
        for server in self._servers:
            server.close()
        await self._gateway.finish_requests()
        await self.close()

    async def close(self) -> None:
        """Close all listeners and connections and end the background tasks."""
        for server in self._servers:
            server.close()
        for front in self._fronts:
            await front.close()
        await cancel_tasks(self._tasks)
        await self._gateway.stop()

    async def _start(self) -> None:
        cfg = self._cfg
        self._feed = StoreFeed(address=cfg.store, knowledge=self._gateway.routing_state)
        self._tasks.append(asyncio.create_task(self._feed.run()))
        await self._gateway.start()
        front, hops = self._fronts
        await self._listen(front.server, cfg.front)
        await self._listen(hops.server, cfg.peer)
        await self._serve_pages(self._answer_ready, cfg.ready)
        await self._serve_pages(self._answer_resolve, cfg.directory)
        await self._serve_pages(self._answer_metrics, cfg.control)
        self._gateway.metrics.add_gauge(
            "pimentospool_store_calls",
            "Reading calls to the platform's store.",
            lambda: self._feed.calls,
        )
        self._gateway.metrics.add_gauge(
            "pimentospool_store_entries_skipped",
            "Store entries that could not be read.",
            lambda: self._feed.skipped,
        )
        self._tasks.append(asyncio.create_task(self._watch_settings()))
        log_event(
            Event.ENTRY_STARTED,
            entry=cfg.entry,
            zone=cfg.zone,
            region=cfg.region,
            front=str(cfg.front),
            seeds=len(cfg.seeds),
        )

    async def _serve_pages(self, handler: PageHandler, address: Address) -> None:
        server = web.Server(handler, access_log=None, logger=quiet_logger)
        await self._listen(server, address)

    async def _listen(self, server: web.Server, address: Address) -> None:
        loop = asyncio.get_running_loop()
        self._servers.append(
            await loop.create_server(
                server, address.host, address.port, backlog=BACKLOG
            )
        )

    async def _answer_ready(self, http: web.BaseRequest) -> web.StreamResponse:
        ready = self._gateway.state is EntryState.READY
        return web.Response(status=200 if ready else 503)

    async def _answer_resolve(self, http: web.BaseRequest) -> web.StreamResponse:
        host = http.query.get("Name", "").lower()
        region = RegionId(http.query.get("Region", self._cfg.region))
        addresses = self._gateway.directory.lookup(host, region)
        if not addresses:
            return web.Response(status=503)
        body = msgspec.json.encode(
            {
                "Addresses": [str(address) for address in addresses],
                "TtlS": self._cfg.directory_ttl_seconds,
            }
        )
        return web.Response(body=body, content_type="application/json")

    async def _answer_metrics(self, http: web.BaseRequest) -> web.StreamResponse:
        if http.path != METRICS_PATH:
            return web.Response(status=404)
        headers = {"Content-Type": CONTENT_TYPE}
        return web.Response(body=self._gateway.metrics.render(), headers=headers)

    def _reload(self) -> None:
        try:
            cfg = read_node_settings(self._path)
        except NodeSettingsError as exc:
            log_event(Event.SETTINGS_REFUSED, reason=str(exc))
            return
        self._gateway.heartbeats.seeds = list(cfg.seeds)
        log_event(Event.SETTINGS_RELOADED, seeds=len(cfg.seeds))

    async def _watch_settings(self) -> None:
        known = _modified_at(self._path)
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            modified = _modified_at(self._path)
            if modified != known:
                known = modified
                self._reload()


def _modified_at(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


async def run_node(cfg: GatewaySettings, path: Path) -> None:
    """Run one process with the settings `cfg`, read from `path`."""
    await Node(cfg=cfg, path=path).run()
