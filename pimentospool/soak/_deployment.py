"""A deployment on loopback addresses: node processes, a store, targets, proxies."""

import asyncio
from pathlib import Path

import aiohttp
import tomli_w

from pimentospool.faults import FaultProxy
from pimentospool.programs import Program
from pimentospool.sending import open_session
from pimentospool.soak._checker import Arrival, SoakRoute
from pimentospool.standins import (
    CONFIGURATION_KEY,
    GRACE_SECONDS,
    ZONES,
    NodePorts,
    SealedTarget,
    StandinServer,
    StoreStandin,
    free_node_ports,
    platform_configuration,
    platform_settings,
    serve_standin,
    target_entry,
    target_key,
)

READY_SECONDS = 20.0
"""Longest wait for a node that was started; starts of many take turns."""
_POLL_SECONDS = 0.1
_ASK_SECONDS = 1.0
STREAM_EVENTS = 12
_EVENT_GAP_SECONDS = 0.02
_ANSWER_SECONDS = 0.01
_NODES_OF_A_NETWORK = 200
_TARGETS_OF_A_ZONE = {"desk": 2, "llm": 2}

ROUTES = (
    SoakRoute(prefix="/look/", method="GET", repeatable=True, limit_seconds=2.0),
    SoakRoute(prefix="/book/", method="POST", repeatable=False, limit_seconds=2.0),
    SoakRoute(
        prefix="/ask/",
        method="POST",
        repeatable=True,
        limit_seconds=5.0,
    ),
    SoakRoute(
        prefix="/plan/",
        method="POST",
        repeatable=False,
        limit_seconds=5.0,
    ),
    SoakRoute(
        prefix="/home/",
        method="GET",
        repeatable=True,
        limit_seconds=2.0,
        home="delta",
    ),
)


class SoakNode(Program):
    """One ``pimentospool node`` process, with proxies to its callers and its store."""

    def __init__(
        self,
        *,
        ip: str,
        settings: dict[str, object],
        ports: NodePorts,
        store_proxy: FaultProxy,
        folder: Path,
    ) -> None:
        self.path = folder / f"{ip}.toml"
        self.path.write_text(tomli_w.dumps(settings))
        self.callers_proxy = FaultProxy(upstream=f"{ip}:{ports.front}")
        self.store_proxy = store_proxy
        self._ready_url = f"http://{ip}:{ports.ready}/ready"
        super().__init__(
            name=ip, arguments=["node", str(self.path)], log_path=folder / f"{ip}.log"
        )

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the node says that it takes calls."""
        try:
            async with session.get(self._ready_url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_ready(self) -> bool:
        """Wait for the node to take calls; return whether it did in time."""
        timeout = aiohttp.ClientTimeout(total=_ASK_SECONDS)
        try:
            async with (
                asyncio.timeout(READY_SECONDS),
                open_session(timeout=timeout) as session,
            ):
                while not await self.is_ready(session):
                    await asyncio.sleep(_POLL_SECONDS)
        except TimeoutError:
            return False
        return True


class SoakTarget:
    """A target behind a proxy; the address in the store is the proxy's."""

    def __init__(self, *, name: str, service: str, zone: str) -> None:
        self.service = service
        self.zone = zone
        self.standins: list[SealedTarget] = []
        self.proxy = FaultProxy(upstream="")
        self._name = name

    @property
    def current(self) -> SealedTarget:
        """The instance that serves now."""
        return self.standins[-1]

    async def start(self) -> None:
        """Start the first instance and the proxy before it."""
        await self._start_instance()
        self.proxy.upstream = self.current.address
        await self.proxy.start()

    async def replace(self) -> None:
        """Let another instance take over the address."""
        await self.current.close()
        await self._start_instance()
        self.proxy.upstream = self.current.address
        self.proxy.reset_connections()

    async def close(self) -> None:
        """Stop the instance and its proxy."""
        await self.proxy.close()
        await self.current.close()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the store's entry."""
        return target_entry(
            self.proxy.address, service=self.service, zone=self.zone, State=state
        )

    def arrivals(self) -> list[Arrival]:
        """Return every request that arrived, without health checks."""
        return [
            Arrival(
                target=standin.instance,
                region=ZONES[self.zone],
                service=self.service,
                request=req,
            )
            for standin in self.standins
            for req in standin.received
            if req.id
        ]

    async def _start_instance(self) -> None:
        streams = self.service == "llm"
        standin = SealedTarget(
            instance=f"{self._name}-{len(self.standins)}",
            events=STREAM_EVENTS if streams else 0,
        )
        standin.gap_seconds = _EVENT_GAP_SECONDS if streams else _ANSWER_SECONDS
        await standin.start()
        self.standins.append(standin)


