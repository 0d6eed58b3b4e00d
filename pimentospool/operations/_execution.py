"""What joins one execution to the ledger."""

from collections.abc import Callable

from pimentospool.operations._failures import failure_of
from pimentospool.policy import HeldAnswer, OperationLedger, OperationRef
from pimentospool.verdicts import Verdict


class LedgerGuard:
    """Asks the ledger before an operation is sent."""

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

    def sending(self, *, decided_at: float) -> None:
        """Mark the operation as sent, or raise why it must not be sent."""
        refusal = self._ledger.mark_sent(
            self._ticket, decided_at=decided_at, now=self._clock()
        )
        if refusal is not None:
            raise failure_of(refusal)

    def attempt_failed(self, verdict: Verdict) -> None:
        """Allow another send after proof that this one did not run."""
        if verdict is Verdict.NOT_RUN:
            self._ledger.not_executed(self._ticket)


class HeldSink:
    """Keeps a whole answer in memory."""

    def __init__(self) -> None:
        self.started = False
        self.answer: HeldAnswer | None = None

    async def whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Keep a whole answer."""
        self.started = True
        self.answer = HeldAnswer(status=status, content_type=content_type, body=body)

    async def start(self, *, status: int, content_type: str) -> None:
        """Refuse a streamed answer."""
        raise NotImplementedError("operations are not streamed")

    async def write(self, data: bytes) -> None:
        """Refuse a streamed answer."""
        raise NotImplementedError("operations are not streamed")

    async def finish(self) -> None:
        """Refuse a streamed answer."""
        raise NotImplementedError("operations are not streamed")
