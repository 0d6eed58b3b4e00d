"""Finds the route of a request and runs its attempts."""

import asyncio
import contextlib

from pimentospool.gateway._access import AccessControl, RequestAccess
from pimentospool.gateway._admission import (
    AlwaysConfirmed,
    KeyConfirmation,
    QuotaGate,
    UnlimitedQuotas,
)
from pimentospool.gateway._attempt_sender import ConfigurationOutdatedError
from pimentospool.gateway._attempts import AttemptLoop
from pimentospool.gateway._configuration_catch_up import ConfigurationCatchUp
from pimentospool.gateway._dependencies import GatewayDependencies
from pimentospool.gateway._model import HopOrigin, InboundRequest
from pimentospool.gateway._replies import Refusal, RefusalReason, Reply
from pimentospool.gateway._routes import choose_service
from pimentospool.log import Event, log_event
from pimentospool.verdicts import Verdict

UNCONFIGURED_RETRY_SECONDS = 1.0
"""Retry-After of a process that has received no configuration yet."""


class Dispatcher:
    """Serves requests whose body has arrived in full.

    Parameters
    ----------
    deps : GatewayDependencies
        Components that all requests share.
    catch_up : ConfigurationCatchUp
        Follows the configurations that hops come with.
    confirmation : KeyConfirmation
        Tells whether the known API keys are recent enough to accept one.
    quotas : QuotaGate
        Charges requests to the quotas of their tenants.
    """

    def __init__(
        self,
        *,
        deps: GatewayDependencies,
        catch_up: ConfigurationCatchUp,
        confirmation: KeyConfirmation | None = None,
        quotas: QuotaGate | None = None,
    ) -> None:
        self._deps = deps
        self._catch_up = catch_up
        self._access = AccessControl(
            routing_state=deps.routing_state,
            confirmation=confirmation or AlwaysConfirmed(),
            quotas=quotas or UnlimitedQuotas(),
            clock=deps.clock,
        )
        deps.routing_state.target_removed.connect(deps.pools.drain_target)

    async def serve(self, req: InboundRequest, reply: Reply) -> None:
        """Route `req` and send the final response to `reply`."""
        if req.origin is not None:
            refusal = await self._refusal_of_hop(req.origin)
            if refusal is not None:
                await self._refuse(req, reply, refusal)
                return
        access = self._access.begin(req)
        try:
            await self._route(req, reply, access, reroutes=not req.is_hop)
        except ConfigurationOutdatedError as exc:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(exc.remaining_seconds):
                    await self._catch_up.reach(exc.newer)
            await self._route(req, reply, access, reroutes=False)
        finally:
            access.end()

    async def _route(
        self,
        req: InboundRequest,
        reply: Reply,
        access: RequestAccess,
        *,
        reroutes: bool,
    ) -> None:
        routing_state = self._deps.routing_state
        configuration, routes = routing_state.configuration, routing_state.routes
        stamp = routing_state.stamp
        if configuration is None or routes is None or stamp is None:
            refusal = Refusal(
                reason=RefusalReason.NOT_CONFIGURED,
                verdict=Verdict.NOT_RUN,
                retry_after_seconds=UNCONFIGURED_RETRY_SECONDS,
            )
            await self._refuse(req, reply, refusal)
            return
        route = routes.match(req.host, req.path)
        service = None
        if route is not None:
            first_id = req.resumes or req.id
            service = configuration.services.get(choose_service(route, first_id))
        if route is None or service is None:
            refusal = Refusal(reason=RefusalReason.NO_ROUTE, verdict=Verdict.NOT_RUN)
            await self._refuse(req, reply, refusal)
            return
        admitted = await access.admit(route)
        if isinstance(admitted, Refusal):
            await self._refuse(req, reply, admitted)
            return
        attempt_loop = AttemptLoop(
            deps=self._deps,
            req=req,
            reply=reply,
            route=admitted,
            service=service,
            stamp=stamp,
            reroutes=reroutes,
        )
        try:
            await attempt_loop.run()
        except (asyncio.CancelledError, ConnectionError):
            attempt_loop.interrupted()
            raise
        finally:
            if not attempt_loop.has_not_run:
                access.record_run()

    async def _refusal_of_hop(self, origin: HopOrigin) -> Refusal | None:
        """Return the refusal of a hop whose sender follows another configuration.

        A sender that can route the request again is not served by a later
        configuration than its own: it could handle its next request by the older one,
        after its caller has seen the later one in force.
        """
        if not await self._catch_up.reach(origin):
            return Refusal(
                reason=RefusalReason.OUTDATED,
                verdict=Verdict.NOT_RUN,
                retry_after_seconds=UNCONFIGURED_RETRY_SECONDS,
            )
        stamp = self._deps.routing_state.stamp
        if stamp is None or stamp <= origin.stamp or not origin.can_reroute:
            return None
        return Refusal(
            reason=RefusalReason.SENDER_OUTDATED,
            verdict=Verdict.NOT_RUN,
            newer=HopOrigin(entry=self._deps.fleet.local_id, stamp=stamp),
        )

    async def _refuse(
        self, req: InboundRequest, reply: Reply, refusal: Refusal
    ) -> None:
        log_event(
            Event.REQUEST_REFUSED,
            request=req.id,
            host=req.host,
            path=req.path,
            tenant=req.tenant,
            reason=refusal.reason.name.lower(),
            verdict=refusal.verdict.value,
            retry_after_seconds=refusal.retry_after_seconds,
        )
        self._deps.request_refused.send(refusal.reason)
        await reply.refuse(refusal)
