"""Simulated callers, which send calls and follow the retry rules for callers."""

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
    IdempotentCallHistory,
    NextStep,
    OperationHistory,
)
from pimentospool.errors import Problem
from pimentospool.ids import EntryId, OperationId, RegionId, RequestId, ServiceId
from pimentospool.load._checks import AnswerCheck
from pimentospool.load._traffic import SERVICES_PREFIX, Call, KeyOf
from pimentospool.sending import WrappedTransportError, open_session
from pimentospool.verdicts import Verdict

MAX_ATTEMPTS = 3
_PROBLEM_TYPE = "application/problem+json"
_OPERATIONS_PATH = "/v1/operations"
_OPERATION_HEADER = "Operation-Id"
_DEADLINE_HEADER = "X-Deadline-Seconds"
_REQUEST_ID_HEADER = "X-Request-Id"
_CONNECT_TIMEOUT_SECONDS = 1.0
_TICKET_TIMEOUT_SECONDS = 2.0
_MAX_RETRY_DELAY_SECONDS = 1.0
_DEADLINE_GRACE_SECONDS = 2.0
_ERROR_EVENT_PREFIX = b"event: error\ndata: "


class EntryAddress(msgspec.Struct, kw_only=True, frozen=True):
    """An entry VM and the address that callers use."""

    id: EntryId
    region: RegionId
    address: str


class EntryDirectory(Protocol):
    """Source of the entry VMs that callers may use."""

    def entries(self) -> list[EntryAddress]:
        """Return the entry VMs that callers may try now."""
        ...


class _AttemptResult(msgspec.Struct, kw_only=True):
    outcome: CallOutcome
    status: int = 0
    request_id: str = ""
    verdict: str = ""
    attempt_verdict: str = ""
    reason: str = ""
    first_at: float | None = None
    retry_after_seconds: float = 0.0


