"""Quotas of tenants over a fleet, in simulated time and over loopback."""

import asyncio
import random
import time

import msgspec
import pytest
from gateway_factories import announce, make_record, make_request
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_fleet import (
    BOUNDS,
    REGIONS,
    Site,
    allowed,
    load,
    run_simulated,
)
from test_heartbeats import make_loop

from pimentospool.addresses import free_addresses
from pimentospool.gateway import Prompt, _quota_members, _quota_owner
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._model import Address, QuotaUnit, Tenant
from pimentospool.gateway._quota_charges import request_cost
from pimentospool.gateway._quotas import FleetQuotas
from pimentospool.gateway._replies import RefusalReason
from pimentospool.policy import EntryState, _quota_weights

SMALL, LARGE = 18_000.0, 919_042.0
ACME = _quota_members.tenant_hash("acme")
IDLE_SECONDS = 12.0
"""Time after which owners are settled and buckets full."""


def in_site(steps, **options):
    """Run `steps` with a site whose VMs have been idle for some time."""

    async def main():
        site = Site(**options)
        await asyncio.sleep(IDLE_SECONDS)
        await steps(site)

    run_simulated(main)


async def apply_fault(site, kind, choice):
    """Change the network or the VMs of a site."""
    names = list(site.vms)
    if kind == "cut regions":
        site.set_groups({name: REGIONS.index(site.region_of[name]) for name in names})
    elif kind == "isolate":
        site.set_groups({choice.choice(names): f"alone at {site.now()}"})
    elif kind == "heal":
        site.set_groups(dict.fromkeys(names, 0))
        site.loss = site.duplication = site.extra_delay = 0.0
    elif kind == "disturb":
        site.loss, site.duplication = choice.choice([0.05, 0.3]), 0.3
        site.extra_delay = choice.choice([0.0, 0.05, 0.3])
    elif kind == "restart":
        site.restart(choice.choice(names))
    elif kind == "restart all":
        for name in names:
            site.restart(name)
    elif kind == "lose":
        name = choice.choice(names)
        site.stop(name)
        await asyncio.sleep(choice.choice([1.0, 6.0]))
        site.start(name, site.region_of[name])
    elif kind == "lower":
        site.set_limit(site.tenant.rate_per_second / 2, site.tenant.burst / 2)


FAULTS = (
    "cut regions",
    "isolate",
    "heal",
    "disturb",
    "restart",
    "restart all",
    "lose",
    "lower",
)


@settings(max_examples=40)
@given(
    seed=st.integers(0, 2**32),
    per_region=st.integers(1, 4),
    rate=st.sampled_from([SMALL, LARGE]),
    faults=st.lists(
        st.tuples(st.sampled_from(FAULTS), st.sampled_from([0.3, 2.0, 5.0])),
        max_size=8,
    ),
)
def test_no_window_exceeds_the_bound(seed, per_region, rate, faults):
    """Guards against admitting more than the bound in any 8 s, under any faults."""
    choice = random.Random(seed)
    costs = (2_000.0, 9_200.0, 25_000.0)
    # A large tenant is simulated with fewer, larger requests, to take less time.
    scale = max(1.0, rate / 180_000.0)

    async def demand(site):
        while True:
            names = choice.sample(list(site.vms), choice.randint(1, len(site.vms)))
            await load(
                site,
                names,
                rate=rate * choice.choice([0.2, 2.0, 4.0]),
                cost=choice.choice(costs) * (scale if scale == 1.0 else scale / 3),
                seconds=choice.choice([2.0, 6.0]),
            )

    async def steps(site):
        loads = [asyncio.ensure_future(demand(site)) for _ in range(2)]
        began_at, limit = 0.0, rate
        for kind, seconds in faults:
            if kind == "lower":
                assert site.highest_window(began_at) <= allowed(limit, limit)
                began_at, limit = site.now(), limit / 2
            await apply_fault(site, kind, choice)
            await asyncio.sleep(seconds)
        await asyncio.sleep(10.0)
        for task in loads:
            task.cancel()
        assert site.highest_window(began_at) <= allowed(limit, limit)

    in_site(steps, rate=rate, burst=rate, per_region=per_region, seed=seed)


async def demand_everywhere(site, seconds, cost=2_000.0):
    await load(
        site,
        list(site.vms),
        rate=6 * site.tenant.rate_per_second,
        cost=cost,
        seconds=seconds,
    )


