"""The way of a request from its verification to its whole answer or refusal."""

import asyncio
import random

from pimentospool._generated.platform import VmRecord
from pimentospool._generated.settings import Settings
from pimentospool.admission import Admission
from pimentospool.attempts import Attempts
from pimentospool.errors import Reason, RequestFailure
from pimentospool.exchanges import ExchangeFactory, remaining_seconds
from pimentospool.fleet import Fleet
from pimentospool.ids import EntryId, RegionId
from pimentospool.outcomes import OutcomeRecorder, RequestOutcome
from pimentospool.policy import (
    RegionRoute,
    RetryDecision,
    RetryPolicy,
    RouteQuery,
    Router,
    RouteRefusal,
    TargetRoute,
)
from pimentospool.relaying import FlightSink, StreamRelay, hop_failure, relay_whole
from pimentospool.requests import AnswerSink, GatewayRequest
from pimentospool.signals import Signal
from pimentospool.targets import (
    Answer,
    AttemptFailure,
    ExchangeClient,
    FailureCause,
)
from pimentospool.traces import SilentTracer, Span, SpanAttribute, SpanName, Tracer
from pimentospool.verdicts import Verdict
from pimentospool.views import View


class Dispatcher:
    """Serves verified requests.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Configuration in force.
    fleet : Fleet
        Other entry VMs and leaving targets.
    router : Router
        Decides where requests go.
    admission : Admission
        Limits of customers, and the queue of long requests.
    client : ExchangeClient
        Client of targets and other entry VMs.
    rng : random.Random
        Source of random choices.
    tracer : Tracer or None
        Begins the spans of requests; None traces nothing.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        view: View,
        fleet: Fleet,
        router: Router,
        admission: Admission,
        client: ExchangeClient,
        rng: random.Random,
        tracer: Tracer | None = None,
    ) -> None:
        self.request_ended: Signal[RequestOutcome] = Signal(name="request_ended")
        self._cfg = cfg
        self._view = view
        self._fleet = fleet
        self._router = router
        self._admission = admission
        self._retries = RetryPolicy()
        self._client = client
        self._rng = rng
        self._tracer = SilentTracer() if tracer is None else tracer
        self._exchanges = ExchangeFactory(cfg=cfg, view=view)

    async def serve(self, req: GatewayRequest, sink: AnswerSink) -> None:
        """Send the whole answer of `req` to `sink`.

        Raises
        ------
        RequestFailure
            If the request ends without its answer.
        """
        record = OutcomeRecorder(
            req=req, sink=sink, clock=asyncio.get_running_loop().time
        )
        span = self._tracer.begin(SpanName.ENTRY, parent=req.traceparent)
        req.traceparent = span.traceparent
        try:
            await self._serve(req, record)
            record.verdict = Verdict.RAN
        except RequestFailure as exc:
            record.fail(reason=exc.reason, verdict=exc.verdict)
            raise
        except asyncio.CancelledError:
            record.fail(reason=Reason.CALLER_GONE, verdict=_sent_verdict(record))
            raise
        except Exception:
            record.fail(reason=Reason.INTERNAL, verdict=_sent_verdict(record))
            raise
        finally:
            outcome = record.outcome()
            _describe_request(span, outcome)
            span.end()
            self.request_ended.send(outcome)

    async def _serve(self, req: GatewayRequest, record: OutcomeRecorder) -> None:
        self._check_region(req)
        with self._admission.admitted(req):
            await self._serve_admitted(req, record)

    async def _serve_admitted(
        self, req: GatewayRequest, record: OutcomeRecorder
    ) -> None:
        relay = StreamRelay(resume_after=req.resume_after)
        attempts = Attempts()
        while True:
            route = await self._route(req, attempts, relay)
            record.attempts += 1
            if record.attempts == 1:
                self._retries.record_first_attempt(req.customer.id, _holder(route))
            try:
                await self._attempt(req, route, record, relay, attempts)
                return
            except AttemptFailure as exc:
                attempts.failed(route, exc)
                if req.send_guard is not None:
                    req.send_guard.attempt_failed(exc.verdict)
                if record.started and not relay.resumable:
                    raise attempts.failure(req) from exc
                if not self._may_repeat(req, route, attempts):
                    raise attempts.failure(req) from exc

    async def _route(
        self, req: GatewayRequest, attempts: Attempts, relay: StreamRelay
    ) -> TargetRoute | RegionRoute:
        """Return where the next attempt goes.

        Raises
        ------
        RequestFailure
            If it goes nowhere.
        """
        waited = False
        while True:
            if remaining_seconds(req) <= 0:
                raise attempts.late()
            route = self._router.choose(self._query(req, attempts))
            if isinstance(route, RouteRefusal):
                if attempts.start_second_round(req):
                    continue
                if not route.may_wait or attempts.count:
                    raise attempts.refusal(route)
                await self._admission.wait_turn(req, route)
                waited = True
            elif relay.continues_at(route):
                break
            else:
                attempts.exclude(route)
        if waited:
            self._admission.turn_used()
        self._check_route(req, route, attempts.verdict)
        return route

    async def _attempt(
        self,
        req: GatewayRequest,
        route: TargetRoute | RegionRoute,
        record: OutcomeRecorder,
        relay: StreamRelay,
        attempts: Attempts,
    ) -> None:
        flight = self._router.start(route, self._query(req, attempts))
        sink = FlightSink(sink=record, flight=flight)
        span = self._begin_attempt(req, route)
        try:
            if isinstance(route, TargetRoute):
                record.served_by = route.target.id
                await self._serve_at_target(req, route, sink, relay, span)
            else:
                record.sent_to = route.region
                await self._serve_at_region(req, route, sink, relay, attempts, span)
            span.set(SpanAttribute.VERDICT, Verdict.RAN.value)
        except AttemptFailure as exc:
            span.set(SpanAttribute.VERDICT, exc.verdict.value)
            span.set(SpanAttribute.CAUSE, exc.cause.value)
            if exc.problem is None:
                flight.failed()
            raise
        finally:
            span.end()
            flight.finish()
            self._admission.wake()

    def _begin_attempt(
        self, req: GatewayRequest, route: TargetRoute | RegionRoute
    ) -> Span:
        if isinstance(route, RegionRoute):
            span = self._tracer.begin(SpanName.HOP, parent=req.traceparent)
            span.set(SpanAttribute.REGION, route.region)
            return span
        span = self._tracer.begin(SpanName.TARGET, parent=req.traceparent)
        span.set(SpanAttribute.TARGET, route.target.id)
        span.set(SpanAttribute.REGION, self._cfg.entry.region)
        return span

    def _may_repeat(
        self,
        req: GatewayRequest,
        route: TargetRoute | RegionRoute,
        attempts: Attempts,
    ) -> bool:
        self._retries.ratio = self._view.index.manifest.limits.retry_ratio
        decision = self._retries.decide(
            customer=req.customer.id,
            destination=_holder(route),
            verdict=attempts.verdict,
            idempotent=req.idempotent,
            attempts=attempts.count,
            remaining_seconds=remaining_seconds(req),
        )
        return decision is RetryDecision.RETRY

    def _check_region(self, req: GatewayRequest) -> None:
        region = self._cfg.entry.region
        allowed = self._allowed_regions(req)
        if region not in allowed:
            raise RequestFailure(
                reason=Reason.REGION_NOT_ALLOWED,
                detail=(
                    f"region {region} may not see this customer's requests; "
                    f"allowed are: {', '.join(sorted(allowed)) or 'none'}"
                ),
                verdict=Verdict.NOT_RUN,
            )

    def _allowed_regions(self, req: GatewayRequest) -> frozenset[RegionId]:
        """Return the regions of the revision in force now, not at verification."""
        customer = self._view.index.customers.get(req.customer.id)
        return frozenset(customer.allowed_regions) if customer else frozenset()

    def _check_route(
        self,
        req: GatewayRequest,
        route: TargetRoute | RegionRoute,
        verdict: Verdict,
    ) -> None:
        """Raise unless `route` keeps to the allowed regions and to one hop."""
        own = self._cfg.entry.region
        if isinstance(route, TargetRoute):
            region = self._view.index.region_of(route.target)
            permitted = region == own
        else:
            region = route.region
            permitted = region != own and req.hop is None and not req.stays
        if not permitted or region not in self._allowed_regions(req):
            raise RequestFailure(
                reason=Reason.REGION_NOT_ALLOWED,
                detail=f"the request may not be sent to region {region} from here",
                verdict=verdict,
            )

    def _query(self, req: GatewayRequest, attempts: Attempts) -> RouteQuery:
        return RouteQuery(
            allowed_regions=self._allowed_regions(req),
            model=req.model,
            adapter=req.adapter,
            service=req.service,
            prompt_tokens=req.prompt_tokens,
            max_tokens=req.max_tokens,
            blocks=req.blocks,
            is_hop=req.hop is not None or req.stays,
            excluded_targets=frozenset(attempts.targets),
            excluded_regions=frozenset(attempts.regions) | self._unreachable_regions(),
            remaining_seconds=remaining_seconds(req),
        )

    def _unreachable_regions(self) -> frozenset[RegionId]:
        return frozenset(self._view.index.regions) - self._fleet.regions()

    async def _serve_at_target(
        self,
        req: GatewayRequest,
        route: TargetRoute,
        sink: AnswerSink,
        relay: StreamRelay,
        span: Span,
    ) -> None:
        exchange = self._exchanges.to_target(req, route.target, relay, span.traceparent)
        async with self._client.open(exchange) as answer:
            await self._relay(req, answer, sink, relay)

    async def _serve_at_region(
        self,
        req: GatewayRequest,
        route: RegionRoute,
        sink: AnswerSink,
        relay: StreamRelay,
        attempts: Attempts,
        span: Span,
    ) -> None:
        peers = [
            peer
            for peer in self._fleet.entries(route.region)
            if peer.id not in attempts.entries
        ]
        if not peers:
            raise AttemptFailure(
                detail=f"no entry VM of {route.region} is live",
                verdict=Verdict.NOT_RUN,
                cause=FailureCause.REFUSED,
            )
        peer = self._rng.choice(peers)
        attempts.entries.add(EntryId(peer.id))
        await self.serve_at_entry(req, peer, sink, relay, span)

    async def serve_at_entry(
        self,
        req: GatewayRequest,
        peer: VmRecord,
        sink: AnswerSink,
        relay: StreamRelay | None = None,
        span: Span | None = None,
    ) -> None:
        """Send `req` one hop to the entry VM `peer` and relay its answer.

        Raises
        ------
        AttemptFailure
            If the hop brings no whole answer.
        """
        if relay is None:
            relay = StreamRelay(resume_after=req.resume_after)
        parent = req.traceparent if span is None else span.traceparent
        exchange = self._exchanges.to_entry(req, peer, relay, parent)
        async with self._client.open(exchange) as answer:
            if answer.is_refusal:
                raise await hop_failure(answer)
            await self._relay(req, answer, sink, relay)

    async def _relay(
        self, req: GatewayRequest, answer: Answer, sink: AnswerSink, relay: StreamRelay
    ) -> None:
        if req.streamed and (answer.is_stream or sink.started):
            await relay.run(answer, sink)
        else:
            await relay_whole(answer, sink)


def _sent_verdict(record: OutcomeRecorder) -> Verdict:
    return Verdict.MAY_HAVE_RUN if record.attempts else Verdict.NOT_RUN


def _describe_request(span: Span, outcome: RequestOutcome) -> None:
    span.set(SpanAttribute.REQUEST_ID, outcome.request_id)
    span.set(SpanAttribute.CUSTOMER, outcome.customer)
    span.set(SpanAttribute.KIND, outcome.kind.value)
    span.set(SpanAttribute.VERDICT, outcome.verdict.value)
    span.set(SpanAttribute.HOPPED, outcome.hopped)
    span.set(SpanAttribute.ATTEMPTS, outcome.attempts)
    if outcome.reason is not None:
        span.set(SpanAttribute.REASON, outcome.reason.slug)
    if outcome.sent_to is not None:
        span.set(SpanAttribute.REGION, outcome.sent_to)


def _holder(route: TargetRoute | RegionRoute) -> str:
    return route.target.id if isinstance(route, TargetRoute) else route.region