class Callers:
    """Sends calls to entry VMs, and retries them as callers may.

    A call goes to an entry VM of its caller's region, then to those of the other
    regions that its customer allows. It is retried only after a refusal that states
    that nothing ran, if it is idempotent, or under the ticket of its operation.

    Parameters
    ----------
    directory : EntryDirectory
        Entry VMs that may be tried.
    check : AnswerCheck
        Decides whether an answer is complete and correct.
    key_of : callable
        Returns a customer's bearer key.
    rng : random.Random
        Shuffles the entry VMs of a region before they are tried.
    deadline_seconds : float
        Time that a call may take with all its attempts.
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
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_SECONDS
        )
        self._session = open_session(
            connector=aiohttp.TCPConnector(limit=0, force_close=True), timeout=timeout
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send(self, call: Call, *, intended_at: float) -> CallerRecord:
        """Send `call`, with retries, and return its record."""
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
        has_ticket = call.kind is CallKind.NON_IDEMPOTENT
        history = OperationHistory() if has_ticket else IdempotentCallHistory()
        sent_count = 0
        for entry in self._candidates(call):
            remaining_seconds = deadline - time.time()
            if remaining_seconds <= 0 or sent_count >= MAX_ATTEMPTS:
                break
            history.record_start()
            result = await self._attempt(call, record, entry, remaining_seconds)
            if result.outcome in (CallOutcome.WHOLE, CallOutcome.WRONG):
                break
            sent_count += result.outcome is not CallOutcome.UNREACHABLE
            next_step = history.record_end(_attempt_end(result))
            if next_step is NextStep.STOP:
                break
            if next_step is NextStep.NEW_TICKET:
                record.operation_id = OperationId("")
            await asyncio.sleep(
                min(result.retry_after_seconds, _MAX_RETRY_DELAY_SECONDS)
            )
        record.ended_at = time.time()
        return record

    def _candidates(self, call: Call) -> list[EntryAddress]:
        allowed = call.customer.allowed_regions
        candidates = [
            entry for entry in self._directory.entries() if entry.region in allowed
        ]
        self._rng.shuffle(candidates)
        candidates.sort(key=lambda entry: entry.region != call.region)
        return candidates

    async def _attempt(
        self,
        call: Call,
        record: CallerRecord,
        entry: EntryAddress,
        remaining_seconds: float,
    ) -> _AttemptResult:
        sent_at = time.time()
        result = await self._exchange(call, record, entry, remaining_seconds)
        if result.outcome is not CallOutcome.UNREACHABLE or not record.attempts:
            record.outcome = result.outcome
        record.first_at = result.first_at
        record.attempts.append(
            AttemptRecord(
                entry=entry.id,
                sent_at=sent_at,
                ended_at=time.time(),
                outcome=result.outcome,
                status=result.status,
                request_id=RequestId(result.request_id),
                verdict=result.verdict,
                reason=result.reason,
            )
        )
        return result

    async def _exchange(
        self,
        call: Call,
        record: CallerRecord,
        entry: EntryAddress,
        remaining_seconds: float,
    ) -> _AttemptResult:
        headers = {
            "Authorization": f"Bearer {self._key_of(call.customer)}",
            "Content-Type": "application/json",
            _DEADLINE_HEADER: f"{remaining_seconds:.3f}",
        }
        if call.kind is CallKind.NON_IDEMPOTENT:
            try:
                refusal = await self._obtain_ticket(call, record, entry, headers)
            except (aiohttp.ClientError, OSError, TimeoutError) as exc:
                return _AttemptResult(outcome=CallOutcome.UNREACHABLE, reason=repr(exc))
            if refusal is not None:
                return refusal
            headers[_OPERATION_HEADER] = record.operation_id
        try:
            async with (
                asyncio.timeout(remaining_seconds + _DEADLINE_GRACE_SECONDS),
                self._session.request(
                    call.method,
                    f"http://{entry.address}{call.path}",
                    data=call.body,
                    headers=headers,
                ) as resp,
            ):
                return await self._read_response(call, resp)
        except WrappedTransportError as exc:
            not_sent = isinstance(exc.error, aiohttp.ClientConnectorError)
            outcome = CallOutcome.UNREACHABLE if not_sent else CallOutcome.BROKEN
            return _AttemptResult(outcome=outcome, reason=repr(exc.error))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return _AttemptResult(outcome=CallOutcome.BROKEN, reason=repr(exc))

    async def _obtain_ticket(
        self,
        call: Call,
        record: CallerRecord,
        entry: EntryAddress,
        headers: dict[str, str],
    ) -> _AttemptResult | None:
        """Obtain a ticket unless the record has one; return the result if refused."""
        if record.operation_id:
            return None
        service, _, path = call.path.removeprefix(SERVICES_PREFIX).partition("/")
        ticket_request = TicketRequest(
            service=ServiceId(service), path=path, method=call.method
        )
        url = f"http://{entry.address}{_OPERATIONS_PATH}"
        async with (
            asyncio.timeout(_TICKET_TIMEOUT_SECONDS),
            self._session.post(
                url, data=msgspec.json.encode(ticket_request), headers=headers
            ) as resp,
        ):
            data = await resp.read()
        if not resp.ok:
            return _parse_refusal(resp.status, data)
        ticket = msgspec.json.decode(data, type=OperationTicket)
        record.operation_id = OperationId(ticket.operation_id)
        return None

    async def _read_response(
        self, call: Call, resp: aiohttp.ClientResponse
    ) -> _AttemptResult:
        first_at = None
        body = b""
        request_id = resp.headers.get(_REQUEST_ID_HEADER, "")
        try:
            async for chunk in resp.content.iter_any():
                first_at = first_at or time.time()
                body += chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return _AttemptResult(
                outcome=CallOutcome.BROKEN,
                status=resp.status,
                request_id=request_id,
                reason=repr(exc),
            )
        if resp.content_type == _PROBLEM_TYPE:
            return _parse_refusal(resp.status, body)
        if _ERROR_EVENT_PREFIX in body:
            return _parse_refusal(resp.status, body.partition(_ERROR_EVENT_PREFIX)[2])
        is_whole = resp.ok and self._check.is_whole(call, body, request_id)
        return _AttemptResult(
            outcome=CallOutcome.WHOLE if is_whole else CallOutcome.WRONG,
            status=resp.status,
            request_id=request_id,
            first_at=first_at,
        )


def _parse_refusal(status: int, data: bytes) -> _AttemptResult:
    try:
        problem = msgspec.json.decode(data.strip(), type=Problem)
    except msgspec.DecodeError:
        return _AttemptResult(
            outcome=CallOutcome.WRONG, status=status, reason="unreadable problem"
        )
    return _AttemptResult(
        outcome=CallOutcome.REFUSED,
        status=status,
        request_id=problem.request_id,
        verdict=problem.verdict.value,
        attempt_verdict=(problem.attempt_verdict or problem.verdict).value,
        reason=problem.error.type,
        retry_after_seconds=problem.retry_after_seconds or 0.0,
    )


def _attempt_end(result: _AttemptResult) -> AttemptEnd:
    if result.outcome is CallOutcome.REFUSED:
        verdict = Verdict(result.verdict)
        return AttemptEnd(
            verdict=verdict,
            attempt_verdict=Verdict(result.attempt_verdict or result.verdict),
            reason=result.reason,
            retry_after_seconds=result.retry_after_seconds or None,
        )
    was_sent = result.outcome is CallOutcome.BROKEN
    attempt_verdict = Verdict.MAY_HAVE_RUN if was_sent else Verdict.NOT_RUN
    return AttemptEnd(verdict=Verdict.MAY_HAVE_RUN, attempt_verdict=attempt_verdict)
