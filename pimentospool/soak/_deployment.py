"""Deployment of a soak on loopback: node processes, a store, targets and proxies."""

import asyncio
from pathlib import Path

import aiohttp
import tomli_w

from pimentospool.addresses import LoopbackNetwork
from pimentospool.faults import FaultProxy
from pimentospool.programs import Program
from pimentospool.sending import open_session
from pimentospool.soak._checker import Arrival, SoakRoute
from pimentospool.soak._tenants import TENANT_BOUNDS, SoakTenants
from pimentospool.standins import (
    CONFIGURATION_KEY,
    GRACE_SECONDS,
    ZONES,
    NodePorts,
    SigningTarget,
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
"""Timeout for a node to become ready; nodes that start at once share the processor."""
_READY_POLL_SECONDS = 0.1
_READY_REQUEST_TIMEOUT_SECONDS = 1.0
EVENTS_PER_STREAM = 12
_EVENT_GAP_SECONDS = 0.02
_RESPONSE_DELAY_SECONDS = 0.01
_TARGETS_PER_ZONE = {"desk": 2, "llm": 2}
NODE_MEMORY_MB = 150
"""Memory that a node may use. It leaves 60 MB for requests and answers, so that a burst
reaches the limit."""
NODE_DESCRIPTORS = 700
"""Descriptors that a node may have."""

ROUTES = (
    SoakRoute(prefix="/look/", method="GET", idempotent=True, timeout_seconds=2.0),
    SoakRoute(prefix="/book/", method="POST", idempotent=False, timeout_seconds=2.0),
    SoakRoute(
        prefix="/ask/",
        method="POST",
        idempotent=True,
        timeout_seconds=5.0,
    ),
    SoakRoute(
        prefix="/plan/",
        method="POST",
        idempotent=False,
        timeout_seconds=5.0,
    ),
    SoakRoute(
        prefix="/home/",
        method="GET",
        idempotent=True,
        timeout_seconds=2.0,
        home_region="delta",
    ),
)


class SoakNode(Program):
    """One ``pimentospool node`` process, with proxies for its callers and its store."""

    def __init__(
        self,
        *,
        ip: str,
        settings: dict[str, object],
        zone: str,
        ports: NodePorts,
        store_proxy: FaultProxy,
        folder: Path,
    ) -> None:
        self.zone = zone
        self.settings_path = folder / f"{ip}.toml"
        self.settings_path.write_text(tomli_w.dumps(settings))
        self.front = f"{ip}:{ports.front}"
        self.other_listeners = [
            f"{ip}:{port}"
            for port in (ports.directory, ports.ready, ports.control, ports.peer)
        ]
        self.callers_proxy = FaultProxy(upstream=self.front)
        self.store_proxy = store_proxy
        self._ready_url = f"http://{ip}:{ports.ready}/ready"
        super().__init__(
            name=ip,
            arguments=["node", str(self.settings_path)],
            log_path=folder / f"{ip}.log",
        )

    def peak_megabytes(self) -> float:
        """Return the most memory that the running process has held; 0 if none runs."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        peaks = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(peaks[0].split()[1]) * 1024 / 1e6 if peaks else 0.0

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the node reports that it accepts requests."""
        try:
            async with session.get(self._ready_url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_ready(self) -> bool:
        """Wait until the node accepts requests; return False after the timeout."""
        timeout = aiohttp.ClientTimeout(total=_READY_REQUEST_TIMEOUT_SECONDS)
        try:
            async with (
                asyncio.timeout(READY_SECONDS),
                open_session(timeout=timeout) as session,
            ):
                while not await self.is_ready(session):
                    await asyncio.sleep(_READY_POLL_SECONDS)
        except TimeoutError:
            return False
        return True


class SoakTarget:
    """A target behind a proxy, whose address the store lists."""

    def __init__(self, *, name: str, service: str, zone: str) -> None:
        self.service = service
        self.zone = zone
        self.standins: list[SigningTarget] = []
        self.proxy = FaultProxy(upstream="")
        self.published_state: str | None = None
        """State in the store's record of the target, None while it has none."""
        self._name = name

    @property
    def current_standin(self) -> SigningTarget:
        """The instance that serves requests at present."""
        return self.standins[-1]

    async def start(self) -> None:
        """Start the first instance and the proxy in front of it."""
        await self._start_instance()
        self.proxy.upstream = self.current_standin.address
        await self.proxy.start()

    async def replace(self) -> None:
        """Replace the instance by a new one at the same address."""
        await self.current_standin.close()
        await self._start_instance()
        self.proxy.upstream = self.current_standin.address
        self.proxy.reset_connections()

    async def close(self) -> None:
        """Stop the instance and its proxy."""
        await self.proxy.close()
        await self.current_standin.close()

    def store_record(self, state: str = "ready") -> dict[str, object]:
        """Return the record of the target in the store."""
        return target_entry(
            self.proxy.address, service=self.service, zone=self.zone, State=state
        )

    def arrivals(self) -> list[Arrival]:
        """Return every request received, except health checks."""
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
        is_streaming = self.service == "llm"
        standin = SigningTarget(
            instance=f"{self._name}-{len(self.standins)}",
            events=EVENTS_PER_STREAM if is_streaming else 0,
        )
        standin.born = 1
        standin.gap_seconds = (
            _EVENT_GAP_SECONDS if is_streaming else _RESPONSE_DELAY_SECONDS
        )
        await standin.start()
        self.standins.append(standin)


class SoakDeployment:
    """All processes and stand-ins of a soak.

    Parameters
    ----------
    nodes : int
        Number of node processes, spread evenly over the zones.
    folder : Path
        Directory for the settings and logs of the nodes.
    tenants : SoakTenants
        Tenants of the configuration, if it has any.
    """

    def __init__(self, *, nodes: int, folder: Path, tenants: SoakTenants) -> None:
        self.store = StoreStandin()
        self.nodes: list[SoakNode] = []
        self.targets: list[SoakTarget] = []
        self.configuration_version = 1
        self._node_count = nodes
        self._network = LoopbackNetwork()
        self._folder = folder
        self._tenants = tenants
        self._store_server: StandinServer

    async def start(self) -> list[str]:
        """Start everything; return the names of nodes that were not ready in time."""
        self._store_server = await serve_standin(self.store, "127.0.0.1:0")
        await self._publish_configuration()
        for zone in ZONES:
            for service, count in _TARGETS_PER_ZONE.items():
                for number in range(count):
                    name = f"{service}-{zone}-{number}"
                    target = SoakTarget(name=name, service=service, zone=zone)
                    self.targets.append(target)
                    await target.start()
                    await self.publish(target)
        ports, zones = free_node_ports(), list(ZONES)
        ips = [self._network.ip(number) for number in range(self._node_count)]
        for number, ip in enumerate(ips):
            store_proxy = FaultProxy(upstream=self._store_server.address)
            await store_proxy.start()
            settings = platform_settings(
                ip,
                zone=zones[number % len(zones)],
                store=store_proxy.address,
                seeds=ips[:3],
                ports=ports,
                bounds=TENANT_BOUNDS if self._tenants.enabled else None,
            )
            settings["Limits"] |= {
                "MemoryMb": NODE_MEMORY_MB,
                "MaxFds": NODE_DESCRIPTORS,
            }
            node = SoakNode(
                ip=ip,
                settings=settings,
                zone=zones[number % len(zones)],
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
            node.name
            for node, is_ready in zip(self.nodes, ready, strict=True)
            if not is_ready
        ]

    async def publish(self, target: SoakTarget, state: str = "ready") -> None:
        """Write the store record of a target's current instance."""
        target.published_state = state
        await self.store.put(
            target_key(target.current_standin.instance), target.store_record(state)
        )

    async def withdraw(self, target: SoakTarget) -> None:
        """Remove the store record of a target's current instance."""
        target.published_state = None
        await self.store.delete(target_key(target.current_standin.instance))

    async def publish_again(self) -> None:
        """Write everything again that a restored store may have lost."""
        for target in self.targets:
            for standin in target.standins[:-1]:
                await self.store.delete(target_key(standin.instance))
            if target.published_state is None:
                await self.withdraw(target)
            else:
                await self.publish(target, target.published_state)
        await self._publish_configuration()

    async def change_configuration(self) -> None:
        """Publish the next version of the configuration, with the same routes."""
        self.configuration_version += 1
        await self._publish_configuration()

    async def withdraw_key(self) -> None:
        """Publish a configuration without one of the keys."""
        self._tenants.withdrawn = True
        await self.change_configuration()
        self._tenants.record_withdrawal()

    async def _publish_configuration(self) -> None:
        configuration = platform_configuration(
            version=self.configuration_version, tenants=self._tenants.documents()
        )
        await self.store.put(CONFIGURATION_KEY, configuration)

    async def close(self) -> list[str]:
        """Stop everything; return a message for each unexpected process end."""
        errors = []
        for node in self.nodes:
            if node.pid is None:
                errors.append(
                    f"{node.name} exited with status {node.exit_code} "
                    "before the end of the soak"
                )
            else:
                node.terminate()
        for node in self.nodes:
            error = await wait_for_exit(node)
            if error:
                errors.append(error)
            await node.callers_proxy.close()
            await node.store_proxy.close()
        for target in self.targets:
            await target.close()
        await self._store_server.close()
        self._network.close()
        return errors


async def wait_for_exit(node: SoakNode) -> str:
    """Wait for a terminated node to exit; return an error message or an empty text."""
    try:
        async with asyncio.timeout(GRACE_SECONDS + 1):
            code = await node.wait()
    except TimeoutError:
        await node.close()
        return f"{node.name} still ran {GRACE_SECONDS + 1} s after SIGTERM"
    return f"{node.name} exited with status {code} after SIGTERM" if code else ""