class SoakDeployment:
    """Everything that runs in a soak.

    Parameters
    ----------
    nodes : int
        Number of node processes, spread evenly over the zones.
    network : int
        Number from 0 to 255 of the loopback network 127.64.x.0/24, which must not
        be in use by another soak.
    folder : Path
        Where settings and logs are written.
    """

    def __init__(self, *, nodes: int, network: int, folder: Path) -> None:
        self.store = StoreStandin()
        self.nodes: list[SoakNode] = []
        self.targets: list[SoakTarget] = []
        self.version = 1
        self._count = nodes
        self._network = network
        self._folder = folder
        self._store_server: StandinServer

    async def start(self) -> list[str]:
        """Start everything; return the names of nodes that are not ready in time."""
        self._store_server = await serve_standin(self.store, "127.0.0.1:0")
        await self.store.put(CONFIGURATION_KEY, platform_configuration())
        for zone in ZONES:
            for service, count in _TARGETS_OF_A_ZONE.items():
                for number in range(count):
                    name = f"{service}-{zone}-{number}"
                    target = SoakTarget(name=name, service=service, zone=zone)
                    self.targets.append(target)
                    await target.start()
                    await self.publish(target)
        ports, zones = free_node_ports(), list(ZONES)
        ips = [self._ip(number) for number in range(self._count)]
        for number, ip in enumerate(ips):
            store_proxy = FaultProxy(upstream=self._store_server.address)
            await store_proxy.start()
            settings = platform_settings(
                ip,
                zone=zones[number % len(zones)],
                store=store_proxy.address,
                seeds=ips[:3],
                ports=ports,
            )
            node = SoakNode(
                ip=ip,
                settings=settings,
                ports=ports,
                store_proxy=store_proxy,
                folder=self._folder,
            )
            await node.callers_proxy.start()
            self.nodes.append(node)
            await node.start()
        return await self.unready_nodes()

    async def unready_nodes(self) -> list[str]:
        """Wait for every node; return the names of those not ready in time."""
        ready = await asyncio.gather(*(node.wait_ready() for node in self.nodes))
        return [
            node.name for node, done in zip(self.nodes, ready, strict=True) if not done
        ]

    async def publish(self, target: SoakTarget, state: str = "ready") -> None:
        """Write the entry of a target's present instance."""
        await self.store.put(target_key(target.current.instance), target.entry(state))

    async def withdraw(self, target: SoakTarget) -> None:
        """Remove the entry of a target's present instance."""
        await self.store.delete(target_key(target.current.instance))

    async def change_configuration(self) -> None:
        """Publish the next version; its routes stay the same."""
        self.version += 1
        configuration = platform_configuration(version=self.version)
        await self.store.put(CONFIGURATION_KEY, configuration)

    async def close(self) -> list[str]:
        """Stop everything; return what ended otherwise than asked."""
        faults = []
        for node in self.nodes:
            if node.pid is None:
                faults.append(f"{node.name} had ended with {node.exit_code}")
            else:
                node.terminate()
        for node in self.nodes:
            fault = await end_gracefully(node)
            if fault:
                faults.append(fault)
            await node.callers_proxy.close()
            await node.store_proxy.close()
        for target in self.targets:
            await target.close()
        await self._store_server.close()
        return faults

    def _ip(self, number: int) -> str:
        return f"127.64.{self._network}.{1 + number % _NODES_OF_A_NETWORK}"


async def end_gracefully(node: SoakNode) -> str:
    """Wait for a node that was terminated; return what is wrong, or an empty text."""
    try:
        async with asyncio.timeout(GRACE_SECONDS + 1):
            code = await node.wait()
    except TimeoutError:
        await node.close()
        return f"{node.name} still ran {GRACE_SECONDS + 1} s after SIGTERM"
    return f"{node.name} ended with {code} after SIGTERM" if code else ""
