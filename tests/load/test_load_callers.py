"""Callers against stand-ins of targets and of entry VMs."""

import random
import time
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web
from raw_server import RawServer

from pimentospool.demo import wait_ready
from pimentospool.entry import Entry
from pimentospool.errors import Reason, RequestFailure
from pimentospool.ids import EntryId, RegionId
from pimentospool.load import (
    Arrival,
    Callers,
    CallKind,
    CallOutcome,
    EntryAddress,
    LoadGenerator,
    StandinAnswerCheck,
    TrafficMix,
    TrafficSource,
    example_key,
    summarize,
)
from pimentospool.manifest import read_manifest
from pimentospool.metrics import METRICS_PATH
from pimentospool.sending import WrappedTransportError
from pimentospool.standins import StandinDeployment
from pimentospool.standins._server import serve_standin
from pimentospool.verdicts import Verdict

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
GULF = RegionId("gulf")


class FixedDirectory:
    def __init__(self, addresses):
        self.addresses = addresses

    def entries(self):
        return [
            EntryAddress(id=EntryId(f"e{number}"), region=GULF, address=address)
            for number, address in enumerate(self.addresses)
        ]


def make_callers(addresses):
    return Callers(
        directory=FixedDirectory(addresses),
        check=StandinAnswerCheck(),
        key_of=example_key,
        rng=random.Random(1),
        deadline_seconds=5.0,
    )


def make_source(**mix):
    return TrafficSource(
        manifest=read_manifest(EXAMPLES / "magnolia" / "manifest.toml"),
        mix=TrafficMix(**mix),
        rng=random.Random(1),
        run_id="t",
    )


async def send_all(callers, source, count):
    records = []
    arrivals = [
        Arrival(due_seconds=0.01 * number, region=GULF) for number in range(count)
    ]
    generator = LoadGenerator(callers=callers, source=source)
    await generator.run(arrivals, records.append)
    return records


def test_whole_answers_of_every_kind(runner):
    async def check():
        manifest = read_manifest(EXAMPLES / "magnolia" / "manifest.toml")
        deployment = StandinDeployment(manifest=manifest, speed=50.0)
        await deployment.start()
        settings = deployment.entry_settings({manifest.zones[0].id: 1})
        entry = Entry(cfg=settings[0])
        await entry.start()
        callers = make_callers([settings[0].entry.caller_address])
        try:
            await wait_ready([entry])
            records = await send_all(callers, make_source(), 40)
            url = f"http://{settings[0].entry.admin_address}{METRICS_PATH}"
            async with aiohttp.ClientSession() as session, session.get(url) as resp:
                page = await resp.text()
        finally:
            await callers.close()
            await entry.stop()
            await deployment.close()
        assert {record.outcome for record in records} == {CallOutcome.WHOLE}
        assert {record.kind for record in records} == set(CallKind)
        assert sum(item.sent for item in summarize(records)) == 40
        assert "pimentospool_revision 1.0" in page
        assert 'pimentospool_request_seconds_count{customer="stores-gulf"' in page

    runner.run(check())


class RefusingEntry:
    """Stand-in for an entry VM that issues tickets and refuses every call."""

    def __init__(self, *, verdict, tickets):
        self.tickets = tickets
        self.operation_ids = []
        self.failure = RequestFailure(
            reason=Reason.TARGET_FAILED, detail="no", verdict=verdict
        )

    def routes(self):
        return [
            web.post("/v1/operations", self.issue_ticket),
            web.route("*", "/{path:.+}", self.refuse_call),
        ]

    async def issue_ticket(self, req):
        if not self.tickets:
            return self.problem_response()
        return web.json_response({"operation_id": self.tickets.pop()})

    async def refuse_call(self, req):
        self.operation_ids.append(req.headers.get("Operation-Id"))
        return self.problem_response()

    def problem_response(self):
        body = msgspec.json.encode(self.failure.problem(request_id="r"))
        return web.Response(
            body=body, status=502, content_type="application/problem+json"
        )


def operation_ids_sent(runner, verdict, *, tickets=("t2", "t1"), **mix):
    """Send one call to two entry VMs that refuse it; return the ids they received."""

    async def check():
        remaining_tickets = list(tickets)
        refusing_entries = [
            RefusingEntry(verdict=verdict, tickets=remaining_tickets) for _ in range(2)
        ]
        servers = [
            await serve_standin(item, "127.0.0.1:0") for item in refusing_entries
        ]
        callers = make_callers([server.address for server in servers])
        try:
            call = make_source(**mix).next_call(GULF)
            record = await callers.send(call, intended_at=time.time())
        finally:
            await callers.close()
            for server in servers:
                await server.close()
        assert record.outcome is CallOutcome.REFUSED
        return sorted(
            refusing_entries[0].operation_ids + refusing_entries[1].operation_ids,
            key=str,
        )

    return runner.run(check())


NON_IDEMPOTENT_ONLY = {"short": 0, "long": 0, "idempotent": 0, "non_idempotent": 1}
IDEMPOTENT_ONLY = {**NON_IDEMPOTENT_ONLY, "idempotent": 1, "non_idempotent": 0}


def test_a_non_idempotent_call_is_retried_only_under_its_ticket(runner):
    assert operation_ids_sent(runner, Verdict.NOT_RUN, **NON_IDEMPOTENT_ONLY) == [
        "t1",
        "t2",
    ]
    assert operation_ids_sent(runner, Verdict.MAY_HAVE_RUN, **NON_IDEMPOTENT_ONLY) == [
        "t1",
        "t1",
    ]
    assert operation_ids_sent(runner, Verdict.RAN, **NON_IDEMPOTENT_ONLY) == ["t1"]
    assert (
        operation_ids_sent(runner, Verdict.NOT_RUN, tickets=(), **NON_IDEMPOTENT_ONLY)
        == []
    )


def test_an_idempotent_call_is_retried(runner):
    assert operation_ids_sent(runner, Verdict.MAY_HAVE_RUN, **IDEMPOTENT_ONLY) == [
        None,
        None,
    ]


def test_latency_counts_from_the_due_time(runner):
    async def check():
        callers = make_callers([])
        due = time.time() - 3.0
        record = await callers.send(make_source().next_call(GULF), intended_at=due)
        await callers.close()
        record.outcome = CallOutcome.WHOLE
        assert summarize([record])[0].total.p50_ms >= 3000

    runner.run(check())


def test_a_get_without_answer_counts_as_sent_though_a_new_connection_is_refused(runner):
    """A request that aiohttp resent by itself hid that the first one had run.

    The refused connection of the second attempt made the call look as if nothing had
    been sent (seed 60493 of `drill`).
    """

    async def close_without_answer(server, reader, writer):
        await server.read_request(reader)
        server._server.close()

    async def send_get():
        async with RawServer(close_without_answer) as server:
            callers = make_callers([])
            try:
                async with callers._session.get(server.url):
                    pass
            except WrappedTransportError as exc:
                return exc.error, len(server.requests)
            finally:
                await callers.close()

    error, sent = runner.run(send_get())
    assert not isinstance(error, aiohttp.ClientConnectorError)
    assert sent == 1
