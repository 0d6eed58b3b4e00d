"""Targets that start again under their ids and addresses, for tests on real sockets."""

import asyncio
import contextlib
import itertools
import socket
import time
from contextlib import asynccontextmanager

import aiohttp
from platform_site import running_site

from pimentospool.policy import EntryState
from pimentospool.standins import SigningTarget, platform_configuration, platform_route

COLD_SECONDS = 3.0
ALLOWED_PER_SECOND = 6
"""Requests that may reach a cold target in one second, by the configuration (2 a
second) and the bounds (1.5 times as many, and 3 more) of the stand-ins."""
NODES = 4
TARGETS = 6
EVENTS = 3
EVENT_GAP_SECONDS = 0.1
ROUTES = [
    platform_route("/ask/", "streaming", "llm", Resumable=True, TimeoutMs=5000),
    platform_route("/plan/", "streaming", "llm", MaxAttempts=1, TimeoutMs=5000),
    platform_route("/sum/", "idempotent", "llm"),
]
PATHS = ("/ask/", "/plan/")


class IdleClosingTarget(SigningTarget):
    """A target that closes idle connections without notice."""

    idle_seconds = 0.05

    async def _serve_request(self, reader, writer):
        ends_at = time.monotonic() + self.idle_seconds
        while not (reader._buffer or reader.at_eof() or reader.exception()):
            if time.monotonic() > ends_at:
                return False
            await asyncio.sleep(0.01)
        return await super()._serve_request(reader, writer)


class RestartingSite:
    """Nodes of one region under load, and streaming targets that start again.

    Parameters
    ----------
    site : Site
        Runs the nodes and targets.
    """

    def __init__(self, site):
        self.site = site
        self.ended = []
        """Targets that have ended, in the start in which they ended."""
        self.results = []
        """Time and status of each call."""
        self.called_nodes = None
        """Numbers of the nodes that are called; all of them with None."""
        self._sequences = itertools.count(2)
        self._request_ids = itertools.count()
        self._calls = set()
        self._load = None

    async def start(self, *, nodes=NODES, targets=TARGETS):
        for number in range(targets):
            target = await self.site.add_target(
                f"m-{number}", service="llm", events=EVENTS
            )
            target.gap_seconds = EVENT_GAP_SECONDS
        await self.wait_until_ready(nodes=nodes)

    async def wait_until_ready(self, *, nodes=NODES):
        await self.site.wait_until(
            lambda: all(
                node.gateway.state is EntryState.READY
                and len(node.gateway.routing_state.known_targets())
                == len(self.site.targets)
                and len(node.gateway.fleet.ready()) == nodes
                for node in self.site.nodes
            )
        )

    @asynccontextmanager
    async def load(self, rate, *, paths=PATHS):
        """Call the nodes in turn, `rate` times a second."""
        load = asyncio.create_task(self._call_all(rate, paths))
        try:
            yield
        finally:
            load.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await load
            await asyncio.gather(*self._calls, return_exceptions=True)

    async def _call_all(self, rate, paths):
        started_at = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(started_at + number / rate - time.monotonic())
            nodes = self.called_nodes or range(len(self.site.nodes))
            node = nodes[number % len(nodes)]
            path = paths[number // len(nodes) % len(paths)]
            call = asyncio.create_task(self._call(path, node))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(self, path, node):
        called_at, status = time.monotonic(), 0
        # A call may be cut off; what reaches targets and which share is served counts.
        with contextlib.suppress(aiohttp.ClientError):
            status, _, _ = await self.site.call(
                path,
                node=node,
                method="POST",
                data=b"p",
                request_id=f"r-{next(self._request_ids)}",
            )
        self.results.append((called_at, status))

    async def restart(
        self, name, *, down_seconds, end=SigningTarget.reset_all, silent_seconds=0.0
    ):
        """End a target, and start it under its id and address; return the new start.

        Parameters
        ----------
        end : callable
            Ends the target.
        silent_seconds : float
            Time before its end in which it sends nothing.
        """
        target = self.site.targets[name]
        host, _, port = target.address.rpartition(":")
        target.silent_until = time.monotonic() + silent_seconds
        await asyncio.sleep(silent_seconds)
        end(target)
        self.ended.append(target)
        with socket.socket() as holder:
            # Keeps the port from connections that ask for a free one.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((host, int(port)))
            await asyncio.sleep(down_seconds)
        again = SigningTarget(instance=name, events=EVENTS)
        again.born = (target.born or 1) + 1
        again.gap_seconds = target.gap_seconds
        again.cold_remaining_ms = int(COLD_SECONDS * 1000)
        await again.start(host, int(port))
        again.started_at = time.monotonic()
        self.site.targets[name] = again
        return again

    async def register(self, target, **options):
        """Write the true entry of a target that has started again."""
        left_seconds = max(0.0, target.started_at + COLD_SECONDS - time.monotonic())
        entry = {
            "service": "llm",
            "born": target.born,
            "ColdLeftMs": int(left_seconds * 1000),
            "Sequence": next(self._sequences),
        }
        await self.site.register(target, **(entry | options))

    def served_share(self, *, since, until=float("inf")):
        """Return the share of the calls of a time that were served in full."""
        statuses = [status for at, status in self.results if since <= at < until]
        return statuses.count(200) / len(statuses)


def cold_arrivals(target):
    """Return when requests reached a target while it was cold."""
    bound = target.started_at + COLD_SECONDS
    return [
        req.received_at
        for req in target.received
        if req.path != "/healthz" and req.received_at < bound
    ]


def most_in_a_second(times):
    times = sorted(times)
    return max(
        (sum(start <= at < start + 1.0 for at in times) for start in times), default=0
    )


@asynccontextmanager
async def restarting_site(tmp_path, *, nodes=NODES, targets=TARGETS):
    """Run nodes of one region, and targets that can be cold."""
    async with running_site(tmp_path, zones=("gulf-a",) * nodes) as site:
        config = platform_configuration(2, ROUTES)
        await site.store.put("op/config", config)
        restarting = RestartingSite(site)
        await restarting.start(nodes=nodes, targets=targets)
        yield restarting
