"""The node command in its own process: start, signals, reload, invalid settings."""

import asyncio
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

import tomli_w
from node_process import running_node_process

from pimentospool.standins import (
    ZONES,
    StoreStandin,
    free_node_ports,
    platform_configuration,
    platform_settings,
    serve_standin,
)

STATUS_TIMEOUT_SECONDS = 10.0


def command(path):
    return [sys.executable, "-m", "pimentospool", "node", str(path)]


def status_of(url):
    try:
        with urllib.request.urlopen(url, timeout=1.0) as resp:
            return resp.status
    except urllib.error.HTTPError as exc:
        return exc.code
    except OSError:
        return 0


def wait_status(url, status):
    deadline = time.monotonic() + STATUS_TIMEOUT_SECONDS
    while status_of(url) != status:
        assert time.monotonic() < deadline, f"{url} never answered {status}"
        time.sleep(0.05)


def test_invalid_settings_end_the_process_with_status_2(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('Node = "edge-1"\n')
    result = subprocess.run(
        command(path), capture_output=True, text=True, timeout=20, check=False
    )
    assert result.returncode == 2
    assert "zone" in result.stderr.lower()
    assert "Traceback" not in result.stderr


def test_serves_reloads_and_leaves(runner, tmp_path):
    ports = free_node_ports()
    path = tmp_path / "node.toml"

    async def run_process():
        store = StoreStandin()
        server = await serve_standin(store, "127.0.0.1:0")
        await store.put("op/config", platform_configuration())
        raw = platform_settings(
            "127.0.0.1",
            zone=next(iter(ZONES)),
            store=server.address,
            seeds=["127.0.0.1"],
            ports=ports,
        )
        path.write_text(tomli_w.dumps(raw))
        output = (tmp_path / "out").open("w")
        proc = subprocess.Popen(command(path), stdout=output, stderr=output)
        ready = f"http://127.0.0.1:{ports.ready}/ready"
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(None, wait_status, ready, 200)
            raw["Seeds"] = []
            path.write_text(tomli_w.dumps(raw))
            proc.send_signal(signal.SIGHUP)
            proc.send_signal(signal.SIGTERM)
            await loop.run_in_executor(None, wait_status, ready, 503)
            code = await loop.run_in_executor(None, proc.wait, 10)
        finally:
            proc.kill()
            output.close()
            await server.close()
        return code

    assert runner.run(run_process()) == 0
    log = (tmp_path / "out").read_text()
    for name in (
        "ENTRY_STARTED",
        "CONFIGURATION_ADOPTED",
        "SETTINGS_RELOADED",
        "ENTRY_LEAVING",
        "ENTRY_STOPPED",
    ):
        assert name in log


def test_reload_signal_during_the_start_does_not_end_the_process(runner, tmp_path):
    async def run_process():
        async with running_node_process(tmp_path, ready=False) as node:
            await node.wait_loading()
            node.proc.send_signal(signal.SIGHUP)
            await node.wait_ready()
            return node.proc.poll()

    assert runner.run(run_process()) is None
