"""One attempt of a call at one entry VM."""

import asyncio

import aiohttp
import msgspec

from pimentospool.client._entries import EntryFinder
from pimentospool.client._history import (
    AttemptEnd,
    end_by_refusal,
    end_without_response,
)
from pimentospool.errors import Problem
from pimentospool.ids import OperationId, RequestId
from pimentospool.sending import WrappedTransportError

_VERDICT_HEADER = "X-Verdict"
_REQUEST_ID_HEADER = "X-Request-Id"
_DEADLINE_HEADER = "X-Deadline-Seconds"
_OPERATION_HEADER = "Operation-Id"
_MIN_STATUS, _MAX_STATUS = 100, 599
"""Range of statuses (RFC 9110, section 15); a faulty server sends others."""
_TIMEOUT_MARGIN_SECONDS = 1.0
"""Time by which the client waits longer than the deadline that it sends."""


class Request(msgspec.Struct, kw_only=True, frozen=True):
    """A request that the client sends."""

    method: str
    path: str
    body: bytes
    operation_id: OperationId | None = None


class CallAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """A target's complete response."""

    status: int
    content_type: str
    body: bytes
    request_id: RequestId
    entry: str


class Attempt(msgspec.Struct, kw_only=True, frozen=True):
    """Result of one attempt: the answer, or how the attempt ended without one."""

    entry: str = ""
    answer: CallAnswer | None = None
    end: AttemptEnd | None = None
    problem: Problem | None = None
    detail: str = ""


class Sender:
    """Sends single attempts to the entry VMs that the finder chooses.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the customer's key.
    entries : EntryFinder
        Chooses the entry VM of each attempt.
    """

    def __init__(self, *, session: aiohttp.ClientSession, entries: EntryFinder) -> None:
        self.consecutive_failures = 0
        self._session = session
        self._entries = entries

    async def send(self, req: Request, timeout_seconds: float) -> Attempt:
        """Send `req` once and return the result."""
        resp = await self.open(req, timeout_seconds)
        if isinstance(resp, Attempt):
            return resp
        try:
            async with asyncio.timeout(timeout_seconds + _TIMEOUT_MARGIN_SECONDS), resp:
                return await _read_answer(resp)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return self._unanswered_attempt(_entry_address(resp), exc, sent=True)

    async def open(
        self, req: Request, timeout_seconds: float
    ) -> aiohttp.ClientResponse | Attempt:
        """Send `req` once and return the response when its headers have arrived.

        An attempt that was refused or brought no response is returned as an `Attempt`.
        """
        entry = await self._entries.choose()
        if entry is None:
            return Attempt(end=end_without_response(sent=False))
        headers = {
            "Content-Type": "application/json",
            _DEADLINE_HEADER: f"{timeout_seconds:.3f}",
        }
        if req.operation_id is not None:
            headers[_OPERATION_HEADER] = req.operation_id
        try:
            async with asyncio.timeout(timeout_seconds + _TIMEOUT_MARGIN_SECONDS):
                resp = await self._session.request(
                    req.method,
                    f"http://{entry}{req.path}",
                    data=req.body,
                    headers=headers,
                )
                fault = _head_fault(resp)
                if fault is not None:
                    resp.close()
                    exc = aiohttp.ClientPayloadError(fault)
                    return self._unanswered_attempt(entry, exc, sent=True)
                if _VERDICT_HEADER not in resp.headers:
                    self.consecutive_failures = 0
                    return resp
                async with resp:
                    return self._refused_attempt(entry, await resp.read())
        except WrappedTransportError as exc:
            unsent_errors = (
                aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
            )
            sent = not isinstance(exc.error, unsent_errors)
            return self._unanswered_attempt(entry, exc.error, sent=sent)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return self._unanswered_attempt(entry, exc, sent=True)

    def _unanswered_attempt(self, entry: str, exc: Exception, *, sent: bool) -> Attempt:
        self.consecutive_failures += 1
        self._entries.avoid(entry)
        return Attempt(
            entry=entry, end=end_without_response(sent=sent), detail=repr(exc)
        )

    def _refused_attempt(self, entry: str, data: bytes) -> Attempt:
        try:
            problem = msgspec.json.decode(data, type=Problem)
        except msgspec.DecodeError as exc:
            return self._unanswered_attempt(entry, exc, sent=True)
        self.consecutive_failures += 1
        end = end_by_refusal(problem)
        if end.region_not_allowed:
            self._entries.avoid_region(entry)
        else:
            self._entries.avoid(entry)
        return Attempt(entry=entry, end=end, problem=problem)


def _head_fault(resp: aiohttp.ClientResponse) -> str | None:
    """Return why a response can't be whole, None if it can be.

    aiohttp takes a reset for the end of a response without a length.
    """
    if not _MIN_STATUS <= resp.status <= _MAX_STATUS:
        return f"the answer has the status {resp.status}"
    codings = resp.headers.get("Transfer-Encoding", "").lower()
    has_end = "Content-Length" in resp.headers or codings.endswith("chunked")
    if not has_end and resp.status not in (204, 304):
        return "the answer does not say how long it is"
    return None


async def _read_answer(resp: aiohttp.ClientResponse) -> Attempt:
    body = await resp.read()
    answer = CallAnswer(
        status=resp.status,
        content_type=resp.headers.get("Content-Type", ""),
        body=body,
        request_id=RequestId(resp.headers.get(_REQUEST_ID_HEADER, "")),
        entry=_entry_address(resp),
    )
    return Attempt(entry=answer.entry, answer=answer)


def _entry_address(resp: aiohttp.ClientResponse) -> str:
    return f"{resp.url.host}:{resp.url.port}"
