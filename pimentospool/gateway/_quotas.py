"""Admits the requests of tenants within their quotas, by asking the owner."""

import asyncio
import random
from collections.abc import Callable, Collection, Sequence

from prometheus_client import CollectorRegistry

from pimentospool.gateway._admission import FreeCharge, QuotaCharge
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._fleet_messages import (
    EntryRecord,
    FleetMessage,
    QuotaDemand,
    QuotaQuery,
    QuotaRefund,
    QuotaReply,
)
from pimentospool.gateway._heartbeats import HeartbeatLoop
from pimentospool.gateway._model import (
    Address,
    Configuration,
    InboundRequest,
    Tenant,
)
from pimentospool.gateway._quota_charges import (
    ChargeQuery,
    OwnedCharge,
    WaitingQuery,
    request_cost,
    wait_until,
)
from pimentospool.gateway._quota_fallback import QuotaFallback
from pimentospool.gateway._quota_members import QuotaMembers, tenant_hash
from pimentospool.gateway._quota_metrics import QuotaMetrics
from pimentospool.gateway._quota_owner import QuotaOwner
from pimentospool.gateway._replies import Refusal, RefusalReason
from pimentospool.gateway._settings import QuotaBounds
from pimentospool.ids import MemberKey, RegionId
from pimentospool.log import Event, log_event
from pimentospool.policy import RecentDecisions
from pimentospool.verdicts import Verdict

REPEAT_SECONDS = 0.04
"""Time after which a query is repeated; a reply in the region takes 1 to 3 ms."""
SECOND_OWNER_SECONDS = 0.08
FALLBACK_SECONDS = 0.16
"""Time after which a request is admitted without an owner, or refused."""
SKIP_SECONDS = 1.0
"""Time for which an owner is not asked that did not reply."""
ROUND_SECONDS = 0.25
"""Time between messages to the owners of other regions."""
LATE_REPLY_SECONDS = 5.0
"""Time in which a late reply returns what it charged."""
_NUMBER_BITS = 62


