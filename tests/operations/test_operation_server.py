"""Operations through entry VMs, with entry VMs and stand-ins in one process."""

import asyncio
import time
from itertools import chain, repeat
from pathlib import Path

import aiohttp
import msgspec
import pytest

from pimentospool._generated.callers import OperationTicket
from pimentospool.demo import wait_ready
from pimentospool.entry import Entry
from pimentospool.errors import Problem, Reason
from pimentospool.ids import CustomerId, EntryId, Incarnation, RegionId, ServiceId
from pimentospool.manifest import read_manifest
from pimentospool.operations import TicketSigner
from pimentospool.policy import OperationCall, OperationLedger
from pimentospool.standins import StandinDeployment
from pimentospool.verdicts import Verdict

MANIFEST = Path(__file__).resolve().parents[2] / "examples/magnolia/manifest.toml"
CHARGE = "/v1/services/payment/cards/charge"
TICKET = {"service": "payment", "path": "cards/charge"}
MAY, NOT, RAN = Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, Verdict.RAN
GULF, OTHER_GULF, PIEDMONT = range(3)


def with_short_leave_time(cfg):
    peers = msgspec.structs.replace(cfg.peers, leave_seconds=0.05)
    return msgspec.structs.replace(cfg, peers=peers)


class Fleet:
    """Two entry VMs in gulf and one in piedmont, in the process of the test."""

    def __init__(self, manifest):
        self.deployment = StandinDeployment(manifest=manifest)

    async def start(self):
        await self.deployment.start()
        zones = [zone.id for zone in self.deployment.manifest.zones]
        self.settings = self.deployment.entry_settings({zones[0]: 2, zones[1]: 1})
        self.entries = [Entry(cfg=with_short_leave_time(cfg)) for cfg in self.settings]
        self.stopped = set()
        for entry in self.entries:
            await entry.start()
        await wait_ready(self.entries)
        self.session = aiohttp.ClientSession()

    async def close(self):
        await self.session.close()
        running = set(range(3)) - self.stopped
        await asyncio.gather(*(self.entries[number].stop() for number in running))
        await self.deployment.close()

    async def stop(self, number):
        self.stopped.add(number)
        await self.entries[number].stop()

    async def send(self, entry, path, *, customer="stores-gulf", **fields):
        headers = {"Authorization": f"Bearer {customer}-key"}
        headers |= fields.pop("headers", {})
        url = f"http://{self.settings[entry].entry.caller_address}{path}"
        async with self.session.post(url, headers=headers, **fields) as resp:
            data = await resp.read()
            if "X-Verdict" in resp.headers:
                return msgspec.json.decode(data, type=Problem)
            assert resp.status == 200
            return data

    async def ticket(self, entry, **fields):
        data = await self.send(entry, "/v1/operations", json=TICKET, **fields)
        return msgspec.json.decode(data, type=OperationTicket).operation_id

    async def charge(self, entry, ticket, *, body=b"{}", seconds=5.0, **fields):
        headers = {"Operation-Id": ticket, "X-Deadline-Seconds": str(seconds)}
        return await self.send(entry, CHARGE, data=body, headers=headers, **fields)

    def executions(self):
        services = self.deployment.services.values()
        return sum(len(service.executions) for service in services)

    def slow_services(self, seconds):
        for service in self.deployment.services.values():
            service._service_seconds = seconds

    def set_refusing(self, refusing):
        for service in self.deployment.services.values():
            service.refusing = refusing

    async def publish(self, revision, **changes):
        manifest = msgspec.structs.replace(self.deployment.manifest, **changes)
        await self.deployment.configuration.publish_manifest(
            manifest, revision=revision
        )
        async with asyncio.timeout(15.0):
            while any(entry.view.number < revision for entry in self.entries):
                await asyncio.sleep(0.02)


@pytest.fixture
def in_fleet(runner):
    """Return a function that runs a check against a started fleet."""

    def run(check, manifest=None):
        async def run_check():
            fleet = Fleet(manifest or read_manifest(MANIFEST))
            await fleet.start()
            try:
                await check(fleet)
            finally:
                await fleet.close()

        runner.run(run_check())

    return run


def check_problem(problem, reason, verdict, attempt):
    assert isinstance(problem, Problem), problem
    found = (problem.error.type, problem.verdict, problem.attempt_verdict)
    assert found == (reason.slug, verdict, attempt)


def test_refused_requests_execute_nothing(in_fleet):
    async def check(fleet):
        for entry in (GULF, PIEDMONT):
            for headers in ({}, {"Idempotency-Key": "k"}):
                problem = await fleet.send(entry, CHARGE, data=b"", headers=headers)
                check_problem(problem, Reason.OPERATION_REQUIRED, NOT, None)
        ticket = await fleet.ticket(GULF)
        signer = TicketSigner(key=fleet.settings[0].peers.key)
        ledger = OperationLedger(
            owner=EntryId("gone"),
            region=RegionId("gulf"),
            incarnation=Incarnation("i"),
        )
        call = OperationCall(
            customer=CustomerId("stores-gulf"),
            service=ServiceId("payment"),
            method="POST",
            path="cards/charge",
        )
        gone = signer.sign(ledger.issue(call))
        for entry in range(3):
            problem = await fleet.charge(entry, "forged" + ticket)
            check_problem(problem, Reason.UNKNOWN_OPERATION, MAY, NOT)
            problem = await fleet.charge(entry, gone)
            check_problem(problem, Reason.OWNER_GONE, MAY, NOT)
            problem = await fleet.charge(entry, ticket, customer="unknown")
            check_problem(problem, Reason.UNKNOWN_KEY, MAY, NOT)
            problem = await fleet.charge(entry, ticket, customer="stores-piedmont")
            check_problem(problem, Reason.OPERATION_CONFLICT, MAY, NOT)
        assert fleet.executions() == 0
        await fleet.charge(PIEDMONT, ticket)
        assert fleet.executions() == 1
        problem = await fleet.charge(OTHER_GULF, ticket, body=b"other")
        check_problem(problem, Reason.OPERATION_CONFLICT, RAN, NOT)

    in_fleet(check)


