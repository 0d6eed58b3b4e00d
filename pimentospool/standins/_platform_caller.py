"""Stand-in of a platform's callers: requests on kept connections, and their ends."""

import time
from enum import Enum

import aiohttp
import msgspec

from pimentospool.sending import TRANSPORT_ERRORS, UnrepeatedError, open_session
from pimentospool.standins._platform_documents import HOST

REFUSALS = frozenset([408, 421, 429, 503])
"""Statuses that promise that a request has not run and never will."""
_GIVEN_UP_SECONDS = 8.0
"""Patience of a caller, above every route's time limit."""


class CallEnd(Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    BROKEN = "broken off"
    UNANSWERED = "unanswered"


class PlatformCall(msgspec.Struct, kw_only=True):
    """One call as its caller saw it; times are monotonic, in seconds."""

    id: str
    method: str
    path: str
    body: bytes
    node: int
    sent_at: float
    ended_at: float = 0.0
    end: CallEnd = CallEnd.UNANSWERED
    status: int = 0
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    answer: bytes = b""
    reason: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether a whole success was read."""
        return self.end is CallEnd.ANSWERED and self.status == 200

    @property
    def answered_id(self) -> str:
        """Id of the request to which the answer says that it belongs."""
        return self.headers.get("x-request-id", "")

    @property
    def sealed_target(self) -> str:
        """Target that made the answer, or an empty text without its proof."""
        target, _, request_id = self.headers.get("x-response-seal", "").partition(".")
        return target if request_id == self.id else ""

    @property
    def refused(self) -> bool:
        """Whether the answer promises that the request never runs."""
        return self.end is CallEnd.ANSWERED and self.status in REFUSALS


class PlatformCaller:
    """A caller of one node; it keeps its connections open.

    Parameters
    ----------
    address : str
        IP:port of the node's front, or of a proxy before it.
    node : int
        Number of the node in records.
    """

    def __init__(self, *, address: str, node: int) -> None:
        self._node = node
        self._session = open_session(
            f"http://{address}",
            timeout=aiohttp.ClientTimeout(total=_GIVEN_UP_SECONDS),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def call(
        self, path: str, *, request_id: str, method: str = "GET", body: bytes = b""
    ) -> PlatformCall:
        """Make one call and return its record."""
        call = PlatformCall(
            id=request_id,
            method=method,
            path=path,
            body=body,
            node=self._node,
            sent_at=time.monotonic(),
        )
        headers = {"Host": HOST, "X-Request-Id": request_id}
        try:
            async with self._session.request(
                method, path, headers=headers, data=body or None
            ) as resp:
                call.status = resp.status
                call.headers = {k.lower(): v for k, v in resp.headers.items()}
                async for data in resp.content.iter_any():
                    call.answer += data
            call.end = CallEnd.ANSWERED
        except TimeoutError:
            call.reason = "timeout"
        except (UnrepeatedError, *TRANSPORT_ERRORS) as exc:
            call.end = CallEnd.BROKEN
            call.reason = repr(getattr(exc, "error", exc))
        call.ended_at = time.monotonic()
        return call
