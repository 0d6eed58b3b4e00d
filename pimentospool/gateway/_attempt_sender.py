"""One send of a request: to a target, or to an entry VM of another region."""

from collections.abc import Callable

from pimentospool.gateway._answers import AnswerReceiver, HopRefusedError
from pimentospool.gateway._connections import WireRequest
from pimentospool.gateway._dependencies import ServingTools
from pimentospool.gateway._model import (
    HttpRoute,
    InboundRequest,
    RequestKind,
    ServiceSpec,
)
from pimentospool.gateway._progress import Progress
from pimentospool.gateway._replies import Reply
from pimentospool.gateway._routing_state import TargetState
from pimentospool.policy import (
    Assignment,
    Candidate,
    RegionChoice,
    TargetChoice,
    TargetHealth,
)
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

ANSWER_SHARE = 0.4
"""Part of the time left that an idempotent request waits for one target, so that
another attempt still fits."""


class Sends:
    """Sends of one request.

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
        Service that the request is for.
    progress : Progress
        Attempts so far.
    remaining : callable
        Returns the seconds to the request's deadline.
    """

    def __init__(
        self,
        *,
        tools: ServingTools,
        req: InboundRequest,
        reply: Reply,
        route: HttpRoute,
        service: ServiceSpec,
        progress: Progress,
        remaining: Callable[[], float],
    ) -> None:
        self._tools = tools
        self._req = req
        self._route = route
        self._service = service
        self._progress = progress
        self._remaining = remaining
        self._receiver = AnswerReceiver(
            tools=tools,
            reply=reply,
            route=route,
            progress=progress,
            remaining=remaining,
        )

    async def to_target(self, choice: TargetChoice) -> None:
        """Send the request to a target and pass its answer on.

        Raises
        ------
        AttemptFailure
            If no whole answer came.
        """
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

    async def to_region(self, choice: RegionChoice) -> None:
        """Send the request to an entry VM of a region and pass the answer on.

        Raises
        ------
        AttemptFailure
            If no whole answer came.
        """
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
            remaining = self._remaining()
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

    def _count_send(self) -> None:
        self._progress.repeat_paid = False
        if not self._progress.sent:
            self._progress.sent = True
            self._tools.budget(self._service.id).request_sent()

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
        remaining = self._remaining()
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

    def _answer_seconds(self) -> float:
        """Return how long the attempt waits for the head of its answer."""
        remaining = self._remaining()
        if self._route.kind is RequestKind.IDEMPOTENT and not self._progress.attempts:
            return remaining * ANSWER_SHARE
        return remaining


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
