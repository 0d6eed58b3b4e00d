"""Nodes, a store and targets on loopback addresses, as a platform would run them."""

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import msgspec
import tomli_w

from pimentospool.platform import read_node_settings
from pimentospool.platform._node import Node
from pimentospool.standins import (
    HOST,
    SealedTarget,
    StoreStandin,
    free_node_ports,
    platform_configuration,
    platform_settings,
    serve_standin,
    target_entry,
)

READY_SECONDS = 5.0


class Site:
    """A running platform with its nodes."""

    def __init__(self, store, store_address, directory):
        self.store = store
        self.store_address = store_address
        self.nodes = []
        self.targets = {}
        self._directory = directory
        self._ports = free_node_ports()

    async def add_node(self, zone):
        ip = f"127.0.0.{20 + len(self.nodes)}"
        path = self._directory / f"{ip}.toml"
        raw = platform_settings(
            ip,
            zone=zone,
            store=self.store_address,
            seeds=["127.0.0.20", "127.0.0.21", "127.0.0.22"],
            ports=self._ports,
        )
        path.write_text(tomli_w.dumps(raw))
        node = RunningNode(read_node_settings(path), path)
        self.nodes.append(node)
        return node

    async def add_target(self, name, **options):
        events = options.pop("events", 0)
        target = SealedTarget(instance=name, events=events)
        await target.start()
        self.targets[name] = target
        await self.store.put(f"servers/{name}", target_entry(target.address, **options))
        return target

    def url(self, path, node=0):
        return f"http://{self.nodes[node].cfg.front}{path}"

    async def call(self, path, *, method="GET", node=0, request_id="r-1", **options):
        """Return status, headers and body of one request."""
        headers = {"Host": HOST, "X-Request-Id": request_id}
        headers |= options.pop("headers", {})
        async with (
            aiohttp.ClientSession(auto_decompress=False) as session,
            session.request(
                method, self.url(path, node), headers=headers, **options
            ) as resp,
        ):
            return resp.status, resp.headers, await resp.read()

    async def wait_until(self, condition, seconds=READY_SECONDS):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)


class RunningNode:
    """A node in this process."""

    def __init__(self, cfg, path):
        self.cfg = cfg
        self.node = Node(cfg=cfg, path=path)
        self.gateway = self.node._gateway
        self.task = asyncio.create_task(self.node.run())

    def terminate(self):
        """Do what SIGTERM does."""
        self.node._stopping.set()

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.node.close()


@asynccontextmanager
async def site(tmp_path, *, zones=("gulf-a",), with_config=True):
    """Run a store and a node in each of `zones`."""
    store = StoreStandin()
    server = await serve_standin(store, "127.0.0.1:0")
    made = Site(store, server.address, Path(tmp_path))
    if with_config:
        await store.put("op/config", platform_configuration())
    try:
        for zone in zones:
            await made.add_node(zone)
        yield made
    finally:
        for node in made.nodes:
            await node.stop()
        for target in made.targets.values():
            await target.close()
        await server.close()


def decode(body):
    return msgspec.json.decode(body)
