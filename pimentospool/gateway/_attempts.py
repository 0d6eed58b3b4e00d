"""Attempts of one request, up to the final response."""

import asyncio
import math
from collections.abc import Callable

from pimentospool.gateway._answers import (
    DEADLINE_TOLERANCE_SECONDS,
    HopRefusedError,
)
from pimentospool.gateway._attempt_sender import (
    AttemptSender,
    ConfigurationOutdatedError,
)
from pimentospool.gateway._crash_watch import request_traits
from pimentospool.gateway._dependencies import GatewayDependencies
from pimentospool.gateway._model import (
    ConfigurationStamp,
    HttpRoute,
    InboundRequest,
    RequestKind,
    ServiceSpec,
)
from pimentospool.gateway._outcomes import RoutedOutcome, RoutedResult
from pimentospool.gateway._progress import DEFAULT_RETRY_SECONDS, RequestProgress
from pimentospool.gateway._replies import (
    LEAVING_RETRY_AFTER_SECONDS,
    Refusal,
    RefusalReason,
    Reply,
)
from pimentospool.gateway._routing_state import TargetState
from pimentospool.gateway._running_attempts import AttemptStage, RunningAttempt
from pimentospool.gateway._start_proofs import NEXT_PROOF_SECONDS, ProofSubject
from pimentospool.ids import EntryId, SoftwareVersion
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    UNPROVED_VERSION,
    Candidate,
    NoChoice,
    RegionChoice,
    RemoteRegion,
    RouteKey,
    TargetChoice,
    answers_within,
    ends_in_time,
    rank_members,
)
from pimentospool.running_attempts import STANDBY_INTERVAL_SECONDS
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

STREAM_STALL_SHARE = 0.5
"""Share of the client's event timeout after which a silent stream counts as stalled, so
that the next event can still arrive in time from another target."""
IDEMPOTENT_STALL_SHARE = 0.4
"""Share of the remaining time after which an unanswered idempotent request counts as
stalled, so that another target has time to answer."""
SAME_TARGET_SILENCE_SECONDS = 1.0
"""Silence of a target after which it may be sent the request a second time beside the
first. TCP itself sends lost bytes again within this time, and a target that is at work
on the first has no more to say of the second."""
EXPECTED_TIMES = 2.0
"""Multiple of the expected time to the first byte before which an attempt isn't
stalled: a second send to a service that is slow for all would only add to its load."""
PROOF_TIME_SHARE = 0.9
"""Share of the time to the first event that a stream waits for the proof of a target's
start; after it, a target has the rest to go on."""
SHARED_PROOF_TIME_SHARE = 0.5
"""The same if the stream may go on in another region, which needs a proof, too."""
DOUBT_WAIT_SECONDS = 0.2
"""Longest wait for the check of a target that may have started again, if there is no
other one. Sound targets are checked within milliseconds."""
UNPROVED_POLL_SECONDS = 0.02
"""Time between checks whether the start at which a stream began is proved."""
TRIAL_TIME_SHARE = 0.5
"""Share of its time that a request must have left to try an idle target whose service
has been too slow for it; with less, it would rather be cut off than show the speed."""


