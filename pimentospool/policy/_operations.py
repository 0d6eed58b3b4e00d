"""Ledger of at-most-once operations that one incarnation of an entry VM owns.

A ticket names the only incarnation that may ever send its operation to a target.
The ledger decides what that incarnation does with each request for the ticket.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

from pimentospool.ids import CustomerId, EntryId, Incarnation, RegionId, ServiceId
from pimentospool.policy._refusals import (
    Refusal,
    answer_lost,
    conflict,
    expired,
    not_sent,
    overloaded,
    owner_gone,
    unknown,
)
from pimentospool.verdicts import Verdict

_EVICTION_DIVISOR = 16


class OperationCall(msgspec.Struct, kw_only=True, frozen=True):
    """The customer and the call for which a ticket is valid."""

    customer: CustomerId
    service: ServiceId
    method: str
    path: str


class OperationRef(msgspec.Struct, kw_only=True, frozen=True):
    """Reference to an operation and the only incarnation that may send it.

    `address` is the IP:port at which that incarnation serves callers and hops. No
    look-up is needed, so an entry VM that only has a summary of the owner's zone can
    reach the owner too.
    """

    owner: EntryId
    address: str
    region: RegionId
    incarnation: Incarnation
    sequence: int
    call: OperationCall


class HeldAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """The target's complete answer to an operation, held for replays."""

    status: int
    content_type: str
    body: bytes


class OperationState(Enum):
    """State of an operation; all but `RUNNING` and `SENT` are final."""

    RUNNING = "running"
    SENT = "sent"
    ANSWERED = "answered"
    ANSWER_LOST = "answer-lost"
    UNKNOWN = "unknown"
    REFUSED = "refused"

    @property
    def final(self) -> bool:
        """Whether the operation has ended."""
        return self not in (OperationState.RUNNING, OperationState.SENT)

    @property
    def verdict(self) -> Verdict:
        """Verdict of the operation as a whole."""
        return _VERDICTS[self]


_VERDICTS = {
    OperationState.RUNNING: Verdict.MAY_HAVE_RUN,
    OperationState.SENT: Verdict.MAY_HAVE_RUN,
    OperationState.ANSWERED: Verdict.RAN,
    OperationState.ANSWER_LOST: Verdict.RAN,
    OperationState.UNKNOWN: Verdict.MAY_HAVE_RUN,
    OperationState.REFUSED: Verdict.NOT_RUN,
}


class Start(msgspec.Struct, kw_only=True, frozen=True):
    """Decision to start the operation."""


class Join(msgspec.Struct, kw_only=True, frozen=True):
    """Decision to wait for the execution in progress."""


class Replay(msgspec.Struct, kw_only=True, frozen=True):
    """Decision to respond with the held answer."""

    answer: HeldAnswer


Decision = Start | Join | Replay | Refusal


class LedgerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds on the ledger's memory.

    Parameters
    ----------
    window : int
        Sequence numbers remembered per customer.
    records : int
        Operations remembered over all customers.
    answer_bytes : int
        Total size of the held answers.
    answer_bytes_each : int
        Size of the longest answer that is held.
    pause_seconds : float
        Longest time between a decision and its send; more counts as a pause of the
        process, after which the operation is not sent.
    """

    window: int = 4096
    records: int = 65536
    answer_bytes: int = 32 * 1024 * 1024
    answer_bytes_each: int = 1024 * 1024
    pause_seconds: float = 2.0


class _Record(msgspec.Struct, kw_only=True):
    """One operation; `send_by` is its send deadline in monotonic seconds."""

    digest: str
    send_by: float
    state: OperationState = OperationState.RUNNING
    answer: HeldAnswer | None = None
    refusal: Refusal | None = None


class _CustomerLedger(msgspec.Struct, kw_only=True):
    """Operations of one customer.

    No operation with a sequence number up to `floor` is started any more.
    `unfinished` holds those that were in progress when the floor passed them.
    """

    next_sequence: int = 1
    floor: int = 0
    records: dict[int, _Record] = msgspec.field(default_factory=dict)
    unfinished: set[int] = msgspec.field(default_factory=set)


class OperationLedger:
    """Decides on requests for the operations of one incarnation of an entry VM.

    Parameters
    ----------
    owner : EntryId
        The entry VM.
    region : RegionId
        Its region.
    incarnation : Incarnation
        Identifier that is unique to this start of the process.
    address : str
        IP:port at which it serves callers and hops.
    limits : LedgerLimits
        Bounds on the ledger's memory.
    """

    def __init__(
        self,
        *,
        owner: EntryId,
        region: RegionId,
        incarnation: Incarnation,
        address: str = "",
        limits: LedgerLimits | None = None,
    ) -> None:
        self.owner = owner
        self.region = region
        self.incarnation = incarnation
        self.address = address
        self._limits = limits or LedgerLimits()
        self._customer_ledgers: dict[CustomerId, _CustomerLedger] = {}
        self._held: OrderedDict[tuple[CustomerId, int], int] = OrderedDict()
        self._held_bytes = 0
        self._record_count = 0

    @property
    def record_count(self) -> int:
        """Number of operations remembered."""
        return self._record_count

    @property
    def held_bytes(self) -> int:
        """Total size of the held answers in bytes."""
        return self._held_bytes

    def fingerprint(self) -> bytes:
        """Return bytes that are equal for ledgers that make the same decisions."""
        held = list(self._held)
        return msgspec.msgpack.encode((self.incarnation, self._customer_ledgers, held))

    def issue(self, call: OperationCall) -> OperationRef:
        """Return a new ticket, without starting or recording its operation."""
        ledger = self._customer_ledgers.setdefault(call.customer, _CustomerLedger())
        sequence = ledger.next_sequence
        ledger.next_sequence += 1
        self._raise_floor(call.customer, ledger, sequence - self._limits.window)
        return OperationRef(
            owner=self.owner,
            address=self.address,
            region=self.region,
            incarnation=self.incarnation,
            sequence=sequence,
            call=call,
        )

    def owns(self, ticket: OperationRef) -> bool:
        """Return whether this incarnation issued `ticket`."""
        return ticket.owner == self.owner and ticket.incarnation == self.incarnation

    def state(self, ticket: OperationRef) -> OperationState | None:
        """Return the operation's state, or None if it is not remembered."""
        record = self._find(ticket)
        return record.state if record else None

    def begin(
        self, ticket: OperationRef, *, call: OperationCall, digest: str, send_by: float
    ) -> Decision:
        """Decide on one request for `ticket`.

        Parameters
        ----------
        ticket : OperationRef
            A ticket whose signature is verified.
        call : OperationCall
            Customer and call of the request.
        digest : str
            Digest of the request's content.
        send_by : float
            Time in monotonic seconds from which on it must not be sent.
        """
        if not self.owns(ticket):
            return owner_gone("the ticket belongs to an earlier start of its owner")
        if call != ticket.call:
            return conflict(
                "the ticket was issued for another call", Verdict.MAY_HAVE_RUN
            )
        record = self._find(ticket)
        if record is None:
            return self._start(ticket, digest=digest, send_by=send_by)
        if record.digest != digest:
            return conflict(
                "the ticket was used with other content", record.state.verdict
            )
        if not record.state.final:
            record.send_by = max(record.send_by, send_by)
            return Join()
        return self._final_response(record)

    def outcome(self, ticket: OperationRef) -> Replay | Refusal:
        """Return the response to all requests for an ended operation."""
        record = self._find(ticket)
        if record is None:
            return expired()
        if not record.state.final:
            return unknown("the operation is still in progress", retry=True)
        return self._final_response(record)

    def mark_sent(
        self, ticket: OperationRef, *, decided_at: float, now: float
    ) -> Refusal | None:
        """Mark the operation as sent, or return why it must not be sent.

        To be called right before the first byte is written to a socket.

        Parameters
        ----------
        ticket : OperationRef
            The operation's ticket.
        decided_at, now : float
            Time of the decision to send and current time, in monotonic seconds.
        """
        record = self._find(ticket)
        if record is None or record.state is not OperationState.RUNNING:
            return unknown("the operation was already sent")
        if now >= record.send_by:
            return not_sent("the deadline passed before the operation was sent")
        if now - decided_at > self._limits.pause_seconds:
            return not_sent("the process was paused before the operation was sent")
        record.state = OperationState.SENT
        return None

    def not_executed(self, ticket: OperationRef) -> None:
        """Undo `mark_sent` after proof that the target did not run the operation."""
        record = self._find(ticket)
        if record is not None and record.state is OperationState.SENT:
            record.state = OperationState.RUNNING

    def answered(self, ticket: OperationRef, answer: HeldAnswer) -> None:
        """End the operation with the target's complete answer, and hold it."""
        record = self._find(ticket)
        if record is None or record.state.final:
            return
        record.state = OperationState.ANSWERED
        size = len(answer.body)
        if size > self._limits.answer_bytes_each:
            record.state = OperationState.ANSWER_LOST
            return
        record.answer = answer
        self._held[(ticket.call.customer, ticket.sequence)] = size
        self._held_bytes += size
        while self._held_bytes > self._limits.answer_bytes:
            self._drop_oldest_answer()

    def failed(self, ticket: OperationRef, refusal: Refusal) -> None:
        """End the operation without an answer.

        A ``NOT_RUN`` refusal closes the ticket. An operation that was sent, without
        proof that it did not run, counts as possibly run, whatever `refusal` says.
        """
        record = self._find(ticket)
        if record is None or record.state.final:
            return
        if refusal.verdict is Verdict.RAN:
            record.state = OperationState.ANSWER_LOST
        elif (
            record.state is OperationState.SENT
            or refusal.verdict is Verdict.MAY_HAVE_RUN
        ):
            record.state = OperationState.UNKNOWN
        else:
            record.state = OperationState.REFUSED
            record.refusal = refusal

    def _find(self, ticket: OperationRef) -> _Record | None:
        ledger = self._customer_ledgers.get(ticket.call.customer)
        if ledger is None or not self.owns(ticket):
            return None
        return ledger.records.get(ticket.sequence)

    def _start(self, ticket: OperationRef, *, digest: str, send_by: float) -> Decision:
        ledger = self._customer_ledgers.setdefault(
            ticket.call.customer, _CustomerLedger()
        )
        if self._record_count >= self._limits.records:
            self._evict()
        if ticket.sequence <= ledger.floor:
            return expired()
        if self._record_count >= self._limits.records:
            return overloaded()
        ledger.records[ticket.sequence] = _Record(digest=digest, send_by=send_by)
        self._record_count += 1
        return Start()

    def _final_response(self, record: _Record) -> Replay | Refusal:
        if record.answer is not None:
            return Replay(answer=record.answer)
        if record.refusal is not None:
            return record.refusal
        if record.state is OperationState.ANSWER_LOST:
            return answer_lost()
        return unknown("the operation was sent and its outcome is not known")

    def _evict(self) -> None:
        """Forget the oldest ended operations of the customer with the most records."""
        customers = sorted(
            self._customer_ledgers,
            key=lambda name: len(self._customer_ledgers[name].records),
            reverse=True,
        )
        for customer in customers:
            ledger = self._customer_ledgers[customer]
            ended = sorted(
                sequence
                for sequence, record in ledger.records.items()
                if record.state.final
            )
            if ended:
                self._evict_ended(customer, ledger, ended)
                return

    def _evict_ended(
        self, customer: CustomerId, ledger: _CustomerLedger, ended: list[int]
    ) -> None:
        count = max(1, len(ended) // _EVICTION_DIVISOR)
        # Operations that ended after the floor passed them are below it.
        for sequence in ended[:count]:
            if sequence in ledger.unfinished:
                ledger.unfinished.remove(sequence)
                self._forget(customer, ledger, sequence)
        self._raise_floor(customer, ledger, ended[count - 1])

    def _raise_floor(
        self, customer: CustomerId, ledger: _CustomerLedger, floor: int
    ) -> None:
        if floor <= ledger.floor:
            return
        below_floor = ledger.unfinished.union(range(ledger.floor + 1, floor + 1))
        ledger.floor = floor
        ledger.unfinished = set()
        for sequence in below_floor & ledger.records.keys():
            if ledger.records[sequence].state.final:
                self._forget(customer, ledger, sequence)
            else:
                ledger.unfinished.add(sequence)

    def _forget(
        self, customer: CustomerId, ledger: _CustomerLedger, sequence: int
    ) -> None:
        del ledger.records[sequence]
        self._record_count -= 1
        self._held_bytes -= self._held.pop((customer, sequence), 0)

    def _drop_oldest_answer(self) -> None:
        (customer, sequence), size = self._held.popitem(last=False)
        self._held_bytes -= size
        record = self._customer_ledgers[customer].records[sequence]
        record.answer = None
        record.state = OperationState.ANSWER_LOST
