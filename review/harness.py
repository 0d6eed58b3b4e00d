"""Small deployment on loopback for the cases of this review.

The nodes are processes that run the command of the deploy file. The store, the
targets and the proxies are the stand-ins of the project and run in the process of the
case. Nothing outside the case's temporary folder is written but its record.
"""

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from pimentospool.addresses import LoopbackNetwork
from pimentospool.standins import (
    CONFIGURATION_KEY,
    HOST,
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

ROOT = Path(__file__).resolve().parent.parent
READY_SECONDS = 25.0
GRACE_SECONDS = 8
CONTACT_SECONDS = 5.0
CONFIG_APPLY_SECONDS = 3.0
RESTART_DELAY_SECONDS = 0.8
MAX_CONNECTIONS = {"desk": 110, "llm": 370}
"""Connections that each target of a service accepts, as on the site `magfold-serve`."""
KEPT, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Lines on what was sent, answered and run, for ``record.txt``."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the time since the start of the case."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


class Answer:
    """Answer of a node as one client read it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""


class Node:
    """One process that runs the command of the deploy file."""

    def __init__(self, *, ip: str, settings: dict[str, Any], folder: Path) -> None:
        self.ip = ip
        self.ports = settings["ListenAddrs"]
        self.log_path = folder / f"{ip}.log"
        self._settings = settings
        self._settings_path = folder / f"{ip}.toml"
        self._write_settings()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; returns before it is ready."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *_node_command(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PIMENTOSPOOL_CONFIG": str(self._settings_path),
                },
            )

    async def restart(self) -> None:
        """Start the process again, with the settings of a system that has run."""
        self._settings["Bootstrap"] = False
        self._write_settings()
        await self.start()

    def _write_settings(self) -> None:
        self._settings_path.write_text(_to_toml(self._settings))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait(self, timeout_seconds: float) -> int | None:
        """Return the exit status, None if the process still runs after the timeout."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                return await self.process.wait()
        return None

    async def kill(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check gets status 200."""
        with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(1.0):
                host, _, port = self.ports["Ready"].rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return int(line.split()[1]) == 200
        return False


class Deployment:
    """Store, targets and nodes of one case."""

    def __init__(self, *, folder: Path) -> None:
        self.store = StoreStandin()
        self.nodes: list[Node] = []
        self.targets: dict[str, SigningTarget] = {}
        self.store_server: StandinServer
        self.ports = free_node_ports()
        self.folder = folder
        self._network = LoopbackNetwork()
        self._servers: list[StandinServer] = []

    async def start(self, routes: list[dict[str, Any]]) -> None:
        """Start the store and write the first configuration."""
        self.store_server = await self.serve_store(self.store)
        await self.configure(1, routes)

    async def serve_store(self, store: StoreStandin) -> StandinServer:
        """Serve a store on a free port."""
        server = await serve_standin(store, "127.0.0.1:0")
        self._servers.append(server)
        return server

    async def configure(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration; returns with the store's acknowledgement."""
        self._configuration = platform_configuration(version=version, routes=routes)
        for service in self._configuration["Services"]:
            service["MaxConnections"] = MAX_CONNECTIONS[service["Name"]]
        await self.store.put(CONFIGURATION_KEY, self._configuration)

    async def copy_configuration(self, store: StoreStandin) -> None:
        """Write the newest configuration to another store."""
        await store.put(CONFIGURATION_KEY, self._configuration)

    async def add_target(
        self, name: str, *, service: str = "desk", zone: str = "gulf-a", **options: Any
    ) -> SigningTarget:
        """Start a target and write its entry."""
        factory = options.pop("factory", SigningTarget)
        target = factory(instance=name, events=options.pop("events", 0))
        target.gap_seconds = options.pop("gap_seconds", 0.01)
        await target.start()
        self.targets[name] = target
        entry = target_entry(target.address, service=service, zone=zone, **options)
        await self.store.put(target_key(name), entry)
        return target

    def add_node(
        self, *, zone: str, store: str = "", bounds: dict[str, Any] | None = None
    ) -> Node:
        """Return a node that is not started yet."""
        number = len(self.nodes)
        settings = platform_settings(
            self._network.ip(number),
            zone=zone,
            store=store or self.store_server.address,
            seeds=[self._network.ip(seed) for seed in range(3)],
            ports=self.ports,
            first_start=True,
        )
        settings["Bounds"] |= {
            "GraceS": GRACE_SECONDS,
            "ConfigApplyMs": 3000,
            "DrainMs": 3000,
            "EvacuationMs": 5000,
            **(bounds or {}),
        }
        node = Node(ip=self._network.ip(number), settings=settings, folder=self.folder)
        self.nodes.append(node)
        return node

    async def start_nodes(self) -> None:
        """Start all nodes and wait until they are ready."""
        await asyncio.gather(*(node.start() for node in self.nodes))
        async with asyncio.timeout(READY_SECONDS):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            await node.kill()
        for target in self.targets.values():
            await target.close()
        for server in self._servers:
            await server.close()
        self._network.close()


async def send_request(
    address: str,
    path: str,
    *,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 2000,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    encode_request(
                        path,
                        request_id=request_id,
                        method=method,
                        body=body,
                        deadline_ms=deadline_ms,
                        headers=headers,
                    )
                )
                await read_answer(reader, answer)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.error = repr(exc)
    return answer


def encode_request(
    path: str,
    *,
    request_id: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 2000,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Request-Deadline: {deadline_ms}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer; `answer` holds what has arrived if it ends early."""
    await read_head(reader, answer)
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).strip() or b"!", 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        missing = int(answer.headers.get("content-length", "0"))
        answer.body += await reader.readexactly(missing)
    answer.complete = True


async def read_head(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read the status and the headers of an answer."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()


def disruption_enabled() -> bool:
    """Return whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    case: Callable[[Deployment, Record], Awaitable[int]], record_path: Path
) -> None:
    """Run a case, write its record and exit with its verdict."""
    record = Record()
    verdict = COULD_NOT_RUN
    try:
        verdict = asyncio.run(_run(case, record))
    except Exception as exc:
        record.add(f"the case could not run: {exc!r}")
    finally:
        record.add(f"verdict {verdict}")
        record.write(record_path)
    sys.stdout.flush()
    # Nothing is left but open connections of the stand-ins, which would log errors.
    os._exit(verdict)


async def _run(
    case: Callable[[Deployment, Record], Awaitable[int]], record: Record
) -> int:
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(folder=Path(name))
        try:
            async with asyncio.timeout(110.0):
                return await case(deployment, record)
        finally:
            await deployment.close()
            if os.environ.get("KEEP_LOGS"):
                for path in Path(name).glob("*.log"):
                    target = Path(os.environ["KEEP_LOGS"]) / path.name
                    target.write_bytes(path.read_bytes())


def _node_command() -> list[str]:
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    return next(iter(roles.values()))["run"].split()


def _to_toml(table: dict[str, Any], prefix: str = "") -> str:
    lines, tables = [], []
    for key, value in table.items():
        if isinstance(value, dict):
            tables.append(_to_toml(value, f"{prefix}{key}."))
        else:
            lines.append(f"{key} = {_to_toml_value(value)}")
    head = [f"[{prefix[:-1]}]"] if prefix else []
    return "\n".join([*head, *lines]) + "\n" + "".join(tables)


def _to_toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(_to_toml_value, value)) + "]"
    return repr(value)
