"""HTTP front for callers, and for the hops of other entry VMs."""

import asyncio
import logging
import math
import time
import traceback

from aiohttp import web
from multidict import CIMultiDict

from pimentospool.gateway import (
    AnswerHead,
    CallerLimits,
    EntryState,
    Gateway,
    InboundRequest,
    Prompt,
    PromptPart,
    Refusal,
    RefusalReason,
)
from pimentospool.log import Event, log_event
from pimentospool.platform._names import (
    DEADLINE,
    HOP_REACHED,
    HOP_TARGETS,
    HOP_VERDICT,
    LAST_EVENT,
    OF_ONE_CONNECTION,
    PROMPT_PREFIX,
    REQUEST_ID,
    SET_BY_GATEWAY,
    TOKEN_COUNT,
)
from pimentospool.verdicts import Verdict

CALLER_IDLE_SECONDS = 120.0
"""Longest rest of a caller's connection; callers close theirs sooner."""
BODY_SECONDS = 30.0
"""Longest wait for a body whose caller states no deadline."""
MAX_HEADER_LINE_BYTES = 64 * 1024
"""Longest header line; the platform's own limit is below it."""
LEAVING_RETRY_SECONDS = 0.02
"""Time to come back, to another entry VM, after a refusal of a leaving one."""
_MILLISECONDS = 1000.0
_STATUS = {
    RefusalReason.NOT_CONFIGURED: 503,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.LEAVING: 503,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.FAILED: 502,
}

# aiohttp reports callers' faults and departures as errors; the log has its own lines.
quiet_logger = logging.getLogger("pimentospool.front")
quiet_logger.addHandler(logging.NullHandler())
quiet_logger.propagate = False


class _BodyTooLargeError(Exception):
    """The body is larger than the configuration allows."""


class Front:
    """Serves requests of callers, or hops of other entry VMs.

    Parameters
    ----------
    gateway : Gateway
        Where requests go.
    hop : bool
        Whether the requests come from other entry VMs.
    """

    def __init__(self, *, gateway: Gateway, hop: bool) -> None:
        self._gateway = gateway
        self._hop = hop
        self.server = web.Server(
            self._handle,
            handler_cancellation=True,
            keepalive_timeout=CALLER_IDLE_SECONDS,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            auto_decompress=False,
            access_log=None,
            logger=quiet_logger,
        )
        self._closed = False

    async def close(self) -> None:
        """Close all connections; a request that arrives now is not passed on."""
        self._closed = True
        for conn in self.server.connections:
            if conn.transport is not None:
                conn.transport.close()
        await self.server.shutdown(timeout=0.0)

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        gateway = self._gateway
        reply = HttpReply(http=http, hop=self._hop, gateway=gateway)
        if self._closed:
            raise ConnectionResetError("the process ends")
        gateway.in_progress += 1
        try:
            if not http.raw_path.startswith("/"):
                return await reply.plain(400)
            try:
                req = await self._read(http)
            except _BodyTooLargeError:
                return await reply.plain(413)
            except TimeoutError:
                return await reply.plain(408)
            if gateway.serving:
                await gateway.dispatcher.serve(req, reply)
            else:
                await reply.refuse(
                    Refusal(
                        reason=RefusalReason.LEAVING,
                        verdict=Verdict.NOT_RUN,
                        retry_after_seconds=LEAVING_RETRY_SECONDS,
                    )
                )
            assert reply.resp is not None
            return reply.resp
        except ConnectionError:
            raise
        except Exception as exc:
            log_event(
                Event.REQUEST_ERROR,
                request=http.headers.get(REQUEST_ID.decode()),
                error=repr(exc),
                trace=traceback.format_exc(limit=-3),
            )
            raise
        finally:
            gateway.in_progress -= 1

    async def _read(self, http: web.BaseRequest) -> InboundRequest:
        received_at = time.monotonic()
        headers = http.headers
        patience = _decode_patience(headers.get(DEADLINE.decode()))
        configuration = self._gateway.routing_state.configuration
        limits = configuration.limits if configuration else CallerLimits()
        body = b""
        if http.can_read_body:
            async with asyncio.timeout(min(patience, BODY_SECONDS)):
                body = await _read_body(http, limits.max_body_bytes)
        last_event = headers.get(LAST_EVENT.decode(), "")
        return InboundRequest(
            id=headers.get(REQUEST_ID.decode(), ""),
            method=http.method,
            path=http.raw_path,
            host=headers.get("host", "").rsplit(":", 1)[0].lower(),
            headers=_passed_on(http.raw_headers),
            body=body,
            received_at=received_at,
            client_timeout_seconds=patience,
            prompt=decode_prompt(
                headers.get(TOKEN_COUNT.decode()), headers.get(PROMPT_PREFIX.decode())
            ),
            resume_after=int(last_event) if last_event.isdigit() else None,
            is_hop=self._hop,
            max_targets=self._hop_targets(http),
        )

    def _hop_targets(self, http: web.BaseRequest) -> int | None:
        value = http.headers.get(HOP_TARGETS.decode(), "") if self._hop else ""
        return int(value) if value.isdigit() else None


