"""A fleet of quota owners and askers in simulated time, over a faulty network."""

import asyncio
import random
import selectors

import msgspec
from gateway_factories import make_record, make_request

from pimentospool.gateway import Configuration, Prompt
from pimentospool.gateway._model import Address, QuotaUnit, Tenant
from pimentospool.gateway._quotas import FleetQuotas
from pimentospool.gateway._replies import Refusal, RefusalReason
from pimentospool.gateway._settings import QuotaBounds
from pimentospool.verdicts import Verdict

REGIONS = ("delta", "gulf", "piedmont")
REGION_DELAY, ZONE_DELAY = 0.055, 0.0007
NOTICE_SECONDS = 3.0
"""Time after which a VM that is silent counts as gone, as in the fleet."""
BOUNDS = QuotaBounds(window_seconds=8.0, overage=0.25, slack=72_000.0)


class _InstantSelector(selectors.SelectSelector):
    """Lets the time of the loop jump to its next timer."""

    now = 0.0

    def select(self, timeout=None):
        assert timeout is not None, "the simulation waits for nothing"
        self.now += max(0.0, timeout)
        return []


def run_simulated(main):
    selector = _InstantSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    loop._clock_resolution = 1e-6
    try:
        loop.run_until_complete(main())
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    finally:
        loop.close()


class FakeFleet:
    """What one VM knows of the membership: exact, but late by `NOTICE_SECONDS`."""

    def __init__(self, site, record):
        self.site, self.local_record = site, record
        self.local_region, self.local_id = record.region, record.id

    def _heard(self):
        site, own = self.site, self.local_record
        known = [vm.record for vm in site.vms.values() if site.hears(own, vm)]
        return [own, *(rec for rec in known if rec != own)]

    def ready(self, region=None):
        return [rec for rec in self._heard() if region in (None, rec.region)]

    def live(self, region=None):
        return [rec for rec in self.ready(region) if rec != self.local_record]

    def known_ids(self, region=None):
        known = self.site.known_by[self.local_record.key] | {self.local_id}
        regions = self.site.region_of
        return [vm for vm in known if region in (None, regions[vm])]

    def record(self, key):
        return self.site.records.get(key)


class Vm:
    """One start of one VM."""

    def __init__(self, site, record):
        self.site, self.record, self.is_down = site, record, False
        self.started_at = site.now()
        self.cut_from = {}
        self.quotas = FleetQuotas(
            fleet=FakeFleet(site, record),
            regions=REGIONS,
            bounds=BOUNDS,
            configuration=lambda: site.configuration,
            clock=site.now,
            rng=site.rng,
        )
        self.quotas._send = self._send
        self.task = asyncio.get_running_loop().create_task(self.quotas.run())

    def _send(self, msg, addresses):
        for address in addresses:
            self.site.deliver(self, msg, address)

    def _has_configuration(self):
        """Whether this start has met another VM; the store is with the others."""
        self.quotas._fleet.ready()
        return len(self.site.known_by[self.record.key]) > 1

    async def request(self, cost, within=1.0):
        """Return None if a request is admitted, or its refusal."""
        if self.site.now() > 1.0 and not self._has_configuration():
            return Refusal(
                reason=RefusalReason.NOT_CONFIGURED,
                verdict=Verdict.NOT_RUN,
                retry_after_seconds=1.0,
            )
        prompt = Prompt(tokens=int(cost), max_output_tokens=0)
        charge = await self.quotas.charge(
            self.site.tenant, make_request(prompt=prompt), within_seconds=within
        )
        if isinstance(charge, Refusal):
            return charge
        self.site.admitted.append((self.site.now(), cost))
        return None