async def cut_regions_with_moving_demand(site):
    """Let demand rise in other regions than before, after these were cut off."""
    await load(site, ["delta-0"], rate=SMALL, cost=2_000.0, seconds=5)
    await apply_fault(site, "cut regions", random.Random(1))
    await demand_everywhere(site, 15)


async def isolate_all_of_a_region(site):
    """Isolate each VM of the region that has all of the demand."""
    names = [name for name in site.vms if site.region_of[name] == "gulf"]
    await load(site, names, rate=2 * SMALL, cost=2_000.0, seconds=5)
    site.set_groups({name: name for name in names})
    await asyncio.sleep(4.0)
    await load(site, names, rate=20 * SMALL, cost=2_000.0, seconds=15)


async def restart_all_again_and_again(site):
    """Restart all VMs three times within a window, at a high load."""
    task = asyncio.ensure_future(demand_everywhere(site, 16, cost=9_200.0))
    for _ in range(5):
        await asyncio.sleep(2.5)
        for name in site.vms:
            site.restart(name)
    await task


def highest(steps):
    found = []

    async def measure(site):
        await steps(site)
        found.append(site.highest_window() / allowed(SMALL, SMALL))

    in_site(measure, per_region=5)
    return found[0]


def without_normalisation(patch):
    patch.setattr(_quota_weights, "region_weight", lambda *args, **options: 1.0)


def without_memory_of_demands(patch):
    class Forgetful(_quota_weights._Peer):
        def heard_demand(self, now):
            heard_at = max((item.at for item in self.heard.values()), default=now)
            return super().heard_demand(now) if now - heard_at < 1.0 else 0.0

        def counted_demand(self):
            sent = self.unacknowledged or [self.acknowledged]
            return sent[-1].demand if sent[-1] else 0.0

    patch.setattr(_quota_weights, "_Peer", Forgetful)


def isolated_at_full_rate(patch):
    patch.setattr(_quota_members, "region_share", lambda *args, **options: 1.0)


def full_bursts_after_restarts(patch):
    patch.setattr(_quota_owner, "START_SHARE", 1.0)
    patch.setattr(_quota_members, "startup_share", lambda *args, **options: 1.0)
    limits = _quota_owner.BucketLimits

    def indulgent(**options):
        return limits(**(options | {"allows_debt": True}))

    patch.setattr(_quota_owner, "BucketLimits", indulgent)


@pytest.mark.parametrize(
    ("steps", "break_rule"),
    [
        (cut_regions_with_moving_demand, without_normalisation),
        (cut_regions_with_moving_demand, without_memory_of_demands),
        (isolate_all_of_a_region, isolated_at_full_rate),
        (restart_all_again_and_again, full_bursts_after_restarts),
    ],
)
def test_each_rule_is_needed_for_the_bound(monkeypatch, steps, break_rule):
    """Guards against rules that the check above would not miss."""
    assert highest(steps) <= 1.0
    break_rule(monkeypatch)
    assert highest(steps) > 1.0


# Service.


def admitted_share(sources, *, rate, cost, seconds=30.0, **faults):
    """Return the part of the limit that callers at `sources` get at a peak."""
    found = []

    async def steps(site):
        for name, value in faults.items():
            setattr(site, name, value)
        loads = [
            load(site, names, rate=share * rate, cost=cost, seconds=seconds)
            for names, share in sources
        ]
        begin = site.now()
        await asyncio.gather(*loads)
        admitted = site.admitted_between(begin + 5.0, begin + seconds)
        found.append(admitted / (seconds - 5.0) / rate)

    in_site(steps, rate=rate, burst=rate)
    return found[0]


ONE_VM = [(["delta-1"], 1.5)]
ONE_REGION = [(["gulf-0", "gulf-1", "gulf-2"], 1.5)]
ALL_REGIONS = [(["delta-0"], 0.9), (["gulf-1"], 0.6), (["piedmont-2"], 0.3)]


@pytest.mark.parametrize("sources", [ONE_VM, ONE_REGION, ALL_REGIONS])
@pytest.mark.parametrize(("rate", "cost"), [(SMALL, 2_000.0), (LARGE, 30_000.0)])
def test_tenant_gets_its_limit_wherever_its_callers_are(sources, rate, cost):
    """Guards against limits that only traffic from everywhere can use."""
    assert admitted_share(sources, rate=rate, cost=cost) >= 0.95


