"""Model of at-most-once operations: the real ledger and client in a small system.

Messages may be delayed, reordered and lost, a request may arrive after its caller
has abandoned the attempt, and entry VMs may be restarted or paused.
"""

from collections.abc import Callable
from functools import partial

import msgspec

from pimentospool.client import NextStep, OperationHistory
from pimentospool.client._history import AttemptEnd, end_without_response
from pimentospool.errors import Reason
from pimentospool.ids import CustomerId, EntryId, Incarnation, RegionId, ServiceId
from pimentospool.modelcheck._explorer import Step
from pimentospool.modelcheck._system_state import (
    CallerState,
    EntryState,
    IssuedTicket,
    Reply,
    Request,
    SystemState,
    TargetRequest,
    TargetResponse,
    Task,
    Waiter,
)
from pimentospool.policy import (
    HeldAnswer,
    OperationCall,
    OperationLedger,
    Refusal,
    Replay,
    Start,
    owner_gone,
)
from pimentospool.verdicts import Verdict

_CALL = OperationCall(
    customer=CustomerId("customer"),
    service=ServiceId("service"),
    method="POST",
    path="call",
)
_SEND_DEADLINE_SECONDS = 5
_PAUSE_SECONDS = 60


class AtMostOnceCase(msgspec.Struct, kw_only=True, frozen=True):
    """Size of the modelled system and upper bounds on the events in it.

    Each caller makes up to `calls` logical calls, with up to `tickets` tickets for a
    call and `attempts` attempts with a ticket. `faults` bounds the abandoned waits,
    the failures to reach an owner and the refusals by the target. With `shared_ticket`
    set, all callers use the ticket of the first one and renew none.
    """

    entries: int = 2
    callers: int = 1
    shared_ticket: bool = False
    calls: int = 1
    attempts: int = 2
    tickets: int = 2
    restarts: int = 1
    pauses: int = 1
    faults: int = 2


AT_MOST_ONCE_CASES = {
    "one-entry": AtMostOnceCase(entries=1, faults=1),
    "partition": AtMostOnceCase(restarts=0, pauses=0),
    "restart": AtMostOnceCase(pauses=0, faults=1),
    "two-callers": AtMostOnceCase(callers=2, shared_ticket=True, attempts=1, faults=1),
}


