"""Operations under faults with real processes; executions are counted at services."""

import asyncio

import msgspec
import pytest

from pimentospool.faults import Direction, LinkState
from pimentospool.verdicts import Verdict
from tests.operations.operation_fleet import OperationFleet, declare_idempotent

MAY, NOT = Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN
LOSE_REPLY = LinkState(reset_after_bytes={Direction.TO_CLIENT: 20})
PAUSE_SECONDS = 7.0


def in_fleet(runner, folder, check, **fields):
    async def run():
        async with OperationFleet(folder=folder, **fields) as fleet:
            await check(fleet)

    runner.run(run())


async def lose_replies(fleet, tickets):
    """Return, per ticket, the outcomes of charges whose replies are lost."""
    for proxy in fleet.target_proxies:
        proxy.state = LOSE_REPLY
    found = []
    for number, ticket in enumerate(tickets):
        first = await fleet.charge(number % 3, ticket, seconds=1.0)
        again = await asyncio.gather(
            *(fleet.charge(entry, ticket, seconds=1.0) for entry in range(3))
        )
        found.append([first, *again])
    for proxy in fleet.target_proxies:
        proxy.heal()
    return found


def test_lost_replies_and_concurrent_retries_at_all_entry_vms(runner, tmp_path):
    async def check(fleet):
        tickets = [await fleet.ticket(number % 3) for number in range(6)]
        for ticket, outcomes in zip(
            tickets, await lose_replies(fleet, tickets), strict=True
        ):
            assert fleet.broken_promises(ticket, outcomes) == []
            assert fleet.executions(ticket) == 1
            assert {item.verdict for item in outcomes} <= {MAY, Verdict.RAN}
        fresh = await fleet.ticket(0)
        outcomes = await asyncio.gather(
            *(fleet.charge(number % 3, fresh) for number in range(12))
        )
        assert all(item.ran for item in outcomes)
        assert fleet.broken_promises(fresh, outcomes) == []
        conflict = await fleet.charge(1, fresh, body=b'{"other": 1}')
        assert conflict.status == 409
        assert conflict.verdict is Verdict.RAN

    in_fleet(runner, tmp_path, check)


def test_charge_declared_idempotent_runs_twice(runner, tmp_path):
    """The same faults run a charge twice if it is wrongly declared idempotent."""

    async def check(fleet):
        before = sum(
            len(item.executions) for item in fleet.deployment.services.values()
        )
        await lose_replies(fleet, [None])
        after = sum(len(item.executions) for item in fleet.deployment.services.values())
        assert after - before > 1

    in_fleet(runner, tmp_path, check, charge_is_idempotent=True)


def test_owner_killed_and_replaced(runner, tmp_path):
    async def check(fleet):
        unused, ticket = [await fleet.ticket(0) for _ in range(2)]
        for proxy in fleet.target_proxies:
            proxy.state = LinkState(delay_seconds=0.3)
        first = asyncio.create_task(fleet.charge(1, ticket))
        while not fleet.executions(ticket):
            await asyncio.sleep(0.01)
        fleet.processes[0].kill()
        await fleet.processes[0].wait()
        outcomes = [await first, await fleet.charge(1, ticket)]
        await fleet.processes[0].start()
        await fleet.processes[0].wait_ready()
        for proxy in fleet.target_proxies:
            proxy.heal()
        outcomes += [await fleet.charge(entry, ticket) for entry in range(3)]
        assert fleet.broken_promises(ticket, outcomes) == []
        assert {item.verdict for item in outcomes} == {MAY}
        assert fleet.executions(ticket) == 1
        never = await fleet.charge(2, unused)
        assert never.verdict is MAY
        assert never.attempt is NOT
        assert fleet.executions(unused) == 0
        fresh = await fleet.ticket(0)
        assert (await fleet.charge(0, fresh)).ran

    in_fleet(runner, tmp_path, check)