class FleetQuotas:
    """Quotas of tenants over all entry VMs; implements `QuotaGate`.

    Parameters
    ----------
    fleet : Fleet
        Membership of the entry VMs.
    regions : collection of RegionId
        All regions of the deployment.
    bounds : QuotaBounds
        Tolerance of the quotas; without a window, no request is refused.
    configuration : callable
        Returns the configuration in force.
    clock : callable
        Returns a monotonic time in seconds.
    rng : random.Random
        Spreads the returns of refused requests.
    registry : CollectorRegistry or None
        Where the metrics are published.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        regions: Collection[RegionId],
        bounds: QuotaBounds,
        configuration: Callable[[], Configuration | None],
        clock: Callable[[], float],
        rng: random.Random,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self._fleet = fleet
        self._bounds = bounds
        self._configuration = configuration
        self._clock = clock
        self._members = QuotaMembers(
            fleet=fleet,
            regions=regions,
            clock=clock,
        )
        self.owner = QuotaOwner(
            members=self._members, bounds=bounds, clock=clock, uniform=rng.random
        )
        self._metrics = QuotaMetrics(
            registry=registry,
            cost_by_result={
                "admitted": self.owner.admitted_cost,
                "refused": self.owner.refused_cost,
            },
        )
        self._send: Callable[[FleetMessage, Sequence[Address]], None] | None = None
        self._tenants: dict[int, Tenant] = {}
        self._tenants_of: Configuration | None = None
        # A late reply to an earlier start of this process must match no query of this.
        self._number = rng.getrandbits(_NUMBER_BITS)
        self._waiting: dict[int, WaitingQuery] = {}
        self._unanswered: RecentDecisions[tuple[int, int], ChargeQuery] = (
            RecentDecisions(seconds=LATE_REPLY_SECONDS)
        )
        self._skipped_until: dict[int, float] = {}
        self._fallback = QuotaFallback(members=self._members, clock=clock)

    def connect(self, heartbeats: HeartbeatLoop) -> None:
        """Exchange messages with other entry VMs over `heartbeats`."""
        self._send = heartbeats.send
        heartbeats.add_handler(QuotaQuery, self.receive_query)
        heartbeats.add_handler(QuotaReply, self.receive_reply)
        heartbeats.add_handler(QuotaRefund, self.receive_refund)
        heartbeats.add_handler(QuotaDemand, self.receive_demand)

    async def run(self) -> None:
        """Tell other owners what they need, until cancelled."""
        while True:
            self.send_round()
            await asyncio.sleep(ROUND_SECONDS)

    def send_round(self) -> None:
        """Tell the owners of other regions, and deputies, what is counted here."""
        tenants = self._limited_tenants()
        if not tenants:
            return
        for msg, receivers in self.owner.next_round(tenants):
            self._send_to(msg, receivers)

    # Requests of this entry VM.

    async def charge(
        self, tenant: Tenant, req: InboundRequest, *, within_seconds: float
    ) -> QuotaCharge | Refusal:
        """Take the cost of `req` from the tenant's quota, or refuse it."""
        if not self._bounds.window_seconds or tenant.rate_per_second <= 0.0:
            return FreeCharge()
        cost = request_cost(tenant, req)
        if cost <= 0.0:
            return FreeCharge()
        self._number += 1
        query = ChargeQuery(tenant_hash(tenant.id), cost)
        charge = await self._ask(tenant, req, query, self._number, within_seconds)
        if charge is None:
            self._metrics.fallbacks.inc()
            return self._fallback.charge(tenant, query)
        return charge

    async def _ask(
        self,
        tenant: Tenant,
        req: InboundRequest,
        query: ChargeQuery,
        number: int,
        within_seconds: float,
    ) -> QuotaCharge | Refusal | None:
        """Return the decision of an owner, None if none replies."""
        local = self._fleet.local_record
        first, *others = self._candidates(query.key)
        if first == local:
            return self._decide_here(tenant, req, query, number)
        reply: asyncio.Future[QuotaReply]
        reply = asyncio.get_running_loop().create_future()
        self._waiting[number] = WaitingQuery(query, reply)
        started_at, asked = self._clock(), [first]
        limit = min(FALLBACK_SECONDS, within_seconds)
        msg = QuotaQuery(local.key, number, query.key, query.cost)
        self._metrics.asks.inc()
        try:
            self._send_to(msg, [first])
            if not await wait_until(
                reply, self._clock, started_at + min(REPEAT_SECONDS, limit)
            ):
                self._metrics.repeats.inc()
                self._send_to(msg, [first])
                await wait_until(
                    reply, self._clock, started_at + min(SECOND_OWNER_SECONDS, limit)
                )
            if not reply.done() and limit > SECOND_OWNER_SECONDS:
                self._skip(first)
                second = others[0] if others else None
                if second == local:
                    return self._decide_here(tenant, req, query, number)
                if second is not None:
                    asked.append(second)
                    self._send_to(msg, [second])
                if (
                    not await wait_until(reply, self._clock, started_at + limit)
                    and second
                ):
                    self._skip(second)
        except asyncio.CancelledError:
            if reply.done() and reply.result().admitted:
                self._refund(MemberKey(reply.result().sender), number, query)
            raise
        finally:
            del self._waiting[number]
            sender = reply.result().sender if reply.done() else None
            now = self._clock()
            for record in asked:
                if record.key != sender:
                    self._unanswered.add((record.key, number), query, now)
        if not reply.done():
            return None
        return self._conclude(tenant, req, query, number, reply.result())

    def _candidates(self, key: int) -> list[EntryRecord]:
        owners = self._members.owners(key)
        now = self._clock()
        candidates = [
            rec for rec in owners if self._skipped_until.get(rec.key, now) <= now
        ]
        return candidates or owners

    def _skip(self, record: EntryRecord) -> None:
        now = self._clock()
        self._skipped_until = {
            key: until for key, until in self._skipped_until.items() if until > now
        }
        self._skipped_until[record.key] = now + SKIP_SECONDS

    def _decide_here(
        self, tenant: Tenant, req: InboundRequest, query: ChargeQuery, number: int
    ) -> QuotaCharge | Refusal:
        key = self._fleet.local_record.key
        decision = self.owner.decide(
            tenant, query.key, cost=query.cost, asker=key, number=number
        )
        self._send_news(tenant, query.key)
        reply = QuotaReply(
            key, number, decision.admitted, decision.wait_seconds, decision.level
        )
        return self._conclude(tenant, req, query, number, reply)

    def _conclude(
        self,
        tenant: Tenant,
        req: InboundRequest,
        query: ChargeQuery,
        number: int,
        reply: QuotaReply,
    ) -> QuotaCharge | Refusal:
        sender = MemberKey(reply.sender)
        if reply.admitted:
            return OwnedCharge(lambda: self._refund(sender, number, query))
        owner = self._fleet.record(sender) or self._fleet.local_record
        log_event(
            Event.QUOTA_REFUSED,
            request=req.id,
            tenant=tenant.id,
            cost=query.cost,
            level=round(reply.level),
            owner=owner.id,
            wait_seconds=round(reply.wait_seconds, 3),
        )
        return Refusal(
            reason=RefusalReason.OVER_QUOTA,
            verdict=Verdict.NOT_RUN,
            retry_after_seconds=reply.wait_seconds,
        )

    def _refund(self, owner: MemberKey, number: int, query: ChargeQuery) -> None:
        local = self._fleet.local_record.key
        if owner == local:
            self.owner.refund(query.key, cost=query.cost, asker=local, number=number)
            return
        record = self._fleet.record(owner)
        if record is not None:
            self._send_to(QuotaRefund(local, number, query.key, query.cost), [record])

    # Messages of other entry VMs.

    def receive_query(self, msg: QuotaQuery, sender: Address) -> None:
        """Reply to a query; not if the tenant isn't known here."""
        tenant = self._limited_tenants().get(msg.tenant)
        if tenant is None or self._send is None:
            return
        decision = self.owner.decide(
            tenant, msg.tenant, cost=msg.cost, asker=msg.sender, number=msg.number
        )
        reply = QuotaReply(
            self._fleet.local_record.key,
            msg.number,
            decision.admitted,
            decision.wait_seconds,
            decision.level,
        )
        self._send(reply, [sender])
        self._send_news(tenant, msg.tenant)

    def receive_reply(self, msg: QuotaReply, sender: Address) -> None:
        """Pass a reply to its request; return what a late one has charged."""
        self._skipped_until.pop(msg.sender, None)
        query = self._unanswered.pop((msg.sender, msg.number))
        if query is not None:
            if msg.admitted:
                self._refund(MemberKey(msg.sender), msg.number, query)
            return
        waiting = self._waiting.get(msg.number)
        if waiting is None:
            return
        if not waiting.reply.done():
            waiting.reply.set_result(msg)
        elif msg.admitted and waiting.reply.result().sender != msg.sender:
            self._refund(MemberKey(msg.sender), msg.number, waiting.query)

    def receive_refund(self, msg: QuotaRefund, sender: Address) -> None:
        """Return the cost of a request that did not run."""
        self.owner.refund(
            msg.tenant, cost=msg.cost, asker=msg.sender, number=msg.number
        )

    def receive_demand(self, msg: QuotaDemand, sender: Address) -> None:
        """Process what another owner tells."""
        tenants = self._limited_tenants()
        record = self._fleet.record(MemberKey(msg.sender))
        if record is not None and tenants:
            self.owner.receive(msg, tenants, record)
            for item in msg.demands:
                if item.tenant in tenants:
                    self._send_news(tenants[item.tenant], item.tenant)

    def _send_news(self, tenant: Tenant, key: int) -> None:
        for msg, receivers in self.owner.news(tenant, key):
            self._send_to(msg, receivers)

    def _send_to(self, msg: FleetMessage, receivers: Sequence[EntryRecord]) -> None:
        if self._send is not None:
            self._send(msg, [record.peer for record in receivers])

    def _limited_tenants(self) -> dict[int, Tenant]:
        """Return the tenants with a limit by the hash of their name."""
        configuration = self._configuration()
        if configuration is not self._tenants_of:
            self._tenants_of = configuration
            tenants = (configuration.tenants or ()) if configuration else ()
            self._tenants = {
                tenant_hash(tenant.id): tenant
                for tenant in tenants
                if tenant.rate_per_second > 0.0 and self._bounds.window_seconds > 0.0
            }
            self._fallback.keep_only(self._tenants)
        return self._tenants
