"""Counts the quotas of tenants for the region of this entry VM."""

from collections import Counter
from collections.abc import Callable, Sequence

from pimentospool.gateway._fleet_messages import (
    EntryRecord,
    QuotaCopy,
    QuotaDemand,
    TenantDemand,
)
from pimentospool.gateway._model import Tenant
from pimentospool.gateway._quota_accounts import Account, AccountCopy
from pimentospool.gateway._quota_members import QuotaMembers
from pimentospool.gateway._settings import QuotaBounds
from pimentospool.ids import MemberKey, RegionId, TenantId
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    REFUND_SECONDS,
    START_SHARE,
    BucketDecision,
    BucketLimits,
    QuotaBucket,
    RecentDecisions,
    standin_share,
)

ACTIVE_SECONDS = 2.0
"""Time after the last query for which an owner tells the others what it counts, and
keeps its own state against the copy of another one."""
IDLE_COPY_ROUNDS = 8
"""Rounds between copies of an idle tenant's state: 2 s."""
COPY_SECONDS = 10.0
"""Age up to which a copy is used."""
SILENT_COPY_SECONDS = 0.75
"""Time without a copy after which the first owner may have failed; three rounds."""
UNANSWERED_SECONDS = 0.6
"""Time without an acknowledgement after which a second entry VM of a region is told."""
NEWS_SHARE = 0.15
"""Change of a demand, in parts of the larger of limit and demand, that is told or
answered at once. A peak that moves to another region is refused there until the weights
have followed; smaller changes wait for the next round."""
NEWS_SECONDS = 0.05
"""Shortest time between messages outside of rounds, for each tenant."""
DEBT_FACTOR = 1.1
"""Debts of all regions together, as a multiple of the quota's slack; requests of 25,000
tokens are served with three regions and a slack of 72,000."""
MIN_CAPACITY_SECONDS = 0.1
"""Capacity of a bucket without a burst, in seconds of its rate."""
MAX_TENANTS_PER_MESSAGE = 30
"""Limit on the tenants in one datagram, so that it fits into a packet."""
QuotaMessages = list[tuple[QuotaDemand, Sequence[EntryRecord]]]


