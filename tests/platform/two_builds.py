"""Nodes of this build and of an earlier one, as processes of one deployment."""

import asyncio
import os
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import tomli_w
from node_process import NodeProcess

from pimentospool.addresses import LoopbackNetwork
from pimentospool.standins import (
    HOST,
    SigningTarget,
    StoreStandin,
    free_node_ports,
    platform_settings,
    serve_standin,
    target_entry,
)

REPOSITORY = Path(__file__).parents[2]
EARLIER_COMMIT = "4408ce30070c76fb66aa43b65f0320ab25d98591"
"""Last landed commit whose nodes don't know tenants."""
KNOWN_SECONDS = 8.0
"""Longest time in which two nodes of different regions come to know each other."""


def extract_earlier_build(directory):
    """Write the package as of `EARLIER_COMMIT` to `directory`."""
    archive = subprocess.run(
        ["git", "-C", str(REPOSITORY), "archive", EARLIER_COMMIT, "pimentospool"],
        capture_output=True,
        check=True,
    )
    directory.mkdir()
    subprocess.run(
        ["tar", "-x", "-C", str(directory)], input=archive.stdout, check=True
    )


class TwoBuilds:
    """A store, targets, and a node of each build in regions of their own."""

    def __init__(self, store):
        self.store = store
        self.nodes = {}
        self.targets = {}

    async def add_target(self, name, zone):
        target = SigningTarget(instance=name)
        await target.start()
        self.targets[name] = target
        await self.store.put(f"servers/{name}", target_entry(target.address, zone=zone))

    async def call(self, build, path, *, request_id, headers=()):
        """Send a request to the node of `build`; return the status of the response."""
        headers = {"Host": HOST, "X-Request-Id": request_id} | dict(headers)
        url = f"http://{self.nodes[build].front}{path}"
        async with (
            aiohttp.ClientSession(auto_decompress=False) as session,
            session.get(url, headers=headers) as resp,
        ):
            await resp.read()
            return resp.status

    async def wait_served(self, build, path, headers=()):
        """Return once the node of `build` has served a request."""
        async with asyncio.timeout(KNOWN_SECONDS):
            number = 0
            while True:
                number += 1
                request_id = f"wait-{build}-{number}"
                status = await self.call(
                    build, path, request_id=request_id, headers=headers
                )
                if status == 200:
                    return
                await asyncio.sleep(0.1)


@asynccontextmanager
async def running_two_builds(tmp_path, *, configuration, target_zone, bounds=None):
    """Run an earlier node in `gulf` and a present one in `delta`.

    The only target is in `target_zone`, so that requests at the other node take a hop.
    """
    earlier = Path(tmp_path) / "earlier"
    extract_earlier_build(earlier)
    store, network, ports = StoreStandin(), LoopbackNetwork(), free_node_ports()
    server = await serve_standin(store, "127.0.0.1:0")
    await store.put("op/config", configuration)
    site = TwoBuilds(store)
    await site.add_target("t-1", target_zone)
    seeds = [network.ip(0), network.ip(1)]
    procs = []
    try:
        for number, (build, root, zone) in enumerate(
            [("earlier", earlier, "gulf-a"), ("present", REPOSITORY, "delta-a")]
        ):
            raw = platform_settings(
                network.ip(number),
                zone=zone,
                store=server.address,
                seeds=seeds,
                ports=ports,
                first_start=True,
                bounds=bounds,
            )
            path, log_path = Path(tmp_path) / f"{build}.toml", Path(tmp_path) / build
            log_path = log_path.with_suffix(".log")
            path.write_text(tomli_w.dumps(raw))
            with log_path.open("w") as output:
                proc = subprocess.Popen(
                    [sys.executable, "-m", "pimentospool", "node", str(path)],
                    stdout=output,
                    stderr=output,
                    cwd=root,
                    env=os.environ | {"PYTHONPATH": str(root)},
                )
            procs.append(proc)
            site.nodes[build] = NodeProcess(proc, raw, log_path, path)
        for node in site.nodes.values():
            await node.wait_ready()
        yield site
    finally:
        for proc in procs:
            proc.kill()
            proc.wait()
        for target in site.targets.values():
            await target.close()
        await server.close()
        network.close()
