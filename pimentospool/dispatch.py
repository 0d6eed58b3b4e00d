"""Dispatch of verified requests: admission, routing, attempts and retries."""

import asyncio
import random

from pimentospool._generated.platform import VmRecord
from pimentospool._generated.settings import Settings
from pimentospool.admission import Admission
from pimentospool.attempts import FailedAttempts
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
from pimentospool.relaying import (
    FirstByteReportingSink,
    StreamRelay,
    hop_failure,
    relay_body,
)
from pimentospool.requests import AnswerSink, GatewayRequest
from pimentospool.signals import Signal
from pimentospool.targets import (
    Answer,
    AttemptFailure,
    ExchangeClient,
    FailureCause,
)
from pimentospool.traces import NoOpTracer, Span, SpanAttribute, SpanName, Tracer
from pimentospool.verdicts import Verdict
from pimentospool.views import View


class Dispatcher:
    """Serves verified requests at targets and at other entry VMs.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Active configuration.
    fleet : Fleet
        Other entry VMs, and the targets that are leaving.
    router : Router
        Chooses the destination of each attempt.
    admission : Admission
        Limits of the customers, and the queue of long requests.
    client : ExchangeClient
        Client of targets and other entry VMs.
    rng : random.Random
        Source of random choices.
    tracer : Tracer or None
        Starts the spans of requests; None disables tracing.
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
        self._tracer = NoOpTracer() if tracer is None else tracer
        self._exchanges = ExchangeFactory(cfg=cfg, view=view)

    async def serve(self, req: GatewayRequest, sink: AnswerSink) -> None:
        """Send the whole response to `req` to `sink`.

        Raises
        ------
        RequestFailure
            If the request ends without its whole response.
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
            record.fail(reason=Reason.CALLER_GONE, verdict=_interrupted_verdict(record))
            raise
        except Exception:
            record.fail(reason=Reason.INTERNAL, verdict=_interrupted_verdict(record))
            raise
        finally:
            outcome = record.outcome()
            _set_span_attributes(span, outcome)
            span.end()
            self.request_ended.send(outcome)

    async def _serve(self, req: GatewayRequest, record: OutcomeRecorder) -> None:
        self._check_region(req)
        with self._admission.admit(req):
            await self._serve_admitted(req, record)

    async def _serve_admitted(
        self, req: GatewayRequest, record: OutcomeRecorder
    ) -> None:
        relay = StreamRelay(resume_after=req.resume_after)
        attempts = FailedAttempts()
        while True:
            route = await self._choose_route(req, attempts, relay)
            record.attempts += 1
            if record.attempts == 1:
                self._retries.record_first_attempt(
                    req.customer.id, _destination_id(route)
                )
            try:
                await self._attempt(req, route, record, relay, attempts)
                return
            except AttemptFailure as exc:
                attempts.record_failure(route, exc)
                if req.send_guard is not None:
                    req.send_guard.attempt_failed(exc.verdict)
                if record.started and not relay.resumable:
                    raise attempts.failure_error(req) from exc
                if not self._may_retry(req, route, attempts):
                    raise attempts.failure_error(req) from exc

    async def _choose_route(
        self, req: GatewayRequest, attempts: FailedAttempts, relay: StreamRelay
    ) -> TargetRoute | RegionRoute:
        """Return the destination of the next attempt, after a wait where needed.

        Raises
        ------
        RequestFailure
            If there is no destination for another attempt.
        """
        was_queued = False
        while True:
            if remaining_seconds(req) <= 0:
                raise attempts.deadline_error()
            route = self._router.choose(self._query(req, attempts))
            if isinstance(route, RouteRefusal):
                if attempts.reset_exclusions(req):
                    continue
                if not route.may_wait or attempts.count:
                    raise attempts.refusal_error(route)
                await self._admission.wait_in_queue(req, route)
                was_queued = True
            elif relay.can_continue_at(route):
                break
            else:
                attempts.exclude(route)
        if was_queued:
            self._admission.record_placed_after_wait()
        self._check_route(req, route, attempts.verdict)
        return route

    async def _attempt(
        self,
        req: GatewayRequest,
        route: TargetRoute | RegionRoute,
        record: OutcomeRecorder,
        relay: StreamRelay,
        attempts: FailedAttempts,
    ) -> None:
        flight = self._router.start(route, self._query(req, attempts))
        sink = FirstByteReportingSink(sink=record, flight=flight)
        span = self._start_attempt_span(req, route)
        try:
            if isinstance(route, TargetRoute):
                record.served_by = route.target.id
                await self._serve_at_target(req, route, sink, relay, span)
            else:
                record.sent_to_region = route.region
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
            self._admission.wake_next()

    def _start_attempt_span(
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

    def _may_retry(
        self,
        req: GatewayRequest,
        route: TargetRoute | RegionRoute,
        attempts: FailedAttempts,
    ) -> bool:
        self._retries.ratio = self._view.index.manifest.limits.retry_ratio
        decision = self._retries.decide(
            customer=req.customer.id,
            destination=_destination_id(route),
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
        """Return the customer's allowed regions under the active revision.

        The request may have been verified under an earlier one that allowed others.
        """
        customer = self._view.index.customers.get(req.customer.id)
        return frozenset(customer.allowed_regions) if customer else frozenset()

    def _check_route(
        self,
        req: GatewayRequest,
        route: TargetRoute | RegionRoute,
        verdict: Verdict,
    ) -> None:
        """Raise if `route` leaves the allowed regions or would be a second hop.

        Raises
        ------
        RequestFailure
            If the request may not be sent to the region of `route`.
        """
        local_region = self._cfg.entry.region
        if isinstance(route, TargetRoute):
            region = self._view.index.region_of(route.target)
            permitted = region == local_region
        else:
            region = route.region
            permitted = (
                region != local_region and req.hop is None and not req.local_only
            )
        if not permitted or region not in self._allowed_regions(req):
            raise RequestFailure(
                reason=Reason.REGION_NOT_ALLOWED,
                detail=f"the request may not be sent to region {region} from here",
                verdict=verdict,
            )

    def _query(self, req: GatewayRequest, attempts: FailedAttempts) -> RouteQuery:
        return RouteQuery(
            allowed_regions=self._allowed_regions(req),
            model=req.model,
            adapter=req.adapter,
            service=req.service,
            prompt_tokens=req.prompt_tokens,
            max_tokens=req.max_tokens,
            blocks=req.blocks,
            is_hop=req.hop is not None or req.local_only,
            excluded_targets=frozenset(attempts.excluded_targets),
            excluded_regions=frozenset(attempts.excluded_regions)
            | self._unreachable_regions(),
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
        attempts: FailedAttempts,
        span: Span,
    ) -> None:
        peers = [
            peer
            for peer in self._fleet.entries(route.region)
            if peer.id not in attempts.tried_entries
        ]
        if not peers:
            raise AttemptFailure(
                detail=f"no entry VM of {route.region} is live",
                verdict=Verdict.NOT_RUN,
                cause=FailureCause.REFUSED,
            )
        peer = self._rng.choice(peers)
        attempts.tried_entries.add(EntryId(peer.id))
        await self.serve_at_entry(req, peer, sink, relay, span)

    async def serve_at_entry(
        self,
        req: GatewayRequest,
        peer: VmRecord,
        sink: AnswerSink,
        relay: StreamRelay | None = None,
        span: Span | None = None,
    ) -> None:
        """Send `req` one hop to the entry VM `peer` and relay its response.

        Raises
        ------
        AttemptFailure
            If the hop brings no whole response.
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
            await relay_body(answer, sink)


def _interrupted_verdict(record: OutcomeRecorder) -> Verdict:
    """Return the verdict of a request that was cancelled or met an internal error."""
    return Verdict.MAY_HAVE_RUN if record.attempts else Verdict.NOT_RUN


def _set_span_attributes(span: Span, outcome: RequestOutcome) -> None:
    span.set(SpanAttribute.REQUEST_ID, outcome.request_id)
    span.set(SpanAttribute.CUSTOMER, outcome.customer)
    span.set(SpanAttribute.KIND, outcome.kind.value)
    span.set(SpanAttribute.VERDICT, outcome.verdict.value)
    span.set(SpanAttribute.HOPPED, outcome.is_hop)
    span.set(SpanAttribute.ATTEMPTS, outcome.attempts)
    if outcome.reason is not None:
        span.set(SpanAttribute.REASON, outcome.reason.slug)
    if outcome.sent_to_region is not None:
        span.set(SpanAttribute.REGION, outcome.sent_to_region)


def _destination_id(route: TargetRoute | RegionRoute) -> str:
    """Return the id of the target or region whose retry budget pays for `route`."""
    return route.target.id if isinstance(route, TargetRoute) else route.region