class HttpReply:
    """Answer to one HTTP request.

    Parameters
    ----------
    http : web.BaseRequest
        The request.
    hop : bool
        Whether another entry VM sent it.
    gateway : Gateway
        Shows whether the process is leaving.
    """

    def __init__(self, *, http: web.BaseRequest, hop: bool, gateway: Gateway) -> None:
        self.started = False
        self.resp: web.StreamResponse | None = None
        self._http = http
        self._hop = hop
        self._gateway = gateway

    async def send_response(self, head: AnswerHead, body: bytes) -> None:
        """Send a target's answer with its whole body."""
        resp = web.Response(
            status=head.status, headers=_answer_headers(head), body=body
        )
        await self._finish(resp)

    async def start_stream(self, head: AnswerHead) -> None:
        """Send the head of a streamed answer."""
        self.resp = web.StreamResponse(
            status=head.status, headers=_answer_headers(head)
        )
        self._close_if_leaving(self.resp)
        self.started = True
        await self.resp.prepare(self._http)

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        assert self.resp is not None
        await self.resp.write(data)

    async def end_stream(self) -> None:
        """End a streamed answer as complete."""
        assert self.resp is not None
        await self.resp.write_eof()

    async def refuse(self, refusal: Refusal) -> None:
        """Send a final answer of the gateway itself."""
        status = _STATUS[refusal.reason]
        if refusal.verdict is Verdict.NOT_RUN and status > 500:
            status = 503
        headers: CIMultiDict[str] = CIMultiDict()
        request_id = self._http.headers.get(REQUEST_ID.decode())
        if request_id is not None:
            headers[REQUEST_ID.decode()] = request_id
        if refusal.retry_after_seconds is not None and status == 503:
            headers["Retry-After"] = f"{refusal.retry_after_seconds:.3f}"
        if self._hop:
            headers[HOP_VERDICT.decode()] = refusal.verdict.value
            headers[HOP_REACHED.decode()] = "1" if refusal.reached_target else "0"
        resp = web.Response(status=status, headers=headers, text=refusal.reason.value)
        await self._finish(resp)

    async def plain(self, status: int) -> web.StreamResponse:
        """Send a bare status for a request that cannot be served as it is."""
        resp = web.Response(status=status)
        resp.force_close()
        await self._finish(resp)
        return resp

    def abort(self) -> None:
        """End a begun answer so that it cannot be taken for complete."""
        transport = self._http.transport
        if transport is not None:
            transport.abort()

    async def _finish(self, resp: web.Response) -> None:
        self.resp = resp
        self._close_if_leaving(resp)
        self.started = True
        await resp.prepare(self._http)
        await resp.write_eof()

    def _close_if_leaving(self, resp: web.StreamResponse) -> None:
        if self._gateway.state in (EntryState.LEAVING, EntryState.CLOSED):
            resp.force_close()


def decode_prompt(count: str | None, parts: str | None) -> Prompt | None:
    """Return the prompt that the two headers describe, None without a readable size."""
    if not count:
        return None
    try:
        tokens, _, output = count.partition(",")
        listed = []
        for item in (parts or "").split(","):
            part, separator, size = item.strip().rpartition(":")
            if separator:
                listed.append(PromptPart(part, int(size)))
        return Prompt(
            tokens=int(tokens), max_output_tokens=int(output or 0), parts=tuple(listed)
        )
    except ValueError:
        return None


async def _read_body(http: web.BaseRequest, limit: int) -> bytes:
    pieces = []
    size = 0
    while piece := await http.content.readany():
        size += len(piece)
        if size > limit:
            raise _BodyTooLargeError
        pieces.append(piece)
    return b"".join(pieces)


def _decode_patience(value: str | None) -> float:
    try:
        return math.inf if value is None else float(value) / _MILLISECONDS
    except ValueError:
        return math.inf


def _passed_on(raw: tuple[tuple[bytes, bytes], ...]) -> list[tuple[bytes, bytes]]:
    """Return the headers that are passed on to a server."""
    named = set()
    for name, value in raw:
        if name.lower() == b"connection":
            named |= {item.strip().lower() for item in value.split(b",")}
    return [
        (name, value)
        for name, value in raw
        if (low := name.lower()) not in OF_ONE_CONNECTION
        and low not in SET_BY_GATEWAY
        and low not in named
    ]


def _answer_headers(head: AnswerHead) -> CIMultiDict[str]:
    """Return the headers that are passed on to the caller."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in head.headers:
        if name not in OF_ONE_CONNECTION and name != b"content-length":
            headers.add(name.decode("latin-1"), value.decode("latin-1"))
    return headers
