"""A real entry process behind a fault-injecting proxy."""

from pathlib import Path

import aiohttp
import pytest

from pimentospool.demo import demo_key
from pimentospool.drill import EntryProcess
from pimentospool.faults import Direction, FaultProxy, LinkState
from pimentospool.manifest import read_manifest
from pimentospool.standins import StandinDeployment

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
LOOKUP_PATH = "/v1/services/ticketing/tickets/lookup"


def test_entry_process_serves_and_ends_gracefully(runner, tmp_path):
    async def check():
        manifest = read_manifest(EXAMPLES / "magnolia" / "manifest.toml")
        deployment = StandinDeployment(manifest=manifest)
        await deployment.start()
        cfg = deployment.entry_settings({manifest.zones[0].id: 1})[0]
        process = EntryProcess(cfg=cfg, folder=tmp_path)
        proxy = FaultProxy(upstream=cfg.entry.caller_address)
        await proxy.start()
        await process.start()
        try:
            await process.wait_ready()
            key = demo_key(manifest.customers[0])
            headers = {"Authorization": f"Bearer {key}"}
            async with aiohttp.ClientSession(
                f"http://{proxy.address}", headers=headers
            ) as session:
                async with session.get(LOOKUP_PATH) as resp:
                    assert resp.status == 200
                proxy.state = LinkState(reset_after_bytes={Direction.TO_CLIENT: 10})
                with pytest.raises(aiohttp.ClientError):
                    await session.get(LOOKUP_PATH)
            process.terminate()
            assert await process.wait() == 0
        finally:
            await process.close()
            await proxy.close()
            await deployment.close()

    runner.run(check())
