"""HTTP server for callers and for hops from other entry VMs."""

import asyncio
import hashlib
import logging
import math
import time
import traceback

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from pimentospool.gateway import (
    LEAVING_RETRY_AFTER_SECONDS,
    AnswerHead,
    CallerLimits,
    EntryState,
    Gateway,
    HopOrigin,
    InboundRequest,
    MemoryHold,
    Prompt,
    PromptPart,
    Refusal,
    RefusalReason,
    knows_tenants,
)
from pimentospool.ids import KeyDigest, SoftwareVersion
from pimentospool.log import Event, log_event
from pimentospool.platform._bodies import (
    WRITE_BYTES,
    InvalidRequestError,
    NoMemoryError,
    body_length,
    read_body,
    write_body,
)
from pimentospool.platform._caller_connections import (
    MAX_HEADERS,
    CallerConnection,
    CallerServer,
    header_bytes,
)
from pimentospool.platform._connection_guard import ConnectionGuard
from pimentospool.platform._counted_connections import is_refused, must_close, widen
from pimentospool.platform._credentials import (
    caller_identity,
    decode_hop_digest,
    read_key_digest,
    without_credentials,
)
from pimentospool.platform._headers import (
    CONNECTION_HEADERS,
    DEADLINE_HEADER,
    HOP_CONFIGURATION_HEADER,
    HOP_CONTACT_HEADER,
    HOP_CREDENTIAL_HEADER,
    HOP_ENTRY_HEADER,
    HOP_REACHED_HEADER,
    HOP_REROUTE_HEADER,
    HOP_TARGETS_HEADER,
    HOP_VERDICT_HEADER,
    HOP_VERSION_HEADER,
    LAST_EVENT_HEADER,
    LENGTH_HINT_HEADER,
    PROMPT_PREFIX_HEADER,
    REQUEST_ID_HEADER,
    RESUMES_HEADER,
    STRIPPED_REQUEST_HEADERS,
    TOKEN_COUNT_HEADER,
)
from pimentospool.platform._hops import decode_hop_origin, encode_hop_origin
from pimentospool.platform._numbers import parse_count, parse_duration
from pimentospool.sockets import (
    peer_has_closed,
    set_reset_on_close,
)
from pimentospool.tasks import timeout_after_read
from pimentospool.verdicts import Verdict

KEEP_ALIVE_TIMEOUT_SECONDS = 120.0
"""Longest idle time of a connection of another entry VM, which closes it sooner."""
BODY_TIMEOUT_SECONDS = 30.0
"""Longest wait for a request body whose caller states no shorter deadline."""
HOP_LIMITS = CallerLimits(
    header_timeout_seconds=BODY_TIMEOUT_SECONDS,
    idle_timeout_seconds=KEEP_ALIVE_TIMEOUT_SECONDS,
)
"""Limits on the connections of other entry VMs; their senders may stand still."""
READ_BUFFER_BYTES = 64 * 1024
"""Unread bytes of a body above which a caller's connection stops reading."""
MAX_HEADER_LINE_BYTES = 64 * 1024
"""Longest header line; the limit of the platform is lower."""
MIN_FLUSH_SECONDS = 0.2
"""Time that callers have to take the last bytes once the process closes."""
FLUSH_POLL_SECONDS = 0.02
"""Time between checks whether callers have taken them."""
LAST_ANSWERS_SECONDS = 0.1
"""Time for the answers to requests that are still at work at the end of the grace."""
SHUTDOWN_SECONDS = 0.1
"""Time for the handlers of aborted connections to end."""
NO_MEMORY_RETRY_AFTER_SECONDS = 0.2
"""Retry-After of an entry VM without memory; the retry may go to another one."""
MAX_PART_ID_LENGTH = 128
"""Characters of the id of a part of a prompt above which its digest is kept; thousands
of ids are kept for each target."""
PART_DIGEST_BYTES = 16
_MILLISECOND = 0.001
_STATUS_BY_REASON = {
    RefusalReason.NOT_CONFIGURED: 503,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.NO_MEMORY: 503,
    RefusalReason.LEAVING: 503,
    RefusalReason.OUTDATED: 503,
    RefusalReason.SENDER_OUTDATED: 503,
    RefusalReason.VERSION_UNKNOWN: 503,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.UNAUTHORIZED: 401,
    RefusalReason.UNCONFIRMED: 503,
    RefusalReason.NO_REGION: 503,
    RefusalReason.OVER_QUOTA: 429,
    RefusalReason.QUOTA_UNKNOWN: 503,
    RefusalReason.SHUT_DOWN: 504,
    RefusalReason.TIMED_OUT: 504,
    RefusalReason.FAILED: 502,
}

