"""A node in a process of its own, beside a store and targets in the test's process."""

import asyncio
import re
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import tomli_w

from pimentospool.addresses import LoopbackNetwork
from pimentospool.standins import (
    HOST,
    StoreStandin,
    free_node_ports,
    platform_configuration,
    platform_settings,
    serve_standin,
    target_entry,
)

START_SECONDS = 10.0


class NodeProcess:
    """A running node, whose memory and log can be read."""

    def __init__(self, proc, raw, log_path, settings_path, store=None):
        self.proc = proc
        self.store = store
        self.front = raw["ListenAddrs"]["Front"]
        self.ready = raw["ListenAddrs"]["Ready"]
        self.settings_path = settings_path
        self._log_path = log_path

    @property
    def log(self):
        return self._log_path.read_text()

    @property
    def peak_bytes(self):
        """Most memory that the process has held."""
        status = Path(f"/proc/{self.proc.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) * 1024

    async def connect(self):
        host, _, port = self.front.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def wait_loading(self):
        """Return while the process still loads its modules, before it runs."""
        maps = Path(f"/proc/{self.proc.pid}/maps")
        async with asyncio.timeout(START_SECONDS):
            while "/msgspec/" not in maps.read_text():
                await asyncio.sleep(0.002)

    async def wait_ready(self):
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self):
        host, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        try:
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()


def encode_request(method, path, *, request_id, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *headers]
    lines += [f"X-Request-Id: {request_id}"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader):
    """Return status, headers and whole body of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(": ")[::2] for line in head[1:] if line)
    headers = {name.lower(): value for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split()[1]), headers, body


@asynccontextmanager
async def running_node_process(
    tmp_path, *, targets=(), routes=None, limits=None, configuration=None, ready=True
):
    """Run a node in its own process; `limits` are added to those of its settings."""
    store, network = StoreStandin(), LoopbackNetwork()
    server = await serve_standin(store, "127.0.0.1:0")
    await store.put(
        "op/config", platform_configuration(routes=routes) | (configuration or {})
    )
    for target, options in targets:
        await target.start()
        await store.put(
            f"servers/{target.instance}", target_entry(target.address, **options)
        )
    ip = network.ip(0)
    raw = platform_settings(
        ip,
        zone="gulf-a",
        store=server.address,
        seeds=[ip],
        ports=free_node_ports(),
        first_start=True,
    )
    raw["Limits"] |= limits or {}
    path, log_path = Path(tmp_path) / "node.toml", Path(tmp_path) / "log"
    path.write_text(tomli_w.dumps(raw))
    with log_path.open("w") as output:
        command = [sys.executable, "-m", "pimentospool", "node", str(path)]
        proc = subprocess.Popen(command, stdout=output, stderr=output)
        node = NodeProcess(proc, raw, log_path, path, store)
        try:
            if ready:
                await node.wait_ready()
                # Targets are known with the configuration or soon after.
                await asyncio.sleep(1.0)
            yield node
        finally:
            proc.kill()
            proc.wait()
            for target, _ in targets:
                await target.close()
            await server.close()
            network.close()
