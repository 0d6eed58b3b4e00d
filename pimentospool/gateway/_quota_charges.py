"""Costs of requests, and their return."""

import asyncio
from collections.abc import Callable

import msgspec

from pimentospool.gateway._fleet_messages import QuotaReply
from pimentospool.gateway._model import InboundRequest, QuotaUnit, Tenant
from pimentospool.tasks import read_arrived


def request_cost(tenant: Tenant, req: InboundRequest) -> float:
    """Return what a request takes from its tenant's quota."""
    if tenant.quota_unit is not QuotaUnit.TOKENS:
        return 1.0
    if req.prompt is None:
        return tenant.default_tokens
    return float(req.prompt.tokens + req.prompt.max_output_tokens)


class ChargeQuery(msgspec.Struct, frozen=True):
    """What an owner is asked to charge."""

    key: int
    """Hash of the tenant's name."""
    cost: float


class WaitingQuery(msgspec.Struct, frozen=True):
    """A query, and the first reply to it."""

    query: ChargeQuery
    reply: asyncio.Future[QuotaReply]


async def wait_until(
    reply: asyncio.Future[QuotaReply], clock: Callable[[], float], until: float
) -> bool:
    """Wait for a reply; one that has arrived counts also after a pause."""
    await asyncio.wait([reply], timeout=max(0.0, until - clock()))
    if not reply.done():
        await read_arrived()
    return reply.done()


class OwnedCharge:
    """Cost of an admitted request; implements `QuotaCharge`.

    Parameters
    ----------
    give_back : callable
        Returns the cost to the bucket that it was taken from.
    """

    def __init__(self, give_back: Callable[[], None]) -> None:
        self._give_back: Callable[[], None] | None = give_back

    def refund(self) -> None:
        """Give the cost back; later calls do nothing."""
        give_back, self._give_back = self._give_back, None
        if give_back is not None:
            give_back()
