"""What admits a tenant's request before it is placed."""

from typing import Protocol

from pimentospool.gateway._model import InboundRequest, Tenant
from pimentospool.gateway._replies import Refusal


class KeyConfirmation(Protocol):
    """Tells whether the known API keys are recent enough to accept one."""

    @property
    def is_confirmed(self) -> bool:
        """Whether no key can have been withdrawn for longer than the bound allows."""


class QuotaCharge(Protocol):
    """Cost of one admitted request, taken from its tenant's quota."""

    def refund(self) -> None:
        """Give the cost back, as no target has run the request."""


class QuotaGate(Protocol):
    """Admits requests within the quotas of tenants."""

    async def charge(
        self, tenant: Tenant, req: InboundRequest, *, within_seconds: float
    ) -> QuotaCharge | Refusal:
        """Take the cost of `req` from the tenant's quota, or refuse it.

        `within_seconds` is the time that the request has left.
        """


class AlwaysConfirmed:
    """Confirmation of a deployment without a bound on withdrawn keys."""

    is_confirmed = True


class FreeCharge:
    """Charge of a request without a quota."""

    def refund(self) -> None:
        """Do nothing: nothing was taken."""


class UnlimitedQuotas:
    """Gate of a deployment without quotas."""

    async def charge(
        self, tenant: Tenant, req: InboundRequest, *, within_seconds: float
    ) -> QuotaCharge | Refusal:
        """Admit every request."""
        return FreeCharge()
