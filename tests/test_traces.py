"""Spans of requests through two entry VMs, in a file and at a collector."""

import asyncio

import msgspec
from aiohttp import web
from running_entry import PROMPT, chat, gateway, serving_in

from pimentospool.standins import serve_standin

TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = "b7ad6b7169203331"
HEADERS = {"traceparent": f"00-{TRACE}-{PARENT}-01"}


class Collector:
    """Stand-in of an OTLP collector."""

    def __init__(self):
        self.bodies = []

    def routes(self):
        return [web.post("/v1/traces", self._take)]

    async def _take(self, req):
        self.bodies.append(await req.read())
        return web.Response()


async def trace_requests(tmp_path, ratio=0.0):
    """Send one request over a hop and return the spans and the sent traces."""
    collector = Collector()
    server = await serve_standin(collector, "127.0.0.1:0")
    paths = []

    def traced(cfg):
        path = tmp_path / f"{cfg.entry.id}.jsonl"
        paths.append(path)
        cfg.traces.file = str(path)
        cfg.traces.otlp_endpoint = f"http://{server.address}/v1/traces"
        cfg.traces.sample_ratio = ratio

    async with (
        gateway(
            zones=2,
            settings=traced,
            change=lambda manifest: serving_in(manifest, "piedmont"),
        ) as running,
        running.session() as session,
    ):
        body = chat(max_tokens=2)
        async with session.post(
            "/v1/chat/completions", json=body, headers=HEADERS
        ) as resp:
            await resp.read()
        async with asyncio.timeout(10):
            while len(running.outcomes) < 2:
                await asyncio.sleep(0.01)
    await server.close()
    lines = [line for path in paths for line in path.read_bytes().splitlines()]
    return lines, collector.bodies


def test_each_hop_has_a_span_below_the_one_before(runner, tmp_path):
    lines, bodies = runner.run(trace_requests(tmp_path))
    spans = [msgspec.json.decode(line) for line in lines]
    spans = [span for span in spans if span["context"]["trace_id"] == f"0x{TRACE}"]
    by_parent = {span["parent_id"]: span for span in spans}
    names, parent = [], f"0x{PARENT}"
    while parent in by_parent:
        span = by_parent[parent]
        names.append(span["name"])
        assert span["attributes"]["pimentospool.verdict"] == "ran"
        parent = span["context"]["span_id"]
    assert names == ["entry", "hop", "entry", "target"]
    assert bytes.fromhex(TRACE) in b"".join(bodies)


def test_no_body_enters_a_span(runner, tmp_path):
    lines, bodies = runner.run(trace_requests(tmp_path))
    seen = b"".join(lines) + b"".join(bodies)
    assert PROMPT.encode() not in seen
    assert b"stores-gulf-key" not in seen


def test_calls_of_the_platform_have_spans(runner, tmp_path):
    lines, _ = runner.run(trace_requests(tmp_path, ratio=1.0))
    names = {msgspec.json.decode(line)["name"] for line in lines}
    assert "platform" in names
