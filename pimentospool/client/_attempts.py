"""One attempt of a call at one entry VM."""

import asyncio

import aiohttp
import msgspec

from pimentospool.client._entries import EntryFinder
from pimentospool.client._history import AttemptEnd, refused, unanswered
from pimentospool.errors import Problem
from pimentospool.ids import OperationId, RequestId
from pimentospool.sending import UnrepeatedError

_VERDICT_HEADER = "X-Verdict"
_REQUEST_ID_HEADER = "X-Request-Id"
_DEADLINE_HEADER = "X-Deadline-Seconds"
_OPERATION_HEADER = "Operation-Id"
_GRACE_SECONDS = 1.0


class Request(msgspec.Struct, kw_only=True, frozen=True):
    """A request as the caller sends it."""

    method: str
    path: str
    body: bytes
    operation_id: OperationId | None = None


class CallAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """The target's whole answer."""

    status: int
    content_type: str
    body: bytes
    request_id: RequestId
    entry: str


class Attempt(msgspec.Struct, kw_only=True, frozen=True):
    """What one attempt brought: an answer, or an end without one."""

    entry: str = ""
    answer: CallAnswer | None = None
    end: AttemptEnd | None = None
    problem: Problem | None = None
    detail: str = ""


class Sender:
    """Makes attempts at the entry VMs that the finder chooses.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session with the customer's key.
    entries : EntryFinder
        Chooses the entry VM of each attempt.
    """

    def __init__(self, *, session: aiohttp.ClientSession, entries: EntryFinder) -> None:
        self.failures = 0
        self._session = session
        self._entries = entries

    async def send(self, req: Request, timeout_seconds: float) -> Attempt:
        """Send `req` once and return what it brought."""
        resp = await self.open(req, timeout_seconds)
        if isinstance(resp, Attempt):
            return resp
        try:
            async with asyncio.timeout(timeout_seconds + _GRACE_SECONDS), resp:
                return await _read(resp)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return self._unanswered(_entry_of(resp), exc, sent=True)

    async def open(
        self, req: Request, timeout_seconds: float
    ) -> aiohttp.ClientResponse | Attempt:
        """Send `req` and return the response once its status has arrived.

        An end without an answer comes back as an `Attempt`.
        """
        entry = await self._entries.choose()
        if entry is None:
            return Attempt(end=unanswered(sent=False))
        headers = {
            "Content-Type": "application/json",
            _DEADLINE_HEADER: f"{timeout_seconds:.3f}",
        }
        if req.operation_id is not None:
            headers[_OPERATION_HEADER] = req.operation_id
        try:
            async with asyncio.timeout(timeout_seconds + _GRACE_SECONDS):
                resp = await self._session.request(
                    req.method,
                    f"http://{entry}{req.path}",
                    data=req.body,
                    headers=headers,
                )
                if _VERDICT_HEADER not in resp.headers:
                    self.failures = 0
                    return resp
                async with resp:
                    return self._refused(entry, await resp.read())
        except UnrepeatedError as exc:
            unsent = aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
            sent = not isinstance(exc.error, unsent)
            return self._unanswered(entry, exc.error, sent=sent)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return self._unanswered(entry, exc, sent=True)

    def _unanswered(self, entry: str, exc: Exception, *, sent: bool) -> Attempt:
        self.failures += 1
        self._entries.avoid(entry)
        return Attempt(entry=entry, end=unanswered(sent=sent), detail=repr(exc))

    def _refused(self, entry: str, data: bytes) -> Attempt:
        try:
            problem = msgspec.json.decode(data, type=Problem)
        except msgspec.DecodeError as exc:
            return self._unanswered(entry, exc, sent=True)
        self.failures += 1
        end = refused(problem)
        if end.region_barred:
            self._entries.bar(entry)
        else:
            self._entries.avoid(entry)
        return Attempt(entry=entry, end=end, problem=problem)


async def _read(resp: aiohttp.ClientResponse) -> Attempt:
    body = await resp.read()
    answer = CallAnswer(
        status=resp.status,
        content_type=resp.headers.get("Content-Type", ""),
        body=body,
        request_id=RequestId(resp.headers.get(_REQUEST_ID_HEADER, "")),
        entry=_entry_of(resp),
    )
    return Attempt(entry=answer.entry, answer=answer)


def _entry_of(resp: aiohttp.ClientResponse) -> str:
    return f"{resp.url.host}:{resp.url.port}"