def test_repeated_queries_are_charged_once(monkeypatch):
    """Guards against charging a query again whose reply is slow."""
    slow = {"extra_delay": 0.06, "rate": LARGE, "cost": 30_000.0}
    assert admitted_share(ONE_REGION, **slow) >= 0.9
    monkeypatch.setattr(
        _quota_owner.RecentDecisions, "get", lambda self, key: None, raising=True
    )
    assert admitted_share(ONE_REGION, **slow) < 0.9


def test_long_requests_of_the_smallest_tenant_are_served():
    """Guards against buckets that never hold the cost of one long request."""
    refused = []

    async def steps(site):
        for number in range(30):
            name = ("delta-0", "gulf-1", "piedmont-2")[number // 10]
            refused.append(await site.vms[name].request(9_200.0))
            await asyncio.sleep(1.0)

    in_site(steps)
    assert [refusal for refusal in refused if refusal is not None] == []


def test_peak_is_followed_when_it_moves_to_another_region():
    """Guards against weights that stay with a region that needs them no more."""
    found = []

    async def steps(site):
        await load(site, ["delta-0"], rate=1.2 * LARGE, cost=30_000.0, seconds=6)
        begin = site.now()
        await load(site, ["gulf-1"], rate=1.2 * LARGE, cost=30_000.0, seconds=5)
        found.append(site.admitted_between(begin + 1.5, begin + 5) / 3.5 / LARGE)

    in_site(steps, rate=LARGE, burst=LARGE)
    assert found[0] >= 0.9


def test_jump_of_demand_is_told_at_once():
    """Guards against a peak that is refused in its new region until the next rounds."""
    found = []

    async def steps(site):
        await load(site, ["delta-0"], rate=1.2 * LARGE, cost=9_200.0, seconds=6)
        begin = site.now()
        await load(site, ["gulf-1"], rate=1.2 * LARGE, cost=9_200.0, seconds=1)
        found.append(site.admitted_between(begin, begin + 1.0) / LARGE)

    for seed in range(4):
        in_site(steps, rate=LARGE, burst=LARGE, seed=seed)
    assert sum(found) / 4 >= 0.4, found


def test_limit_is_admitted_soon_after_all_vms_have_restarted():
    """Guards against owners that refuse nearly all requests for 2 s after their start,
    and start without the half bursts that the bound has room for."""
    found = []

    async def steps(site):
        demand = asyncio.ensure_future(
            load(site, list(site.vms), rate=3 * LARGE, cost=9_200.0, seconds=6)
        )
        await asyncio.sleep(2.0)
        begin = site.now()
        for name in list(site.vms):
            site.restart(name)
        await demand
        # VMs of the simulation learn of each other 1 s after their start.
        found.append(site.admitted_between(begin + 1.0, begin + 2.5) / 1.5 / LARGE)
        assert site.highest_window() <= allowed(LARGE, LARGE)

    in_site(steps, rate=LARGE, burst=LARGE, per_region=5)
    assert found[0] >= 0.8


def test_returns_after_refusals_are_spread():
    """Guards against refused callers that all come back at the same time."""
    refusals = []

    async def steps(site):
        requests = [site.vms["delta-0"].request(2_000.0) for _ in range(40)]
        refusals.extend(filter(None, await asyncio.gather(*requests)))
        waits = [refusal.retry_after_seconds for refusal in refusals]
        await asyncio.sleep(waits[0])
        assert await site.vms["delta-0"].request(2_000.0) is None

    in_site(steps)
    waits = sorted(refusal.retry_after_seconds for refusal in refusals)
    assert len(waits) > 15
    assert {refusal.reason for refusal in refusals} == {RefusalReason.OVER_QUOTA}
    for slot in range(40):
        count = sum(slot / 4 <= wait < (slot + 1) / 4 for wait in waits)
        assert count <= len(waits) / 3


def test_second_owner_answers_when_the_first_has_stopped():
    """Guards against refusing all requests until the loss of an owner is known."""
    admitted_after = []

    async def steps(site):
        owners = site.vms["delta-0"].quotas._members.owners(ACME)
        site.stop(owners[0].id)
        begin = site.now()
        for _ in range(20):
            if await site.vms[owners[2].id].request(200.0) is None:
                admitted_after.append(site.now() - begin)
            await asyncio.sleep(0.1)

    in_site(steps)
    assert len(admitted_after) >= 15
    assert admitted_after[0] < 1.0


def test_survivors_admit_when_most_vms_fail_at_once():
    """Guards against owners of lower ranks that know neither weight nor level when the
    first two have failed together."""
    found = []

    async def steps(site):
        names = list(site.vms)
        await load(site, names, rate=0.7 * LARGE, cost=9_200.0, seconds=3)
        for name in names:
            if not name.endswith("-3"):
                site.stop(name)
        begin = site.now()
        survivors = [name for name in names if name.endswith("-3")]
        await load(site, survivors, rate=0.7 * LARGE, cost=9_200.0, seconds=2.5)
        found.append(site.admitted_between(begin, begin + 2.5) / 2.5 / LARGE)

    for seed in range(3):
        in_site(steps, rate=LARGE, burst=LARGE, per_region=4, seed=seed)
    assert sum(found) / 3 >= 0.2, found


def test_late_copy_of_a_refund_gives_nothing_back():
    """Guards against a refund that is counted again when its copy is seconds late."""

    async def steps(site):
        owner = site.vms["delta-0"].quotas._members.owners(ACME)[0]
        vm = site.vms[owner.id]
        for number in (1, 2, 1):
            assert await vm.request(12_000.0) is None
            before = vm.quotas.owner._accounts[ACME].bucket.level(site.now())
            vm.quotas.owner.refund(ACME, cost=100.0, asker=7, number=number)
            after = vm.quotas.owner._accounts[ACME].bucket.level(site.now())
            await asyncio.sleep(1.1)
        assert after == before

    in_site(steps)


def test_late_reply_is_refunded_once():
    """Guards against charges of which the asking VM never made use, and of refunds
    that are counted twice."""

    async def steps(site):
        owners = site.vms["delta-0"].quotas._members.owners(ACME)
        owner, asker = site.vms[owners[0].id], site.vms[owners[2].id]
        site.duplication = 1.0
        assert await owner.request(12_000.0) is None
        replies = []
        asker.quotas.receive_reply, receive = (
            lambda msg, sender: replies.append((msg, sender)),
            asker.quotas.receive_reply,
        )
        refusal = await asker.request(2_000.0)
        assert refusal is not None and refusal.reason is RefusalReason.QUOTA_UNKNOWN
        bucket = owner.quotas.owner._accounts[ACME].bucket
        charged = bucket.level(site.now())
        for msg, sender in replies:
            receive(msg, sender)
        await asyncio.sleep(0.01)
        refunded = bucket.level(site.now())
        assert 2_000.0 <= refunded - charged < 2_200.0

    in_site(steps)


def test_replies_of_two_owners_at_once_leave_one_charge():
    """Guards against charges by an owner whose reply arrives together with that of the
    other one, before the request goes on."""

    async def steps(site):
        owners = site.vms["delta-0"].quotas._members.owners(ACME)
        first, second, asker = (site.vms[owner.id] for owner in owners[:3])
        second.quotas.owner.decide(site.tenant, ACME, cost=1.0, asker=1, number=1)
        await asyncio.sleep(1.0)
        assert await first.request(3_000.0) is None
        held, receive = [], asker.quotas.receive_reply
        asker.quotas.receive_reply = lambda msg, sender: held.append((msg, sender))
        task = asyncio.ensure_future(asker.request(200.0))
        await asyncio.sleep(0.1)
        assert {msg.sender for msg, _ in held} == {owner.key for owner in owners[:2]}
        charged = first.quotas.owner._accounts[ACME].bucket.level(site.now())
        for msg, sender in reversed(held):
            receive(msg, sender)
        assert await task is None
        await asyncio.sleep(0.01)
        refunded = first.quotas.owner._accounts[ACME].bucket.level(site.now())
        assert refunded - charged >= 200.0

    in_site(steps)


def test_request_cancelled_after_the_reply_is_refunded():
    """Guards against charges of callers that leave while the reply arrives."""

    async def steps(site):
        owners = site.vms["delta-0"].quotas._members.owners(ACME)
        owner, asker = site.vms[owners[0].id], site.vms[owners[2].id]
        receive = asker.quotas.receive_reply
        task = asyncio.ensure_future(asker.request(5_000.0))

        def receive_and_cancel(msg, sender):
            receive(msg, sender)
            task.cancel()

        asker.quotas.receive_reply = receive_and_cancel
        await asyncio.wait([task])
        assert task.cancelled()
        await asyncio.sleep(0.01)
        level = owner.quotas.owner._accounts[ACME].bucket.level(site.now())
        assert level >= 5_000.0

    in_site(steps)


def test_absurd_cost_harms_no_other_request():
    """Guards against a request of 10^15 tokens that takes the weights of other regions
    for minutes, and makes all later refusals name long waits."""
    waits = []

    async def steps(site):
        refusal = await site.vms["delta-0"].request(1e15)
        assert refusal is not None
        await asyncio.sleep(5.0)
        await load(site, ["gulf-1"], rate=0.8 * LARGE, cost=9_200.0, seconds=3)
        begin = site.now()
        await load(site, ["gulf-1"], rate=0.8 * LARGE, cost=9_200.0, seconds=5)
        assert site.admitted_between(begin, begin + 5) >= 0.7 * 5 * LARGE
        refusals = await load(
            site, ["delta-0"], rate=0.5 * LARGE, cost=9_200.0, seconds=0.5
        )
        waits.extend(refusal.retry_after_seconds for _, refusal in refusals)

    in_site(steps, rate=LARGE, burst=LARGE)
    assert min(waits, default=0.0) < 0.5


def test_nothing_is_sent_or_asked_without_limits():
    """Guards against traffic in deployments without quotas."""

    async def steps(site):
        site.set_limit(0.0, 0.0)
        sent = len(site.sent)
        assert await site.vms["delta-0"].request(1e9) is None
        await asyncio.sleep(5.0)
        assert len(site.sent) == sent

    in_site(steps)


@pytest.mark.parametrize(
    ("unit", "prompt", "cost"),
    [
        (QuotaUnit.TOKENS, Prompt(tokens=800, max_output_tokens=26), 826.0),
        (QuotaUnit.TOKENS, None, 300.0),
        (QuotaUnit.REQUESTS, Prompt(tokens=800, max_output_tokens=26), 1.0),
    ],
)
def test_cost_of_a_request(unit, prompt, cost):
    tenant = Tenant(id="acme", quota_unit=unit, default_tokens=300.0)
    assert request_cost(tenant, make_request(prompt=prompt)) == cost


def test_entry_vms_ask_each_other_over_loopback(runner, monkeypatch):
    """Guards against messages that the loops of heartbeats don't carry."""
    monkeypatch.setattr(_quota_members, "startup_share", lambda *args, **options: 1.0)

    async def main():
        tenant = Tenant(
            id="acme", rate_per_second=1.0, burst=5.0, quota_unit=QuotaUnit.REQUESTS
        )
        records = [
            msgspec.structs.replace(
                make_record(name, protocol=1),
                peer=Address("127.0.0.1", int(address.rpartition(":")[2])),
            )
            for name, address in zip(("one", "two"), free_addresses(2), strict=True)
        ]
        gates, loops = [], []
        for record, other in zip(records, reversed(records), strict=True):
            fleet = Fleet(
                local_record=record, clock=time.monotonic, rng=random.Random(1)
            )
            fleet.local_state = EntryState.READY
            announce(fleet, other)
            gate = FleetQuotas(
                fleet=fleet,
                regions={"gulf"},
                bounds=BOUNDS,
                configuration=lambda: Site.configuration_of(tenant),
                clock=time.monotonic,
                rng=random.Random(1),
            )
            loop, _ = make_loop()
            gate.connect(loop)
            await loop.start(record.peer)
            gates.append(gate)
            loops.append(loop)
        results = [
            await gates[number % 2].charge(tenant, make_request(), within_seconds=1.0)
            for number in range(12)
        ]
        for loop in loops:
            loop._transport.close()
        admitted = [result for result in results if not hasattr(result, "reason")]
        refused = [result for result in results if hasattr(result, "reason")]
        assert 2 <= len(admitted) <= 6
        assert {item.reason for item in refused} == {RefusalReason.OVER_QUOTA}
        counted = [gate.owner.admitted_cost["acme"] for gate in gates]
        assert sorted(counted) == [0, len(admitted)]

    runner.run(main())
