"""State of the modelled system: callers, entry VMs, messages and the target."""

import msgspec

from pimentospool.client import OperationHistory
from pimentospool.client._history import AttemptEnd
from pimentospool.policy import OperationLedger, OperationRef


class Request(msgspec.Struct, frozen=True, order=True):
    """A request in transit to an entry VM.

    `hop_from` is the entry VM that forwarded it, or -1 if the caller sent it. `caller`
    and `attempt` are -1 if nobody waits for the reply.
    """

    caller: int
    attempt: int
    entry: int
    ticket: int
    hop_from: int = -1


class Waiter(msgspec.Struct, frozen=True, order=True):
    """A caller's attempt that waits at the operation's owner for the outcome.

    `ingress` is the entry VM that forwarded it, or -1 if the caller sent it.
    """

    caller: int
    attempt: int
    ingress: int


class Task(msgspec.Struct):
    """An operation in progress at its owner.

    `decided_at` is the time at which the owner decided to send it to the target;
    `sent` is set once it did.
    """

    ticket: int
    decided_at: int
    sent: bool = False
    waiters: list[Waiter] = msgspec.field(default_factory=list)


class TargetRequest(msgspec.Struct, frozen=True, order=True):
    """A request in transit from an operation's owner to the target."""

    entry: int
    generation: int
    ticket: int


class TargetResponse(msgspec.Struct, frozen=True, order=True):
    """A target's response in transit to the owner.

    `execution` is 0 if the target refused the request with proof that it did not run.
    """

    entry: int
    generation: int
    ticket: int
    execution: int


class Reply(msgspec.Struct, frozen=True):
    """A response (`execution`) or a failure (`end`) in transit to a caller."""

    caller: int
    attempt: int
    execution: int = 0
    end: AttemptEnd | None = None


class EntryState:
    """An entry VM; a restart adds 1 to `generation` and discards the other fields."""

    def __init__(self, *, generation: int, ledger: OperationLedger) -> None:
        self.generation = generation
        self.ledger = ledger
        self.tasks: list[Task] = []


class CallerState:
    """A caller that makes one logical call at a time, which must run at most once.

    `call_number` counts its logical calls, `tickets` the tickets of the present call
    and `attempts` the attempts with the present ticket. `ticket` is an index in the
    list of issued tickets, or -1. `ended` is set once the call needs no more attempts.
    """

    def __init__(self, *, history: OperationHistory) -> None:
        self.call_number = 0
        self.history = history
        self.ticket = -1
        self.tickets = 0
        self.attempts = 0
        self.open_attempts: list[int] = []
        self.wants_ticket = True
        self.ended = False


class IssuedTicket(msgspec.Struct):
    """A ticket, its caller, and what the target and the callers saw of it.

    `executions` counts the runs at the target. `reported_not_run` is set once a caller
    was told, or concluded, that the operation did not run. `reported_executions` holds
    the numbers of the executions whose responses were sent to callers.
    """

    ref: OperationRef
    caller: int
    call_number: int
    executions: int = 0
    reported_not_run: bool = False
    reported_executions: list[int] = msgspec.field(default_factory=list)


class SystemState:
    """Complete state of the model; `now` is in seconds.

    Messages in transit may be delivered in any order.
    """

    def __init__(
        self, *, entries: list[EntryState], callers: list[CallerState]
    ) -> None:
        self.now = 0
        self.entries = entries
        self.callers = callers
        self.tickets: list[IssuedTicket] = []
        self.requests: list[Request] = []
        self.target_requests: list[TargetRequest] = []
        self.target_responses: list[TargetResponse] = []
        self.replies: list[Reply] = []
        self.abandoned_attempts: set[tuple[int, int]] = set()
        self.restarts = 0
        self.pauses = 0
        self.faults = 0
        self.late_target_requests = 0

    def fingerprint(self) -> bytes:
        """Return bytes that are equal for states with the same possible futures."""
        entries = [
            (entry.generation, entry.ledger.fingerprint(), entry.tasks)
            for entry in self.entries
        ]
        callers = [
            (
                caller.call_number,
                caller.history.open_attempts,
                caller.history.verdict,
                caller.ticket,
                caller.tickets,
                caller.attempts,
                caller.open_attempts,
                caller.wants_ticket,
                caller.ended,
            )
            for caller in self.callers
        ]
        replies = sorted(msgspec.msgpack.encode(reply) for reply in self.replies)
        return msgspec.msgpack.encode(
            (
                self.now,
                entries,
                callers,
                self.tickets,
                sorted(self.requests),
                sorted(self.target_requests),
                sorted(self.target_responses),
                replies,
                sorted(self.abandoned_attempts),
                (self.restarts, self.pauses, self.faults, self.late_target_requests),
            )
        )