def test_refusal_by_the_target_closes_the_ticket(in_fleet):
    async def check(fleet):
        ticket = await fleet.ticket(GULF)
        fleet.set_refusing(True)
        refused = await fleet.charge(PIEDMONT, ticket)
        assert (refused.verdict, refused.attempt_verdict) == (NOT, NOT)
        fleet.set_refusing(False)
        again = await fleet.charge(GULF, ticket)
        assert again.verdict is NOT
        assert fleet.executions() == 0
        await asyncio.sleep(1.0)
        fresh = await fleet.ticket(GULF)
        assert b"execution" in await fleet.charge(OTHER_GULF, fresh)

    in_fleet(check)


def test_late_answer_is_stored_for_the_next_request(in_fleet):
    async def check(fleet):
        fleet.slow_services(0.6)
        ticket = await fleet.ticket(GULF)
        problem = await fleet.charge(GULF, ticket, seconds=0.2)
        check_problem(problem, Reason.DEADLINE_EXCEEDED, MAY, MAY)
        assert problem.retry_after_seconds is not None
        answer = await fleet.charge(PIEDMONT, ticket)
        assert await fleet.charge(OTHER_GULF, ticket) == answer
        assert fleet.executions() == 1

    in_fleet(check)


def test_execution_completes_after_disconnect_and_during_drain(in_fleet):
    async def check(fleet):
        fleet.slow_services(0.6)
        ticket = await fleet.ticket(GULF)
        caller = asyncio.create_task(fleet.charge(GULF, ticket))
        while not fleet.executions():
            await asyncio.sleep(0.01)
        caller.cancel()
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(fleet.stop(GULF))
        await asyncio.sleep(0.1)
        answer = await fleet.charge(PIEDMONT, ticket)
        assert b'"execution":1' in answer
        await stopping
        problem = await fleet.charge(PIEDMONT, ticket)
        assert problem.verdict is MAY
        assert fleet.executions() == 1

    in_fleet(check)


@pytest.mark.parametrize("gap", [3.0, 60.0])
def test_paused_owner_sends_nothing(in_fleet, gap):
    async def check(fleet):
        ticket = await fleet.ticket(GULF)
        now = time.monotonic()
        readings = chain([now], repeat(now + gap))
        fleet.entries[GULF].operations._clock = lambda: next(readings)
        problem = await fleet.charge(GULF, ticket)
        check_problem(problem, Reason.DEADLINE_EXCEEDED, NOT, NOT)
        assert fleet.executions() == 0
        fleet.entries[GULF].operations._clock = time.monotonic
        again = await fleet.charge(PIEDMONT, ticket)
        assert again.verdict is NOT
        assert fleet.executions() == 0

    in_fleet(check)


def test_ticket_is_issued_in_a_region_with_the_service(in_fleet):
    manifest = read_manifest(MANIFEST)
    targets = [
        msgspec.structs.replace(target, services=["ticketing"])
        if target.id == "piedmont-desk-1"
        else target
        for target in manifest.targets
    ]

    async def check(fleet):
        async with asyncio.timeout(15.0):
            while "gulf" not in fleet.entries[PIEDMONT].fleet.regions():
                await asyncio.sleep(0.02)
        ticket = await fleet.ticket(PIEDMONT)
        signer = TicketSigner(key=fleet.settings[0].peers.key)
        assert signer.verify(ticket).region == "gulf"
        assert b"execution" in await fleet.charge(PIEDMONT, ticket)
        assert fleet.executions() == 1

    in_fleet(check, msgspec.structs.replace(manifest, targets=targets))


def test_home_bound_operation_stays_in_its_region(in_fleet):
    async def check(fleet):
        ticket = await fleet.ticket(GULF, customer="home-bound")
        problem = await fleet.charge(PIEDMONT, ticket, customer="home-bound")
        check_problem(problem, Reason.REGION_NOT_ALLOWED, MAY, NOT)
        assert await fleet.charge(OTHER_GULF, ticket, customer="home-bound")

    in_fleet(check)


def test_stored_answer_is_refused_once_its_region_is_not_allowed(in_fleet):
    async def check(fleet):
        ticket = await fleet.ticket(GULF)
        await fleet.charge(GULF, ticket)
        customers = [
            msgspec.structs.replace(customer, allowed_regions=["piedmont"])
            if customer.id == "stores-gulf"
            else customer
            for customer in fleet.deployment.manifest.customers
        ]
        await fleet.publish(2, customers=customers)
        for entry in range(3):
            problem = await fleet.charge(entry, ticket)
            assert problem.error.type == Reason.REGION_NOT_ALLOWED.slug
            assert problem.verdict is not NOT
        assert fleet.executions() == 1

    in_fleet(check)