class AttemptLoop:
    """Sends one request to targets and regions until one answers.

    An attempt whose target is silent goes on beside another one, until one of the two
    answers; a sound target may be silent for a second.

    Parameters
    ----------
    deps : GatewayDependencies
        Components that all requests share.
    req : InboundRequest
        The request.
    reply : Reply
        Sends the response to the caller.
    route : HttpRoute
        Route of the request.
    service : ServiceSpec
        Service that the route selects for the request.
    stamp : ConfigurationStamp
        Configuration from which the route was read.
    reroutes : bool
        Whether the request is routed again after a `ConfigurationOutdatedError`.
    """

    def __init__(
        self,
        *,
        deps: GatewayDependencies,
        req: InboundRequest,
        reply: Reply,
        route: HttpRoute,
        service: ServiceSpec,
        stamp: ConfigurationStamp,
        reroutes: bool = False,
    ) -> None:
        self._deps = deps
        self._req = req
        self._reply = reply
        self._route = route
        self._service = service
        max_targets = route.max_targets
        if req.max_targets is not None:
            max_targets = min(max_targets, req.max_targets)
        self._progress = RequestProgress(
            route=route, max_targets=max_targets, resume_after=req.resume_after
        )
        self._timeout_seconds = min(req.client_timeout_seconds, route.timeout_seconds)
        self._deadline = req.received_at + self._timeout_seconds
        self._progress.last_progress_at = req.received_at
        self._standby_at = 0.0
        self._destination = ""
        self._times_key = RouteKey(
            service.id, route.name, route.kind is RequestKind.STREAM
        )
        self._has_whole_time = False
        """Whether the request took as long as one of its route takes."""
        self._cancelled: list[RunningAttempt] = []
        """Attempts that were in progress when the request ended."""
        self._unrecorded: list[RunningAttempt] = []
        """Attempts whose result is not in the verdict of the request."""
        self._traits = request_traits(req)
        self._sender = AttemptSender(
            deps=deps,
            req=req,
            reply=reply,
            route=route,
            service=service,
            stamp=stamp,
            progress=self._progress,
            remaining_seconds=lambda: self.remaining_seconds,
            answers_in_time=self._answers_in_time,
            traits=self._traits,
            reroutes=reroutes,
        )

    @property
    def has_not_run(self) -> bool:
        """Whether no target has run the request, nor may one of an attempt.

        An attempt has no recorded result if it was ended, or if its caller left.
        """
        return self._progress.verdict is Verdict.NOT_RUN and all(
            item.stage is AttemptStage.CONNECTING for item in self._unrecorded
        )

    @property
    def remaining_seconds(self) -> float:
        """Time left until the deadline of the caller or the route."""
        return self._deadline - self._deps.clock()

    async def run(self) -> None:
        """Make attempts until one is answered or no further one is allowed.

        Raises
        ------
        ConfigurationOutdatedError
            If the request has to be routed by a later configuration first.
        """
        running = self._deps.route_times.begin(self._times_key)
        try:
            await self._run()
        finally:
            self._deps.route_times.end(running, whole=self._has_whole_time)
            if not self._req.takes_up_stream:
                self._deps.placement.streams.record_length(
                    self._req,
                    self._route,
                    self._service,
                    self._progress.events_sent,
                    whole=self._has_whole_time,
                )

    async def _run(self) -> None:
        progress = self._progress
        if self._route.resumable and self._req.takes_up_stream:
            progress.stream_version = await self._begun_version()
            if progress.stream_version is None:
                await self._refuse(
                    Refusal(
                        reason=RefusalReason.VERSION_UNKNOWN,
                        verdict=Verdict.NOT_RUN,
                        retry_after_seconds=DEFAULT_RETRY_SECONDS,
                    )
                )
                return
        try:
            await self._make_attempts()
        finally:
            self._cancelled = await progress.running.cancel()
            for item in self._unrecorded:
                # Its error refers to the frames that hold bodies, and to this object.
                item.task = None

    async def _make_attempts(self) -> None:
        progress = self._progress
        while True:
            if not progress.running and not await self._start_next():
                return
            ended = await progress.running.wait_for_end(self._standby_wait_seconds())
            if ended is None:
                self._start_standby()
                continue
            if self._record_end(ended):
                return
            if progress.running:
                continue
            if not progress.may_retry(reply_started=self._reply.started):
                await self._give_up("", None)
                return
            if progress.reached_target and not self._acquire_retry():
                await self._give_up("the budget of repeated sends is used up", None)
                return

    async def _start_next(self) -> bool:
        """Start the next attempt; return False if the request was refused instead."""
        if self.remaining_seconds <= DEADLINE_TOLERANCE_SECONDS:
            await self._give_up("the request's time is over", None)
            return False
        wait_seconds = self._quarantine_seconds()
        if wait_seconds is not None:
            await self._refuse_quarantined(wait_seconds)
            return False
        await self._wait_for_version()
        subjects = self._continuations()
        await self._wait_for_untried(subjects)
        choice = self._choose()
        # The targets whose starts are proved may be full.
        while isinstance(choice, NoChoice) and await self._wait_for_proof(
            [item for item in subjects if not item.proved]
        ):
            choice = self._choose()
        if isinstance(choice, NoChoice) and await self._deps.start_checker.wait(
            self._service.id, within_seconds=DOUBT_WAIT_SECONDS
        ):
            choice = self._choose()
        if isinstance(choice, NoChoice):
            detail, retry_after_seconds = choice.detail, choice.retry_after_seconds
            if subjects and not any(item.proved for item in subjects):
                detail = "targets that could go on may have started again"
                due_seconds = self._deps.start_proofs.due_seconds(subjects)
                if math.isfinite(due_seconds):
                    retry_after_seconds = max(due_seconds, DEFAULT_RETRY_SECONDS)
            await self._give_up(detail, retry_after_seconds)
            return False
        if not self._ends_in_time():
            await self._refuse_leaving()
            return False
        self._start(choice)
        return True

    def _standby_wait_seconds(self) -> float:
        """Return the time until an attempt may have to begin beside the running one."""
        attempt = self._progress.running.sole
        if attempt is None or math.isinf(attempt.stall_seconds):
            return math.inf
        now = self._deps.clock()
        stalls_at = min(attempt.stalls_at, now + attempt.stall_seconds)
        return max(0.0, max(stalls_at, self._standby_at) - now)

    def _start_standby(self) -> None:
        """Start an attempt beside a stalled one if another send is allowed."""
        progress, now = self._progress, self._deps.clock()
        stalled = progress.running.sole
        if stalled is None or now < stalled.stalls_at or now < self._standby_at:
            return
        if stalled.target is not None:
            self._deps.placement.contact.own.record_failure(
                stalled.target, self._service.id
            )
        self._standby_at = now + STANDBY_INTERVAL_SECONDS
        if not (
            progress.may_retry(reply_started=self._reply.started)
            and self._retry_covered()
        ):
            return
        choice = self._choose(needs_proof=False)
        if isinstance(choice, NoChoice) or self._quarantine_seconds() is not None:
            return
        silent_seconds = now - (stalled.stalls_at - stalled.stall_seconds)
        if (
            isinstance(choice, TargetChoice)
            and choice.candidate.target == stalled.target
            and silent_seconds < SAME_TARGET_SILENCE_SECONDS
        ):
            return
        self._acquire_retry()
        stalled.stalled = True
        self._start(choice)

    def _choose(
        self, *, needs_proof: bool = True
    ) -> TargetChoice | RegionChoice | NoChoice:
        """Return where to send the request next.

        With `needs_proof` a begun stream goes on only at a target whose start is
        proved; else the attempt waits for the proof beside the stalled one.
        """
        return self._deps.placement.choose(
            self._req,
            self._route,
            self._service,
            self._progress,
            first_byte_timeout_seconds=self._first_byte_timeout_seconds(),
            may_try_idle=self._may_try_idle,
            may_continue=lambda state: (
                not needs_proof or self._proof_subject(state).proved
            ),
            seconds_left=self.remaining_seconds,
            # Of a request that may have run, an early end tells the caller nothing.
            refuses_late=(
                self._progress.verdict is Verdict.NOT_RUN and not self._reply.started
            ),
        )

    def _ends_in_time(self) -> bool:
        """Whether the request, sent now, ends before this process does.

        An answer from another region is relayed here, too.
        """
        left_seconds = self._deps.seconds_left()
        if left_seconds >= self.remaining_seconds:
            return True
        expected_seconds = self._deps.route_times.expected_seconds(self._times_key)
        if self._reply.started:
            expected_seconds -= self._deps.clock() - self._req.received_at
        return ends_in_time(
            expected_seconds=expected_seconds, left_seconds=left_seconds
        )

    async def _refuse_leaving(self) -> None:
        """Refuse a request that would not end before this process does."""
        if self._progress.verdict is not Verdict.NOT_RUN:
            await self._give_up(RefusalReason.LEAVING.value, None)
            return
        await self._refuse(
            Refusal(
                reason=RefusalReason.LEAVING,
                verdict=Verdict.NOT_RUN,
                retry_after_seconds=LEAVING_RETRY_AFTER_SECONDS,
                reached_target=self._progress.reached_target,
            )
        )

    async def _wait_for_version(self) -> None:
        """Wait until the start at which the stream of this request began is proved."""
        while (
            self._progress.stream_version == UNPROVED_VERSION
            and self._first_byte_timeout_seconds() > self._unproved_reserve_seconds
        ):
            await asyncio.sleep(UNPROVED_POLL_SECONDS)

    async def _wait_for_untried(self, subjects: list[ProofSubject]) -> None:
        """Wait for a proof, rather of a target that was not sent the request yet.

        One that was sent it and is proved is a way to go on without a long wait.
        """
        tried = self._progress.tried_targets
        untried = [item for item in subjects if item.registration.id not in tried]
        if len(untried) < len(subjects) and any(item.proved for item in subjects):
            await self._deps.start_proofs.wait(
                untried, within_seconds=NEXT_PROOF_SECONDS * len(untried)
            )
        else:
            await self._wait_for_proof(subjects)

    async def _wait_for_proof(self, subjects: list[ProofSubject]) -> bool:
        """Wait until a begun stream may go on at one of the targets.

        The wait leaves the target, or another region, the time to go on.
        """
        if not subjects:
            return False
        elsewhere = not self._req.is_hop and (
            self._deps.placement.continues_elsewhere(
                self._route, self._service.id, self._progress
            )
        )
        share = SHARED_PROOF_TIME_SHARE if elsewhere else PROOF_TIME_SHARE
        return await self._deps.start_proofs.wait(
            subjects, within_seconds=self._first_byte_timeout_seconds() * share
        )

    def _continuations(self) -> list[ProofSubject]:
        """Return the targets here at which a begun stream may go on, once proved."""
        progress = self._progress
        if not self._route.resumable or progress.stream_version is None:
            return []
        states = self._deps.placement.continuations(
            self._route, self._service.id, progress
        )
        return [self._proof_subject(state) for state in states]

    def _proof_subject(self, state: TargetState) -> ProofSubject:
        pool = self._deps.pools.target_pool(state.registration, self._service)
        return ProofSubject(state.registration, pool)

    def _answers_in_time(self, destination: Candidate | RemoteRegion) -> bool:
        return answers_within(
            destination,
            self._first_byte_timeout_seconds(),
            may_try_idle=self._may_try_idle,
        )

    @property
    def _may_try_idle(self) -> bool:
        """Whether the request has the time to show that an idle target is faster."""
        return self.remaining_seconds >= self._timeout_seconds * TRIAL_TIME_SHARE

    def _start(self, choice: TargetChoice | RegionChoice) -> None:
        self._log_choice(choice)
        progress = self._progress
        # Requests that are placed before the task starts have to be placed beside it.
        assignment = (
            self._deps.placement.begin_assignment(self._req, choice.candidate)
            if isinstance(choice, TargetChoice)
            else None
        )
        attempt = RunningAttempt(
            choice=choice,
            stall_seconds=self._stall_seconds(choice),
            assignment=assignment,
        )
        attempt.sent_before = attempt.target in progress.tried_targets
        progress.running.start(attempt, self._sender.send(attempt))
        self._unrecorded.append(attempt)

    def _stall_seconds(self, choice: TargetChoice | RegionChoice) -> float:
        """Return the silence after which an attempt that begins now counts as stalled.

        A request that may not be repeated waits for its target. For one that is sent
        to another region, the entry VM there sends it to a second target.
        """
        if not self._route.retryable or isinstance(choice, RegionChoice):
            return math.inf
        if self._route.kind is RequestKind.STREAM:
            return self._route.client_event_timeout_seconds * STREAM_STALL_SHARE
        return max(
            self.remaining_seconds * IDEMPOTENT_STALL_SHARE,
            choice.candidate.first_byte_seconds * EXPECTED_TIMES,
        )

    def _record_end(self, attempt: RunningAttempt) -> bool:
        """Record the end of an attempt; return whether it answered the request."""
        assert attempt.task is not None
        try:
            attempt.task.result()
        except asyncio.CancelledError:
            if not attempt.superseded:
                raise
            exc = AttemptFailure(
                detail="another attempt answered first",
                verdict=Verdict.MAY_HAVE_RUN,
                cause=FailureCause.SILENT,
            )
            self._record_failure(attempt, exc)
            return False
        except AttemptFailure as exc:
            self._record_failure(attempt, exc)
            return False
        except ConfigurationOutdatedError:
            self._unrecorded.remove(attempt)
            raise
        self._record_success(attempt)
        return True

    def interrupted(self) -> None:
        """Log that the caller left or the process ends, and where its request was."""
        progress = self._progress
        # At the end of its grace the process closes the connections itself.
        left = self._reply.caller_left and self._deps.seconds_left() > 0.0
        log_event(
            Event.CALLER_LEFT if left else Event.REQUEST_ENDED_BY_SHUTDOWN,
            request=self._req.id,
            route=self._route.name,
            place=self._destination,
            attempt=progress.attempts + 1,
            closed=[
                f"{item.target or item.region} {item.stage.value}"
                for item in self._cancelled
            ],
            events=progress.chunks_sent,
            silent_seconds=round(self._deps.clock() - progress.last_progress_at, 3),
            seconds=self._elapsed_seconds(),
        )
        cut = RoutedResult.CUT if self._reply.started else RoutedResult.FAILED
        self._report_outcome(RoutedResult.CALLER_LEFT if left else cut)

    def _record_success(self, attempt: RunningAttempt) -> None:
        self._unrecorded.remove(attempt)
        self._progress.verdict = Verdict.RAN
        # A stream without events is an error's answer, and a later part is shorter.
        self._has_whole_time = not self._req.takes_up_stream and (
            self._progress.chunks_sent > 0 or not self._times_key.is_stream
        )
        log_event(
            Event.REQUEST_SERVED,
            request=self._req.id,
            route=self._route.name,
            place=attempt.target or attempt.region,
            attempts=self._progress.attempts + 1,
            events=self._progress.chunks_sent,
            body_end=_body_end_name(attempt),
            within_event=attempt.within_event,
            first_event_seconds=self._first_event_seconds(),
            seconds=self._elapsed_seconds(),
        )
        self._report_outcome(RoutedResult.ANSWERED)

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
            seconds=self._elapsed_seconds(),
        )
        if self._reply.started:
            self._reply.abort()
            self._report_outcome(RoutedResult.CUT)
            return
        refused = refusal.verdict is Verdict.NOT_RUN
        self._report_outcome(RoutedResult.REFUSED if refused else RoutedResult.FAILED)
        await self._reply.refuse(refusal)

    def _report_outcome(self, result: RoutedResult) -> None:
        progress = self._progress
        self._deps.request_ended.send(
            RoutedOutcome(
                result=result,
                kind=self._route.kind.value,
                verdict=progress.verdict,
                attempts=progress.attempts + 1,
                is_hop=self._req.is_hop,
                first_byte_seconds=self._first_event_seconds(),
                seconds=self._deps.clock() - self._req.received_at,
            )
        )

    def _first_event_seconds(self) -> float | None:
        first_at = self._progress.first_event_at
        return None if first_at is None else round(first_at - self._req.received_at, 4)

    def _elapsed_seconds(self) -> float:
        return round(self._deps.clock() - self._req.received_at, 3)

    def _log_choice(self, choice: TargetChoice | RegionChoice) -> None:
        req, fields = self._req, {}
        if isinstance(choice, TargetChoice):
            candidate, load = choice.candidate, choice.candidate.occupancy
            fields = {
                "target": candidate.target,
                "version": candidate.version,
                "running": load.running,
                "waiting_tokens": load.waiting_tokens,
                "held_tokens": load.held_tokens,
                "unread_tokens": candidate.prefill_tokens,
                "pace": round(candidate.latency_ratio, 2),
                "failing": round(candidate.failure_rate, 2),
                "cold": candidate.cold,
                "warmed": round(candidate.warmed_share, 2),
                "expected_seconds": _rounded(candidate.completion_seconds),
            }
        else:
            remote = choice.remote
            fields = {
                "region": remote.region,
                "wait_seconds": remote.wait_seconds,
                "crowding": remote.slot_utilisation,
                "unread_tokens": remote.prefill_tokens,
                "expected_seconds": _rounded(remote.completion_seconds),
            }
        self._destination = str(fields.get("target") or fields.get("region"))
        log_event(
            Event.REQUEST_PLACED,
            request=req.id,
            route=self._route.name,
            tenant=req.tenant,
            key=req.prompt.shared_key if req.prompt else None,
            attempt=self._progress.attempts + 1,
            resumes=req.resumes,
            stream_version=self._progress.stream_version,
            **fields,
        )

    def _record_failure(self, attempt: RunningAttempt, exc: AttemptFailure) -> None:
        progress = self._progress
        target, region = attempt.target, attempt.region
        self._unrecorded.remove(attempt)
        self._record_health(attempt, exc)
        if target is not None and attempt.stalled:
            self._deps.pools.close_idle(target)
        progress.record_failure(
            exc,
            target=target,
            region=region,
            out_of_contact=(
                region is not None
                and isinstance(exc, HopRefusedError)
                and not exc.refusal.in_contact
                and bool(
                    self._deps.placement.contact.receivers(region, self._service.id)
                )
            ),
        )
        log_event(
            Event.ATTEMPT_FAILED,
            request=self._req.id,
            target=target,
            region=region,
            verdict=exc.verdict.value,
            cause=exc.cause.value,
            detail=exc.detail,
            stage=attempt.stage.value,
            body_end=_body_end_name(attempt),
            within_event=attempt.within_event,
            events=progress.chunks_sent,
            silent_seconds=round(self._deps.clock() - progress.last_progress_at, 3),
            shared_parts=list(self._traits.parts),
            content=f"{self._traits.content_key:08x}",
            attempt=progress.attempts,
        )

    def _record_health(self, attempt: RunningAttempt, exc: AttemptFailure) -> None:
        """Record a failure against the start of the target that it was of."""
        placement, start = self._deps.placement, attempt.registration
        if start is None or not placement.counts(start):
            return
        if attempt.stage is not AttemptStage.CONNECTING and not attempt.superseded:
            placement.record_failure(start)
        if exc.cause is FailureCause.UNREACHABLE:
            placement.health(start.id).record_connect_failure()
            log_event(
                Event.TARGET_EJECTED,
                target=start.id,
                cause=exc.cause.value,
                detail=exc.detail,
            )
        elif (
            exc.verdict is not Verdict.NOT_RUN
            and exc.cause is not FailureCause.NO_MEMORY
            and (attempt.stalled or not attempt.superseded)
        ):
            placement.health(start.id).record_failure()

    def _retry_covered(self) -> bool:
        """Return whether the retry budget would cover the next send."""
        return self._progress.retry_granted or self._ask_budget(
            self._deps.retry_budget(self._service.id).covers
        )

    def _acquire_retry(self) -> bool:
        """Return whether the retry budget covers the next send, and charge it."""
        progress = self._progress
        if not progress.retry_granted:
            progress.retry_granted = self._ask_budget(
                self._deps.retry_budget(self._service.id).acquire
            )
        return progress.retry_granted

    def _ask_budget(self, ask: Callable[..., bool]) -> bool:
        fleet = self._deps.fleet
        return ask(
            len(fleet.known_ids()),
            complete=fleet.has_known_regions(self._deps.regions),
        )

    async def _begun_version(self) -> SoftwareVersion | None:
        """Return the version that began the stream, None if it isn't known."""
        if self._req.is_hop:
            return self._req.stream_version
        version = await self._deps.stream_origins.version_of(
            self._service.id, self._req.resumes
        )
        while (
            version == UNPROVED_VERSION
            and self._first_byte_timeout_seconds() > self._unproved_reserve_seconds
        ):
            await asyncio.sleep(UNPROVED_POLL_SECONDS)
            version = self._deps.stream_versions.recorded_version(
                self._service.id, self._req.resumes
            )
        return None if version == UNPROVED_VERSION else version

    @property
    def _unproved_reserve_seconds(self) -> float:
        """Time to go on that a wait for the version leaves."""
        timeout_seconds = self._route.client_event_timeout_seconds
        return timeout_seconds * (1 - PROOF_TIME_SHARE)

    def _quarantine_seconds(self) -> float | None:
        """Return how long the request must not be sent; None if it may be."""
        return self._deps.crash_suspects.wait_seconds(
            self._traits, makes_trial=self._makes_trial
        )

    def _makes_trial(self, name: str) -> bool:
        fleet = self._deps.fleet
        ready = [EntryId(record.id) for record in fleet.ready()]
        return rank_members(ready, purpose=name)[:1] == [fleet.local_id]

    async def _refuse_quarantined(self, wait_seconds: float) -> None:
        progress = self._progress
        not_run = progress.verdict is Verdict.NOT_RUN
        await self._refuse(
            Refusal(
                reason=RefusalReason.QUARANTINED if not_run else RefusalReason.FAILED,
                verdict=progress.verdict,
                detail=RefusalReason.QUARANTINED.value,
                retry_after_seconds=wait_seconds if not_run else None,
                reached_target=progress.reached_target,
            )
        )

    async def _give_up(self, detail: str, retry_after_seconds: float | None) -> None:
        refusal = self._progress.refusal(
            detail,
            retry_after_seconds,
            in_contact=self._deps.placement.in_contact(
                self._service.id, self._progress
            ),
        )
        if (
            self.remaining_seconds <= DEADLINE_TOLERANCE_SECONDS
            and refusal.verdict is not Verdict.NOT_RUN
        ):
            refusal = Refusal(
                reason=RefusalReason.TIMED_OUT,
                verdict=refusal.verdict,
                detail=refusal.detail,
            )
        await self._refuse(refusal)

    def _first_byte_timeout_seconds(self) -> float:
        """Return how long the caller still waits for the first byte or next event."""
        remaining_seconds = self.remaining_seconds
        if self._route.kind is not RequestKind.STREAM:
            return remaining_seconds
        waited_seconds = self._deps.clock() - self._progress.last_progress_at
        return min(
            remaining_seconds, self._route.client_event_timeout_seconds - waited_seconds
        )


def _rounded(seconds: float) -> float | None:
    """Return a time for the log, None for one that isn't known."""
    return round(seconds, 3) or None


def _body_end_name(attempt: RunningAttempt) -> str | None:
    return None if attempt.body_end is None else attempt.body_end.value
