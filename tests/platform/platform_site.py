"""A small platform on loopback addresses: a store, nodes and targets."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager, contextmanager
from functools import cache
from pathlib import Path

import aiohttp
import msgspec
import tomli_w

from pimentospool.addresses import LoopbackNetwork
from pimentospool.platform import read_node_settings
from pimentospool.platform._node import Node
from pimentospool.standins import (
    HOST,
    SigningTarget,
    StoreStandin,
    free_node_ports,
    platform_configuration,
    platform_settings,
    serve_standin,
    target_entry,
)

WAIT_TIMEOUT_SECONDS = 5.0


@cache
def _node_ports():
    """Return the ports of the nodes of all sites; each site has its own network."""
    return free_node_ports()


class Site:
    """A running store with its nodes and targets."""

    def __init__(self, store, store_address, settings_dir):
        self.bounds = {}
        """Fields of `Bounds` in the settings of nodes that are added later."""
        self.settings = {}
        """Further tables in the settings of nodes that are added later."""
        self.store = store
        self.store_address = store_address
        self.nodes = []
        self.targets = {}
        self._settings_dir = settings_dir
        self._ports = _node_ports()
        self._network = LoopbackNetwork()

    def close(self):
        self._network.close()

    async def add_node(self, zone, *, first_start=True):
        ip = self._network.ip(len(self.nodes))
        path = self._settings_dir / f"{ip}.toml"
        raw = platform_settings(
            ip,
            zone=zone,
            store=self.store_address,
            seeds=[self._network.ip(number) for number in range(3)],
            ports=self._ports,
            first_start=first_start,
            bounds=self.bounds,
        )
        path.write_text(tomli_w.dumps(raw | self.settings))
        node = RunningNode(read_node_settings(path), path)
        self.nodes.append(node)
        return node

    async def add_target(self, name, **options):
        events = options.pop("events", 0)
        target = SigningTarget(instance=name, events=events)
        target.born = options.get("born", 1)
        await target.start()
        self.targets[name] = target
        await self.store.put(f"servers/{name}", target_entry(target.address, **options))
        return target

    async def register(self, target, **options):
        """Write the record of a target again."""
        await self.store.put(
            f"servers/{target.instance}", target_entry(target.address, **options)
        )

    async def wait_until_received(self, target):
        """Send requests until `target` has received one more."""
        before = len(target.received)
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while len(target.received) == before:
                await self.call("/look/w", request_id=f"w-{time.time_ns()}")

    def url(self, path, node=0):
        return f"http://{self.nodes[node].cfg.front}{path}"

    async def call(self, path, *, method="GET", node=0, request_id="r-1", **options):
        """Send a request; return status, headers and body of the response."""
        headers = {"Host": HOST, "X-Request-Id": request_id}
        headers |= options.pop("headers", {})
        async with (
            aiohttp.ClientSession(auto_decompress=False) as session,
            session.request(
                method, self.url(path, node), headers=headers, **options
            ) as resp,
        ):
            return resp.status, resp.headers, await resp.read()

    async def wait_until(self, condition, timeout_seconds=WAIT_TIMEOUT_SECONDS):
        async with asyncio.timeout(timeout_seconds):
            while not condition():
                await asyncio.sleep(0.02)


class RunningNode:
    """A node that runs in the test process."""

    def __init__(self, cfg, path):
        self.cfg = cfg
        self.node = Node(cfg=cfg, path=path)
        self.gateway = self.node._gateway
        self.task = asyncio.create_task(self.node.run())

    def terminate(self):
        """Shut the node down as SIGTERM does."""
        self.node._stopping.set()

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.node.close()


@asynccontextmanager
async def running_site(tmp_path, *, zones=("gulf-a",), with_config=True, settings=None):
    """Run a store and one node in each zone; `settings` are added to their files."""
    store = StoreStandin()
    server = await serve_standin(store, "127.0.0.1:0")
    site = Site(store, server.address, Path(tmp_path))
    site.settings = settings or {}
    if with_config:
        await store.put("op/config", platform_configuration())
    try:
        for zone in zones:
            await site.add_node(zone)
        yield site
    finally:
        for node in site.nodes:
            await node.stop()
        for target in site.targets.values():
            await target.close()
        await server.close()
        site.close()


@contextmanager
def unanswering_address():
    """Yield an address at which connections are neither accepted nor refused."""
    with (
        socket.create_server(("127.0.0.1", 0), backlog=0) as server,
        socket.create_connection(server.getsockname()),
    ):
        yield "{}:{}".format(*server.getsockname())


def decode(body):
    return msgspec.json.decode(body)
