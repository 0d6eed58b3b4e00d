"""Callers: they send one call and keep the rules on retries."""

import asyncio
import random
import time
from typing import Protocol

import aiohttp
import msgspec

from pimentospool._generated.callers import OperationTicket, TicketRequest
from pimentospool._generated.records import (
    AttemptRecord,
    CallerRecord,
    CallKind,
    CallOutcome,
)
from pimentospool.client import (
    AttemptEnd,
    NextStep,
    OperationHistory,
    RepeatHistory,
)
from pimentospool.errors import Problem
from pimentospool.ids import EntryId, OperationId, RegionId, RequestId, ServiceId
from pimentospool.load._checks import AnswerCheck
from pimentospool.load._traffic import SERVICES_PREFIX, Call, KeyOf
from pimentospool.sending import UnrepeatedError, open_session
from pimentospool.verdicts import Verdict

MAX_ATTEMPTS = 3
_PROBLEM_TYPE = "application/problem+json"
_OPERATIONS_PATH = "/v1/operations"
_OPERATION_HEADER = "Operation-Id"
_DEADLINE_HEADER = "X-Deadline-Seconds"
_REQUEST_ID_HEADER = "X-Request-Id"
_CONNECT_SECONDS = 1.0
_TICKET_SECONDS = 2.0
_MAX_PAUSE_SECONDS = 1.0
_GRACE_SECONDS = 2.0
_ERROR_EVENT = b"event: error\ndata: "


class EntryAddress(msgspec.Struct, kw_only=True, frozen=True):
    """An entry VM that callers may use."""

    id: EntryId
    region: RegionId
    address: str


class EntryDirectory(Protocol):
    """Where callers learn of entry VMs."""

    def entries(self) -> list[EntryAddress]:
        """Return the entry VMs that callers may try now."""
        ...


class _Answer(msgspec.Struct, kw_only=True):
    outcome: CallOutcome
    status: int = 0
    request_id: str = ""
    verdict: str = ""
    attempt_verdict: str = ""
    reason: str = ""
    first_at: float | None = None
    retry_after_seconds: float = 0.0


