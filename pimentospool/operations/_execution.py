"""Adapters between the execution of an operation and its ledger."""

from collections.abc import Callable

from pimentospool.operations._failures import failure_from_refusal
from pimentospool.policy import HeldAnswer, OperationLedger, OperationRef
from pimentospool.verdicts import Verdict


class LedgerGuard:
    """Send guard that asks the ledger before an operation is sent to a target."""

    def __init__(
        self,
        *,
        ledger: OperationLedger,
        ticket: OperationRef,
        clock: Callable[[], float],
    ) -> None:
        self._ledger = ledger
        self._ticket = ticket
        self._clock = clock

    def check_may_send(self, *, decided_at: float) -> None:
        """Mark the operation as sent; raise the refusal if it must not be sent."""
        refusal = self._ledger.mark_sent(
            self._ticket, decided_at=decided_at, now=self._clock()
        )
        if refusal is not None:
            raise failure_from_refusal(refusal)

    def attempt_failed(self, verdict: Verdict) -> None:
        """Allow another attempt if this one is known not to have run."""
        if verdict is Verdict.NOT_RUN:
            self._ledger.not_executed(self._ticket)


class BufferSink:
    """Answer sink that stores a whole answer in memory."""

    def __init__(self) -> None:
        self.started = False
        self.answer: HeldAnswer | None = None

    async def send_whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Store the answer."""
        self.started = True
        self.answer = HeldAnswer(status=status, content_type=content_type, body=body)

    async def start(self, *, status: int, content_type: str) -> None:
        """Raise an error, since operations are not streamed."""
        raise NotImplementedError("operations are not streamed")

    async def write(self, data: bytes) -> None:
        """Raise an error, since operations are not streamed."""
        raise NotImplementedError("operations are not streamed")

    async def finish(self) -> None:
        """Raise an error, since operations are not streamed."""
        raise NotImplementedError("operations are not streamed")