class Site:
    """All VMs and the network between them; must be made in a simulated loop."""

    def __init__(self, *, per_region=3, rate=18_000.0, burst=18_000.0, seed=1):
        self.rng = random.Random(seed)
        self.loss = self.duplication = self.extra_delay = 0.0
        self.vms, self.records, self.region_of, self.known_by = {}, {}, {}, {}
        self.admitted, self.sent = [], []
        self.groups = {}
        """Group of each VM; VMs of different groups don't reach each other."""
        self.reach_changed_at = {}
        self.generation = 0
        self.set_limit(rate, burst)
        for region in REGIONS:
            for number in range(per_region):
                self.start(f"{region}-{number}", region)
        for vm in self.vms.values():
            self.known_by[vm.record.key] |= self.vms.keys()

    def now(self):
        return asyncio.get_running_loop().time()

    def set_limit(self, rate, burst):
        self.tenant = Tenant(
            id="acme",
            quota_unit=QuotaUnit.TOKENS,
            rate_per_second=rate,
            burst=burst,
            default_tokens=1_000.0,
        )
        self.configuration = self.configuration_of(self.tenant)

    @staticmethod
    def configuration_of(tenant):
        return Configuration(version=1, routes=(), services={}, tenants=(tenant,))

    def start(self, name, region):
        self.generation += 1
        record = make_record(
            name,
            region=region,
            generation=int(self.now() * 1e9) + self.generation,
            protocol=1,
        )
        peer = Address("127.0.0.1", 1_000 + self.generation)
        record = msgspec.structs.replace(record, peer=peer)
        self.region_of[name] = region
        self.records[record.key] = record
        self.known_by[record.key] = {name}
        self.groups.setdefault(name, 0)
        self.vms[name] = Vm(self, record)

    def stop(self, name):
        vm = self.vms[name]
        vm.task.cancel()
        vm.is_down, vm.down_at = True, self.now()

    def restart(self, name):
        self.stop(name)
        self.start(name, self.region_of[name])

    def set_groups(self, groups):
        """Divide the VMs; those of one group reach each other."""
        before = dict(self.groups)
        self.groups |= groups
        for one in self.groups:
            for other in self.groups:
                was_reached = before[one] == before[other]
                if was_reached != self.reaches(one, other):
                    self.reach_changed_at[one, other] = self.now()

    def reaches(self, one, other):
        return self.groups[one] == self.groups[other]

    def hears(self, own, vm):
        """Whether the process of `own` counts `vm` as alive."""
        now, name = self.now(), vm.record.id
        own_vm = self.vms[own.id]
        changed_at = self.reach_changed_at.get((own.id, name), -100.0)
        joined_at = max(vm.started_at, own_vm.started_at)
        if joined_at and now - joined_at < 1.0:
            return False
        is_reached = not vm.is_down and self.reaches(own.id, name)
        if is_reached:
            heard = now - changed_at > 1.0 or changed_at < joined_at
        else:
            gone_at = vm.down_at if vm.is_down else changed_at
            heard = now - gone_at < NOTICE_SECONDS and gone_at > joined_at
        if heard:
            self.known_by[own.key].add(name)
        return heard

    def deliver(self, sender, msg, address):
        self.sent.append((self.now(), sender.record, type(msg)))
        target = next(
            (vm for vm in self.vms.values() if vm.record.peer == address), None
        )
        if target is None or sender.is_down:
            return
        near = sender.record.region == target.record.region
        delay = ZONE_DELAY if near else REGION_DELAY
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                late = self.rng.random() * self.extra_delay
                asyncio.get_running_loop().call_later(
                    delay + late, self._arrive, sender, msg, target
                )

    def _arrive(self, sender, msg, target):
        if target.is_down or not self.reaches(sender.record.id, target.record.id):
            return
        handler = {
            "QuotaQuery": target.quotas.receive_query,
            "QuotaReply": target.quotas.receive_reply,
            "QuotaRefund": target.quotas.receive_refund,
            "QuotaDemand": target.quotas.receive_demand,
        }[type(msg).__name__]
        handler(msg, sender.record.peer)

    def admitted_between(self, start, end):
        return sum(cost for at, cost in self.admitted if start <= at < end)

    def highest_window(self, start=0.0, end=float("inf")):
        """Return the highest cost that was admitted in any window."""
        highest = total = first = 0
        items = [item for item in self.admitted if start <= item[0] < end]
        for at, cost in items:
            total += cost
            while items[first][0] <= at - BOUNDS.window_seconds:
                total -= items[first][1]
                first += 1
            highest = max(highest, total)
        return highest


def allowed(rate, burst):
    """Return the cost that any window may have."""
    nominal = rate * BOUNDS.window_seconds + burst
    return nominal * (1 + BOUNDS.overage) + BOUNDS.slack


async def load(site, names, *, rate, cost, seconds, retries=False):
    """Send requests of `cost` at `rate` to random ones of the VMs; return refusals."""
    refusals, tasks = [], []
    end = site.now() + seconds

    async def one():
        while site.now() < end:
            name = site.rng.choice(names)
            refusal = await site.vms[name].request(cost)
            if refusal is None:
                return
            refusals.append((site.now(), refusal))
            if not retries:
                return
            await asyncio.sleep(refusal.retry_after_seconds)

    while site.now() < end:
        await asyncio.sleep(site.rng.expovariate(rate / cost))
        tasks.append(asyncio.ensure_future(one()))
    await asyncio.sleep(0.3)
    return refusals
