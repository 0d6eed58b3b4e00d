"""The way of a request from its verification to its whole answer or refusal."""

import asyncio
import random
import time
from functools import partial

import msgspec

from pimentospool._generated.callers import HopHeader
from pimentospool._generated.platform import VmRecord
from pimentospool._generated.settings import Settings
from pimentospool.admission import Admission
from pimentospool.errors import Problem, Reason, RequestFailure
from pimentospool.fleet import Fleet
from pimentospool.hops import HOP_HEADER, HOP_PREFIX, HopSigner
from pimentospool.ids import RegionId, TargetId
from pimentospool.outcomes import OutcomeRecorder, RequestOutcome
from pimentospool.policy import (
    RegionFlight,
    RegionRoute,
    RetryDecision,
    RetryPolicy,
    RouteQuery,
    Router,
    RouteRefusal,
    TargetFlight,
    TargetRoute,
)
from pimentospool.requests import AnswerSink, GatewayRequest, RequestKind
from pimentospool.signals import Signal
from pimentospool.targets import (
    VERDICT_HEADER,
    Answer,
    AttemptFailure,
    Exchange,
    ExchangeClient,
)
from pimentospool.verdicts import Verdict
from pimentospool.views import View

PRIORITY_HEADER = "X-Priority"
LONG_PRIORITY = 10


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
        self._signer = HopSigner(key=cfg.peers.key)

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
            self.request_ended.send(record.outcome())

    async def _serve(self, req: GatewayRequest, record: OutcomeRecorder) -> None:
        self._check_region(req)
        with self._admission.admitted(req):
            await self._serve_admitted(req, record)

    async def _serve_admitted(
        self, req: GatewayRequest, record: OutcomeRecorder
    ) -> None:
        attempts = _Attempts()
        while True:
            route = await self._route(req, attempts)
            record.attempts += 1
            try:
                await self._attempt(req, route, record)
                return
            except AttemptFailure as exc:
                attempts.failed(route, exc)
                if req.send_guard is not None:
                    req.send_guard.attempt_failed(exc.verdict)
                if record.started or not self._may_repeat(req, route, attempts):
                    raise attempts.failure() from exc

    async def _route(
        self, req: GatewayRequest, attempts: "_Attempts"
    ) -> TargetRoute | RegionRoute:
        waited = False
        while True:
            route = self._router.choose(self._query(req, attempts))
            if not isinstance(route, RouteRefusal):
                break
            if not route.may_wait or attempts.count:
                raise attempts.refusal(route)
            await self._admission.wait_turn(req, route)
            waited = True
        if waited:
            self._admission.turn_used()
        return route

    async def _attempt(
        self,
        req: GatewayRequest,
        route: TargetRoute | RegionRoute,
        record: OutcomeRecorder,
    ) -> None:
        flight = self._router.start(route, self._query(req, _Attempts()))
        sink = _FlightSink(sink=record, flight=flight)
        try:
            if isinstance(route, TargetRoute):
                record.served_by = route.target.id
                await self._serve_at_target(req, route, sink)
            else:
                record.sent_to = route.region
                await self._serve_at_region(req, route, sink)
        except AttemptFailure as exc:
            if exc.problem is None:
                flight.failed()
            raise
        finally:
            flight.finish()
            self._admission.wake()

    def _may_repeat(
        self,
        req: GatewayRequest,
        route: TargetRoute | RegionRoute,
        attempts: "_Attempts",
    ) -> bool:
        self._retries.ratio = self._view.index.manifest.limits.retry_ratio
        holder = route.target.id if isinstance(route, TargetRoute) else route.region
        if attempts.count == 1:
            self._retries.attempted(req.customer.id, holder)
        decision = self._retries.decide(
            customer=req.customer.id,
            holder=holder,
            verdict=attempts.verdict,
            idempotent=req.idempotent,
            attempts=attempts.count,
            remaining_seconds=self._remaining(req),
        )
        return decision is RetryDecision.RETRY

    def _check_region(self, req: GatewayRequest) -> None:
        region = self._cfg.entry.region
        if req.hop is not None and region not in req.allowed_regions:
            raise RequestFailure(
                reason=Reason.REGION_NOT_ALLOWED,
                detail=f"region {region} may not see this customer's requests",
                verdict=Verdict.NOT_RUN,
            )

    def _query(self, req: GatewayRequest, attempts: "_Attempts") -> RouteQuery:
        return RouteQuery(
            allowed_regions=req.allowed_regions,
            model=req.model,
            adapter=req.adapter,
            service=req.service,
            prompt_tokens=req.prompt_tokens,
            max_tokens=req.max_tokens,
            blocks=req.blocks,
            hopped=req.hop is not None or req.stays,
            excluded_targets=frozenset(attempts.targets),
            excluded_regions=frozenset(attempts.regions) | self._unreachable_regions(),
            remaining_seconds=self._remaining(req),
        )

    def _unreachable_regions(self) -> frozenset[RegionId]:
        return frozenset(self._view.index.regions) - self._fleet.regions()

    async def _serve_at_target(
        self, req: GatewayRequest, route: TargetRoute, sink: AnswerSink
    ) -> None:
        target = route.target
        if req.kind is RequestKind.SERVICE:
            path = f"/{req.service}/{req.path}"
        else:
            path = req.path
        exchange = self._exchange(req, f"http://{target.address}{path}")
        if req.kind is RequestKind.MODEL:
            exchange.headers[PRIORITY_HEADER] = str(self._priority(req))
        if req.send_guard is not None:
            exchange.before_sending = partial(
                req.send_guard.sending, decided_at=time.monotonic()
            )
        async with self._client.open(exchange) as answer:
            await _relay(req, answer, sink)

    async def _serve_at_region(
        self, req: GatewayRequest, route: RegionRoute, sink: AnswerSink
    ) -> None:
        peers = self._fleet.entries(route.region)
        if not peers:
            raise AttemptFailure(
                detail=f"no entry VM of {route.region} is live", verdict=Verdict.NOT_RUN
            )
        await self.serve_at_entry(req, self._rng.choice(peers), sink)

    async def serve_at_entry(
        self, req: GatewayRequest, peer: VmRecord, sink: AnswerSink
    ) -> None:
        """Send `req` one hop to the entry VM `peer` and relay its answer.

        Raises
        ------
        AttemptFailure
            If the hop brings no whole answer.
        """
        if req.kind is RequestKind.SERVICE:
            path = f"/v1/services/{req.service}/{req.path}"
        else:
            path = req.path
        exchange = self._exchange(
            req, f"http://{peer.caller_address}{HOP_PREFIX}{path}"
        )
        exchange.headers[HOP_HEADER] = self._signer.sign(self._hop_header(req))
        async with self._client.open(exchange) as answer:
            if VERDICT_HEADER in answer.headers:
                raise await _hop_failure(answer)
            await _relay(req, answer, sink)

    def _priority(self, req: GatewayRequest) -> int:
        limits = self._view.index.manifest.limits
        short = req.prompt_tokens <= limits.short_prompt_tokens
        return req.customer.priority + (0 if short else LONG_PRIORITY)

    def _hop_header(self, req: GatewayRequest) -> HopHeader:
        return HopHeader(
            request_id=req.id,
            customer=req.customer.id,
            ingress=self._cfg.entry.id,
            ingress_region=self._cfg.entry.region,
            revision=self._view.number,
            deadline_seconds=self._remaining(req),
        )

    def _exchange(self, req: GatewayRequest, url: str) -> Exchange:
        headers = {"Content-Type": req.content_type, "X-Request-Id": req.id}
        if req.operation_id is not None:
            headers["Operation-Id"] = req.operation_id
        return Exchange(
            method=req.method,
            url=url,
            headers=headers,
            body=req.body,
            request_id=req.id,
            timeout_seconds=self._remaining(req),
            repeatable=req.idempotent,
        )

    def _remaining(self, req: GatewayRequest) -> float:
        return max(0.0, req.deadline - asyncio.get_running_loop().time())


