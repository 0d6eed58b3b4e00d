"""Nodes that are cut off from all targets, while callers and other nodes reach them."""

import asyncio
import socket
import time

import pytest
from platform_site import running_site

from pimentospool.faults import FaultProxy
from pimentospool.standins import (
    StoreStandin,
    platform_configuration,
    platform_route,
    serve_standin,
    target_entry,
)

NOTICE_SECONDS = 5.0
"""The platform's bound on the time until a cut has to be noticed."""
MEASURED_SECONDS = 3.0
RETURN_SECONDS = 4.0
CALL_INTERVAL_SECONDS = 0.05
TARGETS = 3
ROUTES = [
    platform_route("/look/", "idempotent", HomeRegions=["gulf"]),
    platform_route("/book/", "non_idempotent", MaxAttempts=1, HomeRegions=["gulf"]),
]
CALLS = (("/look/", "GET"), ("/book/", "POST"))


class CutLink(FaultProxy):
    """The way from the nodes that are cut off to one target."""

    async def cut_off(self, kind):
        host, _, port = self.address.rpartition(":")
        self._server.close()
        if kind != "hang":
            # Keeps the port from others that ask for a free one.
            self.holder = socket.socket()
            self.holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.holder.bind((host, int(port)))
        if kind == "reset":
            self.reset_connections()
        if kind == "hang":
            self.lose_connections()
            # A listener whose queue is full answers no further attempt to connect.
            self.listener = socket.create_server((host, int(port)), backlog=0)
            self.queued = [socket.socket() for _ in range(3)]
            for sock in self.queued:
                sock.setblocking(False)
                sock.connect_ex((host, int(port)))

    async def heal_cut(self):
        for sock in (*getattr(self, "queued", ()), getattr(self, "listener", None)):
            if sock is not None:
                sock.close()
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        if hasattr(self, "holder"):
            self.holder.close()


class CutSite:
    """Nodes of one region, the first ones of which can be cut off from all targets."""

    def __init__(self, site):
        self.site = site
        self.links = []
        self.results = []
        """Time, node and whether it was served, for each call."""
        self._calls = set()

    async def start(self, view, view_address, *, nodes, cut, elsewhere=0):
        config = platform_configuration(1, ROUTES)
        for store in (self.site.store, view):
            await store.put("op/config", config)
        for number in range(TARGETS):
            target = await self.site.add_target(f"d-{number}")
            link = CutLink(upstream=target.address)
            await link.start()
            self.links.append(link)
            await view.put(f"servers/d-{number}", target_entry(link.address))
        store_address = self.site.store_address
        for number in range(nodes):
            self.site.store_address = view_address if number < cut else store_address
            await self.site.add_node("gulf-a")
        for _ in range(elsewhere):
            await self.site.add_node("delta-a")
        await self.site.wait_until(
            lambda: all(
                len(node.gateway.routing_state.known_targets()) == TARGETS
                and node.gateway.routing_state.configuration
                and len(node.gateway.fleet.ready()) == nodes + elsewhere
                for node in self.site.nodes
            )
        )

    async def load(self, seconds):
        """Call all nodes at an even rate."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for number in range(len(self.site.nodes)):
                for path, method in CALLS:
                    call = asyncio.create_task(self._call(path, method, number))
                    self._calls.add(call)
                    call.add_done_callback(self._calls.discard)
            await asyncio.sleep(CALL_INTERVAL_SECONDS)

    async def _call(self, path, method, node):
        called_at = time.monotonic()
        request_id = f"r-{time.time_ns()}"
        try:
            status, _, _ = await self.site.call(
                path, method=method, node=node, request_id=request_id
            )
        except OSError:
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
    view = StoreStandin()
    view_server = await serve_standin(view, "127.0.0.1:0")
    try:
        async with running_site(tmp_path, zones=(), with_config=False) as site:
            cut_site = CutSite(site)
            await cut_site.start(view, view_server.address, **options)
            try:
                await check(cut_site)
            finally:
                await cut_site.finish()
                for link in cut_site.links:
                    await link.close()
    finally:
        await view_server.close()


@pytest.mark.parametrize("cut", [1, 2])
@pytest.mark.parametrize("kind", ["reset", "hang", "refused"])
def test_callers_of_nodes_that_are_cut_off_are_served_by_neighbours(
    runner, tmp_path, kind, cut
):
    async def check(site):
        await site.load(1.0)
        for link in site.links:
            await link.cut_off(kind)
        await site.load(NOTICE_SECONDS)
        since = time.monotonic()
        await site.load(MEASURED_SECONDS)
        await site.finish()
        shares = [site.share(node, since=since) for node in range(3)]
        assert min(shares) >= 0.98
        for link in site.links:
            await link.heal_cut()
        await site.load(RETURN_SECONDS)
        for node in range(cut):
            assert not site.site.nodes[node].gateway.deps.placement.contact.lost
        since = time.monotonic()
        accepted = sum(link.accepted_connections for link in site.links)
        await site.load(1.0)
        await site.finish()
        assert min(site.share(node, since=since) for node in range(3)) >= 0.98
        opened = sum(link.accepted_connections for link in site.links) - accepted
        assert opened <= 20

    runner.run(with_cut_site(tmp_path, check, nodes=3, cut=cut))


def test_callers_of_another_region_are_served_by_the_nodes_that_reach_targets(
    runner, tmp_path
):
    async def check(site):
        await site.load(1.0)
        for link in site.links:
            await link.cut_off("reset")
        await site.load(NOTICE_SECONDS)
        since = time.monotonic()
        await site.load(MEASURED_SECONDS)
        await site.finish()
        assert site.share(2, since=since) >= 0.98

    runner.run(with_cut_site(tmp_path, check, nodes=2, cut=1, elsewhere=1))


def test_all_nodes_of_the_region_refuse_at_once_if_all_are_cut_off(runner, tmp_path):
    async def check(site):
        await site.load(1.0)
        for link in site.links:
            await link.cut_off("reset")
        await site.load(NOTICE_SECONDS)
        called_at = time.monotonic()
        status, headers, _ = await site.site.call("/look/")
        assert status == 503
        assert "Retry-After" in headers
        assert time.monotonic() - called_at < 1.0

    runner.run(with_cut_site(tmp_path, check, nodes=2, cut=2))


def test_targets_that_ended_for_all_lead_to_no_hops(runner, tmp_path):
    async def check(site):
        await site.load(1.0)
        for target in site.site.targets.values():
            await target.close()
        await site.load(3.0)
        hops = []
        for node in site.site.nodes:
            placement = node.gateway.deps.placement
            chosen = placement.hop_receivers

            def record(region, service, chosen=chosen):
                hops.append(region)
                return chosen(region, service)

            placement.hop_receivers = record
        await site.load(1.0)
        await site.finish()
        assert not hops

    runner.run(with_cut_site(tmp_path, check, nodes=2, cut=1))


def test_silence_of_all_targets_for_a_second_leads_to_no_loss_of_contact(
    runner, tmp_path
):
    async def check(site):
        await site.load(1.0)
        until = time.monotonic() + 1.3
        for target in site.site.targets.values():
            target.silent_until = until
        lost = []
        load = asyncio.create_task(site.load(3.0))
        while not load.done():
            lost += [
                node.gateway.deps.placement.contact.lost for node in site.site.nodes
            ]
            await asyncio.sleep(0.05)
        await load
        assert not any(lost)

    runner.run(with_cut_site(tmp_path, check, nodes=2, cut=1))
