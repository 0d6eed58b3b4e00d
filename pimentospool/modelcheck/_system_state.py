"""State of the small world in which operations are run."""

import msgspec

from pimentospool.client import OperationHistory
from pimentospool.client._history import AttemptEnd
from pimentospool.policy import OperationLedger, OperationRef


class Request(msgspec.Struct, frozen=True, order=True):
    """A request on its way to an entry VM; `hop_from` names the ingress."""

    caller: int
    attempt: int
    entry: int
    ticket: int
    hop_from: int = -1


class Waiter(msgspec.Struct, frozen=True, order=True):
    """A caller's attempt that waits at an owner, or at an ingress for the owner."""

    caller: int
    attempt: int
    ingress: int


class Task(msgspec.Struct):
    """An execution at its owner."""

    ticket: int
    decided_at: int
    sent: bool = False
    waiters: list[Waiter] = msgspec.field(default_factory=list)


class Sending(msgspec.Struct, frozen=True, order=True):
    """A request on its way to the target."""

    entry: int
    life: int
    ticket: int


class TargetAnswer(msgspec.Struct, frozen=True, order=True):
    """A target's answer on its way to the owner; 0 is a proved refusal."""

    entry: int
    life: int
    ticket: int
    execution: int


class Reply(msgspec.Struct, frozen=True):
    """An answer or a failure on its way to a caller."""

    caller: int
    attempt: int
    execution: int = 0
    end: AttemptEnd | None = None


class EntryState:
    """An entry VM: its life, its ledger and its executions."""

    def __init__(self, *, life: int, ledger: OperationLedger) -> None:
        self.life = life
        self.ledger = ledger
        self.tasks: list[Task] = []


class CallerState:
    """A caller with one thing that it wants done once."""

    def __init__(self, *, history: OperationHistory) -> None:
        self.intent = 0
        self.history = history
        self.ticket = -1
        self.tickets = 0
        self.attempts = 0
        self.open: list[int] = []
        self.wants_ticket = True
        self.ended = False


class IssuedTicket(msgspec.Struct):
    """A ticket, who took it, and what came of it."""

    ref: OperationRef
    caller: int
    intent: int
    executions: int = 0
    told_not_run: bool = False
    told: list[int] = msgspec.field(default_factory=list)


class World:
    """Everything that the model tracks."""

    def __init__(
        self, *, entries: list[EntryState], callers: list[CallerState]
    ) -> None:
        self.now = 0
        self.entries = entries
        self.callers = callers
        self.tickets: list[IssuedTicket] = []
        self.requests: list[Request] = []
        self.sendings: list[Sending] = []
        self.target_answers: list[TargetAnswer] = []
        self.replies: list[Reply] = []
        self.given_up: set[tuple[int, int]] = set()
        self.restarts = 0
        self.pauses = 0
        self.faults = 0
        self.late_sendings = 0

    def fingerprint(self) -> bytes:
        """Return bytes that are equal for worlds with the same future."""
        entries = [
            (entry.life, entry.ledger.fingerprint(), entry.tasks)
            for entry in self.entries
        ]
        callers = [
            (
                caller.intent,
                caller.history.open_attempts,
                caller.history.verdict,
                caller.ticket,
                caller.tickets,
                caller.attempts,
                caller.open,
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
                sorted(self.sendings),
                sorted(self.target_answers),
                replies,
                sorted(self.given_up),
                (self.restarts, self.pauses, self.faults, self.late_sendings),
            )
        )
