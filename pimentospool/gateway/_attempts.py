"""One request on its way through its attempts to its final answer."""

from pimentospool.gateway._answers import (
    CLOCK_SECONDS,
)
from pimentospool.gateway._attempt_sender import Sends
from pimentospool.gateway._dependencies import ServingTools
from pimentospool.gateway._model import (
    HttpRoute,
    InboundRequest,
    RequestKind,
    ServiceSpec,
)
from pimentospool.gateway._outcomes import RoutedOutcome, RoutedResult
from pimentospool.gateway._progress import Progress
from pimentospool.gateway._replies import Refusal, RefusalReason, Reply
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    NoChoice,
    RegionChoice,
    TargetChoice,
)
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict


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
        self._sends = Sends(
            tools=tools,
            req=req,
            reply=reply,
            route=route,
            service=service,
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
                    await self._sends.to_target(choice)
                else:
                    await self._sends.to_region(choice)
                self._answered()
                return
            except AttemptFailure as exc:
                self._record(choice, exc)
            if not progress.may_repeat(reply_started=self._reply.started):
                await self._end("", None)
                return
            if progress.sent and not self._may_send_again():
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

    def _may_send_again(self) -> bool:
        """Return whether the budget of repeats covers the next send."""
        progress = self._progress
        if not progress.repeat_paid:
            budget = self._tools.budget(self._service.id)
            members = len(self._tools.fleet.known_ids())
            progress.repeat_paid = budget.take(members)
        return progress.repeat_paid

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

    def _patience_seconds(self) -> float:
        """Return how long the caller waits for the first byte, or the next event."""
        remaining = self.remaining_seconds
        if self._route.kind is not RequestKind.STREAM:
            return remaining
        waited = self._tools.clock() - self._progress.moved_at
        return min(remaining, self._route.event_patience_seconds - waited)
