"""Serving of operations, which run at most once.

An entry VM issues tickets for operations and owns these operations. It executes the
operations that it owns, and forwards requests for others to their owners in one hop.
"""

import asyncio
import hashlib
import random
import time
import uuid
from collections.abc import Callable, Iterator

import msgspec

from pimentospool._generated.callers import OperationTicket, TicketRequest
from pimentospool._generated.platform import VmKind, VmRecord, VmState
from pimentospool._generated.settings import Settings
from pimentospool.dispatch import Dispatcher
from pimentospool.errors import Reason, RequestFailure
from pimentospool.fleet import Fleet
from pimentospool.ids import Incarnation, OperationId, RegionId
from pimentospool.log import Event, log_event
from pimentospool.operations._execution import BufferSink, LedgerGuard
from pimentospool.operations._failures import (
    INTERNAL_REFUSAL,
    RETRY_AFTER_SECONDS,
    failure_before_owner,
    failure_from_refusal,
    owner_failure,
    owner_unreachable,
    refusal_from_failure,
)
from pimentospool.operations._tickets import TicketSigner
from pimentospool.policy import (
    HeldAnswer,
    OperationCall,
    OperationLedger,
    OperationRef,
    Refusal,
    RegionRoute,
    Replay,
    RouteQuery,
    Router,
    RouteRefusal,
    Start,
    owner_gone,
)
from pimentospool.requests import AnswerSink, GatewayRequest, RequestKind
from pimentospool.targets import AttemptFailure
from pimentospool.verdicts import Verdict
from pimentospool.views import View

ANSWER_GRACE_SECONDS = 30.0
_MAX_HOP_ATTEMPTS = 2

Outcome = Replay | Refusal


