"""Decides whether a request may run for its tenant, and by which route."""

from collections.abc import Callable

import msgspec

from pimentospool.gateway._admission import KeyConfirmation, QuotaCharge, QuotaGate
from pimentospool.gateway._fleet_messages import EntryRecord
from pimentospool.gateway._model import HttpRoute, InboundRequest, Tenant
from pimentospool.gateway._replies import Refusal, RefusalReason
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.verdicts import Verdict

TENANT_PROTOCOL = 1
"""Least protocol version of entry VMs that know tenants."""
UNCONFIRMED_RETRY_SECONDS = 0.3
"""Retry-After while the known keys may be out of date. The retry may go to another
entry VM, and a path to the store that returns confirms them in less than a second."""
NO_REGION_RETRY_SECONDS = 5.0
"""Retry-After of a request that no region may serve. Only another configuration allows
it, which an operator has to publish."""


class AccessControl:
    """Admits requests by the API keys and quotas of tenants.

    Parameters
    ----------
    routing_state : RoutingState
        Holds the tenants and their keys.
    confirmation : KeyConfirmation
        Tells whether the known keys are recent enough.
    quotas : QuotaGate
        Charges the requests to their tenants.
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        routing_state: RoutingState,
        confirmation: KeyConfirmation,
        quotas: QuotaGate,
        clock: Callable[[], float],
    ) -> None:
        self.routing_state = routing_state
        self.confirmation = confirmation
        self.quotas = quotas
        self.clock = clock

    def begin(self, req: InboundRequest) -> "RequestAccess":
        """Return the admission of a request that has arrived."""
        return RequestAccess(control=self, req=req)


class RequestAccess:
    """Admission of one request, by each configuration that routes it.

    It is charged and its key is confirmed at most once.

    Parameters
    ----------
    control : AccessControl
        What all requests share.
    req : InboundRequest
        The request; its tenant is set here.
    """

    def __init__(self, *, control: AccessControl, req: InboundRequest) -> None:
        self._control = control
        self._req = req
        self._confirmed = req.is_vouched
        """Whether the keys were confirmed after the arrival, here or by the sender."""
        self._charge: QuotaCharge | None = None
        self._may_have_run = False

    async def admit(self, route: HttpRoute) -> HttpRoute | Refusal:
        """Return the route with the tenant's priority and homes, or a refusal."""
        control, req = self._control, self._req
        configuration = control.routing_state.configuration
        has_tenants = configuration is not None and bool(configuration.tenants)
        req.hides_credentials = has_tenants
        req.tenant = None
        routes = control.routing_state.routes
        if not has_tenants or not (
            routes is None or routes.needs_key(req.host, req.path, route)
        ):
            return route
        is_confirmed = control.confirmation.is_confirmed
        tenant = control.routing_state.keys.owner(req.credential)
        if not is_confirmed and (tenant is None or not self._confirmed):
            return _refusal(RefusalReason.UNCONFIRMED, UNCONFIRMED_RETRY_SECONDS)
        if tenant is None:
            return _refusal(RefusalReason.UNAUTHORIZED)
        self._confirmed = True
        req.tenant = tenant.id
        tenant_route = route_of_tenant(route, tenant)
        if tenant_route is None:
            return _refusal(RefusalReason.NO_REGION, NO_REGION_RETRY_SECONDS)
        if self._charge is None and not req.is_vouched:
            timeout_seconds = min(req.client_timeout_seconds, route.timeout_seconds)
            charge = await control.quotas.charge(
                tenant,
                req,
                within_seconds=req.received_at + timeout_seconds - control.clock(),
            )
            if isinstance(charge, Refusal):
                return charge
            self._charge = charge
        return tenant_route

    def record_run(self) -> None:
        """Record that a target may have run the request, so that it stays charged."""
        self._may_have_run = True

    def end(self) -> None:
        """Give back what was charged for a request that has not run."""
        if self._charge is not None and not self._may_have_run:
            self._charge.refund()
        self._charge = None


def route_of_tenant(route: HttpRoute, tenant: Tenant) -> HttpRoute | None:
    """Return `route` with the priority and homes of `tenant`.

    It is None if no region is a home of both.
    """
    homes = route.home_regions or tenant.home_regions
    if route.home_regions and tenant.home_regions:
        homes = route.home_regions & tenant.home_regions
        if not homes:
            return None
    return msgspec.structs.replace(
        route,
        priority=route.priority if tenant.priority is None else tenant.priority,
        home_regions=homes,
    )


def knows_tenants(record: EntryRecord) -> bool:
    """Whether an entry VM checks keys, and looks up the digest that a hop names."""
    return record.protocol >= TENANT_PROTOCOL


def _refusal(
    reason: RefusalReason, retry_after_seconds: float | None = None
) -> Refusal:
    return Refusal(
        reason=reason,
        verdict=Verdict.NOT_RUN,
        retry_after_seconds=retry_after_seconds,
    )