class Callers:
    """Sends calls to entry VMs.

    A call goes to an entry VM of its caller's region, then to those of the other
    regions that its customer allows. It is sent again only after a refusal that ran
    nothing, if it is idempotent, or under its operation's ticket.

    Parameters
    ----------
    directory : EntryDirectory
        Entry VMs to use.
    check : AnswerCheck
        Tells whole answers.
    key_of : callable
        Returns a customer's bearer key.
    rng : random.Random
        Source of the order in which entry VMs are tried.
    deadline_seconds : float
        Time that a call may take.
    """

    def __init__(
        self,
        *,
        directory: EntryDirectory,
        check: AnswerCheck,
        key_of: KeyOf,
        rng: random.Random,
        deadline_seconds: float,
    ) -> None:
        self._directory = directory
        self._check = check
        self._key_of = key_of
        self._rng = rng
        self._deadline_seconds = deadline_seconds
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_SECONDS)
        self._session = open_session(
            connector=aiohttp.TCPConnector(limit=0, force_close=True), timeout=timeout
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send(self, call: Call, *, intended_at: float) -> CallerRecord:
        """Send `call` until it ends, and return what was seen."""
        record = CallerRecord(
            id=call.id,
            customer=call.customer.id,
            region=call.region,
            kind=call.kind,
            intended_at=intended_at,
            ended_at=intended_at,
            outcome=CallOutcome.UNREACHABLE,
            body_digest=call.body_digest,
        )
        deadline = time.time() + self._deadline_seconds
        once = call.kind is CallKind.NON_IDEMPOTENT
        history = OperationHistory() if once else RepeatHistory()
        sent = 0
        for entry in self._candidates(call):
            remaining = deadline - time.time()
            if remaining <= 0 or sent >= MAX_ATTEMPTS:
                break
            history.started()
            answer = await self._attempt(call, record, entry, remaining)
            if answer.outcome in (CallOutcome.WHOLE, CallOutcome.WRONG):
                break
            sent += answer.outcome is not CallOutcome.UNREACHABLE
            step = history.ended(_end_of(answer))
            if step is NextStep.STOP:
                break
            if step is NextStep.NEW_TICKET:
                record.operation_id = OperationId("")
            await asyncio.sleep(min(answer.retry_after_seconds, _MAX_PAUSE_SECONDS))
        record.ended_at = time.time()
        return record

    def _candidates(self, call: Call) -> list[EntryAddress]:
        allowed = call.customer.allowed_regions
        usable = [
            entry for entry in self._directory.entries() if entry.region in allowed
        ]
        self._rng.shuffle(usable)
        usable.sort(key=lambda entry: entry.region != call.region)
        return usable

    async def _attempt(
        self, call: Call, record: CallerRecord, entry: EntryAddress, remaining: float
    ) -> _Answer:
        sent_at = time.time()
        answer = await self._exchange(call, record, entry, remaining)
        if answer.outcome is not CallOutcome.UNREACHABLE or not record.attempts:
            record.outcome = answer.outcome
        record.first_at = answer.first_at
        record.attempts.append(
            AttemptRecord(
                entry=entry.id,
                sent_at=sent_at,
                ended_at=time.time(),
                outcome=answer.outcome,
                status=answer.status,
                request_id=RequestId(answer.request_id),
                verdict=answer.verdict,
                reason=answer.reason,
            )
        )
        return answer

    async def _exchange(
        self, call: Call, record: CallerRecord, entry: EntryAddress, remaining: float
    ) -> _Answer:
        headers = {
            "Authorization": f"Bearer {self._key_of(call.customer)}",
            "Content-Type": "application/json",
            _DEADLINE_HEADER: f"{remaining:.3f}",
        }
        if call.kind is CallKind.NON_IDEMPOTENT:
            try:
                refused = await self._take_ticket(call, record, entry, headers)
            except (aiohttp.ClientError, OSError, TimeoutError) as exc:
                return _Answer(outcome=CallOutcome.UNREACHABLE, reason=repr(exc))
            if refused is not None:
                return refused
            headers[_OPERATION_HEADER] = record.operation_id
        try:
            async with (
                asyncio.timeout(remaining + _GRACE_SECONDS),
                self._session.request(
                    call.method,
                    f"http://{entry.address}{call.path}",
                    data=call.body,
                    headers=headers,
                ) as resp,
            ):
                return await self._read(call, resp)
        except UnrepeatedError as exc:
            unsent = isinstance(exc.error, aiohttp.ClientConnectorError)
            outcome = CallOutcome.UNREACHABLE if unsent else CallOutcome.BROKEN
            return _Answer(outcome=outcome, reason=repr(exc.error))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return _Answer(outcome=CallOutcome.BROKEN, reason=repr(exc))

    async def _take_ticket(
        self,
        call: Call,
        record: CallerRecord,
        entry: EntryAddress,
        headers: dict[str, str],
    ) -> _Answer | None:
        """Take a ticket unless there is one; return the answer of a refusal."""
        if record.operation_id:
            return None
        service, _, path = call.path.removeprefix(SERVICES_PREFIX).partition("/")
        asked = TicketRequest(service=ServiceId(service), path=path, method=call.method)
        url = f"http://{entry.address}{_OPERATIONS_PATH}"
        async with (
            asyncio.timeout(_TICKET_SECONDS),
            self._session.post(
                url, data=msgspec.json.encode(asked), headers=headers
            ) as resp,
        ):
            data = await resp.read()
        if not resp.ok:
            return _refusal(resp.status, data)
        ticket = msgspec.json.decode(data, type=OperationTicket)
        record.operation_id = OperationId(ticket.operation_id)
        return None

    async def _read(self, call: Call, resp: aiohttp.ClientResponse) -> _Answer:
        first_at = None
        body = b""
        request_id = resp.headers.get(_REQUEST_ID_HEADER, "")
        try:
            async for piece in resp.content.iter_any():
                first_at = first_at or time.time()
                body += piece
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return _Answer(
                outcome=CallOutcome.BROKEN,
                status=resp.status,
                request_id=request_id,
                reason=repr(exc),
            )
        if resp.content_type == _PROBLEM_TYPE:
            return _refusal(resp.status, body)
        if _ERROR_EVENT in body:
            return _refusal(resp.status, body.partition(_ERROR_EVENT)[2])
        whole = resp.ok and self._check.is_whole(call, body, request_id)
        return _Answer(
            outcome=CallOutcome.WHOLE if whole else CallOutcome.WRONG,
            status=resp.status,
            request_id=request_id,
            first_at=first_at,
        )


def _refusal(status: int, data: bytes) -> _Answer:
    try:
        problem = msgspec.json.decode(data.strip(), type=Problem)
    except msgspec.DecodeError:
        return _Answer(
            outcome=CallOutcome.WRONG, status=status, reason="unreadable problem"
        )
    return _Answer(
        outcome=CallOutcome.REFUSED,
        status=status,
        request_id=problem.request_id,
        verdict=problem.verdict.value,
        attempt_verdict=(problem.attempt_verdict or problem.verdict).value,
        reason=problem.error.type,
        retry_after_seconds=problem.retry_after_seconds or 0.0,
    )


def _end_of(answer: _Answer) -> AttemptEnd:
    if answer.outcome is CallOutcome.REFUSED:
        verdict = Verdict(answer.verdict)
        return AttemptEnd(
            verdict=verdict,
            attempt_verdict=Verdict(answer.attempt_verdict or answer.verdict),
            reason=answer.reason,
            retry_after_seconds=answer.retry_after_seconds or None,
        )
    sent = answer.outcome is CallOutcome.BROKEN
    attempt = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
    return AttemptEnd(verdict=Verdict.MAY_HAVE_RUN, attempt_verdict=attempt)
