"""The caller's client of the gateway."""

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
    NextStep,
    OperationHistory,
    RepeatHistory,
)
from pimentospool.client._streams import read_events
from pimentospool.ids import OperationId, ServiceId
from pimentospool.sending import open_session
from pimentospool.verdicts import Verdict

CHAT_PATH = "/v1/chat/completions"
_TICKET_PATH = "/v1/operations"
_FIRST_PAUSE_SECONDS = 0.05
_LONGEST_PAUSE_SECONDS = 2.0


class ClientSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Where the gateway is and how long to wait for it.

    Parameters
    ----------
    directory : str
        IP:port of the clients' directory.
    key : str
        Bearer key of the customer.
    deadline_seconds : float
        Longest time of one call over all its attempts.
    attempt_seconds : float
        Longest time of one attempt.
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
        Where the gateway is and how long to wait for it.
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
        """Open the client's connections."""
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
        """Close the client's connections."""
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
        """Run a plain service's call and return its whole answer.

        A call that is not idempotent runs at most once, under a ticket.

        Raises
        ------
        ClientError
            With the verdict of the call over all its attempts.
        """
        deadline = time.monotonic() + self._cfg.deadline_seconds
        self._budget.count_call()
        req = Request(method=method, path=f"/v1/services/{service}/{path}", body=body)
        if idempotent:
            return await self._repeat(req, deadline)
        asked = TicketRequest(service=service, path=path, method=method)
        return await self._run_operation(req, asked, deadline)

    async def complete(self, body: dict[str, Any]) -> CallAnswer:
        """Send a chat completion and return its whole answer.

        Raises
        ------
        ClientError
            With the verdict of the call over all its attempts.
        """
        deadline = time.monotonic() + self._cfg.deadline_seconds
        self._budget.count_call()
        req = Request(method="POST", path=CHAT_PATH, body=msgspec.json.encode(body))
        return await self._repeat(req, deadline)

    async def stream(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        """Send a streamed chat completion and yield the data of each event.

        The stream is whole only if the iteration ends without an error. A stream
        that has begun is not sent again.

        Raises
        ------
        ClientError
            If the stream ends before its end mark.
        """
        deadline = time.monotonic() + self._cfg.deadline_seconds
        self._budget.count_call()
        data = msgspec.json.encode({**body, "stream": True})
        req = Request(method="POST", path=CHAT_PATH, body=data)
        history = RepeatHistory()
        while True:
            history.started()
            resp = await self._sender.open(req, self._attempt_seconds(deadline))
            if isinstance(resp, aiohttp.ClientResponse):
                async with resp:
                    async for event in read_events(
                        resp, timeout_seconds=self._cfg.attempt_seconds
                    ):
                        yield event
                return
            await self._pause_or_raise(resp, history, deadline)

    async def _repeat(self, req: Request, deadline: float) -> CallAnswer:
        """Send an idempotent request until it is answered."""
        history = RepeatHistory()
        while True:
            history.started()
            attempt = await self._sender.send(req, self._attempt_seconds(deadline))
            if attempt.answer is not None:
                return attempt.answer
            await self._pause_or_raise(attempt, history, deadline)

    async def _run_operation(
        self, req: Request, asked: TicketRequest, deadline: float
    ) -> CallAnswer:
        while True:
            named = msgspec.structs.replace(
                req, operation_id=await self._take_ticket(asked, deadline)
            )
            answer = await self._run_ticket(named, deadline)
            if answer is not None:
                return answer

    async def _take_ticket(self, asked: TicketRequest, deadline: float) -> OperationId:
        req = Request(method="POST", path=_TICKET_PATH, body=msgspec.json.encode(asked))
        try:
            answer = await self._repeat(req, deadline)
        except ClientError as exc:
            exc.verdict = Verdict.NOT_RUN
            raise
        return msgspec.json.decode(answer.body, type=OperationTicket).operation_id

    async def _run_ticket(self, req: Request, deadline: float) -> CallAnswer | None:
        """Return the answer, or None if a new ticket may be taken."""
        history = OperationHistory()
        while True:
            history.started()
            attempt = await self._sender.send(req, self._attempt_seconds(deadline))
            if attempt.answer is not None:
                return attempt.answer
            step = await self._pause_or_raise(attempt, history, deadline)
            if step is NextStep.NEW_TICKET:
                return None

    async def _pause_or_raise(
        self,
        attempt: Attempt,
        history: History,
        deadline: float,
    ) -> NextStep:
        end = attempt.end
        assert end is not None
        step = history.ended(end)
        pause = self._pause_seconds(attempt)
        in_time = time.monotonic() + pause < deadline
        if step is NextStep.STOP or not in_time or not self._budget.take_retry():
            raise _error(attempt, history.verdict)
        await asyncio.sleep(pause)
        return step

    def _pause_seconds(self, attempt: Attempt) -> float:
        assert attempt.end is not None
        asked = attempt.end.retry_after_seconds
        if asked is not None:
            return asked
        longest = min(
            _LONGEST_PAUSE_SECONDS, _FIRST_PAUSE_SECONDS * 2.0**self._sender.failures
        )
        return self._rng.uniform(_FIRST_PAUSE_SECONDS, longest)

    def _attempt_seconds(self, deadline: float) -> float:
        return max(0.0, min(self._cfg.attempt_seconds, deadline - time.monotonic()))


def _error(attempt: Attempt, verdict: Verdict) -> ClientError:
    if attempt.problem is not None:
        return RefusedError(problem=attempt.problem, verdict=verdict)
    if not attempt.entry:
        return NoEntryError(detail="no entry VM is known", verdict=verdict)
    return UnansweredError(detail=attempt.detail, verdict=verdict)
