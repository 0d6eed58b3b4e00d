"""Nodes that can be cut off from all targets, on loopback addresses."""

import asyncio
import random
import socket
import time

import aiohttp
from platform_site import running_site

from pimentospool.faults import FaultProxy, LinkState
from pimentospool.standins import (
    StoreStandin,
    platform_configuration,
    platform_route,
    serve_standin,
    target_entry,
)

CALL_INTERVAL_SECONDS = 0.05
TARGETS = 3
ROUTES = [
    platform_route("/look/", "idempotent", HomeRegions=["gulf"]),
    platform_route("/book/", "non_idempotent", MaxAttempts=1, HomeRegions=["gulf"]),
    platform_route(
        "/plan/",
        "streaming",
        "llm",
        MaxAttempts=1,
        TimeoutMs=5000,
        HomeRegions=["gulf"],
    ),
]
CALLS = (("/look/", "GET"), ("/book/", "POST"))


class CutLink(FaultProxy):
    """The way from the nodes that are cut off to one target."""

    _sockets = ()

    async def cut_off(self, kind):
        """Begin a cut: new connections are refused or hang, or are accepted and closed.

        Older ones are reset, lose all bytes, or live on.
        """
        host, _, port = self.address.rpartition(":")
        if kind in ("reset", "accepted and reset"):
            self.reset_connections()
        if kind == "hang":
            self.lose_connections()
        if kind.startswith("accepted"):
            self.set_state(LinkState(refuse=True))
            return
        self._server.close()
        if kind in ("hang", "new ones hang"):
            # A listener whose queue is full answers no further attempt to connect.
            listener = socket.create_server((host, int(port)), backlog=0)
            self._sockets = [listener, *(socket.socket() for _ in range(3))]
            for sock in self._sockets[1:]:
                sock.setblocking(False)
                sock.connect_ex((host, int(port)))
        else:
            # Keeps the port from others that ask for a free one.
            self._sockets = [socket.socket()]
            self._sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sockets[0].bind((host, int(port)))

    async def heal_cut(self):
        """End the cut."""
        self.heal()
        for sock in self._sockets:
            sock.close()
        self._sockets = ()
        if not self._server.is_serving():
            host, _, port = self.address.rpartition(":")
            self._server = await asyncio.start_server(self._accept, host, int(port))


class _View:
    """A store in which targets have the addresses of their links."""

    def __init__(self, store):
        self.store = store
        self.address = ""


class CutSite:
    """Nodes of one region, the first ones of which can be cut off from all targets."""

    def __init__(self, site):
        self.site = site
        self.links = []
        self.results = []
        """Time, node and whether it was served, for each call."""
        self._calls = set()
        self._rng = random.Random(1)

    async def start(
        self, view, *, nodes, cut, elsewhere=0, targets=TARGETS, streams=0, kind=""
    ):
        """Start targets and nodes; those that can be cut off are so from the start on
        if `kind` is given."""
        config = platform_configuration(1, ROUTES)
        for store in (self.site.store, view.store):
            await store.put("op/config", config)
        for number in range(targets):
            await self._add_target(view, f"d-{number}")
        for number in range(streams):
            target = await self._add_target(
                view, f"m-{number}", service="llm", events=10, Slots=64
            )
            target.gap_seconds = 0.03
        store_address = self.site.store_address
        for number in range(nodes):
            # Those that are never cut off are ready when the others start.
            if kind and number == nodes - cut:
                await self._wait_until_ready()
                await self.cut(kind)
            can_be_cut = number >= nodes - cut if kind else number < cut
            self.site.store_address = view.address if can_be_cut else store_address
            await self.site.add_node("gulf-a")
        self.site.store_address = store_address
        for _ in range(elsewhere):
            await self.site.add_node("delta-a")
        await self._wait_until_ready()

    async def cut(self, kind):
        """Begin a cut."""
        for link in self.links:
            await link.cut_off(kind)

    async def heal(self):
        """End the cut."""
        for link in self.links:
            await link.heal_cut()

    async def _add_target(self, view, name, **options):
        target = await self.site.add_target(name, **options)
        link = CutLink(upstream=target.address)
        await link.start()
        self.links.append(link)
        options.pop("events", None)
        await view.store.put(f"servers/{name}", target_entry(link.address, **options))
        return target

    async def _wait_until_ready(self):
        nodes = self.site.nodes
        await self.site.wait_until(
            lambda: all(
                len(node.gateway.routing_state.known_targets()) == len(self.links)
                and node.gateway.routing_state.configuration
                and len(node.gateway.fleet.ready()) == len(nodes)
                for node in nodes
            )
        )

    async def load(
        self, seconds, *, calls=CALLS, interval_seconds=CALL_INTERVAL_SECONDS
    ):
        """Call all nodes at an even rate."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for number in range(len(self.site.nodes)):
                for path, method in calls:
                    delay = self._rng.uniform(0.0, interval_seconds)
                    call = asyncio.create_task(self._call(path, method, number, delay))
                    self._calls.add(call)
                    call.add_done_callback(self._calls.discard)
            await asyncio.sleep(interval_seconds)

    async def _call(self, path, method, node, delay_seconds):
        await asyncio.sleep(delay_seconds)
        called_at = time.monotonic()
        request_id = f"r-{time.time_ns()}"
        try:
            status, _, _ = await self.site.call(
                path, method=method, node=node, request_id=request_id
            )
        except (OSError, aiohttp.ClientError):
            status = 0
        self.results.append((called_at, node, status == 200))

    def share(self, node, *, since):
        results = [ok for at, number, ok in self.results if number == node]
        recent = [
            ok for at, number, ok in self.results if number == node and at > since
        ]
        assert len(recent) < len(results) or recent
        return recent.count(True) / len(recent)

    async def finish(self):
        await asyncio.gather(*self._calls, return_exceptions=True)

    def arrivals(self, since):
        """Return when requests reached each target, after `since`."""
        return [
            [req.received_at for req in target.received if req.received_at > since]
            for target in self.site.targets.values()
        ]


async def with_cut_site(tmp_path, check, **options):
    view = _View(StoreStandin())
    view_server = await serve_standin(view.store, "127.0.0.1:0")
    view.address = view_server.address
    try:
        async with running_site(tmp_path, zones=(), with_config=False) as site:
            cut_site = CutSite(site)
            await cut_site.start(view, **options)
            cut_site.view = view
            try:
                await check(cut_site)
            finally:
                await cut_site.finish()
                for link in cut_site.links:
                    await link.close()
    finally:
        await view_server.close()