class _Attempts:
    """Failed attempts of one request."""

    def __init__(self) -> None:
        self.targets: set[TargetId] = set()
        self.regions: set[RegionId] = set()
        self.count = 0
        self.verdict = Verdict.NOT_RUN
        self._detail = ""

    def failed(self, route: TargetRoute | RegionRoute, exc: AttemptFailure) -> None:
        if isinstance(route, TargetRoute):
            self.targets.add(route.target.id)
        else:
            self.regions.add(route.region)
        self.count += 1
        self.verdict = self.verdict.merge(exc.verdict)
        self._detail = exc.detail

    def failure(self) -> RequestFailure:
        return RequestFailure(
            reason=Reason.TARGET_FAILED, detail=self._detail, verdict=self.verdict
        )

    def refusal(self, route: RouteRefusal) -> RequestFailure:
        return RequestFailure(
            reason=route.reason,
            detail=self._detail or route.detail,
            verdict=self.verdict,
            retry_after_seconds=route.retry_after_seconds,
        )


class _FlightSink:
    """Tells routing of the first bytes of an answer on its way to the sink."""

    def __init__(
        self, *, sink: AnswerSink, flight: TargetFlight | RegionFlight
    ) -> None:
        self._sink = sink
        self._flight = flight

    @property
    def started(self) -> bool:
        return self._sink.started

    async def whole(self, *, status: int, content_type: str, body: bytes) -> None:
        self._flight.first_token()
        await self._sink.whole(status=status, content_type=content_type, body=body)

    async def start(self, *, status: int, content_type: str) -> None:
        await self._sink.start(status=status, content_type=content_type)

    async def write(self, data: bytes) -> None:
        self._flight.first_token()
        await self._sink.write(data)

    async def finish(self) -> None:
        await self._sink.finish()


def _sent_verdict(record: OutcomeRecorder) -> Verdict:
    return Verdict.MAY_HAVE_RUN if record.attempts else Verdict.NOT_RUN


async def _relay(req: GatewayRequest, answer: Answer, sink: AnswerSink) -> None:
    if not req.streamed:
        body = await answer.body()
        await sink.whole(
            status=answer.status, content_type=answer.content_type, body=body
        )
        return
    await sink.start(status=answer.status, content_type=answer.content_type)
    async for piece in answer.pieces():
        await sink.write(piece)
    await sink.finish()


async def _hop_failure(answer: Answer) -> AttemptFailure:
    try:
        problem = msgspec.json.decode(await answer.body(), type=Problem)
    except msgspec.DecodeError:
        return AttemptFailure(
            detail="the hop answered with no readable problem",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    return AttemptFailure(
        detail=problem.detail, verdict=problem.verdict, problem=problem
    )
