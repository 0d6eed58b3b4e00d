"""The program as a single file: commands start, and `entry` starts no child."""

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest

from pimentospool.manifest import read_manifest
from pimentospool.settings import encode_settings
from pimentospool.standins import StandinDeployment

ROOT = Path(__file__).resolve().parents[2]
MANIFEST = ROOT / "examples/magnolia/manifest.toml"
COMMANDS = ["bench", "check", "demo", "drill", "entry", "load", "standin", "status"]
READY_TIMEOUT_SECONDS = 60.0


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    output = tmp_path_factory.mktemp("binary") / "pimentospool"
    command = [sys.executable, "tools/binary.py", "--output", str(output)]
    subprocess.run(command, check=True, cwd=ROOT)
    return output


@pytest.fixture(scope="module")
def environment(tmp_path_factory):
    """Return an environment in which only the file itself provides the package."""
    inherited = {
        name: value for name, value in os.environ.items() if name != "PYTHONPATH"
    }
    return {**inherited, "PEX_ROOT": str(tmp_path_factory.mktemp("pex"))}


def children_of(pid):
    """Return the ids of the processes whose parent is `pid`."""
    child_pids = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            child_pids.append(int(stat.parent.name))
    return child_pids


def test_every_command_starts(binary, environment, tmp_path):
    for command in COMMANDS:
        completed = subprocess.run(
            [binary, command, "--help"], env=environment, cwd=tmp_path, check=False
        )
        assert completed.returncode == 0, command


def test_check_accepts_an_example_and_refuses_a_faulty_one(
    binary, environment, tmp_path
):
    faulty = tmp_path / "manifest.toml"
    faulty.write_text(MANIFEST.read_text().replace('zone = "gulf-a"', 'zone = "none"'))
    for path, expected in ((MANIFEST, 0), (faulty, 2)):
        completed = subprocess.run(
            [binary, "check", "--manifest", str(path)],
            env=environment,
            cwd=tmp_path,
            check=False,
        )
        assert completed.returncode == expected


def test_entry_serves_ends_gracefully_and_has_no_child(
    runner, binary, environment, tmp_path
):
    async def check():
        deployment = StandinDeployment(manifest=read_manifest(MANIFEST))
        await deployment.start()
        cfg = deployment.entry_settings({deployment.manifest.zones[0].id: 1})[0]
        path = tmp_path / "entry.toml"
        path.write_bytes(encode_settings(cfg))
        process = await asyncio.create_subprocess_exec(
            binary, "entry", path, env=environment, cwd=tmp_path
        )
        try:
            await wait_serving(cfg.entry.caller_address)
            assert children_of(process.pid) == []
            process.terminate()
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await deployment.close()

    runner.run(check())


def test_process_listing_finds_a_child():
    child = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
    try:
        assert child.pid in children_of(os.getpid())
    finally:
        child.communicate()


async def wait_serving(address):
    async with (
        asyncio.timeout(READY_TIMEOUT_SECONDS),
        aiohttp.ClientSession() as session,
    ):
        while True:
            try:
                async with session.get(f"http://{address}/v1/entries") as resp:
                    if resp.status == 200 and (await resp.json())["revision"]:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)
