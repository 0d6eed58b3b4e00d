"""Model of operations: the real ledger and caller rules in a small world.

Messages may be delayed, reordered and lost, a request may be late for an attempt
that its caller has given up on, and entry VMs may be restarted or paused.
"""

from collections.abc import Callable
from functools import partial

import msgspec

from pimentospool.client import NextStep, OperationHistory
from pimentospool.client._history import AttemptEnd, unanswered
from pimentospool.errors import Reason
from pimentospool.ids import CustomerId, EntryId, Incarnation, RegionId, ServiceId
from pimentospool.modelcheck._explorer import Step
from pimentospool.modelcheck._system_state import (
    CallerState,
    EntryState,
    IssuedTicket,
    Reply,
    Request,
    Sending,
    TargetAnswer,
    Task,
    Waiter,
    World,
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
_SEND_SECONDS = 5
_PAUSE_SECONDS = 60


class OnceCase(msgspec.Struct, kw_only=True, frozen=True):
    """Size of the world and the bounds on what goes wrong in it.

    With `shared` set, all callers use the first one's ticket and renew none.
    """

    entries: int = 2
    callers: int = 1
    shared: bool = False
    intents: int = 1
    attempts: int = 2
    tickets: int = 2
    restarts: int = 1
    pauses: int = 1
    faults: int = 2


ONCE_CASES = {
    "one-entry": OnceCase(entries=1, faults=1),
    "partition": OnceCase(restarts=0, pauses=0),
    "restart": OnceCase(pauses=0, faults=1),
    "two-callers": OnceCase(callers=2, shared=True, attempts=1, faults=1),
}


class OnceModel:
    """Explorable model of operations.

    Parameters
    ----------
    case : OnceCase
        Size of the world.
    make_ledger : callable
        Makes the ledger of an entry VM's life; tests pass broken ones.
    make_history : callable
        Makes a caller's history; tests pass broken ones.
    """

    def __init__(
        self,
        *,
        case: OnceCase,
        make_ledger: Callable[..., OperationLedger] = OperationLedger,
        make_history: Callable[[], OperationHistory] = OperationHistory,
    ) -> None:
        self._case = case
        self._make_ledger = make_ledger
        self._make_history = make_history

    def initial(self) -> World:
        """Return a world in which nothing has happened."""
        case = self._case
        entries = [
            EntryState(life=0, ledger=self._ledger(number, 0))
            for number in range(case.entries)
        ]
        callers = [
            CallerState(history=self._make_history()) for _ in range(case.callers)
        ]
        return World(entries=entries, callers=callers)

    def fingerprint(self, state: World) -> bytes:
        """Return bytes that are equal for states with the same future."""
        return state.fingerprint()

    def violations(self, state: World) -> list[str]:
        """Return the properties that `state` breaks."""
        broken = []
        for number, ticket in enumerate(state.tickets):
            if ticket.executions > 1:
                broken.append(f"ticket {number} ran {ticket.executions} times")
            if ticket.told_not_run and ticket.executions:
                broken.append(f"ticket {number} ran after it was told not run")
            if len(set(ticket.told)) > 1:
                broken.append(f"ticket {number} has different answers")
        if state.late_sendings:
            broken.append("an operation was sent after its deadline")
        if not self._case.shared:
            broken += _repeated_intents(state)
        return broken

    def steps(self, state: World) -> list[Step[World]]:
        """Return everything that may happen next."""
        found: list[Step[World]] = []
        for caller in range(len(state.callers)):
            found += self._caller_steps(state, caller)
        for index, req in enumerate(state.requests):
            found += self._request_steps(state, index, req)
        for entry in range(len(state.entries)):
            found += self._entry_steps(state, entry)
        for index in range(len(state.sendings)):
            found.append(_step("target runs", self._run, index))
            if state.faults < self._case.faults:
                found.append(_step("target refuses", self._refuse, index))
        for index in range(len(state.target_answers)):
            found.append(_step("target's answer arrives", self._answer, index))
        for index in range(len(state.replies)):
            found.append(_step("reply arrives", self._reply_arrives, index))
        if state.pauses < self._case.pauses:
            found.append(_step("everything pauses", self._pause))
        return found

    def _caller_steps(self, state: World, number: int) -> list[Step[World]]:
        caller = state.callers[number]
        found: list[Step[World]] = []
        if caller.wants_ticket and not caller.ended:
            return [
                _step(f"caller {number} takes a ticket at {entry}", take, number, entry)
                for entry in range(len(state.entries))
                for take in [self._take_ticket]
                if not (self._case.shared and number)
            ]
        if caller.ticket < 0:
            return found
        if not caller.ended and caller.attempts < self._case.attempts:
            for entry in range(len(state.entries)):
                label = f"caller {number} sends to {entry}"
                found.append(_step(label, self._send, number, entry))
        if state.faults < self._case.faults:
            for attempt in caller.open:
                label = f"caller {number} gives up attempt {attempt}"
                found.append(_step(label, self._give_up, number, attempt))
        if caller.ended and caller.intent + 1 < self._case.intents:
            found.append(_step(f"caller {number} goes on", self._next_intent, number))
        return found

    def _request_steps(
        self, state: World, index: int, req: Request
    ) -> list[Step[World]]:
        found = [_step(f"request arrives at {req.entry}", self._arrive, index)]
        waiting = (req.caller, req.attempt) not in state.given_up
        if req.hop_from >= 0 and waiting and state.faults < self._case.faults:
            found.append(_step("ingress gives up", self._ingress_gives_up, index))
        away = state.tickets[req.ticket].ref.owner != str(req.entry)
        if req.hop_from < 0 and away and state.faults < self._case.faults:
            found.append(_step("owner unreachable", self._unreachable, index))
        return found

    def _entry_steps(self, state: World, number: int) -> list[Step[World]]:
        entry = state.entries[number]
        found: list[Step[World]] = []
        for index, task in enumerate(entry.tasks):
            if not task.sent:
                found.append(_step(f"{number} sends", self._task_sends, number, index))
            elif state.faults < self._case.faults:
                label = f"{number} gives up the target"
                found.append(_step(label, self._task_gives_up, number, index))
        if state.restarts < self._case.restarts:
            found.append(_step(f"{number} restarts", self._restart, number))
        return found

    def _ledger(self, entry: int, life: int) -> OperationLedger:
        return self._make_ledger(
            owner=EntryId(str(entry)),
            region=RegionId("region"),
            incarnation=Incarnation(f"{entry}/{life}"),
        )

    def _take_ticket(self, state: World, number: int, entry: int) -> None:
        ref = state.entries[entry].ledger.issue(_CALL)
        caller = state.callers[number]
        state.tickets.append(IssuedTicket(ref=ref, caller=number, intent=caller.intent))
        sharing = state.callers if self._case.shared else [caller]
        for user in sharing:
            user.ticket = len(state.tickets) - 1
            user.tickets += 1
            user.wants_ticket = False
            user.history = self._make_history()
            user.attempts = 0
            user.open = []

    def _next_intent(self, state: World, number: int) -> None:
        caller = state.callers[number]
        caller.intent += 1
        caller.tickets = 0
        caller.wants_ticket = True
        caller.ended = False

    def _send(self, state: World, number: int, entry: int) -> None:
        caller = state.callers[number]
        attempt = caller.tickets * 10 + caller.attempts + 100 * caller.intent
        caller.attempts += 1
        caller.open.append(attempt)
        caller.history.started()
        state.requests.append(Request(number, attempt, entry, caller.ticket))

    def _give_up(self, state: World, number: int, attempt: int) -> None:
        state.faults += 1
        state.given_up.add((number, attempt))
        self._attempt_ended(state, number, attempt, unanswered(sent=True))

    def _arrive(self, state: World, index: int) -> None:
        req = state.requests.pop(index)
        entry = state.entries[req.entry]
        ref = state.tickets[req.ticket].ref
        waiter = Waiter(req.caller, req.attempt, req.hop_from)
        if entry.ledger.owns(ref):
            self._begin(state, req, waiter)
        elif req.hop_from >= 0 or ref.owner == entry.ledger.owner:
            _reply(state, waiter, req.ticket, owner_gone(""))
        else:
            state.requests.append(
                Request(req.caller, req.attempt, int(ref.owner), req.ticket, req.entry)
            )

    def _begin(self, state: World, req: Request, waiter: Waiter) -> None:
        entry = state.entries[req.entry]
        decision = entry.ledger.begin(
            state.tickets[req.ticket].ref,
            call=_CALL,
            digest="",
            send_by=state.now + _SEND_SECONDS,
        )
        if isinstance(decision, Refusal | Replay):
            _reply(state, waiter, req.ticket, decision)
            return
        if isinstance(decision, Start):
            entry.tasks.append(Task(ticket=req.ticket, decided_at=state.now))
        task = next(item for item in entry.tasks if item.ticket == req.ticket)
        task.waiters.append(waiter)

    def _ingress_gives_up(self, state: World, index: int) -> None:
        req = state.requests[index]
        state.faults += 1
        state.replies.append(Reply(req.caller, req.attempt, end=unanswered(sent=True)))
        state.requests[index] = Request(-1, -1, req.entry, req.ticket, req.hop_from)

    def _unreachable(self, state: World, index: int) -> None:
        req = state.requests[index]
        state.faults += 1
        del state.requests[index]
        waiter = Waiter(req.caller, req.attempt, -1)
        _reply(state, waiter, req.ticket, owner_gone("", retry=True))

    def _task_sends(self, state: World, number: int, index: int) -> None:
        entry = state.entries[number]
        task = entry.tasks[index]
        ref = state.tickets[task.ticket].ref
        refusal = entry.ledger.mark_sent(ref, decided_at=task.decided_at, now=state.now)
        if refusal is not None:
            entry.ledger.failed(ref, refusal)
            self._end_task(state, number, index)
            return
        late = state.now - task.decided_at >= _SEND_SECONDS
        state.late_sendings += late
        task.sent = True
        state.sendings.append(Sending(number, entry.life, task.ticket))

    def _task_gives_up(self, state: World, number: int, index: int) -> None:
        state.faults += 1
        self._fail_task(state, number, index, Verdict.MAY_HAVE_RUN)

    def _fail_task(
        self, state: World, number: int, index: int, verdict: Verdict
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

    def _end_task(self, state: World, number: int, index: int) -> None:
        entry = state.entries[number]
        task = entry.tasks.pop(index)
        outcome = entry.ledger.outcome(state.tickets[task.ticket].ref)
        for waiter in task.waiters:
            _reply(state, waiter, task.ticket, outcome)

    def _run(self, state: World, index: int) -> None:
        sending = state.sendings.pop(index)
        ticket = state.tickets[sending.ticket]
        ticket.executions += 1
        execution = sum(item.executions for item in state.tickets)
        self._target_answers(state, sending, execution)

    def _refuse(self, state: World, index: int) -> None:
        state.faults += 1
        self._target_answers(state, state.sendings.pop(index), 0)

    def _target_answers(self, state: World, sending: Sending, execution: int) -> None:
        state.target_answers.append(
            TargetAnswer(sending.entry, sending.life, sending.ticket, execution)
        )

    def _answer(self, state: World, index: int) -> None:
        answer = state.target_answers.pop(index)
        entry = state.entries[answer.entry]
        tasks = [task.ticket for task in entry.tasks if task.sent]
        if entry.life != answer.life or answer.ticket not in tasks:
            return
        number = [task.ticket for task in entry.tasks].index(answer.ticket)
        ref = state.tickets[answer.ticket].ref
        if answer.execution:
            body = str(answer.execution).encode()
            held = HeldAnswer(status=200, content_type="", body=body)
            entry.ledger.answered(ref, held)
            self._end_task(state, answer.entry, number)
            return
        entry.ledger.not_executed(ref)
        if state.faults < self._case.faults:
            entry.tasks[number].sent = False
            entry.tasks[number].decided_at = state.now
        else:
            self._fail_task(state, answer.entry, number, Verdict.NOT_RUN)

    def _reply_arrives(self, state: World, index: int) -> None:
        reply = state.replies.pop(index)
        caller = state.callers[reply.caller]
        if reply.attempt not in caller.open:
            return
        if reply.end is not None:
            self._attempt_ended(state, reply.caller, reply.attempt, reply.end)
            return
        caller.open.remove(reply.attempt)
        caller.ended = True

    def _attempt_ended(
        self, state: World, number: int, attempt: int, end: AttemptEnd
    ) -> None:
        caller = state.callers[number]
        caller.open.remove(attempt)
        step = caller.history.ended(end)
        if caller.ended:
            return
        last = caller.attempts >= self._case.attempts and not caller.open
        renews = not self._case.shared and caller.tickets < self._case.tickets
        if step is NextStep.NEW_TICKET and renews:
            caller.wants_ticket = True
        elif step is not NextStep.RETRY or last:
            caller.ended = True
            if not self._case.shared and caller.history.verdict is Verdict.NOT_RUN:
                state.tickets[caller.ticket].told_not_run = True

    def _restart(self, state: World, number: int) -> None:
        state.restarts += 1
        life = state.entries[number].life + 1
        state.entries[number] = EntryState(life=life, ledger=self._ledger(number, life))

    def _pause(self, state: World) -> None:
        state.pauses += 1
        state.now += _PAUSE_SECONDS


def _step(label: str, act: Callable[..., None], *args: int) -> Step[World]:
    return Step(label, partial(_apply, act, args))


def _apply(act: Callable[..., None], args: tuple[int, ...], state: World) -> None:
    act(state, *args)


def _reply(
    state: World, waiter: Waiter, ticket: int, decision: Refusal | Replay
) -> None:
    if waiter.caller < 0:
        return
    if isinstance(decision, Replay):
        execution = int(decision.answer.body)
        state.tickets[ticket].told.append(execution)
        state.replies.append(Reply(waiter.caller, waiter.attempt, execution))
        return
    if decision.verdict is Verdict.NOT_RUN:
        state.tickets[ticket].told_not_run = True
    end = AttemptEnd(
        verdict=decision.verdict,
        attempt_verdict=decision.attempt_verdict,
        reason=decision.reason.slug,
        retry_after_seconds=decision.retry_after_seconds,
    )
    state.replies.append(Reply(waiter.caller, waiter.attempt, end=end))


def _repeated_intents(state: World) -> list[str]:
    executions: dict[tuple[int, int], int] = {}
    for ticket in state.tickets:
        key = (ticket.caller, ticket.intent)
        executions[key] = executions.get(key, 0) + ticket.executions
    return [
        f"call {intent} of caller {caller} ran {count} times"
        for (caller, intent), count in executions.items()
        if count > 1
    ]