# aiohttp logs invalid requests and disconnects of callers as errors; the gateway has
# log lines of its own for them.
null_logger = logging.getLogger("pimentospool.front")
null_logger.addHandler(logging.NullHandler())
null_logger.propagate = False


class HttpFrontend:
    """Serves requests of callers, or hops from other entry VMs.

    Parameters
    ----------
    gateway : Gateway
        Gateway that handles the requests.
    is_hop : bool
        Whether the requests come from other entry VMs.
    guard : ConnectionGuard
        Bounds the connections.
    """

    def __init__(
        self, *, gateway: Gateway, is_hop: bool, guard: ConnectionGuard
    ) -> None:
        self._gateway = gateway
        self._is_hop = is_hop
        self.server = CallerServer(
            self._handle,
            heads=gateway.deps.memory.heads,
            guard=guard,
            handler_cancellation=True,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_SECONDS,
            max_headers=MAX_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            auto_decompress=False,
            access_log=None,
            logger=null_logger,
        )
        self.server.limits = lambda: HOP_LIMITS if is_hop else self._limits
        self._closed = False
        self._unanswered: dict[HttpReply, asyncio.Timeout] = {}
        """Requests that are being served, and what ends them."""

    async def end_requests(self) -> None:
        """Answer the requests that are still at work, as the process ends.

        They may have run. A response that has begun is left to `close`.
        """
        now = asyncio.get_running_loop().time()
        ended = [reply for reply in self._unanswered if not reply.started]
        for reply in ended:
            self._unanswered[reply].reschedule(now)
        until = now + LAST_ANSWERS_SECONDS
        while self._unanswered.keys() & set(ended):
            if asyncio.get_running_loop().time() >= until:
                return
            await asyncio.sleep(0)

    async def close(self, *, flush_seconds: float = MIN_FLUSH_SECONDS) -> None:
        """Close all connections; requests that arrive from now on are not handled.

        Parameters
        ----------
        flush_seconds : float
            Time for which callers may take what has been sent to them.
        """
        self._closed = True
        transports = [conn.transport for conn in self.server.connections]
        for transport in transports:
            if transport is not None:
                transport.close()
        flush_until = time.monotonic() + max(flush_seconds, MIN_FLUSH_SECONDS)
        while self.server.connections and time.monotonic() < flush_until:
            await asyncio.sleep(FLUSH_POLL_SECONDS)
        for transport in transports:
            if transport is not None:
                transport.abort()
        # A time-out of zero would be none.
        await self.server.shutdown(timeout=SHUTDOWN_SECONDS)

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        gateway = self._gateway
        reply = HttpReply(http=http, is_hop=self._is_hop, gateway=gateway)
        if self._closed:
            raise ConnectionResetError("the process is shutting down")
        gateway.in_progress += 1
        hold = req = None
        received_at = time.monotonic()
        try:
            try:
                hold = self._begin(http)
                req = await self._read(http, hold)
            except NoMemoryError:
                await self._refuse_unread(http, reply)
                assert reply.resp is not None
                return reply.resp
            except InvalidRequestError as exc:
                log_event(
                    Event.REQUEST_INVALID,
                    request=http.headers.get(REQUEST_ID_HEADER.decode()),
                    status=exc.status,
                    detail=str(exc),
                )
                return await reply.send_status(exc.status)
            if gateway.serving:
                await self._serve(req, reply)
            else:
                await reply.refuse(
                    Refusal(
                        reason=RefusalReason.LEAVING,
                        verdict=Verdict.NOT_RUN,
                        retry_after_seconds=LEAVING_RETRY_AFTER_SECONDS,
                    )
                )
            assert reply.resp is not None
            return reply.resp
        except ConnectionError:
            raise
        except asyncio.CancelledError:
            if req is None:
                log_event(
                    Event.CALLER_LEFT,
                    request=http.headers.get(REQUEST_ID_HEADER.decode()),
                    path=http.raw_path,
                    closed=[],
                    seconds=round(time.monotonic() - received_at, 3),
                )
            raise
        except Exception as exc:
            log_event(
                Event.REQUEST_ERROR,
                request=http.headers.get(REQUEST_ID_HEADER.decode()),
                error=repr(exc),
                trace=traceback.format_exc(limit=-3),
            )
            raise
        finally:
            if req is not None:
                req.body = b""
            if hold is not None:
                hold.release()
            gateway.in_progress -= 1

    async def _serve(self, req: InboundRequest, reply: "HttpReply") -> None:
        """Serve a request, unless the process ends before its response begins."""
        try:
            async with asyncio.timeout(None) as end:
                self._unanswered[reply] = end
                await self._gateway.dispatcher.serve(req, reply)
        except TimeoutError:
            if not end.expired():
                raise
            if reply.started:
                reply.abort()
                raise ConnectionResetError("the process is shutting down") from None
            await reply.refuse(
                Refusal(
                    reason=RefusalReason.SHUT_DOWN,
                    verdict=Verdict.MAY_HAVE_RUN,
                    reached_target=True,
                )
            )
        finally:
            del self._unanswered[reply]

    def _begin(self, http: web.BaseRequest) -> MemoryHold:
        """Return the hold of a request whose body has not been read."""
        if is_refused(http):
            raise NoMemoryError
        limit_bytes = self._limits.max_header_bytes
        if not self._is_hop and limit_bytes > 0:
            if limit_bytes < header_bytes(http):
                raise InvalidRequestError(
                    status=431, detail="the headers are too large"
                )
            if limit_bytes < len(http.method) + len(http.raw_path):
                raise InvalidRequestError(
                    status=431, detail="the first line is too long"
                )
        length = body_length(http)
        if length is not None and length > self._limits.max_body_bytes:
            raise InvalidRequestError(status=413, detail="the body is too large")
        hold = self._gateway.deps.memory.begin_request(length)
        if hold is None:
            raise NoMemoryError
        widen(http, length)
        return hold

    @property
    def _limits(self) -> CallerLimits:
        configuration = self._gateway.routing_state.configuration
        return configuration.limits if configuration else CallerLimits()

    async def _refuse_unread(self, http: web.BaseRequest, reply: "HttpReply") -> None:
        """Refuse a request for which there is no memory; it was passed on to nobody."""
        refusal = Refusal(
            reason=RefusalReason.NO_MEMORY,
            verdict=Verdict.NOT_RUN,
            retry_after_seconds=NO_MEMORY_RETRY_AFTER_SECONDS,
        )
        log_event(
            Event.REQUEST_REFUSED,
            request=http.headers.get(REQUEST_ID_HEADER.decode()),
            path=http.raw_path,
            reason=refusal.reason.name.lower(),
            verdict=refusal.verdict.value,
            body_bytes=body_length(http),
            held_bytes=self._gateway.deps.memory.used_bytes,
        )
        await reply.refuse(refusal)

    async def _read(self, http: web.BaseRequest, hold: MemoryHold) -> InboundRequest:
        received_at = time.monotonic()
        headers = http.headers
        if not http.raw_path.startswith("/"):
            raise InvalidRequestError(status=400, detail="the target is not a path")
        client_timeout_seconds = _decode_timeout(headers.get(DEADLINE_HEADER.decode()))
        resume_after = _decode_event_id(headers.get(LAST_EVENT_HEADER.decode()))
        body: bytes | memoryview = b""
        if http.can_read_body:
            timeout_seconds = min(client_timeout_seconds, BODY_TIMEOUT_SECONDS)
            try:
                async with timeout_after_read(timeout_seconds):
                    body = await read_body(http, self._limits.max_body_bytes, hold)
            except TimeoutError as exc:
                raise InvalidRequestError(
                    status=408, detail="the body did not arrive in time"
                ) from exc
        origin = _hop_origin(http) if self._is_hop else None
        digest = self._hop_digest(http)
        is_vouched = digest is not None and not self._may_be_of_older_build(origin)
        if digest is None:
            digest = read_key_digest(http.raw_headers)
        # Those of a process without a configuration may be keys, too.
        configuration = self._gateway.routing_state.configuration
        hides_credentials = configuration is None or bool(configuration.tenants)
        forwarded = _forwarded_headers(http.raw_headers)
        return InboundRequest(
            id=headers.get(REQUEST_ID_HEADER.decode(), ""),
            method=http.method,
            path=http.raw_path,
            host=headers.get("host", "").rsplit(":", 1)[0].lower(),
            headers=without_credentials(forwarded) if hides_credentials else forwarded,
            body=body,
            received_at=received_at,
            client_timeout_seconds=client_timeout_seconds,
            caller=caller_identity(
                http.raw_headers, digest, hides_credentials=hides_credentials
            ),
            credential=digest,
            is_vouched=is_vouched,
            prompt=decode_prompt(
                headers.get(TOKEN_COUNT_HEADER.decode()),
                headers.get(PROMPT_PREFIX_HEADER.decode()),
                headers.get(LENGTH_HINT_HEADER.decode()),
            ),
            resume_after=resume_after,
            resumes=headers.get(RESUMES_HEADER.decode()),
            stream_version=self._hop_version(http),
            is_hop=self._is_hop,
            origin=origin,
            memory=hold,
            max_targets=self._hop_targets(http),
        )

    def _hop_version(self, http: web.BaseRequest) -> SoftwareVersion | None:
        value = http.headers.get(HOP_VERSION_HEADER.decode())
        return SoftwareVersion(value) if self._is_hop and value is not None else None

    def _hop_digest(self, http: web.BaseRequest) -> KeyDigest | None:
        if not self._is_hop:
            return None
        return decode_hop_digest(http.headers.get(HOP_CREDENTIAL_HEADER.decode()))

    def _may_be_of_older_build(self, origin: HopOrigin | None) -> bool:
        """Whether a hop's sender may know no tenants, so that it has not checked a key.

        It passes on what a caller writes in the header of the digest. One that isn't
        known here, or no more, may be of an older build.
        """
        if origin is None:
            return False
        sender = self._gateway.fleet.live_record(origin.entry)
        return sender is None or not knows_tenants(sender)

    def _hop_targets(self, http: web.BaseRequest) -> int | None:
        if not self._is_hop:
            return None
        return parse_count(http.headers.get(HOP_TARGETS_HEADER.decode(), ""))


