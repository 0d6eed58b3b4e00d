"""The way of a routed request through its attempts to its final answer."""

import asyncio
import random
from collections.abc import Callable

from pimentospool.gateway._connections import AnswerStream, WireRequest
from pimentospool.gateway._dialect import AnswerClass, TargetDialect
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._knowledge import Knowledge, TargetState
from pimentospool.gateway._model import (
    Configuration,
    HttpRoute,
    InboundRequest,
    RequestKind,
    ServiceSpec,
)
from pimentospool.gateway._placing import Placing, SharedBounds
from pimentospool.gateway._pools import Pools
from pimentospool.gateway._progress import Progress
from pimentospool.gateway._relay import relay_stream
from pimentospool.gateway._replies import Refusal, RefusalReason, Reply
from pimentospool.gateway._routes import choose_service
from pimentospool.ids import RegionId, ServiceId
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    Assignment,
    Candidate,
    NoChoice,
    RegionChoice,
    RepeatBudget,
    TargetChoice,
    TargetHealth,
)
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

ANSWER_SHARE = 0.4
"""Part of the time left that an idempotent request waits for one target, so that
another attempt still fits."""
CLOCK_SECONDS = 0.01
"""Time to a deadline at which it counts as reached; the event loop's timers and the
steady clock differ by some milliseconds."""


