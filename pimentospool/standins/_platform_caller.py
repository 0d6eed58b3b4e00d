"""Stand-in for the platform's callers; records the outcome of each call."""

import asyncio
import time
from collections.abc import AsyncIterator
from enum import Enum

import aiohttp
import msgspec

from pimentospool.sending import TRANSPORT_ERRORS, WrappedTransportError, open_session
from pimentospool.standins._platform_documents import HOST

REFUSAL_STATUSES = frozenset([408, 421, 429, 503])
"""Statuses that promise that a request was not executed and never will be."""
PIECE_BYTES = 64 * 1024
"""Size of the pieces in which a slow caller sends and reads a body."""
_CALL_TIMEOUT_SECONDS = 8.0
"""Timeout of a caller; it is above the timeout of every route."""


class CallEnd(Enum):
    """How a call ended from the caller's point of view."""

    ANSWERED = "answered"
    BROKEN = "broken off"
    UNANSWERED = "unanswered"


class PlatformCall(msgspec.Struct, kw_only=True):
    """One call as recorded by its caller; times are monotonic, in seconds.

    `node` is the number of the called node. `reason` describes the failure of a call
    without a complete response. `slowly_read_from` is the time at which the
    head of a response arrived whose body the caller read slowly. `credential` is the
    API key that it sent, empty without one.
    """

    id: str
    method: str
    path: str
    body: bytes
    node: int
    sent_at: float
    credential: str = ""
    ended_at: float = 0.0
    slowly_read_from: float | None = None
    end: CallEnd = CallEnd.UNANSWERED
    status: int = 0
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    answer: bytes = b""
    reason: str = ""

    @property
    def succeeded(self) -> bool:
        """Whether the caller read a complete response with status 200."""
        return self.end is CallEnd.ANSWERED and self.status == 200

    @property
    def response_request_id(self) -> str:
        """Id of the request that the response names, or an empty string."""
        return self.headers.get("x-request-id", "")

    @property
    def signing_target(self) -> str:
        """Target named in the response's seal; empty without a seal for this call."""
        target, _, request_id = self.headers.get("x-response-seal", "").partition(".")
        return target if request_id == self.id else ""

    @property
    def refused(self) -> bool:
        """Whether the response promises that the request is never executed."""
        return self.end is CallEnd.ANSWERED and self.status in REFUSAL_STATUSES


class PlatformCaller:
    """A caller of one node, with persistent connections.

    Parameters
    ----------
    address : str
        IP:port at which the node accepts callers, or of a proxy in front of it.
    node : int
        Number of the node, for the records.
    """

    def __init__(self, *, address: str, node: int) -> None:
        self._node = node
        self._session = open_session(
            f"http://{address}",
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_SECONDS),
            auto_decompress=False,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def call(
        self,
        path: str,
        *,
        request_id: str,
        method: str = "GET",
        body: bytes = b"",
        pause_seconds: float = 0.0,
        credential: str = "",
    ) -> PlatformCall:
        """Make one call and return its record.

        With `pause_seconds`, bodies are sent and read in pieces, each followed by a
        pause.
        """
        call = PlatformCall(
            id=request_id,
            method=method,
            path=path,
            body=body,
            node=self._node,
            sent_at=time.monotonic(),
            credential=credential,
        )
        headers = {"Host": HOST, "X-Request-Id": request_id}
        if credential:
            headers["X-Credential"] = credential
        data: bytes | AsyncIterator[bytes] | None = body or None
        if pause_seconds:
            headers["Content-Length"] = str(len(body))
            data = _send_slowly(body, pause_seconds)
        try:
            async with self._session.request(
                method, path, headers=headers, data=data
            ) as resp:
                call.status = resp.status
                call.headers = {k.lower(): v for k, v in resp.headers.items()}
                if pause_seconds:
                    call.slowly_read_from = time.monotonic()
                while piece := await resp.content.read(PIECE_BYTES):
                    call.answer += piece
                    if pause_seconds:
                        await asyncio.sleep(pause_seconds)
            call.end = CallEnd.ANSWERED
        except TimeoutError:
            call.reason = "timeout"
        except (WrappedTransportError, *TRANSPORT_ERRORS) as exc:
            call.end = CallEnd.BROKEN
            call.reason = repr(getattr(exc, "error", exc))
        call.ended_at = time.monotonic()
        return call


async def _send_slowly(body: bytes, pause_seconds: float) -> AsyncIterator[bytes]:
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]
        await asyncio.sleep(pause_seconds)
