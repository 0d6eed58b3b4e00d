"""One HTTP exchange, and what is known of its execution when it fails."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from types import SimpleNamespace
from typing import Any

import aiohttp
import msgspec

from pimentospool._generated.settings import TargetSettings
from pimentospool.errors import PimentospoolError, Problem
from pimentospool.verdicts import Verdict

NOT_EXECUTED_HEADER = "X-Not-Executed"
VERDICT_HEADER = "X-Verdict"
REQUEST_ID_HEADER = "X-Request-Id"


class AttemptFailure(PimentospoolError):
    """An exchange that brought no whole answer.

    Parameters
    ----------
    detail : str
        What failed.
    verdict : Verdict
        Whether the target may have run the request.
    problem : Problem or None
        What the entry VM of a hop answered.
    """

    def __init__(
        self, *, detail: str, verdict: Verdict, problem: Problem | None = None
    ) -> None:
        super().__init__(f"{detail} ({verdict.value})")
        self.detail = detail
        self.verdict = verdict
        self.problem = problem


class Exchange(msgspec.Struct, kw_only=True):
    """A request as it is sent to a target or to another entry VM.

    `before_sending` is called with no await before the first byte is handed to a
    socket; what it raises ends the exchange unsent.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    timeout_seconds: float
    repeatable: bool
    before_sending: Callable[[], None] | None = None


class Answer:
    """An answer whose status has arrived.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
        Response whose body is still to be read.
    progress_timeout_seconds : float
        Longest silence while the body is read.
    """

    def __init__(
        self, *, resp: aiohttp.ClientResponse, progress_timeout_seconds: float
    ) -> None:
        self.status = resp.status
        self.content_type = resp.headers.get("Content-Type", "application/json")
        self.headers = resp.headers
        self._resp = resp
        self._progress_timeout_seconds = progress_timeout_seconds

    async def body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        AttemptFailure
            If the body ends early.
        """
        with _failures(Verdict.RAN):
            return await self._resp.read()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        AttemptFailure
            If the body ends early or stays silent for too long.
        """
        with _failures(Verdict.RAN):
            while True:
                async with asyncio.timeout(self._progress_timeout_seconds):
                    piece = await self._resp.content.readany()
                if not piece:
                    return
                yield piece


class ExchangeClient:
    """Client of targets and of other regions' entry VMs.

    Parameters
    ----------
    cfg : TargetSettings
        Timeouts and connection bounds.
    """

    def __init__(self, *, cfg: TargetSettings) -> None:
        self._cfg = cfg
        self._reusing = self._open_session(force_close=False)
        self._fresh = self._open_session(force_close=True)

    def _open_session(self, *, force_close: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=self._cfg.connections_per_target,
            force_close=force_close,
        )
        return aiohttp.ClientSession(
            connector=connector,
            trace_configs=[_sending_trace()],
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._cfg.connect_timeout_seconds
            ),
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._reusing.close()
        await self._fresh.close()

    @asynccontextmanager
    async def open(self, exchange: Exchange) -> AsyncIterator[Answer]:
        """Send `exchange` and yield its answer once the status has arrived.

        Raises
        ------
        AttemptFailure
            With the verdict that the failure allows.
        """
        session = self._reusing if exchange.repeatable else self._fresh
        progress = _SendProgress(exchange.before_sending)
        resp = await self._send(session, exchange, progress)
        async with resp:
            _check_answer(resp, exchange)
            yield Answer(
                resp=resp,
                progress_timeout_seconds=self._cfg.progress_timeout_seconds,
            )

    async def _send(
        self,
        session: aiohttp.ClientSession,
        exchange: Exchange,
        progress: "_SendProgress",
    ) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout(exchange.timeout_seconds):
                return await session.request(
                    exchange.method,
                    exchange.url,
                    data=exchange.body,
                    headers=exchange.headers,
                    allow_redirects=False,
                    trace_request_ctx=progress,
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise AttemptFailure(
                detail=_describe(exc), verdict=progress.verdict
            ) from exc


class _SendProgress:
    """Whether a byte may have been handed to a socket."""

    def __init__(self, before_sending: Callable[[], None] | None) -> None:
        self.verdict = Verdict.NOT_RUN
        self._before_sending = before_sending

    def sending(self) -> None:
        if self._before_sending is not None:
            self._before_sending()
        self.verdict = Verdict.MAY_HAVE_RUN


def _sending_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()

    async def sending(
        session: aiohttp.ClientSession, ctx: SimpleNamespace, params: Any
    ) -> None:
        ctx.trace_request_ctx.sending()

    trace.on_connection_create_end.append(sending)
    trace.on_connection_reuseconn.append(sending)
    return trace


def _check_answer(resp: aiohttp.ClientResponse, exchange: Exchange) -> None:
    answered = resp.headers.get(REQUEST_ID_HEADER)
    if answered and answered != exchange.request_id:
        resp.close()
        raise AttemptFailure(
            detail="the answer belongs to another request", verdict=Verdict.MAY_HAVE_RUN
        )
    if resp.status in (429, 503) and NOT_EXECUTED_HEADER in resp.headers:
        raise AttemptFailure(
            detail="the target refused the request", verdict=Verdict.NOT_RUN
        )


@contextmanager
def _failures(verdict: Verdict) -> Iterator[None]:
    """Turn transport errors into `AttemptFailure` with a fixed verdict."""
    try:
        yield
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        raise AttemptFailure(detail=_describe(exc), verdict=verdict) from exc


def _describe(exc: BaseException) -> str:
    return f"{type(exc).__name__}: {exc}" if str(exc) else type(exc).__name__
