"""Verified requests, and the interfaces that serve them and take their responses."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentospool._generated.callers import HopHeader
from pimentospool._generated.manifest import Customer, ServiceCall
from pimentospool.ids import ModelId, OperationId, RegionId, RequestId, ServiceId
from pimentospool.verdicts import Verdict


class RequestKind(Enum):
    """Kind of a request, by what serves it."""

    MODEL = "model"
    SERVICE = "service"
    TICKET = "ticket"


class SendGuard(Protocol):
    """Decides on each attempt of a request that may run at most once."""

    def check_may_send(self, *, decided_at: float) -> None:
        """Raise if the request must not be sent any more.

        No await lies between this call and the first byte that is handed to a socket.

        Parameters
        ----------
        decided_at : float
            Time at which the target was chosen, in seconds of the monotonic clock.

        Raises
        ------
        RequestFailure
            If the request must not be sent any more.
        """
        ...

    def attempt_failed(self, verdict: Verdict) -> None:
        """Record an attempt that brought no whole response."""
        ...


class RequestServer(Protocol):
    """Serves verified requests."""

    async def serve(self, req: "GatewayRequest", sink: "AnswerSink") -> None:
        """Send the whole response to `req` to `sink`.

        Raises
        ------
        RequestFailure
            If the request ends without its response.
        """
        ...


class GatewayRequest(msgspec.Struct, kw_only=True):
    """A verified request.

    `deadline` is a time of the event loop's clock, in seconds. `blocks` are the hashes
    of the prompt's prefix blocks. `resume_after` is the number of the last event that
    the caller already has. A request with `local_only` set is served in the local
    region or refused.
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
    local_only: bool = False
    send_guard: SendGuard | None = None

    @property
    def allowed_regions(self) -> frozenset[RegionId]:
        """Regions that are allowed to see the request and its data."""
        return frozenset(self.customer.allowed_regions)


class AnswerSink(Protocol):
    """Receiver of a response: the caller, or the entry VM that sent a hop."""

    @property
    def started(self) -> bool:
        """Whether the start of a response has been sent."""
        ...

    async def send_whole(self, *, status: int, content_type: str, body: bytes) -> None:
        """Send a complete response."""
        ...

    async def start(self, *, status: int, content_type: str) -> None:
        """Start a streamed response."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of a streamed response."""
        ...

    async def finish(self) -> None:
        """End a streamed response."""
        ...
