"""Sends one attempt to a target or to an entry VM of another region."""

import time
from collections.abc import Callable

from pimentospool.errors import PimentospoolError
from pimentospool.gateway._access import knows_tenants
from pimentospool.gateway._answer_streams import AnswerHead, EncodedRequest
from pimentospool.gateway._answers import AnswerReceiver, HopRefusedError
from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._dependencies import GatewayDependencies
from pimentospool.gateway._dialect import AnswerClass
from pimentospool.gateway._model import (
    ConfigurationStamp,
    HopOrigin,
    HttpRoute,
    InboundRequest,
    Registration,
    RequestKind,
    ServiceSpec,
)
from pimentospool.gateway._progress import RequestProgress
from pimentospool.gateway._replies import Reply
from pimentospool.gateway._routing_state import TargetState
from pimentospool.gateway._running_attempts import AttemptStage, RunningAttempt
from pimentospool.gateway._start_proofs import ProofSubject
from pimentospool.ids import EntryId, SoftwareVersion, TargetId
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    UNPROVED_VERSION,
    AnswerHold,
    Assignment,
    Candidate,
    RegionChoice,
    RemoteRegion,
    RequestTraits,
    TargetChoice,
)
from pimentospool.targets import AttemptFailure, FailureCause
from pimentospool.verdicts import Verdict

ATTEMPT_PROOF_SECONDS = 0.2
"""Time for which an attempt waits for the proof of its target's start: one beside a
stalled one, and that of a hop's new stream, whose sender records the version which the
head names."""


class ConfigurationOutdatedError(PimentospoolError):
    """An entry VM refused a hop, as it follows a later configuration than this one.

    Parameters
    ----------
    newer : HopOrigin
        That entry VM and its configuration.
    remaining_seconds : float
        Time left until the deadline of the request.
    """

    def __init__(self, *, newer: HopOrigin, remaining_seconds: float) -> None:
        super().__init__(f"{newer.entry} follows version {newer.stamp.version}")
        self.newer = newer
        self.remaining_seconds = remaining_seconds


