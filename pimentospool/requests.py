"""A caller's request on its way through the gateway."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentospool._generated.callers import HopHeader
from pimentospool._generated.manifest import Customer, ServiceCall
from pimentospool.ids import ModelId, OperationId, RegionId, RequestId, ServiceId
from pimentospool.verdicts import Verdict


class RequestKind(Enum):
    """What serves a request."""

    MODEL = "model"
    SERVICE = "service"
    TICKET = "ticket"


class SendGuard(Protocol):
    """Follows the attempts of a request that may run at most once."""

    def sending(self, *, decided_at: float) -> None:
        """Return if the request may be sent now, otherwise raise.

        Called with no await before the first byte is handed to a socket.

        Parameters
        ----------
        decided_at : float
            When the target was chosen, in seconds of the monotonic clock.

        Raises
        ------
        RequestFailure
            If the request must not be sent any more.
        """
        ...

    def attempt_failed(self, verdict: Verdict) -> None:
        """Take note of an attempt that brought no whole answer."""
        ...


class RequestServer(Protocol):
    """Serves verified requests."""

    async def serve(self, req: "GatewayRequest", sink: "AnswerSink") -> None:
        """Send the whole answer of `req` to `sink`.

        Raises
        ------
        RequestFailure
            If the request ends without its answer.
        """
        ...


class GatewayRequest(msgspec.Struct, kw_only=True):
    """A verified request; `deadline` is in seconds of the loop's clock.

    `resume_after` is the number of the last event that the caller already has. A
    request with `stays` set is served in the own region or refused.
    """

    id: RequestId
    customer: Customer
    kind: RequestKind
    method: str
    path: str
    body: bytes
    content_type: str
    deadline: float
    idempotent: bool
    streamed: bool = False
    model: ModelId | None = None
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    blocks: tuple[str, ...] = ()
    service: ServiceId | None = None
    call: ServiceCall | None = None
    operation_id: OperationId | None = None
    hop: HopHeader | None = None
    resume_after: int | None = None
    traceparent: str = ""
    stays: bool = False
    send_guard: SendGuard | None = None

    @property
    def allowed_regions(self) -> frozenset[RegionId]:
        """Regions that may see the request and its data."""
        return frozenset(self.customer.allowed_regions)


class AnswerSink(Protocol):
    """Where an answer goes: the caller, or the entry VM that sent a hop."""

    @property
    def started(self) -> bool:
        """Whether the start of an answer has been sent."""
        ...

    async def whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Send a whole answer."""
        ...

    async def start(self, *, status: int, content_type: str) -> None:
        """Begin a streamed answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        ...

    async def finish(self) -> None:
        """End a streamed answer."""
        ...
