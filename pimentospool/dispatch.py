"""Dispatch of verified requests: admission, routing, attempts and retries."""

import asyncio
import math
import random

import msgspec

from pimentospool._generated.platform import VmRecord
from pimentospool._generated.settings import Settings
from pimentospool.admission import Admission
from pimentospool.attempts import (
    FailedAttempts,
    RequestProgress,
    RoutedAttempt,
    superseded_failure,
)
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
    AttemptSink,
    StreamRelay,
    hop_failure,
    relay_body,
)
from pimentospool.requests import AnswerSink, GatewayRequest
from pimentospool.running_attempts import STANDBY_INTERVAL_SECONDS
from pimentospool.signals import Signal
from pimentospool.targets import (
    Answer,
    AttemptFailure,
    Exchange,
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
        progress = RequestProgress(req=req, record=record)
        try:
            await self._make_attempts(progress)
        finally:
            await progress.running.cancel()

    async def _make_attempts(self, progress: RequestProgress) -> None:
        """Make attempts until one answers.

        An attempt whose target is silent goes on, beside another one where that is
        allowed, until one of the two answers.

        Raises
        ------
        RequestFailure
            If the last attempt failed.
        """
        running, failed = progress.running, progress.failed
        while True:
            if not running:
                self._start(progress, await self._choose_route(progress))
            attempt = await running.wait_for_end(self._standby_wait_seconds(progress))
            if attempt is None:
                self._start_standby(progress)
                continue
            exc = _attempt_failure(attempt)
            if exc is None:
                return
            progress.record_failure(attempt, exc)
            if running:
                continue
            if not progress.may_continue or not self._may_retry(
                progress.req, attempt.route, failed, attempts=failed.count
            ):
                raise failed.failure_error(progress.req) from exc

    async def _choose_route(
        self, progress: RequestProgress
    ) -> TargetRoute | RegionRoute:
        """Return the destination of the next attempt, after a wait where needed.

        Raises
        ------
        RequestFailure
            If there is no destination for another attempt.
        """
        req, failed = progress.req, progress.failed
        was_queued = False
        while True:
            if remaining_seconds(req) <= 0:
                raise failed.deadline_error()
            route = self._choose_continuing(progress)
            if not isinstance(route, RouteRefusal):
                break
            if failed.reset_exclusions(req):
                continue
            if not route.may_wait or failed.count:
                raise failed.refusal_error(route)
            await self._admission.wait_in_queue(req, route)
            was_queued = True
        if was_queued:
            self._admission.record_placed_after_wait()
        self._check_route(req, route, failed.verdict)
        return route

    def _choose_continuing(
        self, progress: RequestProgress, beside: RoutedAttempt | None = None
    ) -> TargetRoute | RegionRoute | RouteRefusal:
        """Return a destination that can go on after what the caller has.

        Parameters
        ----------
        progress : RequestProgress
            The request.
        beside : RoutedAttempt or None
            Attempt in progress, whose destination is not returned.
        """
        while True:
            query = self._query(progress.req, progress.failed)
            if beside is not None:
                query = self._query_beside(query, beside.route, progress.failed)
            route = self._router.choose(query)
            if isinstance(route, RouteRefusal) or progress.relay.can_continue_at(route):
                return route
            progress.failed.exclude(route)

    def _query_beside(
        self,
        query: RouteQuery,
        route: TargetRoute | RegionRoute,
        failed: FailedAttempts,
    ) -> RouteQuery:
        """Return `query` without the destination of an attempt in progress.

        Another entry VM of the same region may be sent the request, as after a failure.
        """
        if isinstance(route, TargetRoute):
            excluded = query.excluded_targets | {route.target.id}
            return msgspec.structs.replace(query, excluded_targets=excluded)
        if self._untried_entries(route.region, failed):
            return query
        regions = query.excluded_regions | {route.region}
        return msgspec.structs.replace(query, excluded_regions=regions)

    def _standby_wait_seconds(self, progress: RequestProgress) -> float:
        """Return the time until an attempt may have to begin beside the running one."""
        attempt = progress.running.sole
        if attempt is None or not progress.req.idempotent:
            return math.inf
        now = asyncio.get_running_loop().time()
        # The wait for the first part may end, and one for a later part begin.
        stalls_at = min(
            attempt.stalls_at, now + self._cfg.targets.progress_timeout_seconds
        )
        return max(0.0, max(stalls_at, progress.standby_at) - now)

    def _start_standby(self, progress: RequestProgress) -> None:
        """Start an attempt beside a stalled one if another send is allowed."""
        now = asyncio.get_running_loop().time()
        stalled = progress.running.sole
        if stalled is None or now < stalled.stalls_at or now < progress.standby_at:
            return
        stalled.flight.silent()
        progress.standby_at = now + STANDBY_INTERVAL_SECONDS
        if not progress.may_continue:
            return
        route = self._choose_standby(progress, stalled)
        if route is None or not self._may_retry(
            progress.req,
            stalled.route,
            progress.failed,
            attempts=progress.failed.count + len(progress.running),
        ):
            return
        if _destination_id(route) == _destination_id(stalled.route):
            self._allow_same_destination(progress, route)
        stalled.stalled = True
        self._client.renew_connections(stalled.url)
        self._start(progress, route)

    def _choose_standby(
        self, progress: RequestProgress, stalled: RoutedAttempt
    ) -> TargetRoute | RegionRoute | None:
        """Return the destination of an attempt beside `stalled`, None without one.

        Where there is no other one, it may be the same one once: the connection to it
        may be lost.
        """
        route = self._choose_continuing(progress, beside=stalled)
        if isinstance(route, RouteRefusal):
            if progress.sent_again_beside:
                return None
            route = self._choose_continuing(progress)
            if isinstance(route, RouteRefusal):
                return None
        return route if self._is_permitted(progress.req, route) else None

    def _allow_same_destination(
        self, progress: RequestProgress, route: TargetRoute | RegionRoute
    ) -> None:
        """Let an attempt use the destination of the one beside it, once."""
        if isinstance(route, TargetRoute):
            progress.sent_again_beside = True
        elif not self._untried_entries(route.region, progress.failed):
            progress.sent_again_beside = True
            progress.failed.tried_entries.clear()

    def _start(
        self, progress: RequestProgress, route: TargetRoute | RegionRoute
    ) -> None:
        req, record = progress.req, progress.record
        record.attempts += 1
        if record.attempts == 1:
            self._retries.record_first_attempt(req.customer.id, _destination_id(route))
        # Requests that are placed before the task starts have to be placed beside it.
        attempt = RoutedAttempt(
            route=route,
            flight=self._router.start(route, self._query(req, progress.failed)),
            span=self._start_attempt_span(req, route),
        )
        progress.record_destination(attempt)
        progress.running.start(attempt, self._attempt(progress, attempt))
        assert attempt.task is not None
        attempt.task.add_done_callback(lambda _: self._admission.wake_next())

    async def _attempt(self, progress: RequestProgress, attempt: RoutedAttempt) -> None:
        sink = AttemptSink(
            sink=progress.record,
            flight=attempt.flight,
            claim=lambda: progress.claim_reply(attempt),
        )
        try:
            if isinstance(attempt.route, TargetRoute):
                await self._serve_at_target(progress, attempt, attempt.route, sink)
            else:
                await self._serve_at_region(progress, attempt, attempt.route, sink)
            attempt.span.set(SpanAttribute.VERDICT, Verdict.RAN.value)
        except AttemptFailure as exc:
            attempt.fail(exc)
            raise
        except asyncio.CancelledError:
            if attempt.superseded:
                attempt.fail(superseded_failure())
            raise

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
        failed: FailedAttempts,
        *,
        attempts: int,
    ) -> bool:
        self._retries.ratio = self._view.index.manifest.limits.retry_ratio
        decision = self._retries.decide(
            customer=req.customer.id,
            destination=_destination_id(route),
            verdict=failed.verdict,
            idempotent=req.idempotent,
            attempts=attempts,
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
        if not self._is_permitted(req, route):
            region = self._region_of(route)
            raise RequestFailure(
                reason=Reason.REGION_NOT_ALLOWED,
                detail=f"the request may not be sent to region {region} from here",
                verdict=verdict,
            )

    def _is_permitted(
        self, req: GatewayRequest, route: TargetRoute | RegionRoute
    ) -> bool:
        """Whether `route` is in the allowed regions and no second hop."""
        local_region = self._cfg.entry.region
        region = self._region_of(route)
        if isinstance(route, TargetRoute):
            permitted = region == local_region
        else:
            permitted = (
                region != local_region and req.hop is None and not req.local_only
            )
        return permitted and region in self._allowed_regions(req)

    def _region_of(self, route: TargetRoute | RegionRoute) -> RegionId:
        if isinstance(route, TargetRoute):
            return self._view.index.region_of(route.target)
        return route.region

    def _query(self, req: GatewayRequest, failed: FailedAttempts) -> RouteQuery:
        return RouteQuery(
            allowed_regions=self._allowed_regions(req),
            model=req.model,
            adapter=req.adapter,
            service=req.service,
            prompt_tokens=req.prompt_tokens,
            max_tokens=req.max_tokens,
            blocks=req.blocks,
            is_hop=req.hop is not None or req.local_only,
            excluded_targets=frozenset(failed.excluded_targets),
            excluded_regions=frozenset(failed.excluded_regions)
            | self._unreachable_regions(),
            remaining_seconds=remaining_seconds(req),
        )

    def _unreachable_regions(self) -> frozenset[RegionId]:
        return frozenset(self._view.index.regions) - self._fleet.regions()

    async def _serve_at_target(
        self,
        progress: RequestProgress,
        attempt: RoutedAttempt,
        route: TargetRoute,
        sink: AnswerSink,
    ) -> None:
        req, relay = progress.req, progress.relay
        exchange = self._exchanges.to_target(
            req, route.target, relay, attempt.span.traceparent
        )
        _observe_silence(req, exchange, attempt)
        async with self._client.open(exchange) as answer:
            await self._relay(req, answer, sink, relay)

    async def _serve_at_region(
        self,
        progress: RequestProgress,
        attempt: RoutedAttempt,
        route: RegionRoute,
        sink: AnswerSink,
    ) -> None:
        peers = self._untried_entries(route.region, progress.failed)
        if not peers:
            raise AttemptFailure(
                detail=f"no entry VM of {route.region} is live",
                verdict=Verdict.NOT_RUN,
                cause=FailureCause.REFUSED,
            )
        peer = self._rng.choice(peers)
        progress.failed.tried_entries.add(EntryId(peer.id))
        await self.serve_at_entry(
            progress.req, peer, sink, progress.relay, attempt=attempt
        )

    def _untried_entries(
        self, region: RegionId, failed: FailedAttempts
    ) -> list[VmRecord]:
        return [
            peer
            for peer in self._fleet.entries(region)
            if peer.id not in failed.tried_entries
        ]

    async def serve_at_entry(
        self,
        req: GatewayRequest,
        peer: VmRecord,
        sink: AnswerSink,
        relay: StreamRelay | None = None,
        *,
        attempt: RoutedAttempt | None = None,
    ) -> None:
        """Send `req` one hop to the entry VM `peer` and relay its response.

        Raises
        ------
        AttemptFailure
            If the hop brings no whole response.
        """
        if relay is None:
            relay = StreamRelay(resume_after=req.resume_after)
        parent = req.traceparent if attempt is None else attempt.span.traceparent
        exchange = self._exchanges.to_entry(req, peer, relay, parent)
        if attempt is not None:
            _observe_silence(req, exchange, attempt)
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


def _observe_silence(
    req: GatewayRequest, exchange: Exchange, attempt: RoutedAttempt
) -> None:
    """Let another attempt begin beside a silent exchange instead of ending it."""
    attempt.url = exchange.url
    if req.idempotent:
        exchange.silence_observer = attempt


def _attempt_failure(attempt: RoutedAttempt) -> AttemptFailure | None:
    """Return how an attempt that has ended failed, None if it answered the request."""
    assert attempt.task is not None
    try:
        attempt.task.result()
    except asyncio.CancelledError:
        if not attempt.superseded:
            raise
        return superseded_failure()
    except AttemptFailure as exc:
        return exc
    return None


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
