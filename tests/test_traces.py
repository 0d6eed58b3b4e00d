"""Spans of requests through two entry VMs, exported to a file and to a collector."""

import asyncio

import msgspec
from aiohttp import web
from running_entry import PROMPT, chat, gateway, serving_in

from pimentospool.standins import serve_standin

TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = "b7ad6b7169203331"
HEADERS = {"traceparent": f"00-{TRACE}-{PARENT}-01"}


class Collector:
    """Stand-in for an OTLP collector that records the request bodies."""

    def __init__(self):
        self.bodies = []

    def routes(self):
        return [web.post("/v1/traces", self._record)]

    async def _record(self, req):
        self.bodies.append(await req.read())
        return web.Response()


async def trace_requests(tmp_path, ratio=0.0):
    """Send one request over a hop; return the spans' lines and the exported bodies."""
    collector = Collector()
    server = await serve_standin(collector, "127.0.0.1:0")
    paths = []

    def export_traces(cfg):
        path = tmp_path / f"{cfg.entry.id}.jsonl"
        paths.append(path)
        cfg.traces.file = str(path)
        cfg.traces.otlp_endpoint = f"http://{server.address}/v1/traces"
        cfg.traces.sample_ratio = ratio

    async with (
        gateway(
            zones=2,
            settings=export_traces,
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


def test_each_hop_has_a_child_span_of_the_previous_one(runner, tmp_path):
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


def test_spans_hold_no_body_and_no_key(runner, tmp_path):
    lines, bodies = runner.run(trace_requests(tmp_path))
    exported = b"".join(lines) + b"".join(bodies)
    assert PROMPT.encode() not in exported
    assert b"stores-gulf-key" not in exported


def test_calls_to_the_platform_have_spans(runner, tmp_path):
    lines, _ = runner.run(trace_requests(tmp_path, ratio=1.0))
    names = {msgspec.json.decode(line)["name"] for line in lines}
    assert "platform" in names