class AtMostOnceModel:
    """Explorable model of operations that must run at most once.

    Parameters
    ----------
    case : AtMostOnceCase
        Size of the modelled system.
    make_ledger : callable
        Creates the ledger of an entry VM at each start; tests pass faulty ones.
    make_history : callable
        Creates a caller's history for each ticket; tests pass faulty ones.
    """

    def __init__(
        self,
        *,
        case: AtMostOnceCase,
        make_ledger: Callable[..., OperationLedger] = OperationLedger,
        make_history: Callable[[], OperationHistory] = OperationHistory,
    ) -> None:
        self._case = case
        self._make_ledger = make_ledger
        self._make_history = make_history

    def initial(self) -> SystemState:
        """Return the state before any request."""
        case = self._case
        entries = [
            EntryState(generation=0, ledger=self._ledger(number, 0))
            for number in range(case.entries)
        ]
        callers = [
            CallerState(history=self._make_history()) for _ in range(case.callers)
        ]
        return SystemState(entries=entries, callers=callers)

    def fingerprint(self, state: SystemState) -> bytes:
        """Return bytes that are equal for states with the same possible futures."""
        return state.fingerprint()

    def violations(self, state: SystemState) -> list[str]:
        """Return a message for each property that `state` violates."""
        messages = []
        for number, ticket in enumerate(state.tickets):
            if ticket.executions > 1:
                messages.append(
                    f"ticket {number} was executed {ticket.executions} times"
                )
            if ticket.reported_not_run and ticket.executions:
                messages.append(
                    f"ticket {number} ran although a caller was told that it did not"
                )
            if len(set(ticket.reported_executions)) > 1:
                messages.append(
                    f"ticket {number} returned responses of different executions"
                )
        if state.late_target_requests:
            messages.append("an operation was sent to the target after its deadline")
        if not self._case.shared_ticket:
            messages += _repeated_calls(state)
        return messages

    def steps(self, state: SystemState) -> list[Step[SystemState]]:
        """Return the transitions enabled in `state`."""
        steps: list[Step[SystemState]] = []
        for caller in range(len(state.callers)):
            steps += self._caller_steps(state, caller)
        for index, req in enumerate(state.requests):
            steps += self._request_steps(state, index, req)
        for entry in range(len(state.entries)):
            steps += self._entry_steps(state, entry)
        for index in range(len(state.target_requests)):
            steps.append(_step("target executes", self._execute, index))
            if state.faults < self._case.faults:
                steps.append(_step("target refuses", self._refuse, index))
        for index in range(len(state.target_responses)):
            steps.append(
                _step("target's response arrives", self._receive_target_response, index)
            )
        for index in range(len(state.replies)):
            steps.append(_step("reply arrives", self._receive_reply, index))
        if state.pauses < self._case.pauses:
            steps.append(_step("all processes pause", self._pause))
        return steps

    def _caller_steps(self, state: SystemState, number: int) -> list[Step[SystemState]]:
        caller = state.callers[number]
        steps: list[Step[SystemState]] = []
        if caller.wants_ticket and not caller.ended:
            return [
                _step(
                    f"caller {number} requests a ticket at {entry}",
                    request,
                    number,
                    entry,
                )
                for entry in range(len(state.entries))
                for request in [self._request_ticket]
                if not (self._case.shared_ticket and number)
            ]
        if caller.ticket < 0:
            return steps
        if not caller.ended and caller.attempts < self._case.attempts:
            for entry in range(len(state.entries)):
                label = f"caller {number} sends an attempt to {entry}"
                steps.append(_step(label, self._send_attempt, number, entry))
        if state.faults < self._case.faults:
            for attempt in caller.open_attempts:
                label = f"caller {number} abandons attempt {attempt}"
                steps.append(_step(label, self._abandon_attempt, number, attempt))
        if caller.ended and caller.call_number + 1 < self._case.calls:
            steps.append(
                _step(
                    f"caller {number} starts its next call",
                    self._start_next_call,
                    number,
                )
            )
        return steps

    def _request_steps(
        self, state: SystemState, index: int, req: Request
    ) -> list[Step[SystemState]]:
        steps = [_step(f"request arrives at {req.entry}", self._receive_request, index)]
        waiting = (req.caller, req.attempt) not in state.abandoned_attempts
        if req.hop_from >= 0 and waiting and state.faults < self._case.faults:
            steps.append(
                _step(
                    "ingress stops waiting for the owner",
                    self._stop_waiting_for_owner,
                    index,
                )
            )
        remote_owner = state.tickets[req.ticket].ref.owner != str(req.entry)
        if req.hop_from < 0 and remote_owner and state.faults < self._case.faults:
            steps.append(
                _step("owner is unreachable", self._fail_to_reach_owner, index)
            )
        return steps

    def _entry_steps(self, state: SystemState, number: int) -> list[Step[SystemState]]:
        entry = state.entries[number]
        steps: list[Step[SystemState]] = []
        for index, task in enumerate(entry.tasks):
            if not task.sent:
                steps.append(
                    _step(
                        f"{number} sends to the target",
                        self._send_to_target,
                        number,
                        index,
                    )
                )
            elif state.faults < self._case.faults:
                label = f"{number} stops waiting for the target"
                steps.append(_step(label, self._stop_waiting_for_target, number, index))
        if state.restarts < self._case.restarts:
            steps.append(_step(f"{number} restarts", self._restart, number))
        return steps

    def _ledger(self, entry: int, generation: int) -> OperationLedger:
        return self._make_ledger(
            owner=EntryId(str(entry)),
            region=RegionId("region"),
            incarnation=Incarnation(f"{entry}/{generation}"),
        )

    def _request_ticket(self, state: SystemState, number: int, entry: int) -> None:
        ref = state.entries[entry].ledger.issue(_CALL)
        caller = state.callers[number]
        state.tickets.append(
            IssuedTicket(ref=ref, caller=number, call_number=caller.call_number)
        )
        ticket_users = state.callers if self._case.shared_ticket else [caller]
        for user in ticket_users:
            user.ticket = len(state.tickets) - 1
            user.tickets += 1
            user.wants_ticket = False
            user.history = self._make_history()
            user.attempts = 0
            user.open_attempts = []

    def _start_next_call(self, state: SystemState, number: int) -> None:
        caller = state.callers[number]
        caller.call_number += 1
        caller.tickets = 0
        caller.wants_ticket = True
        caller.ended = False

    def _send_attempt(self, state: SystemState, number: int, entry: int) -> None:
        caller = state.callers[number]
        attempt = caller.tickets * 10 + caller.attempts + 100 * caller.call_number
        caller.attempts += 1
        caller.open_attempts.append(attempt)
        caller.history.record_start()
        state.requests.append(Request(number, attempt, entry, caller.ticket))

    def _abandon_attempt(self, state: SystemState, number: int, attempt: int) -> None:
        state.faults += 1
        state.abandoned_attempts.add((number, attempt))
        self._end_attempt(state, number, attempt, end_without_response(sent=True))

    def _receive_request(self, state: SystemState, index: int) -> None:
        req = state.requests.pop(index)
        entry = state.entries[req.entry]
        ref = state.tickets[req.ticket].ref
        waiter = Waiter(req.caller, req.attempt, req.hop_from)
        if entry.ledger.owns(ref):
            self._begin_operation(state, req, waiter)
        elif req.hop_from >= 0 or ref.owner == entry.ledger.owner:
            _reply(state, waiter, req.ticket, owner_gone(""))
        else:
            state.requests.append(
                Request(req.caller, req.attempt, int(ref.owner), req.ticket, req.entry)
            )

    def _begin_operation(
        self, state: SystemState, req: Request, waiter: Waiter
    ) -> None:
        entry = state.entries[req.entry]
        decision = entry.ledger.begin(
            state.tickets[req.ticket].ref,
            call=_CALL,
            digest="",
            send_by=state.now + _SEND_DEADLINE_SECONDS,
        )
        if isinstance(decision, Refusal | Replay):
            _reply(state, waiter, req.ticket, decision)
            return
        if isinstance(decision, Start):
            entry.tasks.append(Task(ticket=req.ticket, decided_at=state.now))
        task = next(item for item in entry.tasks if item.ticket == req.ticket)
        task.waiters.append(waiter)

    def _stop_waiting_for_owner(self, state: SystemState, index: int) -> None:
        req = state.requests[index]
        state.faults += 1
        state.replies.append(
            Reply(req.caller, req.attempt, end=end_without_response(sent=True))
        )
        state.requests[index] = Request(-1, -1, req.entry, req.ticket, req.hop_from)

    def _fail_to_reach_owner(self, state: SystemState, index: int) -> None:
        req = state.requests[index]
        state.faults += 1
        del state.requests[index]
        waiter = Waiter(req.caller, req.attempt, -1)
        _reply(state, waiter, req.ticket, owner_gone("", retry=True))

    def _send_to_target(self, state: SystemState, number: int, index: int) -> None:
        entry = state.entries[number]
        task = entry.tasks[index]
        ref = state.tickets[task.ticket].ref
        refusal = entry.ledger.mark_sent(ref, decided_at=task.decided_at, now=state.now)
        if refusal is not None:
            entry.ledger.failed(ref, refusal)
            self._end_task(state, number, index)
            return
        late = state.now - task.decided_at >= _SEND_DEADLINE_SECONDS
        state.late_target_requests += late
        task.sent = True
        state.target_requests.append(
            TargetRequest(number, entry.generation, task.ticket)
        )

    def _stop_waiting_for_target(
        self, state: SystemState, number: int, index: int
    ) -> None:
        state.faults += 1
        self._fail_task(state, number, index, Verdict.MAY_HAVE_RUN)

    def _fail_task(
        self, state: SystemState, number: int, index: int, verdict: Verdict
    ) -> None:
        entry = state.entries[number]
        refusal = Refusal(
            reason=Reason.TARGET_FAILED,
            detail="",
            verdict=verdict,
            attempt_verdict=verdict,
        )
        entry.ledger.failed(state.tickets[entry.tasks[index].ticket].ref, refusal)
        self._end_task(state, number, index)

    def _end_task(self, state: SystemState, number: int, index: int) -> None:
        entry = state.entries[number]
        task = entry.tasks.pop(index)
        outcome = entry.ledger.outcome(state.tickets[task.ticket].ref)
        for waiter in task.waiters:
            _reply(state, waiter, task.ticket, outcome)

    def _execute(self, state: SystemState, index: int) -> None:
        request = state.target_requests.pop(index)
        ticket = state.tickets[request.ticket]
        ticket.executions += 1
        execution = sum(item.executions for item in state.tickets)
        self._respond(state, request, execution)

    def _refuse(self, state: SystemState, index: int) -> None:
        state.faults += 1
        self._respond(state, state.target_requests.pop(index), 0)

    def _respond(
        self, state: SystemState, request: TargetRequest, execution: int
    ) -> None:
        state.target_responses.append(
            TargetResponse(request.entry, request.generation, request.ticket, execution)
        )

    def _receive_target_response(self, state: SystemState, index: int) -> None:
        response = state.target_responses.pop(index)
        entry = state.entries[response.entry]
        tasks = [task.ticket for task in entry.tasks if task.sent]
        if entry.generation != response.generation or response.ticket not in tasks:
            return
        number = [task.ticket for task in entry.tasks].index(response.ticket)
        ref = state.tickets[response.ticket].ref
        if response.execution:
            body = str(response.execution).encode()
            stored = HeldAnswer(status=200, content_type="", body=body)
            entry.ledger.answered(ref, stored)
            self._end_task(state, response.entry, number)
            return
        entry.ledger.not_executed(ref)
        if state.faults < self._case.faults:
            entry.tasks[number].sent = False
            entry.tasks[number].decided_at = state.now
        else:
            self._fail_task(state, response.entry, number, Verdict.NOT_RUN)

    def _receive_reply(self, state: SystemState, index: int) -> None:
        reply = state.replies.pop(index)
        caller = state.callers[reply.caller]
        if reply.attempt not in caller.open_attempts:
            return
        if reply.end is not None:
            self._end_attempt(state, reply.caller, reply.attempt, reply.end)
            return
        caller.open_attempts.remove(reply.attempt)
        caller.ended = True

    def _end_attempt(
        self, state: SystemState, number: int, attempt: int, end: AttemptEnd
    ) -> None:
        caller = state.callers[number]
        caller.open_attempts.remove(attempt)
        step = caller.history.record_end(end)
        if caller.ended:
            return
        last = caller.attempts >= self._case.attempts and not caller.open_attempts
        may_renew = not self._case.shared_ticket and caller.tickets < self._case.tickets
        if step is NextStep.NEW_TICKET and may_renew:
            caller.wants_ticket = True
        elif step is not NextStep.RETRY or last:
            caller.ended = True
            if (
                not self._case.shared_ticket
                and caller.history.verdict is Verdict.NOT_RUN
            ):
                state.tickets[caller.ticket].reported_not_run = True

    def _restart(self, state: SystemState, number: int) -> None:
        state.restarts += 1
        generation = state.entries[number].generation + 1
        state.entries[number] = EntryState(
            generation=generation, ledger=self._ledger(number, generation)
        )

    def _pause(self, state: SystemState) -> None:
        state.pauses += 1
        state.now += _PAUSE_SECONDS