def test_owner_paused_longer_than_every_timeout(runner, tmp_path):
    async def check(fleet):
        held, sent, late = [await fleet.ticket(0) for _ in range(3)]
        answered = await fleet.charge(1, held)
        for proxy in fleet.target_proxies:
            proxy.state = LinkState(delay_seconds=0.5)
        in_progress = asyncio.create_task(fleet.charge(0, sent, seconds=3.0))
        while not fleet.executions(sent):
            await asyncio.sleep(0.01)
        fleet.processes[0].pause()
        waiting = [
            asyncio.create_task(fleet.charge(entry, late, seconds=3.0))
            for entry in range(3)
        ]
        await asyncio.sleep(PAUSE_SECONDS)
        fleet.processes[0].wake()
        outcomes = {
            sent: [await in_progress, await fleet.charge(0, sent)],
            late: [*await asyncio.gather(*waiting), await fleet.charge(0, late)],
            held: [answered, await fleet.charge(0, held)],
        }
        for ticket, found in outcomes.items():
            assert fleet.broken_promises(ticket, found) == []
        assert outcomes[held][1].ran
        assert fleet.executions(sent) == 1

    in_fleet(runner, tmp_path, check)


@pytest.mark.parametrize("fault", ["cut", "silent", "silent-reply"])
def test_partition_between_entry_vms(runner, tmp_path, fault):
    async def check(fleet):
        ticket = await fleet.ticket(0)
        link = fleet.entry_proxies[0]
        if fault == "cut":
            link.cut()
        elif fault == "silent":
            link.blackhole()
        else:
            link.blackhole(Direction.TO_CLIENT)
        remote = await fleet.charge(2, ticket, seconds=1.5)
        assert remote.verdict is MAY
        assert remote.problem.retry_after_seconds is not None
        assert remote.attempt is MAY
        local = await fleet.charge(0, ticket)
        assert local.ran
        link.heal()
        link.reset_connections()
        healed = await fleet.charge(2, ticket)
        assert healed.ran
        assert fleet.broken_promises(ticket, [remote, local, healed]) == []

    in_fleet(runner, tmp_path, check)


def test_platform_down_and_configuration_changed_in_between(runner, tmp_path):
    async def check(fleet):
        ticket, unanswered, unused = [await fleet.ticket(0) for _ in range(3)]
        first = await fleet.charge(0, ticket)
        found = await lose_replies(fleet, [unanswered])
        manifest = declare_idempotent(fleet.deployment.manifest)
        await fleet.publish(manifest, revision=3)
        await wait_revision(fleet, 3)
        fleet.deployment.configuration.available = False
        again = [await fleet.charge(entry, ticket) for entry in range(3)]
        assert all(item.ran for item in again)
        assert fleet.broken_promises(ticket, [first, *again]) == []
        found[0] += [await fleet.charge(entry, unanswered) for entry in range(3)]
        assert fleet.broken_promises(unanswered, found[0]) == []
        assert (await fleet.charge(1, unused)).ran
        fleet.deployment.configuration.available = True
        customers = [
            msgspec.structs.replace(customer, services=["ticketing"])
            for customer in manifest.customers
        ]
        lost = msgspec.structs.replace(manifest, customers=customers)
        await fleet.publish(lost, revision=4)
        await wait_revision(fleet, 4)
        refused = [await fleet.charge(entry, ticket) for entry in range(3)]
        assert all(item.problem is not None for item in refused)
        assert fleet.broken_promises(ticket, refused) == []
        assert fleet.executions(ticket) == 1

    in_fleet(runner, tmp_path, check)


async def wait_revision(fleet, revision):
    async with asyncio.timeout(15.0):
        for number in range(len(fleet.processes)):
            while True:
                async with fleet.session.get(
                    fleet.address(number) + "/v1/entries"
                ) as resp:
                    if (await resp.json())["revision"] >= revision:
                        break
                await asyncio.sleep(0.05)