class QuotaOwner:
    """Decides on requests of the region whose tenants this entry VM counts.

    Parameters
    ----------
    members : QuotaMembers
        Owners of quotas.
    bounds : QuotaBounds
        Tolerance of the quotas.
    clock : callable
        Returns a monotonic time in seconds.
    uniform : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        *,
        members: QuotaMembers,
        bounds: QuotaBounds,
        clock: Callable[[], float],
        uniform: Callable[[], float],
    ) -> None:
        self._members = members
        self._bounds = bounds
        self._clock = clock
        self._uniform = uniform
        self._max_debt = max(1.0, DEBT_FACTOR * bounds.slack / members.region_count)
        self._accounts: dict[int, Account] = {}
        self._copies: dict[int, AccountCopy] = {}
        self._decisions: RecentDecisions[tuple[int, int], BucketDecision] = (
            RecentDecisions()
        )
        self._refunds: RecentDecisions[tuple[int, int], bool] = RecentDecisions(
            seconds=REFUND_SECONDS
        )
        self._number = 0
        self._round = 0
        self.admitted_cost: Counter[TenantId] = Counter()
        self.refused_cost: Counter[TenantId] = Counter()

    # Requests.

    def decide(
        self, tenant: Tenant, key: int, *, cost: float, asker: int, number: int
    ) -> BucketDecision:
        """Charge a request, or repeat the decision on it.

        Parameters
        ----------
        tenant : Tenant
            The tenant, which has a limit.
        key : int
            Hash of its name.
        cost : float
            Cost of the request.
        asker : int
            Key of the entry VM that asks.
        number : int
            Number of the request there.
        """
        decision = self._decisions.get((asker, number))
        if decision is not None:
            return decision
        now = self._clock()
        account = self._account(tenant, key, now)
        if now - account.last_query_at > ACTIVE_SECONDS and account.rank:
            account.standin_since = now
        account.last_query_at = now
        # What no bucket can admit is no demand; it would take all of the weight.
        account.meter.record(min(cost, self._max_debt + tenant.burst), now)
        bucket = self._bucket(tenant, account, key, now)
        decision = bucket.charge(cost, now, uniform=self._uniform)
        self._decisions.add((asker, number), decision, now)
        counts = self.admitted_cost if decision.admitted else self.refused_cost
        counts[tenant.id] += int(cost)
        return decision

    def refund(self, key: int, *, cost: float, asker: int, number: int) -> None:
        """Give back the cost of a request that was admitted here; once only."""
        account = self._accounts.get(key)
        if account is None or account.bucket is None:
            return
        if self._refunds.get((asker, number)):
            return
        now = self._clock()
        self._refunds.add((asker, number), True, now)
        account.bucket.refund(cost, now)

    # Exchange with other owners.

    def receive(
        self, msg: QuotaDemand, tenants: dict[int, Tenant], sender: EntryRecord
    ) -> None:
        """Process what another owner tells."""
        now = self._clock()
        if RegionId(sender.region) == self._members.fleet.local_region:
            for copy in msg.copies:
                self._receive_copy(copy, tenants, now)
            return
        for item in msg.demands:
            tenant = tenants.get(item.tenant)
            if tenant is not None and self._members.rank(item.tenant) == 0:
                account = self._account(tenant, item.tenant, now)
                self._receive_demand(account, item, sender, tenant, now)

    def next_round(self, tenants: dict[int, Tenant]) -> QuotaMessages:
        """Return the messages to the owners of other regions and to deputies."""
        now = self._clock()
        self._round += 1
        for key in self._accounts.keys() - tenants.keys():
            del self._accounts[key]
        for key in self._copies.keys() - tenants.keys():
            del self._copies[key]
        demands: dict[MemberKey, list[TenantDemand]] = {}
        copies: dict[MemberKey, list[QuotaCopy]] = {}
        records: dict[MemberKey, EntryRecord] = {}
        for key, tenant in tenants.items():
            if self._members.rank(key):
                account = self._accounts.get(key)
                if account is not None:
                    self._set_rank(tenant, account, key, now)
                continue
            account = self._account(tenant, key, now)
            bucket = self._bucket(tenant, account, key, now)
            self._collect_demands(account, key, demands, records, now)
            is_active = now - account.last_query_at <= ACTIVE_SECONDS
            if is_active or self._round % IDLE_COPY_ROUNDS == 0:
                copy = QuotaCopy(
                    key,
                    bucket.level(now),
                    self._weight(account, now),
                    account.meter.rate(now),
                )
                for record in self._members.deputies(key):
                    records[record.key] = record
                    copies.setdefault(record.key, []).append(copy)
        return self._messages(demands, copies, records)

    def news(self, tenant: Tenant, key: int) -> QuotaMessages:
        """Return messages on a change of demand that can't wait for the next round."""
        now, account = self._clock(), self._accounts.get(key)
        if account is None or account.rank or now - account.told_at < NEWS_SECONDS:
            return []
        change = abs(account.meter.rate(now) - account.told_demand)
        least = NEWS_SHARE * max(tenant.rate_per_second, account.told_demand)
        if change <= least and not account.has_news:
            return []
        demands: dict[MemberKey, list[TenantDemand]] = {}
        records: dict[MemberKey, EntryRecord] = {}
        self._collect_demands(account, key, demands, records, now)
        return self._messages(demands, {}, records)

    def _collect_demands(
        self,
        account: Account,
        key: int,
        demands: dict[MemberKey, list[TenantDemand]],
        records: dict[MemberKey, EntryRecord],
        now: float,
    ) -> None:
        """Add what the owners of other regions are told of one tenant."""
        account.has_news = False
        for region in self._members.counted_regions:
            item = self._next_demand(account, key, region, now)
            if item is None:
                continue
            for record in self._receivers(account, key, region, now):
                records[record.key] = record
                demands.setdefault(record.key, []).append(item)
                account.told_at, account.told_demand = now, account.meter.rate(now)

    def _receive_copy(
        self, copy: QuotaCopy, tenants: dict[int, Tenant], now: float
    ) -> None:
        if copy.tenant not in tenants:
            return
        account = self._accounts.get(copy.tenant)
        if account is not None and now - account.last_query_at > ACTIVE_SECONDS:
            del self._accounts[copy.tenant]
        self._copies[copy.tenant] = AccountCopy(copy, now)

    def _receive_demand(
        self,
        account: Account,
        item: TenantDemand,
        sender: EntryRecord,
        tenant: Tenant,
        now: float,
    ) -> None:
        region = RegionId(sender.region)
        known = account.weights.heard_demand(region, now)
        is_new = account.weights.learn(
            region, sender.key, number=item.number, demand=item.demand, now=now
        )
        if is_new:
            account.to_answer.add(region)
            least = NEWS_SHARE * max(tenant.rate_per_second, item.demand)
            account.has_news |= abs(item.demand - known) > least
        if item.heard_sender == self._members.fleet.local_record.key:
            account.weights.acknowledge(region, item.heard_number)

    def _next_demand(
        self, account: Account, key: int, region: RegionId, now: float
    ) -> TenantDemand | None:
        """Return what `region` is told now, None if it has nothing to learn."""
        weights = account.weights
        demand = account.meter.rate(now)
        known = weights.repeated(region)
        if known is None or not weights.is_settled([region], demand):
            self._number += 1
            number = self._number
            demand = weights.outgoing(region, demand, number=number, now=now)
        elif region in account.to_answer:
            number, demand = known
        else:
            return None
        account.to_answer.discard(region)
        heard_sender, heard_number = weights.last_heard(region)
        return TenantDemand(key, number, demand, heard_sender, heard_number)

    def _receivers(
        self, account: Account, key: int, region: RegionId, now: float
    ) -> list[EntryRecord]:
        owners = self._members.owners(key, region)
        unanswered = account.weights.is_unanswered(region, now, UNANSWERED_SECONDS)
        return owners[: 2 if unanswered else 1]

    def _messages(
        self,
        demands: dict[MemberKey, list[TenantDemand]],
        copies: dict[MemberKey, list[QuotaCopy]],
        records: dict[MemberKey, EntryRecord],
    ) -> QuotaMessages:
        sender, size = self._members.fleet.local_record.key, MAX_TENANTS_PER_MESSAGE
        messages: QuotaMessages = []
        for key, items in demands.items():
            for start in range(0, len(items), size):
                msg = QuotaDemand(sender, items[start : start + size])
                messages.append((msg, [records[key]]))
        for key, states in copies.items():
            for start in range(0, len(states), size):
                msg = QuotaDemand(sender, [], states[start : start + size])
                messages.append((msg, [records[key]]))
        return messages

    # Accounts and their limits.

    def _account(self, tenant: Tenant, key: int, now: float) -> Account:
        account = self._accounts.get(key)
        if account is None:
            copy = self._copies.get(key)
            if copy is not None and now - copy.at > COPY_SECONDS:
                copy = None
            rank = self._members.rank(key)
            account = Account(
                tenant=tenant,
                copy=copy,
                rank=rank,
                window_seconds=self._bounds.window_seconds,
                now=now,
            )
            self._accounts[key] = account
            self._log_rank(tenant, account)
        else:
            self._set_rank(tenant, account, key, now)
        return account

    def _set_rank(self, tenant: Tenant, account: Account, key: int, now: float) -> None:
        rank = self._members.rank(key)
        if rank == account.rank:
            return
        if account.rank == 0:
            account.standin_since = now
        account.rank = rank
        self._log_rank(tenant, account)

    def _log_rank(self, tenant: Tenant, account: Account) -> None:
        log_event(
            Event.QUOTA_OWNED,
            tenant=tenant.id,
            rank=account.rank,
            copied=account.inherited,
        )

    def _bucket(
        self, tenant: Tenant, account: Account, key: int, now: float
    ) -> QuotaBucket:
        """Return the bucket of an account with its present limits."""
        limits = self._limits(tenant, account, key, now)
        if account.bucket is None:
            level = limits.capacity * START_SHARE
            copy = self._copies.get(key) if account.inherited else None
            if account.rank:
                level = 0.0
            if copy is not None:
                level = min(level, copy.state.level)
                if not account.rank and now - copy.at <= SILENT_COPY_SECONDS:
                    # The predecessor goes on until now, with a level that is known.
                    level = copy.state.level
            account.bucket = QuotaBucket(level=level, now=now)
            account.granted = limits.capacity
        account.bucket.set_limits(limits, now)
        account.grant_burst(limits.capacity, now)
        return account.bucket

    def _limits(
        self, tenant: Tenant, account: Account, key: int, now: float
    ) -> BucketLimits:
        members, bounds = self._members, self._bounds
        rate = tenant.rate_per_second
        share = members.region_share
        if account.rank:
            copy = self._copies.get(key)
            silent = copy is None or now - copy.at > SILENT_COPY_SECONDS
            seconds = now - account.standin_since
            share = min(share, standin_share(seconds, first_is_silent=silent))
        share *= members.startup_share
        weight = self._weight(account, now) * share
        expected = share * account.weights.expected_weight(
            account.meter.rate(now),
            members.counted_regions,
            overage=bounds.overage,
            now=now,
        )
        if share != 1.0:
            account.debt_from = now + bounds.window_seconds
        burst = max(tenant.burst, rate * MIN_CAPACITY_SECONDS)
        return BucketLimits(
            rate=weight * rate,
            capacity=weight * burst,
            max_debt=self._max_debt,
            allows_debt=now >= account.debt_from,
            expected_rate=expected * rate,
        )

    def _weight(self, account: Account, now: float) -> float:
        weight = account.weights.weight(
            self._members.counted_regions, overage=self._bounds.overage, now=now
        )
        return weight * self._members.known_part