class HttpReply:
    """Response to one HTTP request.

    Parameters
    ----------
    http : web.BaseRequest
        The request.
    is_hop : bool
        Whether another entry VM sent it.
    gateway : Gateway
        Tells whether the process is leaving.
    """

    def __init__(
        self, *, http: web.BaseRequest, is_hop: bool, gateway: Gateway
    ) -> None:
        self.started = False
        self.resp: web.StreamResponse | None = None
        self._http = http
        self._is_hop = is_hop
        self._gateway = gateway

    @property
    def caller_left(self) -> bool:
        """Whether the caller has closed its connection."""
        transport = self._http.transport
        return transport is None or peer_has_closed(transport)

    async def send_response(self, head: AnswerHead, body: bytes | memoryview) -> None:
        """Send a target's response with its complete body."""
        headers = _answer_headers(head)
        if len(body) <= WRITE_BYTES:
            resp = web.Response(status=head.status, headers=headers, body=bytes(body))
            await self._finish(resp)
            return
        self.resp = web.StreamResponse(status=head.status, headers=headers)
        self.resp.content_length = len(body)
        self._close_if_last(self.resp)
        self.started = True
        await self.resp.prepare(self._http)
        await write_body(self.resp, body)

    async def start_stream(self, head: AnswerHead, version: SoftwareVersion) -> None:
        """Send the head of a stream that a target of a software version began."""
        headers = _answer_headers(head)
        if self._is_hop:
            headers[HOP_VERSION_HEADER.decode()] = version
        self.resp = web.StreamResponse(status=head.status, headers=headers)
        self._close_if_last(self.resp)
        self.started = True
        await self.resp.prepare(self._http)
        self._set_reset_on_close(enabled=True)

    async def write(self, data: bytes) -> None:
        """Send a chunk of a streamed response."""
        assert self.resp is not None
        await self.resp.write(data)

    async def end_stream(self) -> None:
        """End a streamed response as complete."""
        assert self.resp is not None
        await self.resp.write_eof()
        self._set_reset_on_close(enabled=False)

    async def refuse(self, refusal: Refusal) -> None:
        """Send a response of the gateway itself that ends the request."""
        status = _STATUS_BY_REASON[refusal.reason]
        if refusal.verdict is Verdict.NOT_RUN and status > 500:
            status = 503
        headers: CIMultiDict[str] = CIMultiDict()
        request_id = self._http.headers.get(REQUEST_ID_HEADER.decode())
        if request_id is not None and request_id.isascii():
            headers[REQUEST_ID_HEADER.decode()] = request_id
        if refusal.retry_after_seconds is not None and status in (429, 503):
            headers["Retry-After"] = f"{refusal.retry_after_seconds:.3f}"
        if self._is_hop:
            headers[HOP_VERDICT_HEADER.decode()] = refusal.verdict.value
            headers[HOP_REACHED_HEADER.decode()] = (
                "1" if refusal.reached_target else "0"
            )
            headers[HOP_CONTACT_HEADER.decode()] = "1" if refusal.in_contact else "0"
            if refusal.newer is not None:
                for name, value in encode_hop_origin(refusal.newer):
                    headers[name.decode()] = value.decode()
        resp = web.Response(status=status, headers=headers, text=refusal.reason.value)
        await self._finish(resp)

    async def send_status(self, status: int) -> web.StreamResponse:
        """Reject an invalid request with a bare status and close the connection."""
        resp = web.Response(status=status)
        resp.force_close()
        await self._finish(resp)
        return resp

    def abort(self) -> None:
        """Abort the connection so that a partial response does not look complete."""
        transport = self._http.transport
        if transport is not None:
            transport.abort()

    async def _finish(self, resp: web.Response) -> None:
        self.resp = resp
        self._close_if_last(resp)
        self.started = True
        await resp.prepare(self._http)
        await resp.write_eof()

    def _set_reset_on_close(self, *, enabled: bool) -> None:
        transport = self._http.transport
        # HTTP/1.0 has no chunks: a close without a reset is the end of a stream.
        if self._http.version < HttpVersion11 and transport is not None:
            set_reset_on_close(transport, enabled=enabled)

    def _close_if_last(self, resp: web.StreamResponse) -> None:
        """Close the connection after `resp` if it must serve no further request."""
        leaving = self._gateway.state in (EntryState.LEAVING, EntryState.CLOSED)
        if leaving or must_close(self._http) or _may_have_trailers(self._http):
            resp.force_close()


