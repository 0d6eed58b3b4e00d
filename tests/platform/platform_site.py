"""Nodes, a store and targets on loopback addresses, as a platform would run them."""

import asyncio
import socket
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import msgspec
import tomli_w

from pimentospool.platform import read_node_settings
from pimentospool.platform._node import Node
from pimentospool.standins import SealedTarget, StoreStandin, serve_standin

HOST = "shop.example"
READY_SECONDS = 5.0
ZONES = {"gulf-a": "gulf", "delta-a": "delta"}


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def node_file(ip, *, zone, store, seeds, ports):
    front, ready, control, directory, peer = ports
    return {
        "Node": f"edge-{ip}",
        "Role": "entry",
        "Ip": ip,
        "Zone": zone,
        "Region": ZONES[zone],
        "InternalPorts": [peer, peer + 15],
        "Seeds": [f"{seed}:{control}" for seed in seeds],
        "Zones": ZONES,
        "Unknown": {"field": 1},
        "ListenAddrs": {
            "Front": f"{ip}:{front}",
            "Ready": f"{ip}:{ready}",
            "Control": f"{ip}:{control}",
            "Directory": f"{ip}:{directory}",
        },
        "Bounds": {
            "GraceS": 4,
            "RetryBudgetRatio": 0.2,
            "RetryBudgetExtra": 56,
            "BudgetWindowS": 10,
            "ColdOverage": 1.5,
            "ColdSlack": 3,
            "ttl_max_s": 5,
        },
        "Platform": {"Address": store},
    }


def route(prefix, kind, service="desk", **options):
    return {
        "Name": prefix,
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "HomeRegions": [],
    } | options


def config(version=1, routes=None):
    return {
        "Version": version,
        "Routes": routes
        or [
            route("/look/", "idempotent"),
            route("/book/", "non_idempotent", MaxAttempts=1),
            route("/ask/", "streaming", "llm", Resumable=True, TimeoutMs=5000),
            route("/plan/", "streaming", "llm", MaxAttempts=1, TimeoutMs=5000),
            route("/home/", "idempotent", HomeRegions=["delta"]),
        ],
        "Services": [
            {"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 50},
            {
                "Name": "llm",
                "HealthPath": "/healthz",
                "MaxConnections": 50,
                "ColdS": 3.0,
                "ColdPerS": 2.0,
                "Engine": {"Slots": 8, "KvCacheTokens": 100000},
            },
        ],
    }


def server_entry(address, *, service="desk", zone="gulf-a", **options):
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdLeftMs": 0,
        "Sequence": 1,
        "born": 1,
    } | options


class Site:
    """A running platform with its nodes."""

    def __init__(self, store, store_address, directory):
        self.store = store
        self.store_address = store_address
        self.nodes = []
        self.targets = {}
        self._directory = directory
        self._ports = [free_port("127.0.0.1") for _ in range(5)]

    async def add_node(self, zone):
        ip = f"127.0.0.{20 + len(self.nodes)}"
        path = self._directory / f"{ip}.toml"
        raw = node_file(
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
        await self.store.put(f"servers/{name}", server_entry(target.address, **options))
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
        await store.put("op/config", config())
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