class Dispatcher:
    """Serves requests whose body has arrived.

    Parameters
    ----------
    region : RegionId
        Region of this entry VM.
    knowledge : Knowledge
        Configuration and targets.
    fleet : Fleet
        Other entry VMs.
    placing : Placing
        Decides where requests go.
    pools : Pools
        Connections to targets and entry VMs.
    dialect : TargetDialect
        Form of requests and answers.
    bounds : SharedBounds
        Bounds on repeated sends.
    clock : callable
        Returns the steady time in seconds.
    rng : random.Random
        Choice among entry VMs.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        knowledge: Knowledge,
        fleet: Fleet,
        placing: Placing,
        pools: Pools,
        dialect: TargetDialect,
        bounds: SharedBounds,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._region = region
        self._knowledge = knowledge
        self._fleet = fleet
        self._placing = placing
        self._pools = pools
        self._dialect = dialect
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._budgets: dict[ServiceId, RepeatBudget] = {}
        knowledge.target_removed.connect(pools.forget)

    async def serve(self, req: InboundRequest, reply: Reply) -> None:
        """Send the final answer of `req` to `reply`."""
        configuration = self._knowledge.configuration
        if configuration is None:
            reason = RefusalReason.NOT_CONFIGURED
            refusal = Refusal(
                reason=reason, verdict=Verdict.NOT_RUN, retry_after_seconds=1.0
            )
            await self._refuse(req, reply, refusal)
            return
        assert self._knowledge.routes is not None
        route = self._knowledge.routes.match(req.host, req.path)
        service = self._service(configuration, route, req)
        if route is None or service is None:
            refusal = Refusal(reason=RefusalReason.NO_ROUTE, verdict=Verdict.NOT_RUN)
            await self._refuse(req, reply, refusal)
            return
        attempts = _Attempts(self, req, reply, route, service)
        try:
            await attempts.run()
        except (asyncio.CancelledError, ConnectionError):
            attempts.log_departure()
            raise

    def _service(
        self,
        configuration: Configuration,
        route: HttpRoute | None,
        req: InboundRequest,
    ) -> ServiceSpec | None:
        if route is None:
            return None
        return configuration.services.get(choose_service(route, req.id))

    async def _refuse(
        self, req: InboundRequest, reply: Reply, refusal: Refusal
    ) -> None:
        log_event(
            Event.REQUEST_FAILED,
            request=req.id,
            reason=refusal.reason.name.lower(),
            verdict=refusal.verdict.value,
            detail=refusal.detail,
            seconds=round(self._clock() - req.received_at, 3),
        )
        if reply.started:
            reply.cut()
        else:
            await reply.refuse(refusal)

    def _budget(self, service: ServiceId) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RepeatBudget(
                ratio=self._bounds.repeat_ratio,
                reserve=self._bounds.repeat_reserve,
                window_seconds=self._bounds.repeat_window_seconds,
                clock=self._clock,
            )
            self._budgets[service] = budget
        return budget


class _Attempts:
    """One request on its way."""

    def __init__(
        self,
        owner: Dispatcher,
        req: InboundRequest,
        reply: Reply,
        route: HttpRoute,
        service: ServiceSpec,
    ) -> None:
        self._owner = owner
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

    @property
    def remaining_seconds(self) -> float:
        """Time to the deadline of the caller or the route."""
        return self._deadline - self._owner._clock()

    async def run(self) -> None:
        """Make attempts until one answers or none is left."""
        owner, progress = self._owner, self._progress
        while True:
            if self.remaining_seconds <= CLOCK_SECONDS:
                await self._end("the request's time is over", None)
                return
            choice = owner._placing.choose(
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
                return
            except AttemptFailure as exc:
                self._record(choice, exc)
            if not progress.may_repeat(reply_started=self._reply.started):
                await self._end("", None)
                return
            if progress.sent and not self._take_budget():
                await self._end("the budget of repeated sends is used up", None)
                return

    def log_departure(self) -> None:
        """Log that the caller left, with where its request was."""
        progress = self._progress
        log_event(
            Event.CALLER_LEFT,
            request=self._req.id,
            route=self._route.name,
            place=self._place,
            attempt=progress.attempts + 1,
            events=progress.events,
            silent_seconds=round(self._owner._clock() - progress.moved_at, 3),
            seconds=round(self._owner._clock() - self._req.received_at, 3),
        )

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
            fields = {"region": choice.region}
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
            health = self._owner._placing.health(target)
            if exc.cause is FailureCause.UNREACHABLE:
                health.unreachable()
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
        budget = self._owner._budget(self._service.id)
        return budget.take(len(self._owner._fleet.known_ids()))

    def _count_send(self) -> None:
        if not self._progress.sent:
            self._progress.sent = True
            self._owner._budget(self._service.id).request_sent()

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
        await self._owner._refuse(self._req, self._reply, refusal)

    async def _try_target(self, choice: TargetChoice) -> None:
        owner, req = self._owner, self._req
        candidate = choice.candidate
        state = owner._knowledge.target(candidate.target)
        if state is None:
            raise _not_sent("the target was removed")
        assignment = owner._placing.begin(req, candidate)
        pool = owner._pools.to_target(state.registration, self._service)
        began_at = owner._clock()
        try:
            conn = await pool.acquire()
            try:
                wire = self._wire_to_target(state)
                self._count_send()
                sent_at = owner._clock()
                assignment.on_first_event = _PaceRecorder(
                    health=owner._placing.health(state.id),
                    candidate=candidate,
                    sent_at=sent_at,
                )
                stream = conn.send(wire)
                await self._receive(stream, assignment, self._answer_seconds())
                assignment.first_event()
            except AttemptFailure as exc:
                if exc.cause is FailureCause.SILENT:
                    pool.discard_idle()
                raise
            finally:
                pool.release(conn)
        finally:
            self._record_silence(assignment, owner._clock() - began_at, candidate)
            assignment.end()
            owner._placing.health(state.id).ended(owner._clock() - began_at)

    def _record_silence(
        self, assignment: Assignment, seconds: float, candidate: Candidate
    ) -> None:
        """Let a target without a first event count as slow, and not as answered."""
        if assignment.on_first_event is None:
            return
        assignment.on_first_event = None
        expected = candidate.first_byte_seconds / candidate.pace
        if seconds > candidate.first_byte_seconds:
            health = self._owner._placing.health(candidate.target)
            health.answered(seconds / expected)

    def _wire_to_target(self, state: TargetState) -> WireRequest:
        owner, req = self._owner, self._req
        remaining = self.remaining_seconds
        if remaining <= 0:
            raise _not_sent("the request's time is over", FailureCause.LATE)
        data = owner._dialect.encode(
            req,
            registration=state.registration,
            remaining_seconds=remaining,
            urgency=self._route.priority if self._service.engine else None,
            resume_after=self._resume_after,
        )
        return self._wire(data)

    def _wire(self, data: bytes) -> WireRequest:
        dialect, req = self._owner._dialect, self._req
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
        waited = self._owner._clock() - self._progress.moved_at
        return min(remaining, self._route.event_patience_seconds - waited)

    def _answer_seconds(self) -> float:
        """Return how long the attempt waits for the head of its answer."""
        remaining = self.remaining_seconds
        if self._route.kind is RequestKind.IDEMPOTENT and not self._progress.attempts:
            return remaining * ANSWER_SHARE
        return remaining

    async def _try_region(self, choice: RegionChoice) -> None:
        owner, req = self._owner, self._req
        peers = [
            rec
            for rec in owner._fleet.ready(choice.region)
            if self._service.id in rec.loads
        ]
        if not peers:
            raise _not_sent("no entry VM of the region is ready")
        pool = owner._pools.to_peer(owner._rng.choice(peers).peer)
        conn = await pool.acquire()
        try:
            remaining = self.remaining_seconds
            if remaining <= 0:
                raise _not_sent("the request's time is over", FailureCause.LATE)
            data = owner._dialect.encode_hop(
                req,
                remaining_seconds=remaining,
                resume_after=self._resume_after,
                max_targets=self._progress.targets_left,
            )
            stream = conn.send(self._wire(data))
            await self._receive(stream, None, remaining)
        finally:
            pool.release(conn)

    async def _receive(
        self,
        stream: AnswerStream,
        assignment: Assignment | None,
        answer_seconds: float,
    ) -> None:
        """Pass the answer on, as far as it is one.

        Raises
        ------
        AttemptFailure
            If it is none, or ends early.
        """
        try:
            async with asyncio.timeout(answer_seconds):
                head = await stream.wait_head()
        except TimeoutError as exc:
            raise self._silent(exc) from exc
        dialect = self._owner._dialect
        verdict = dialect.hop_verdict(head)
        if verdict is not None:
            self._progress.retry_after_seconds = dialect.retry_after_seconds(head)
            await self._finish_reading(stream)
            raise AttemptFailure(
                detail=f"the entry VM refused with status {head.status}",
                verdict=verdict,
                cause=FailureCause.REFUSED,
            )
        kind = dialect.classify(head)
        if kind is AnswerClass.REJECTION:
            self._progress.retry_after_seconds = dialect.retry_after_seconds(head)
            await self._finish_reading(stream)
            raise AttemptFailure(
                detail=f"the target rejected with status {head.status}",
                verdict=Verdict.NOT_RUN,
                cause=FailureCause.REFUSED,
            )
        if kind is AnswerClass.INVALID:
            raise AttemptFailure(
                detail=f"status {head.status} without a target's signature",
                verdict=Verdict.MAY_HAVE_RUN,
                cause=FailureCause.BROKEN,
            )
        if kind is AnswerClass.ERROR and self._repeats_errors():
            await self._finish_reading(stream)
            raise AttemptFailure(
                detail=f"the target answered with status {head.status}",
                verdict=Verdict.RAN,
                cause=FailureCause.TARGET_ERROR,
            )
        try:
            async with asyncio.timeout(self.remaining_seconds):
                if (
                    self._route.kind is RequestKind.STREAM
                    and kind is AnswerClass.SUCCESS
                ):
                    await relay_stream(
                        stream,
                        head,
                        self._reply,
                        self._progress,
                        resumable=self._route.resumable,
                        clock=self._owner._clock,
                        assignment=assignment,
                    )
                else:
                    await self._pass_whole(stream, kind)
        except TimeoutError as exc:
            raise self._silent(exc) from exc

    async def _pass_whole(self, stream: AnswerStream, kind: AnswerClass) -> None:
        pieces = []
        while piece := await stream.read():
            pieces.append(piece)
        assert stream.head is not None
        if self._reply.started:
            raise AttemptFailure(
                detail=f"status {stream.head.status} for the rest of a stream",
                verdict=Verdict.MAY_HAVE_RUN,
                cause=FailureCause.TARGET_ERROR,
            )
        await self._reply.whole(stream.head, b"".join(pieces))

    def _repeats_errors(self) -> bool:
        """Whether another attempt is likely to be made after a target's error."""
        progress = self._progress
        return (
            self._route.repeatable
            and progress.attempts == 0
            and self._route.max_targets > 1
            and not self._reply.started
        )

    async def _finish_reading(self, stream: AnswerStream) -> None:
        """Read a rejection to its end, so that its connection can be kept."""
        try:
            async with asyncio.timeout(min(0.2, max(self.remaining_seconds, 0.01))):
                while await stream.read():
                    pass
        except (TimeoutError, AttemptFailure):
            return

    def _silent(self, exc: Exception) -> AttemptFailure:
        late = self.remaining_seconds <= CLOCK_SECONDS
        return AttemptFailure(
            detail="no whole answer arrived in time",
            verdict=Verdict.MAY_HAVE_RUN,
            cause=FailureCause.LATE if late else FailureCause.SILENT,
        )


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