def _may_have_trailers(http: web.BaseRequest) -> bool:
    """Whether trailers of a request may be read as headers of the next one."""
    if "transfer-encoding" not in http.headers:
        return False
    conn = http.protocol
    return not (isinstance(conn, CallerConnection) and conn.ended_without_trailers)


def decode_prompt(
    token_count: str | None, parts: str | None, length_hint: str | None = None
) -> Prompt | None:
    """Return the prompt that the headers describe, None if no size can be read."""
    if not token_count:
        return None
    tokens_text, _, output_text = token_count.partition(",")
    tokens, output_tokens = parse_count(tokens_text), parse_count(output_text or "0")
    if tokens is None or output_tokens is None:
        return None
    prompt_parts = []
    for item in (parts or "").split(","):
        part, separator, size_text = item.strip().rpartition(":")
        if not separator:
            continue
        size = parse_count(size_text)
        if size is None:
            return None
        prompt_parts.append(PromptPart(_part_id(part), size))
    return Prompt(
        tokens=tokens,
        max_output_tokens=output_tokens,
        length_hint=parse_count(length_hint or "0") or 0,
        parts=tuple(prompt_parts),
    )


def _part_id(text: str) -> str:
    """Return the id of a part of a prompt, as a digest if it is long."""
    if len(text) <= MAX_PART_ID_LENGTH:
        return text
    data = text.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=PART_DIGEST_BYTES).hexdigest()


