"""Entry VMs in the test process, whose targets are behind fault-injecting proxies."""

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import msgspec

from pimentospool.demo import demo_key, wait_ready
from pimentospool.entry import Entry
from pimentospool.faults import FaultProxy
from pimentospool.manifest import read_manifest
from pimentospool.standins import StandinDeployment
from pimentospool.standins._engine import token_text

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
READY_SECONDS = 10.0
PROMPT = "Which stain is this?"


class Gateway:
    """A running deployment: its entry VMs, proxies and recorded outcomes."""

    def __init__(self, deployment, entries, proxies):
        self.deployment = deployment
        self.entries = entries
        self.proxies = proxies
        self.outcomes = []
        for entry in entries:
            entry.dispatcher.request_ended.connect(self.outcomes.append)

    def session(self, customer="stores-gulf", entry=0):
        customer_record = next(
            item
            for item in self.deployment.manifest.customers
            if item.id.startswith(customer)
        )
        cfg = self.entries[entry]._cfg
        headers = {"Authorization": f"Bearer {demo_key(customer_record)}"}
        base = f"http://{cfg.entry.caller_address}"
        return aiohttp.ClientSession(base, headers=headers)

    def engine_proxies(self, region=""):
        names = self.deployment.engines
        return [self.proxies[name] for name in names if name.startswith(region)]

    async def publish(self, manifest):
        """Publish `manifest` and wait until every entry VM has adopted it."""
        number = max(entry.view.number for entry in self.entries) + 1
        await self.deployment.configuration.publish_manifest(manifest, revision=number)
        async with asyncio.timeout(READY_SECONDS):
            while any(entry.view.number < number for entry in self.entries):
                await asyncio.sleep(0.02)


@asynccontextmanager
async def gateway(*, zones=1, speed=20.0, change=None, settings=None, name="magnolia"):
    """Run one entry VM in each of the first `zones` zones.

    `change` returns the manifest to publish; `settings` modifies the settings of each
    entry VM.
    """
    manifest = read_manifest(EXAMPLES / name / "manifest.toml")
    deployment = StandinDeployment(manifest=manifest, speed=speed)
    await deployment.start()
    counts = {zone.id: 1 for zone in manifest.zones[:zones]}
    proxies, targets = {}, []
    for target in deployment.manifest.targets:
        proxy = FaultProxy(upstream=target.address)
        await proxy.start()
        proxies[target.id] = proxy
        targets.append(msgspec.structs.replace(target, address=proxy.address))
    proxied = msgspec.structs.replace(deployment.manifest, targets=targets)
    if change is not None:
        proxied = change(proxied)
    entry_settings = deployment.entry_settings(counts)
    for cfg in entry_settings:
        cfg.peers.leave_seconds = 0.05
        cfg.targets.progress_timeout_seconds = 0.5
        cfg.targets.answer_timeout_seconds = 1.0
        if settings is not None:
            settings(cfg)
    entries = [Entry(cfg=cfg) for cfg in entry_settings]
    try:
        for entry in entries:
            await entry.start()
        await wait_ready(entries)
        running = Gateway(deployment, entries, proxies)
        await running.publish(proxied)
        yield running
    finally:
        await asyncio.gather(*(entry.stop() for entry in entries))
        for proxy in proxies.values():
            await proxy.close()
        await deployment.close()


def serving_in(manifest, *regions):
    """Return `manifest` with models only in `regions`, for customers of all regions."""
    return msgspec.structs.replace(
        manifest,
        serving=[item for item in manifest.serving if item.region in regions],
        customers=[
            item for item in manifest.customers if len(item.allowed_regions) > 2
        ],
    )


def chat(model="care-assistant", *, stream=True, max_tokens=40, prompt=PROMPT):
    """Return the body of a chat completion request."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        "max_tokens": max_tokens,
    }


def expected_text(count, prompt=PROMPT):
    """Return the text that every engine generates for `prompt`."""
    return "".join(token_text(f"user\n{prompt}\n", number) for number in range(count))


def streamed_text(data):
    """Return the text, the event ids and whether the stream had its end event."""
    text, ids, done = "", [], False
    for event in data.split(b"\n\n"):
        for line in event.split(b"\n"):
            if line.startswith(b"id: "):
                ids.append(int(line[4:]))
            elif line == b"data: [DONE]":
                done = True
            elif line.startswith(b"data: ") and not event.startswith(b"event: error"):
                choice = msgspec.json.decode(line[6:])["choices"][0]
                text += choice["delta"].get("content", "")
    return text, ids, done