class OperationServer:
    """Serves all requests and ensures that operations run at most once.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Active configuration.
    fleet : Fleet
        Other entry VMs.
    router : Router
        Decides in which region a ticket is issued.
    dispatcher : Dispatcher
        Sends requests to targets and other entry VMs.
    rng : random.Random
        Source of random choices.
    ledger : OperationLedger or None
        Operations that this process owns; a new ledger by default.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        view: View,
        fleet: Fleet,
        router: Router,
        dispatcher: Dispatcher,
        rng: random.Random,
        ledger: OperationLedger | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.ledger = ledger or OperationLedger(
            owner=cfg.entry.id,
            region=cfg.entry.region,
            incarnation=Incarnation(uuid.uuid4().hex),
            address=cfg.entry.advertised_caller_address or cfg.entry.caller_address,
        )
        self._region = cfg.entry.region
        self._view = view
        self._fleet = fleet
        self._router = router
        self._dispatcher = dispatcher
        self._rng = rng
        self._clock = clock
        self._signer = TicketSigner(key=cfg.peers.key)
        self._running: dict[OperationRef, asyncio.Task[Outcome]] = {}

    async def serve(self, req: GatewayRequest, sink: AnswerSink) -> None:
        """Process `req` and write its answer to `sink`.

        Raises
        ------
        RequestFailure
            If the request ends without an answer.
        """
        if req.kind is RequestKind.TICKET:
            await self._serve_ticket(req, sink)
        elif req.operation_id is not None:
            await self._serve_operation(req, req.operation_id, sink)
        elif req.idempotent:
            await self._dispatcher.serve(req, sink)
        else:
            raise RequestFailure(
                reason=Reason.OPERATION_REQUIRED,
                detail="take a ticket from POST /v1/operations and send its "
                "operation_id in the Operation-Id header",
                verdict=Verdict.NOT_RUN,
            )

    async def drain(self) -> None:
        """Wait until all executions in progress have ended."""
        await asyncio.gather(*self._running.values(), return_exceptions=True)

    async def _serve_ticket(self, req: GatewayRequest, sink: AnswerSink) -> None:
        _check_region(req, self._region, is_hop=req.hop is not None)
        excluded: set[RegionId] = set(self._view.index.regions) - self._fleet.regions()
        while True:
            route = self._router.choose(self._route_query(req, excluded))
            if isinstance(route, RouteRefusal):
                raise RequestFailure(
                    reason=route.reason,
                    detail=route.detail,
                    verdict=Verdict.NOT_RUN,
                    retry_after_seconds=route.retry_after_seconds,
                )
            if not isinstance(route, RegionRoute):
                await self._issue(req, sink)
                return
            if await self._issue_in_region(route.region, req, sink):
                return
            excluded.add(route.region)

    def _route_query(self, req: GatewayRequest, excluded: set[RegionId]) -> RouteQuery:
        return RouteQuery(
            allowed_regions=req.allowed_regions,
            service=req.service,
            is_hop=req.hop is not None,
            excluded_regions=frozenset(excluded),
        )

    async def _issue(self, req: GatewayRequest, sink: AnswerSink) -> None:
        ticket_request = msgspec.json.decode(req.body, type=TicketRequest)
        ticket = self.ledger.issue(
            OperationCall(
                customer=req.customer.id,
                service=ticket_request.service,
                method=ticket_request.method,
                path=ticket_request.path,
            )
        )
        body = OperationTicket(operation_id=OperationId(self._signer.sign(ticket)))
        await sink.send_whole(
            status=200,
            content_type="application/json",
            body=msgspec.json.encode(body),
        )

    async def _issue_in_region(
        self, region: RegionId, req: GatewayRequest, sink: AnswerSink
    ) -> bool:
        """Have an entry VM of `region` issue the ticket; return whether one did."""
        peers = self._fleet.entries(region)
        for peer in self._rng.sample(peers, min(len(peers), _MAX_HOP_ATTEMPTS)):
            try:
                await self._dispatcher.serve_at_entry(req, peer, sink)
                return True
            except AttemptFailure:
                if sink.started:
                    raise
        return False

    async def _serve_operation(
        self, req: GatewayRequest, operation_id: str, sink: AnswerSink
    ) -> None:
        ticket = self._signer.verify(operation_id)
        if ticket is None:
            raise failure_before_owner(
                Reason.UNKNOWN_OPERATION, "the operation id was not issued here"
            )
        if self.ledger.owns(ticket):
            await self._serve_owned(req, ticket, sink)
        elif req.hop is not None or ticket.owner == self.ledger.owner:
            raise failure_from_refusal(
                owner_gone("the owner of the ticket was replaced")
            )
        else:
            await self._forward(req, ticket, sink)

    async def _serve_owned(
        self, req: GatewayRequest, ticket: OperationRef, sink: AnswerSink
    ) -> None:
        self._check_regions(req)
        decision = self.ledger.begin(
            ticket,
            call=_operation_call(req),
            digest=hashlib.sha256(req.body).hexdigest(),
            send_by=self._clock() + _remaining_seconds(req),
        )
        if isinstance(decision, Refusal):
            raise failure_from_refusal(decision)
        if isinstance(decision, Replay):
            await _send_answer(decision.answer, sink)
            return
        if isinstance(decision, Start):
            self._start_execution(req, ticket)
        outcome = await self._wait_for_outcome(req, ticket)
        self._check_regions(req)
        if isinstance(outcome, Refusal):
            raise failure_from_refusal(outcome)
        await _send_answer(outcome.answer, sink)

    def _check_regions(self, req: GatewayRequest) -> None:
        """Check that the active configuration still allows the regions in use.

        It may have changed since the request was parsed or its execution began.
        """
        customer = self._view.index.customers.get(req.customer.id)
        allowed = frozenset(customer.allowed_regions) if customer else frozenset()
        regions = {self._region}
        if req.hop is not None:
            regions.add(req.hop.ingress_region)
        if not regions <= allowed:
            raise RequestFailure(
                reason=Reason.REGION_NOT_ALLOWED,
                detail="the customer's data may not be in this region any more",
                verdict=Verdict.MAY_HAVE_RUN,
                attempt_verdict=Verdict.MAY_HAVE_RUN,
            )

    def _start_execution(self, req: GatewayRequest, ticket: OperationRef) -> None:
        task = asyncio.create_task(self._execute(req, ticket))
        self._running[ticket] = task
        task.add_done_callback(lambda _: self._running.pop(ticket))

    async def _wait_for_outcome(
        self, req: GatewayRequest, ticket: OperationRef
    ) -> Outcome:
        try:
            async with asyncio.timeout(_remaining_seconds(req)):
                return await asyncio.shield(self._running[ticket])
        except TimeoutError as exc:
            raise RequestFailure(
                reason=Reason.DEADLINE_EXCEEDED,
                detail="the operation is still in progress; ask for its answer later",
                verdict=Verdict.MAY_HAVE_RUN,
                attempt_verdict=Verdict.MAY_HAVE_RUN,
                retry_after_seconds=RETRY_AFTER_SECONDS,
            ) from exc

    async def _execute(self, req: GatewayRequest, ticket: OperationRef) -> Outcome:
        sink = BufferSink()
        try:
            await self._dispatcher.serve(self._execution_request(req, ticket), sink)
            assert sink.answer is not None
            self.ledger.answered(ticket, sink.answer)
            return Replay(answer=sink.answer)
        except RequestFailure as exc:
            self.ledger.failed(ticket, refusal_from_failure(exc))
        except Exception as exc:
            log_event(Event.REQUEST_ERROR, request_id=req.id, error=repr(exc))
            self.ledger.failed(ticket, INTERNAL_REFUSAL)
        return self.ledger.outcome(ticket)

    def _execution_request(
        self, req: GatewayRequest, ticket: OperationRef
    ) -> GatewayRequest:
        """Return the request that executes the operation.

        Its deadline is later than those of the requests that wait for it, so that a
        late answer is stored for the next request.
        """
        assert req.call is not None
        timeout_seconds = req.call.timeout_seconds + ANSWER_GRACE_SECONDS
        return msgspec.structs.replace(
            req,
            idempotent=False,
            streamed=False,
            local_only=True,
            deadline=asyncio.get_running_loop().time() + timeout_seconds,
            send_guard=LedgerGuard(
                ledger=self.ledger, ticket=ticket, clock=self._clock
            ),
        )

    async def _forward(
        self, req: GatewayRequest, ticket: OperationRef, sink: AnswerSink
    ) -> None:
        _check_region(req, self._region, is_hop=True)
        _check_region(req, ticket.region, is_hop=True)
        if ticket.region in self._fleet.lost_regions():
            detail = f"region {ticket.region} is declared lost"
            raise failure_from_refusal(owner_gone(detail, retry=True))
        owner = _owner_record(ticket)
        hops_verdict = Verdict.NOT_RUN
        for _ in self._hop_attempts(req):
            try:
                await self._dispatcher.serve_at_entry(req, owner, sink)
                return
            except AttemptFailure as exc:
                if sink.started:
                    raise
                if exc.problem is not None:
                    raise owner_failure(exc.problem, hops_verdict) from exc
                hops_verdict = hops_verdict.merge(exc.verdict)
        raise owner_unreachable(owner, hops_verdict)

    def _hop_attempts(self, req: GatewayRequest) -> Iterator[int]:
        for number in range(_MAX_HOP_ATTEMPTS):
            if _remaining_seconds(req) > 0:
                yield number


def _owner_record(ticket: OperationRef) -> VmRecord:
    return VmRecord(
        id=ticket.owner,
        kind=VmKind.ENTRY,
        state=VmState.LIVE,
        region=ticket.region,
        caller_address=ticket.address,
    )


async def _send_answer(answer: HeldAnswer, sink: AnswerSink) -> None:
    await sink.send_whole(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )


def _remaining_seconds(req: GatewayRequest) -> float:
    return max(0.0, req.deadline - asyncio.get_running_loop().time())


def _operation_call(req: GatewayRequest) -> OperationCall:
    assert req.service is not None
    return OperationCall(
        customer=req.customer.id, service=req.service, method=req.method, path=req.path
    )


def _check_region(req: GatewayRequest, region: RegionId, *, is_hop: bool) -> None:
    if is_hop and region not in req.allowed_regions:
        raise failure_before_owner(
            Reason.REGION_NOT_ALLOWED,
            f"region {region} may not see this customer's requests",
        )