def _hop_origin(http: web.BaseRequest) -> HopOrigin | None:
    """Return who passed a hop on, None if its headers don't say."""
    return decode_hop_origin(
        http.headers.get(HOP_ENTRY_HEADER.decode()),
        http.headers.get(HOP_CONFIGURATION_HEADER.decode()),
        http.headers.get(HOP_REROUTE_HEADER.decode()),
    )


def _decode_timeout(value: str | None) -> float:
    if value is None:
        return math.inf
    seconds = parse_duration(value, unit_seconds=_MILLISECOND)
    if seconds is None:
        raise InvalidRequestError(status=400, detail="the deadline is not a number")
    return seconds


def _decode_event_id(value: str | None) -> int | None:
    if not value:
        return None
    event_id = parse_count(value)
    if event_id is None:
        raise InvalidRequestError(status=400, detail="the event id is not a number")
    return event_id


def _forwarded_headers(
    raw: tuple[tuple[bytes, bytes], ...],
) -> list[tuple[bytes, bytes]]:
    """Return the request headers that are forwarded to a server."""
    connection_options = set()
    for name, value in raw:
        if name.lower() == b"connection":
            connection_options |= {item.strip().lower() for item in value.split(b",")}
    # The pairs are those of the parser, as copies would take more memory.
    return [
        pair
        for pair in raw
        if (lower_name := pair[0].lower()) not in CONNECTION_HEADERS
        and lower_name not in STRIPPED_REQUEST_HEADERS
        and lower_name not in connection_options
    ]


def _answer_headers(head: AnswerHead) -> CIMultiDict[str]:
    """Return the response headers that are forwarded to the caller."""
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in head.headers:
        if name not in CONNECTION_HEADERS and name not in (
            b"content-length",
            HOP_VERSION_HEADER,
        ):
            headers.add(name.decode("latin-1"), value.decode("latin-1"))
    return headers
