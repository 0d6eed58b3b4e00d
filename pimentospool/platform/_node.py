"""One gateway process on the platform: its listeners, signals and settings file."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from aiohttp import web

from pimentospool.gateway import (
    Address,
    CallerLimits,
    EntryState,
    Gateway,
    GatewaySettings,
    Listener,
    view_address,
)
from pimentospool.ids import RegionId
from pimentospool.latencies import CONTENT_TYPE
from pimentospool.log import Event, log_event
from pimentospool.platform._caller_connections import CallerServer
from pimentospool.platform._connection_guard import ConnectionGuard
from pimentospool.platform._connection_report import (
    ConnectionReport,
    OpenConnectionsCollector,
)
from pimentospool.platform._exchange import PlatformDialect
from pimentospool.platform._front import MIN_FLUSH_SECONDS, HttpFrontend, null_logger
from pimentospool.platform._read_turns import ReadTurns
from pimentospool.platform._settings import NodeSettingsError, read_node_settings
from pimentospool.platform._store import StoreClient
from pimentospool.sockets import listening_socket
from pimentospool.tasks import cancel_tasks

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

METRICS_PATH = "/metrics"
LISTEN_BACKLOG_CONNECTIONS = 512
"""Connections that may wait to be accepted; a full queue delays callers by seconds."""
LOCAL_LIMITS = CallerLimits(idle_timeout_seconds=0.0)
"""Limits on connections that aren't for requests; idle ones stay open."""
SETTINGS_POLL_SECONDS = 1.0
"""Interval at which the settings file is checked; it may change without a signal."""


class Node:
    """A gateway process on the platform.

    Parameters
    ----------
    cfg : GatewaySettings
        Validated settings.
    path : Path
        The settings file, which is reloaded when it changes.
    """

    def __init__(self, *, cfg: GatewaySettings, path: Path) -> None:
        self._cfg = cfg
        self._path = path
        self._store = StoreClient(address=cfg.store)
        self._gateway = Gateway(
            cfg=cfg,
            dialect=PlatformDialect(),
            source=self._store,
            origin_source=StoreClient(address=cfg.store),
        )
        self._servers: list[asyncio.Server] = []
        self._last_servers: list[asyncio.Server] = []
        """Serves other entry VMs until the end, as they ask those that leave, too."""
        report = ConnectionReport(registry=self._gateway.metrics.registry)
        turns = ReadTurns()
        self._guards = {
            listener: ConnectionGuard(
                listener=listener,
                limit=limit,
                report=report,
                turns=turns,
                pace=cfg.pace,
            )
            for listener, limit in self._gateway.sockets.accepted.items()
        }
        self._gateway.metrics.registry.register(OpenConnectionsCollector(self._guards))
        self._frontends = [
            HttpFrontend(
                gateway=self._gateway,
                is_hop=listener is Listener.HOPS,
                guard=self._guards[listener],
            )
            for listener in (Listener.CALLERS, Listener.HOPS)
        ]
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then wait for the requests in progress."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._start()
        await self._stopping.wait()
        await self._gateway.leave()
        for server in self._servers:
            server.close()
        await self._gateway.finish_requests()
        await asyncio.gather(*(item.end_requests() for item in self._frontends))
        await self.close(flush_seconds=self._gateway.grace_seconds_left)

    async def close(self, *, flush_seconds: float = MIN_FLUSH_SECONDS) -> None:
        """Close all listeners and connections and cancel the background tasks.

        Parameters
        ----------
        flush_seconds : float
            Time for which callers may take what has been sent to them.
        """
        for server in self._servers:
            server.close()
        await asyncio.gather(
            *(
                frontend.close(flush_seconds=flush_seconds)
                for frontend in self._frontends
            )
        )
        await cancel_tasks(self._tasks)
        for server in self._last_servers:
            server.close()
        await self._gateway.stop()

    async def _start(self) -> None:
        cfg = self._cfg
        caller_frontend, hop_frontend = self._frontends
        await self._listen(caller_frontend.server, cfg.front, self._servers)
        await self._listen(hop_frontend.server, cfg.peer, self._servers)
        for listener, handler, address in (
            (Listener.READINESS, self._handle_ready, cfg.ready),
            (Listener.DIRECTORY, self._handle_resolve, cfg.directory),
            (Listener.METRICS, self._handle_metrics, cfg.control),
        ):
            server = self._create_server(listener, handler)
            await self._listen(server, address, self._servers)
        server = self._create_server(Listener.VIEWS, self._gateway.handle_view)
        await self._listen(server, view_address(cfg.peer), self._last_servers)
        # Others send requests here once it is ready, so that it has to listen first.
        await self._gateway.start()
        self._gateway.metrics.add_gauge(
            "pimentospool_store_calls",
            "Reading calls to the platform's store.",
            lambda: self._store.request_count,
        )
        self._gateway.metrics.add_gauge(
            "pimentospool_store_entries_skipped",
            "Store entries that could not be read.",
            lambda: self._store.skipped_entries,
        )
        self._gateway.metrics.add_gauge(
            "pimentospool_opened_connections",
            "Connections to targets and entry VMs.",
            lambda: self._gateway.deps.pools.open_connections.count,
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

    def _create_server(self, listener: Listener, handler: HttpHandler) -> CallerServer:
        server = CallerServer(
            handler,
            heads=self._gateway.deps.memory.heads,
            guard=self._guards[listener],
            access_log=None,
            logger=null_logger,
        )
        server.limits = lambda: LOCAL_LIMITS
        return server

    async def _listen(
        self, server: web.Server, address: Address, servers: list[asyncio.Server]
    ) -> None:
        loop = asyncio.get_running_loop()
        sock = listening_socket(address.host, address.port)
        servers.append(
            await loop.create_server(
                server, sock=sock, backlog=LISTEN_BACKLOG_CONNECTIONS
            )
        )

    async def _handle_ready(self, http: web.BaseRequest) -> web.StreamResponse:
        ready = self._gateway.state is EntryState.READY
        return web.Response(status=200 if ready else 503)

    async def _handle_resolve(self, http: web.BaseRequest) -> web.StreamResponse:
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

    async def _handle_metrics(self, http: web.BaseRequest) -> web.StreamResponse:
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
        known_mtime_ns = _modification_time_ns(self._path)
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            mtime_ns = _modification_time_ns(self._path)
            if mtime_ns != known_mtime_ns:
                known_mtime_ns = mtime_ns
                self._reload()


def _modification_time_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


async def run_node(cfg: GatewaySettings, path: Path) -> None:
    """Run one gateway process with the settings `cfg`, which were read from `path`."""
    await Node(cfg=cfg, path=path).run()