class AttemptSender:
    """Sends the attempts of one request and relays the responses.

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
        Service that the request is for.
    stamp : ConfigurationStamp
        Configuration from which the route was read.
    progress : RequestProgress
        State of the attempts made so far.
    remaining_seconds : callable
        Returns the seconds to the request's deadline.
    answers_in_time : callable
        Returns whether a destination may still answer in time, were it sent the
        request now.
    traits : RequestTraits
        What of the request may make targets crash.
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
        progress: RequestProgress,
        remaining_seconds: Callable[[], float],
        answers_in_time: Callable[[Candidate | RemoteRegion], bool],
        traits: RequestTraits,
        reroutes: bool,
    ) -> None:
        self._stamp = stamp
        self._reroutes = reroutes
        self._reply = reply
        self._deps = deps
        self._req = req
        self._route = route
        self._service = service
        self._progress = progress
        self._remaining_seconds = remaining_seconds
        self._answers_in_time = answers_in_time
        self._traits = traits
        self._receiver = AnswerReceiver(
            deps=deps,
            reply=reply,
            route=route,
            progress=progress,
            remaining_seconds=remaining_seconds,
        )

    async def send(self, attempt: RunningAttempt) -> None:
        """Send the request to where `attempt` goes and relay the response.

        Raises
        ------
        AttemptFailure
            If no complete response arrived.
        ConfigurationOutdatedError
            If the request has to be routed by a later configuration first.
        """
        if isinstance(attempt.choice, TargetChoice):
            await self._send_to_target(attempt, attempt.choice)
        else:
            await self._send_to_region(attempt, attempt.choice)

    async def _send_to_target(
        self, attempt: RunningAttempt, choice: TargetChoice
    ) -> None:
        """Send the request to a target and relay its response.

        Raises
        ------
        AttemptFailure
            If no complete response arrived.
        """
        deps = self._deps
        candidate, assignment = choice.candidate, attempt.assignment
        assert assignment is not None
        state = deps.routing_state.target(candidate.target)
        if state is None:
            raise _unsent_failure("the target was removed")
        version = state.registration.version
        if self._progress.stream_version not in (None, version):
            raise _unsent_failure("the target has started with another version")
        pool = deps.pools.target_pool(state.registration, self._service)
        exposure = deps.crash_watch.expose(self._traits)
        started_at = deps.clock()
        contact = deps.placement.contact.own

        start = attempt.registration = state.registration
        attempt.version = version

        observer = deps.placement.streams.observe(self._route, start)

        def record_event() -> None:
            assignment.first_event()
            self._record_stream(attempt.version)
            if observer is not None and deps.placement.counts(start):
                observer.record(
                    self._progress.events_sent, self._progress.write_seconds
                )
            exposure.record_event()

        def record_head(head: AnswerHead) -> None:
            contact.record_answer(self._service.id, opened_at=conn.opened_at)
            if deps.dialect.is_leaving(head):
                deps.routing_state.receive_leaving(state.registration)
            if not deps.placement.counts(start):
                return
            deps.placement.named_limits.record_answer(
                state.id, deps.dialect.request_limit(head), sent_at=sent_at
            )
            deps.placement.brittle_targets.record_answer(
                state.id,
                deps.dialect.turn_aways(head),
                sent_at=sent_at,
                rejected=deps.dialect.classify(head) is AnswerClass.REJECTION,
            )
            quiet_seconds = deps.dialect.quiet_seconds(head)
            if quiet_seconds is not None:
                deps.placement.health(state.id).record_quiet(quiet_seconds)
                log_event(Event.TARGET_QUIET, target=state.id, seconds=quiet_seconds)

        hold = self._begin_answer(candidate.target)
        try:
            # An earlier rejection of the same request may come again on a kept one.
            try:
                conn = await pool.acquire(
                    unused=attempt.sent_before, within_seconds=self._remaining_seconds()
                )
            except AttemptFailure as exc:
                if exc.cause is FailureCause.UNREACHABLE:
                    contact.record_failure(state.id, self._service.id)
                raise
            stream = None
            try:
                await self._prove_start(attempt, state, pool)
                if not conn.reusable:
                    raise _unsent_failure("the connection was closed before the send")
                newest = deps.routing_state.target(state.id) or state
                if deps.placement.is_cold(newest) and not candidate.cold:
                    raise _unsent_failure("the target may have started again")
                self._check_caller()
                self._check_time(candidate)
                if not deps.placement.confirm_cold_start(candidate):
                    raise _unsent_failure("the cold target was just sent another one")
                encoded = self._encode_for_target(state, hold)
                self._record_send()
                sent_at = deps.clock()
                assignment.on_first_event = lambda now: (
                    deps.placement.record_first_byte(start, candidate, now - sent_at)
                )
                stream = conn.send(encoded)
                attempt.stage = AttemptStage.SENT
                if self._route.kind is RequestKind.IDEMPOTENT:
                    attempt.expect_part(sent_at)
                await self._receiver.receive(
                    stream,
                    attempt,
                    hold=hold,
                    from_target=True,
                    on_event=record_event,
                    on_head=record_head,
                )
                assignment.first_event()
                exposure.record_survival()
            except AttemptFailure as exc:
                if conn.closed_by_peer and exc.verdict is not Verdict.NOT_RUN:
                    deps.crash_watch.connection_lost(state, pool, exposure)
                if conn.closed and stream is not None and stream.head is None:
                    contact.record_failure(state.id, self._service.id)
                raise
            finally:
                if stream is not None and stream.held_back_at is not None:
                    self._log_held_back(stream.held_back_at, candidate.target)
                pool.release(conn)
        finally:
            hold.release()
            self._record_missing_first_event(
                assignment, deps.clock() - started_at, candidate, start
            )
            assignment.end()
            health = deps.placement.start_health(start)
            health.record_end(deps.clock() - started_at)

    def _log_held_back(self, held_back_at: float, target: TargetId) -> None:
        memory = self._deps.memory
        log_event(
            Event.ANSWER_HELD_BACK,
            request=self._req.id,
            target=target,
            service=self._service.id,
            seconds=round(time.monotonic() - held_back_at, 3),
            held_bytes=memory.used_bytes,
            waiting=len(memory.answer_shares.waiting),
        )

    async def _prove_start(
        self, attempt: RunningAttempt, state: TargetState, pool: ConnectionPool
    ) -> None:
        """Make sure that a stream goes on at its version, not at a newer start.

        Raises
        ------
        AttemptFailure
            If the stream has begun, and the target's start isn't proved.
        """
        subject = ProofSubject(state.registration, pool)
        goes_on = self._progress.stream_version is not None
        if not self._route.resumable or subject.proved:
            return
        if not (goes_on or self._req.is_hop):
            self._begin_unproved(attempt, subject)
        elif not await self._deps.start_proofs.wait(
            [subject], within_seconds=ATTEMPT_PROOF_SECONDS
        ):
            if goes_on:
                raise _unsent_failure("the target may have started again")
            attempt.version = UNPROVED_VERSION

    def _begin_unproved(self, attempt: RunningAttempt, subject: ProofSubject) -> None:
        """Let a stream begin beside the proof of its target's start.

        Its version is recorded with the proof, as a newer start may have accepted the
        connection that has not registered yet.
        """
        version = attempt.version
        attempt.version = UNPROVED_VERSION

        def record_proof() -> None:
            attempt.version = version
            if self._progress.stream_version == UNPROVED_VERSION:
                self._progress.stream_version = version
                self._record_version(version)

        self._deps.start_proofs.prove_beginning(subject, record_proof)

    async def _send_to_region(
        self, attempt: RunningAttempt, choice: RegionChoice
    ) -> None:
        """Send the request to an entry VM of another region and relay the response.

        Raises
        ------
        AttemptFailure
            If no complete response arrived.
        ConfigurationOutdatedError
            If the request has to be routed by a later configuration first.
        """
        deps, req = self._deps, self._req
        peers = deps.placement.hop_receivers(choice.region, self._service.id)
        if not peers:
            raise _unsent_failure("no entry VM of the region is ready")
        if req.tenant is not None:
            peers = [item for item in peers if knows_tenants(item)] or peers
        record = deps.rng.choice(peers)
        pool = deps.pools.peer_pool(record.peer)

        def record_head(head: AnswerHead) -> None:
            attempt.version = deps.dialect.hop_version(head)

        conn = await pool.acquire(within_seconds=self._remaining_seconds())
        hold = self._begin_answer(EntryId(record.id))
        try:
            self._check_caller()
            self._check_time(choice.remote)
            # A response that leaves there later comes after the deadline.
            round_trip_seconds = choice.remote.round_trip_seconds
            remaining_seconds = self._remaining_seconds() - round_trip_seconds
            if remaining_seconds <= 0:
                raise _unsent_failure("the request's time is over", FailureCause.LATE)
            can_reroute = self._can_reroute()
            data = deps.dialect.encode_hop(
                req,
                remaining_seconds=remaining_seconds,
                resume_after=self._progress.position.last_id,
                max_targets=self._progress.targets_left,
                origin=HopOrigin(
                    entry=deps.fleet.local_id,
                    stamp=self._stamp,
                    can_reroute=can_reroute,
                ),
                version=self._progress.stream_version,
                knows_tenants=knows_tenants(record),
            )
            # A target there may receive the request, which the other entry VM then
            # counts in its own retry budget.
            progress = self._progress
            reached_before, granted_before = (
                progress.reached_target,
                progress.retry_granted,
            )
            progress.reached_target, progress.retry_granted = True, False
            stream = conn.send(self._make_encoded_request(data, hold))
            attempt.stage = AttemptStage.SENT
            try:
                await self._receiver.receive(
                    stream,
                    attempt,
                    hold=hold,
                    from_target=False,
                    on_event=lambda: self._record_stream(attempt.version),
                    on_head=record_head,
                )
            except HopRefusedError as exc:
                if not exc.refusal.in_contact:
                    deps.placement.contact.record_refusal(record, self._service.id)
                newer = exc.refusal.newer
                if newer is not None and can_reroute:
                    raise ConfigurationOutdatedError(
                        newer=newer, remaining_seconds=self._remaining_seconds()
                    ) from exc
                if not exc.refusal.reached_target:
                    progress.reached_target, progress.retry_granted = (
                        reached_before,
                        granted_before,
                    )
                raise
        finally:
            pool.release(conn)
            hold.release()

    def _check_caller(self) -> None:
        """Make sure that somebody still waits for the response.

        After a pause of the process, a request is read together with its caller's
        close, which the event loop reports only after the request was handled.

        Raises
        ------
        ConnectionResetError
            If the caller has left.
        """
        if self._reply.caller_left:
            raise ConnectionResetError("the caller has left")

    def _check_time(self, destination: Candidate | RemoteRegion) -> None:
        """Make sure that the wait for the connection left time for the response.

        Raises
        ------
        AttemptFailure
            If the response can't arrive in time.
        """
        if not self._answers_in_time(destination):
            raise _unsent_failure("too little time is left", FailureCause.LATE)

    def _begin_answer(self, source: TargetId | EntryId) -> AnswerHold:
        return self._deps.memory.begin_answer(
            is_stream=self._route.kind is RequestKind.STREAM,
            service=self._service.id,
            source=source,
        )

    def _can_reroute(self) -> bool:
        """Whether the request may still be routed by a later configuration."""
        progress = self._progress
        return self._reroutes and not (
            self._reply.started
            or progress.reached_target
            or progress.verdict is not Verdict.NOT_RUN
        )

    def _record_stream(self, version: SoftwareVersion) -> None:
        """Record the software version of a stream with its first event."""
        if self._progress.chunks_sent or not self._route.resumable:
            return
        self._progress.stream_version = version
        self._record_version(version)

    def _record_version(self, version: SoftwareVersion) -> None:
        req = self._req
        if not req.is_hop:
            self._deps.stream_versions.record(
                self._service.id, req.resumes or req.id, version
            )

    def _record_send(self) -> None:
        self._progress.retry_granted = False
        if not self._progress.reached_target:
            self._progress.reached_target = True
            self._deps.retry_budget(self._service.id).record_request()

    def _record_missing_first_event(
        self,
        assignment: Assignment,
        seconds: float,
        candidate: Candidate,
        start: Registration,
    ) -> None:
        """Record a target that sent no first event as slow, not as having answered."""
        if assignment.on_first_event is None:
            return
        assignment.on_first_event = None
        if seconds > candidate.first_byte_seconds:
            health = self._deps.placement.start_health(start)
            health.record_answer(
                seconds * candidate.latency_ratio / candidate.first_byte_seconds
            )

    def _encode_for_target(
        self, state: TargetState, hold: AnswerHold
    ) -> EncodedRequest:
        deps, req = self._deps, self._req
        remaining_seconds = self._remaining_seconds()
        if remaining_seconds <= 0:
            raise _unsent_failure("the request's time is over", FailureCause.LATE)
        data = deps.dialect.encode(
            req,
            registration=state.registration,
            remaining_seconds=remaining_seconds,
            urgency=self._route.priority if self._service.engine else None,
            resume_after=self._progress.position.last_id,
        )
        return self._make_encoded_request(data, hold)

    def _make_encoded_request(self, data: bytes, hold: AnswerHold) -> EncodedRequest:
        dialect, req = self._deps.dialect, self._req
        return EncodedRequest(
            data=data,
            body=req.body,
            body_hold=req.memory,
            answer_hold=hold,
            accepts=lambda head: dialect.accepts(head, req),
            without_body=req.method == "HEAD",
        )


def _unsent_failure(
    detail: str, cause: FailureCause = FailureCause.REFUSED
) -> AttemptFailure:
    return AttemptFailure(detail=detail, verdict=Verdict.NOT_RUN, cause=cause)
