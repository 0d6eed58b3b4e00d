"""One request on its way through its attempts to its final answer."""

from pimentospool.gateway._answers import (
    CLOCK_SECONDS,
    AnswerReceiver,
    HopRefusedError,
)
from pimentospool.gateway._connections import WireRequest
from pimentospool.gateway._knowledge import TargetState
from pimentospool.gateway._model import (
    HttpRoute,
    InboundRequest,
    RequestKind,
    ServiceSpec,
)
from pimentospool.gateway._outcomes import RoutedOutcome, RoutedResult
from pimentospool.gateway._progress import Progress
from pimentospool.gateway._replies import Refusal, RefusalReason, Reply
from pimentospool.gateway._tools import ServingTools
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    Assignment,
    Candidate,
    NoChoice,
    RegionChoice,
    TargetChoice,
    TargetHealth,
)
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

ANSWER_SHARE = 0.4
"""Part of the time left that an idempotent request waits for one target, so that
another attempt still fits."""


class Attempts:
    """One request on its way.

    Parameters
    ----------
    tools : ServingTools
        What all requests share.
    req : InboundRequest
        The request.
    reply : Reply
        Where its answer goes.
    route : HttpRoute
        What the route allows.
    service : ServiceSpec
        The service that is to answer.
    """

    def __init__(
        self,
        *,
        tools: ServingTools,
        req: InboundRequest,
        reply: Reply,
        route: HttpRoute,
        service: ServiceSpec,
    ) -> None:
        self._tools = tools
        self._req = req
        self._reply = reply
        self._route = route
        self._service = service
        max_targets = route.max_targets
        if req.max_targets is not None:
            max_targets = min(max_targets, req.max_targets)
        self._progress = Progress(route=route, max_targets=max_targets)
        patience = min(req.patience_seconds, route.timeout_seconds)
        self._deadline = req.received_at + patience
        self._progress.moved_at = req.received_at
        self._place = ""
        self._receiver = AnswerReceiver(
            tools=tools,
            reply=reply,
            route=route,
            progress=self._progress,
            remaining=lambda: self.remaining_seconds,
        )

    @property
    def remaining_seconds(self) -> float:
        """Time to the deadline of the caller or the route."""
        return self._deadline - self._tools.clock()

    async def run(self) -> None:
        """Make attempts until one answers or none is left."""
        tools, progress = self._tools, self._progress
        while True:
            if self.remaining_seconds <= CLOCK_SECONDS:
                await self._end("the request's time is over", None)
                return
            choice = tools.placing.choose(
                self._req,
                self._route,
                self._service,
                progress,
                patience_seconds=self._patience_seconds(),
            )
            if isinstance(choice, NoChoice):
                await self._end(choice.detail, choice.retry_after_seconds)
                return
            self._log_choice(choice)
            try:
                if isinstance(choice, TargetChoice):
                    await self._try_target(choice)
                else:
                    await self._try_region(choice)
                self._answered()
                return
            except AttemptFailure as exc:
                self._record(choice, exc)
            if not progress.may_repeat(reply_started=self._reply.started):
                await self._end("", None)
                return
            if progress.sent and not progress.repeat_paid:
                progress.repeat_paid = self._take_budget()
            if progress.sent and not progress.repeat_paid:
                await self._end("the budget of repeated sends is used up", None)
                return

    def caller_left(self) -> None:
        """Record that the caller left, with where its request was."""
        progress = self._progress
        log_event(
            Event.CALLER_LEFT,
            request=self._req.id,
            route=self._route.name,
            place=self._place,
            attempt=progress.attempts + 1,
            events=progress.events,
            silent_seconds=round(self._tools.clock() - progress.moved_at, 3),
            seconds=self._seconds(),
        )
        self._ended(RoutedResult.CALLER_LEFT)

    def _answered(self) -> None:
        self._progress.verdict = Verdict.RAN
        log_event(
            Event.REQUEST_SERVED,
            request=self._req.id,
            route=self._route.name,
            place=self._place,
            attempts=self._progress.attempts + 1,
            events=self._progress.events,
            first_event_seconds=self._first_event_seconds(),
            seconds=self._seconds(),
        )
        self._ended(RoutedResult.ANSWERED)

    async def _refuse(self, refusal: Refusal) -> None:
        log_event(
            Event.REQUEST_FAILED,
            request=self._req.id,
            route=self._route.name,
            reason=refusal.reason.name.lower(),
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            retry_after_seconds=refusal.retry_after_seconds,
            attempts=self._progress.attempts,
            seconds=self._seconds(),
        )
        if self._reply.started:
            self._reply.cut()
            self._ended(RoutedResult.CUT)
            return
        refused = refusal.verdict is Verdict.NOT_RUN
        self._ended(RoutedResult.REFUSED if refused else RoutedResult.FAILED)
        await self._reply.refuse(refusal)

    def _ended(self, result: RoutedResult) -> None:
        progress = self._progress
        self._tools.request_ended.send(
            RoutedOutcome(
                result=result,
                kind=self._route.kind.value,
                verdict=progress.verdict,
                attempts=progress.attempts + 1,
                hopped=self._req.hopped,
                first_byte_seconds=self._first_event_seconds(),
                seconds=self._tools.clock() - self._req.received_at,
            )
        )

    def _first_event_seconds(self) -> float | None:
        first_at = self._progress.first_event_at
        return None if first_at is None else round(first_at - self._req.received_at, 4)

    def _seconds(self) -> float:
        return round(self._tools.clock() - self._req.received_at, 3)

    def _log_choice(self, choice: TargetChoice | RegionChoice) -> None:
        req, fields = self._req, {}
        if isinstance(choice, TargetChoice):
            place, load = choice.candidate, choice.candidate.occupancy
            fields = {
                "target": place.target,
                "running": load.running,
                "waiting_tokens": load.waiting_tokens,
                "held_tokens": load.held_tokens,
                "unread_tokens": place.unread_tokens,
                "pace": round(place.pace, 2),
                "failing": round(place.failing, 2),
            }
        else:
            remote = choice.remote
            fields = {
                "region": remote.region,
                "wait_seconds": remote.wait_seconds,
                "crowding": remote.crowding,
                "unread_tokens": remote.unread_tokens,
            }
        self._place = str(fields.get("target") or fields.get("region"))
        log_event(
            Event.REQUEST_PLACED,
            request=req.id,
            route=self._route.name,
            key=req.prompt.shared_key if req.prompt else None,
            attempt=self._progress.attempts + 1,
            **fields,
        )

    def _record(self, choice: TargetChoice | RegionChoice, exc: AttemptFailure) -> None:
        progress = self._progress
        target = region = None
        if isinstance(choice, TargetChoice):
            target = choice.candidate.target
            health = self._tools.placing.health(target)
            if exc.cause is FailureCause.UNREACHABLE:
                health.unreachable()
                log_event(
                    Event.TARGET_EJECTED,
                    target=target,
                    cause=exc.cause.value,
                    detail=exc.detail,
                )
            elif exc.cause is not FailureCause.REFUSED:
                health.failed()
        else:
            region = choice.region
        progress.failed(exc, target=target, region=region)
        log_event(
            Event.ATTEMPT_FAILED,
            request=self._req.id,
            target=target,
            region=region,
            verdict=exc.verdict.value,
            cause=exc.cause.value,
            detail=exc.detail,
            attempt=progress.attempts,
        )

    def _take_budget(self) -> bool:
        budget = self._tools.budget(self._service.id)
        return budget.take(len(self._tools.fleet.known_ids()))

    def _count_send(self) -> None:
        self._progress.repeat_paid = False
        if not self._progress.sent:
            self._progress.sent = True
            self._tools.budget(self._service.id).request_sent()

    async def _end(self, detail: str, retry_after_seconds: float | None) -> None:
        refusal = self._progress.refusal(detail, retry_after_seconds)
        if (
            self.remaining_seconds <= CLOCK_SECONDS
            and refusal.verdict is not Verdict.NOT_RUN
        ):
            refusal = Refusal(
                reason=RefusalReason.TIMED_OUT,
                verdict=refusal.verdict,
                detail=refusal.detail,
            )
        await self._refuse(refusal)

    async def _try_target(self, choice: TargetChoice) -> None:
        tools, req = self._tools, self._req
        candidate = choice.candidate
        state = tools.knowledge.target(candidate.target)
        if state is None:
            raise _not_sent("the target was removed")
        assignment = tools.placing.begin(req, candidate)
        pool = tools.pools.to_target(state.registration, self._service)
        began_at = tools.clock()
        try:
            conn = await pool.acquire()
            try:
                wire = self._wire_to_target(state)
                self._count_send()
                sent_at = tools.clock()
                assignment.on_first_event = _PaceRecorder(
                    health=tools.placing.health(state.id),
                    candidate=candidate,
                    sent_at=sent_at,
                )
                stream = conn.send(wire)
                await self._receiver.receive(stream, assignment, self._answer_seconds())
                assignment.first_event()
            except AttemptFailure as exc:
                if exc.cause is FailureCause.SILENT:
                    pool.discard_idle()
                raise
            finally:
                pool.release(conn)
        finally:
            self._record_silence(assignment, tools.clock() - began_at, candidate)
            assignment.end()
            tools.placing.health(state.id).ended(tools.clock() - began_at)

    def _record_silence(
        self, assignment: Assignment, seconds: float, candidate: Candidate
    ) -> None:
        """Let a target without a first event count as slow, and not as answered."""
        if assignment.on_first_event is None:
            return
        assignment.on_first_event = None
        expected = candidate.first_byte_seconds / candidate.pace
        if seconds > candidate.first_byte_seconds:
            health = self._tools.placing.health(candidate.target)
            health.answered(seconds / expected)

    def _wire_to_target(self, state: TargetState) -> WireRequest:
        tools, req = self._tools, self._req
        remaining = self.remaining_seconds
        if remaining <= 0:
            raise _not_sent("the request's time is over", FailureCause.LATE)
        data = tools.dialect.encode(
            req,
            registration=state.registration,
            remaining_seconds=remaining,
            urgency=self._route.priority if self._service.engine else None,
            resume_after=self._resume_after,
        )
        return self._wire(data)

    def _wire(self, data: bytes) -> WireRequest:
        dialect, req = self._tools.dialect, self._req
        return WireRequest(
            data=data,
            accepts=lambda head: dialect.accepts(head, req),
            without_body=req.method == "HEAD",
        )

    @property
    def _resume_after(self) -> int | None:
        last = self._progress.last_event
        return self._req.resume_after if last is None else last

    def _patience_seconds(self) -> float:
        """Return how long the caller waits for the first byte, or the next event."""
        remaining = self.remaining_seconds
        if self._route.kind is not RequestKind.STREAM:
            return remaining
        waited = self._tools.clock() - self._progress.moved_at
        return min(remaining, self._route.event_patience_seconds - waited)

    def _answer_seconds(self) -> float:
        """Return how long the attempt waits for the head of its answer."""
        remaining = self.remaining_seconds
        if self._route.kind is RequestKind.IDEMPOTENT and not self._progress.attempts:
            return remaining * ANSWER_SHARE
        return remaining

    async def _try_region(self, choice: RegionChoice) -> None:
        tools, req = self._tools, self._req
        peers = [
            rec
            for rec in tools.fleet.ready(choice.region)
            if self._service.id in rec.loads
        ]
        if not peers:
            raise _not_sent("no entry VM of the region is ready")
        pool = tools.pools.to_peer(tools.rng.choice(peers).peer)
        conn = await pool.acquire()
        try:
            remaining = self.remaining_seconds
            if remaining <= 0:
                raise _not_sent("the request's time is over", FailureCause.LATE)
            data = tools.dialect.encode_hop(
                req,
                remaining_seconds=remaining,
                resume_after=self._resume_after,
                max_targets=self._progress.targets_left,
            )
            # Targets there may receive the request, and the other VM counts it.
            progress = self._progress
            sent, paid = progress.sent, progress.repeat_paid
            progress.sent, progress.repeat_paid = True, False
            stream = conn.send(self._wire(data))
            try:
                await self._receiver.receive(stream, None, remaining)
            except HopRefusedError as exc:
                if not exc.refusal.reached_target:
                    progress.sent, progress.repeat_paid = sent, paid
                raise
        finally:
            pool.release(conn)


class _PaceRecorder:
    """Tells a target's health how long its first event took."""

    def __init__(
        self, *, health: TargetHealth, candidate: Candidate, sent_at: float
    ) -> None:
        self._health = health
        self._candidate = candidate
        self._sent_at = sent_at

    def __call__(self, now: float) -> None:
        """Record the first event, or the end of the wait for it, at `now`."""
        expected = self._candidate.first_byte_seconds / self._candidate.pace
        self._health.answered((now - self._sent_at) / expected)


def _not_sent(
    detail: str, cause: FailureCause = FailureCause.REFUSED
) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.NOT_RUN, cause=cause)