def _step(label: str, act: Callable[..., None], *args: int) -> Step[SystemState]:
    return Step(label, partial(_apply, act, args))


def _apply(act: Callable[..., None], args: tuple[int, ...], state: SystemState) -> None:
    act(state, *args)


def _reply(
    state: SystemState, waiter: Waiter, ticket: int, decision: Refusal | Replay
) -> None:
    if waiter.caller < 0:
        return
    if isinstance(decision, Replay):
        execution = int(decision.answer.body)
        state.tickets[ticket].reported_executions.append(execution)
        state.replies.append(Reply(waiter.caller, waiter.attempt, execution))
        return
    if decision.verdict is Verdict.NOT_RUN:
        state.tickets[ticket].reported_not_run = True
    end = AttemptEnd(
        verdict=decision.verdict,
        attempt_verdict=decision.attempt_verdict,
        reason=decision.reason.slug,
        retry_after_seconds=decision.retry_after_seconds,
    )
    state.replies.append(Reply(waiter.caller, waiter.attempt, end=end))


def _repeated_calls(state: SystemState) -> list[str]:
    executions: dict[tuple[int, int], int] = {}
    for ticket in state.tickets:
        key = (ticket.caller, ticket.call_number)
        executions[key] = executions.get(key, 0) + ticket.executions
    return [
        f"call {number} of caller {caller} was executed {count} times"
        for (caller, number), count in executions.items()
        if count > 1
    ]
