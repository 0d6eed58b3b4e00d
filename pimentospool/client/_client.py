"""Client that callers use to reach the gateway."""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec

from pimentospool._generated.callers import OperationTicket, TicketRequest
from pimentospool.client._attempts import Attempt, CallAnswer, Request, Sender
from pimentospool.client._budget import RetryBudget
from pimentospool.client._entries import EntryFinder
from pimentospool.client._errors import (
    ClientError,
    NoEntryError,
    RefusedError,
    UnansweredError,
)
from pimentospool.client._history import (
    History,
    IdempotentCallHistory,
    NextStep,
    OperationHistory,
)
from pimentospool.client._streams import read_events
from pimentospool.ids import OperationId, ServiceId
from pimentospool.sending import open_session
from pimentospool.verdicts import Verdict

CHAT_PATH = "/v1/chat/completions"
_TICKET_PATH = "/v1/operations"
_MIN_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 2.0


class ClientSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Address and key of the gateway, and the limits of a call.

    Parameters
    ----------
    directory : str
        IP:port of the clients' directory.
    key : str
        Bearer key of the customer.
    deadline_seconds : float
        Timeout of one call over all its attempts.
    attempt_seconds : float
        Timeout of one attempt.
    retry_ratio : float
        Retries allowed per call, on average.
    """

    directory: str
    key: str
    deadline_seconds: float = 30.0
    attempt_seconds: float = 10.0
    retry_ratio: float = 0.1


class GatewayClient:
    """Sends calls to the gateway; use it as an asynchronous context manager.

    Parameters
    ----------
    cfg : ClientSettings
        Settings of the client.
    rng : random.Random or None
        Source of random choices.
    """

    def __init__(
        self, *, cfg: ClientSettings, rng: random.Random | None = None
    ) -> None:
        self._cfg = cfg
        self._rng = rng or random.Random()
        self._budget = RetryBudget(ratio=cfg.retry_ratio)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "GatewayClient":
        """Open the client's session."""
        self._session = open_session(
            connector=aiohttp.TCPConnector(limit=0),
            headers={"Authorization": f"Bearer {self._cfg.key}"},
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
        )
        self._entries = EntryFinder(
            session=self._session, directory=self._cfg.directory, rng=self._rng
        )
        self._sender = Sender(session=self._session, entries=self._entries)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close the client's session and its connections."""
        assert self._session is not None
        await self._session.close()

    async def call(
        self,
        service: ServiceId,
        path: str,
        *,
        idempotent: bool,
        method: str = "POST",
        body: bytes = b"",
    ) -> CallAnswer:
        """Call a service and return its complete response.

        A non-idempotent call runs at most once, under an operation ticket.

        Raises
        ------
        ClientError
            With the verdict of the call over all its attempts.
        """
        deadline = time.monotonic() + self._cfg.deadline_seconds
        self._budget.count_call()
        req = Request(method=method, path=f"/v1/services/{service}/{path}", body=body)
        if idempotent:
            return await self._send_until_answered(req, deadline)
        ticket_request = TicketRequest(service=service, path=path, method=method)
        return await self._run_operation(req, ticket_request, deadline)

    async def complete(self, body: dict[str, Any]) -> CallAnswer:
        """Send a chat completion and return its complete response.

        Raises
        ------
        ClientError
            With the verdict of the call over all its attempts.
        """
        deadline = time.monotonic() + self._cfg.deadline_seconds
        self._budget.count_call()
        req = Request(method="POST", path=CHAT_PATH, body=msgspec.json.encode(body))
        return await self._send_until_answered(req, deadline)

    async def stream(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        """Send a streamed chat completion and yield the data of each event.

        The stream is complete only if the iteration ends without an error. The request
        is not retried once the stream has started.

        Raises
        ------
        ClientError
            If the stream ends before its end event.
        """
        deadline = time.monotonic() + self._cfg.deadline_seconds
        self._budget.count_call()
        data = msgspec.json.encode({**body, "stream": True})
        req = Request(method="POST", path=CHAT_PATH, body=data)
        history = IdempotentCallHistory()
        while True:
            history.record_start()
            resp = await self._sender.open(req, self._attempt_timeout_seconds(deadline))
            if isinstance(resp, aiohttp.ClientResponse):
                async with resp:
                    async for event in read_events(
                        resp, timeout_seconds=self._cfg.attempt_seconds
                    ):
                        yield event
                return
            await self._back_off_or_raise(resp, history, deadline)

    async def _send_until_answered(self, req: Request, deadline: float) -> CallAnswer:
        """Send an idempotent request until it is answered or no retry is allowed."""
        history = IdempotentCallHistory()
        while True:
            history.record_start()
            attempt = await self._sender.send(
                req, self._attempt_timeout_seconds(deadline)
            )
            if attempt.answer is not None:
                return attempt.answer
            await self._back_off_or_raise(attempt, history, deadline)

    async def _run_operation(
        self, req: Request, ticket_request: TicketRequest, deadline: float
    ) -> CallAnswer:
        while True:
            operation_request = msgspec.structs.replace(
                req, operation_id=await self._request_ticket(ticket_request, deadline)
            )
            answer = await self._run_under_ticket(operation_request, deadline)
            if answer is not None:
                return answer

    async def _request_ticket(
        self, ticket_request: TicketRequest, deadline: float
    ) -> OperationId:
        req = Request(
            method="POST", path=_TICKET_PATH, body=msgspec.json.encode(ticket_request)
        )
        try:
            answer = await self._send_until_answered(req, deadline)
        except ClientError as exc:
            exc.verdict = Verdict.NOT_RUN
            raise
        return msgspec.json.decode(answer.body, type=OperationTicket).operation_id

    async def _run_under_ticket(
        self, req: Request, deadline: float
    ) -> CallAnswer | None:
        """Return the answer, or None if the call may be retried under a new ticket."""
        history = OperationHistory()
        while True:
            history.record_start()
            attempt = await self._sender.send(
                req, self._attempt_timeout_seconds(deadline)
            )
            if attempt.answer is not None:
                return attempt.answer
            step = await self._back_off_or_raise(attempt, history, deadline)
            if step is NextStep.NEW_TICKET:
                return None

    async def _back_off_or_raise(
        self,
        attempt: Attempt,
        history: History,
        deadline: float,
    ) -> NextStep:
        end = attempt.end
        assert end is not None
        step = history.record_end(end)
        backoff_seconds = self._backoff_seconds(attempt)
        in_time = time.monotonic() + backoff_seconds < deadline
        if step is NextStep.STOP or not in_time or not self._budget.take_retry():
            raise _client_error(attempt, history.verdict)
        await asyncio.sleep(backoff_seconds)
        return step

    def _backoff_seconds(self, attempt: Attempt) -> float:
        assert attempt.end is not None
        requested_seconds = attempt.end.retry_after_seconds
        if requested_seconds is not None:
            return requested_seconds
        max_seconds = min(
            _MAX_BACKOFF_SECONDS,
            _MIN_BACKOFF_SECONDS * 2.0**self._sender.consecutive_failures,
        )
        return self._rng.uniform(_MIN_BACKOFF_SECONDS, max_seconds)

    def _attempt_timeout_seconds(self, deadline: float) -> float:
        return max(0.0, min(self._cfg.attempt_seconds, deadline - time.monotonic()))


def _client_error(attempt: Attempt, verdict: Verdict) -> ClientError:
    if attempt.problem is not None:
        return RefusedError(problem=attempt.problem, verdict=verdict)
    if not attempt.entry:
        return NoEntryError(detail="no entry VM is known", verdict=verdict)
    return UnansweredError(detail=attempt.detail, verdict=verdict)
