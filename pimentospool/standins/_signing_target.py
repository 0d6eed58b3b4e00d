"""Stand-in for a platform's target that signs its responses and can inject faults.

It responds with a body that repeats the request, or with a stream of numbered events.
A response carries the signature header ``X-Response-Seal`` and echoes ``X-Request-Id``.
A request meant for another instance gets status 421, a rejected one status 503 with
``X-Not-Executed``.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable
from enum import Enum

import msgspec

from pimentospool.sockets import set_reset_on_close

_CRLF = b"\r\n"
_HEADER_END = b"\r\n\r\n"
_OK = 200
HEALTH_PATH = "/healthz"
REPORT_PATH = "/report"
_ENDLESS_CHUNK_BYTES = 16 * 1024
_STALL_BYTE_SECONDS = 0.2
_CLOSE_POLL_SECONDS = 0.005
_RESET_SECONDS = 0.02
"""Time for what was sent to be read before a reset, which discards the rest."""


class Fault(Enum):
    """Fault that a target injects into an exchange."""

    REJECT = "503 with proof that the request was not executed"
    ERROR = "500 after the execution"
    UNPROVEN_BUSY = "503 without that proof"
    RESET_UNREAD = "a reset before the request is read"
    RESET = "a reset after the execution"
    SILENT = "no response"
    CUT_BODY = "a response that ends early"
    CUT_STREAM = "a stream that ends within an event"
    RESET_STREAM = "a stream that is reset after its first event"
    STALL = "a stream that stops after its first event"
    UNFRAMED = "a response that ends when the connection closes"
    UNFRAMED_RESET = "a response without a length, ended by a reset"
    UNFRAMED_CUT = "a stream without a length that is closed within an event"
    UNFRAMED_EMPTY = "a stream without a length that is closed before its first event"
    NOT_HTTP = "bytes that are not HTTP"
    EXTRA_BYTES = "a response followed by extra bytes"
    LATE_SECOND = "a second response, some time after the first"
    FOREIGN = "a response to another request before its own"
    REPEATED_REFUSAL = (
        "the connection's last rejection once more, then its own response"
    )
    UNNAMED_REFUSAL = "the same without the id of a request"
    UNSEALED = "a success without X-Response-Seal"
    ENCODED = "a body with a content encoding"
    EARLY = "a response before the request body is read"
    ENDLESS_HEAD = "header bytes without end"
    ENDLESS_BODY = "body bytes without end"
    TRICKLE = "single bytes without end"
    STALL_WITH_BYTES = "a stream whose second event comes byte by byte, without end"


_UNFRAMED_FAULTS = (
    Fault.UNFRAMED,
    Fault.UNFRAMED_RESET,
    Fault.UNFRAMED_CUT,
    Fault.UNFRAMED_EMPTY,
)
_CUT_STREAM_FAULTS = (Fault.CUT_STREAM, Fault.UNFRAMED_RESET, Fault.UNFRAMED_CUT)


class ReceivedRequest(msgspec.Struct, kw_only=True):
    """A request as the target received it; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    received_at: float = msgspec.field(default_factory=time.monotonic)
    """Monotonic time in seconds at which its head was read."""
    executed: bool = True
    expected_body: bytes = b""
    """Complete body of its response; for a stream, from the first event on."""
    on_used_connection: bool = False
    """Whether another request came before it on its connection."""
    sender_disconnected: bool = False
    """Whether the sender closed the connection before the end of the response."""

    @property
    def id(self) -> str:
        """Request id set by the caller."""
        return self.headers.get("x-request-id", "")

    @property
    def shared_parts(self) -> list[str]:
        """Parts of the prompt, without the last."""
        parts = self.headers.get("x-prompt-prefix", "").split(",")
        return [part.partition(":")[0] for part in parts[:-1]]


class SigningTarget:
    """A target on a loopback address.

    Attributes
    ----------
    faults : list of Fault or None
        Faults of the next requests, one each; without an entry, no fault is injected.
    events : int
        Number of events of a stream; with 0, responses have a single body.
    cold_remaining_ms : int
        Remaining warm-up time that its health checks report.
    gap_seconds : float
        Pause before each event, or before a single body.
    connections : int
        Number of connections accepted so far.
    born : int or None
        Unix millisecond of its start, which its report names; with None it has no
        report.
    report_delay_seconds : float
        Time that it takes to give its report.
    report_status : int
        Status of its report; with any but 200 the report has no content.
    reports : list of ReceivedRequest
        Requests for its report, which has no fault; they are not in `received`.
    answer_headers : dict of str to str
        Headers of all its answers, by which it says something of itself.
    room : int or None
        Requests that it lets in at once; it rejects any others.
    silent_until : float
        Monotonic time in seconds until which it sends nothing, and then goes on.
    crash_part : str
        Part of a prompt, not its last, under which the target crashes as it begins to
        answer; with an empty one it never does.
    crash_path : str
        Path of requests under which the target crashes likewise, with or without a
        prompt.
    crashed_at : float or None
        Monotonic time in seconds at which it crashed.
    continuation : callable or None
        Returns the bytes that it sends, before it closes the connection, in place of
        the rest of a stream.
    raw_answer : callable or None
        Likewise, in place of any answer.
    resets : bool
        Whether it then resets the connection.
    """

    def __init__(self, *, instance: str, events: int = 0) -> None:
        self.instance = instance
        self.events = events
        self.gap_seconds = 0.0
        self.faults: list[Fault | None] = []
        self.received: list[ReceivedRequest] = []
        self.reports: list[ReceivedRequest] = []
        self.connections = 0
        self.cold_remaining_ms = 0
        self.born: int | None = None
        self.report_delay_seconds = 0.0
        self.report_status = 200
        self.answer_headers: dict[str, str] = {}
        self.room: int | None = None
        self.silent_until = 0.0
        self._busy = 0
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}
        """Last rejection on each connection."""
        self.crash_part = ""
        self.crash_path = ""
        self.crashed_at: float | None = None
        self.continuation: Callable[[ReceivedRequest], bytes] | None = None
        self.raw_answer: Callable[[ReceivedRequest], bytes] | None = None
        self.resets = False
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._used_writers: set[asyncio.StreamWriter] = set()

    @property
    def executed_requests(self) -> list[ReceivedRequest]:
        """Requests that were executed."""
        return [req for req in self.received if req.executed]

    @property
    def busy(self) -> int:
        """Requests in progress that it has let in."""
        return self._busy

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening; `address` then holds the actual port."""
        self._server = await asyncio.start_server(self._handle_connection, host, port)
        bound_address = self._server.sockets[0].getsockname()
        self.address = f"{bound_address[0]}:{bound_address[1]}"

    async def close(self) -> None:
        """Stop listening; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def reset_all(self) -> None:
        """Stop listening and reset every connection, like a crashed process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    def _crash(self) -> None:
        """Stop listening and cut every connection."""
        self.crashed_at = time.monotonic()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._serve_request(reader, writer):
                pass
        self._writers.discard(writer)
        self._used_writers.discard(writer)
        self._refusals.pop(writer, None)
        writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = (await reader.readuntil(_HEADER_END)).decode("latin-1").split("\r\n")
        is_report = self.born is not None and head[0].split(" ")[1] == REPORT_PATH
        fault = self.faults.pop(0) if self.faults and not is_report else None
        if fault is Fault.RESET_UNREAD:
            _reset(writer)
            return False
        req = await self._read_request(head, reader, writer, fault)
        await asyncio.sleep(self._silent_seconds)
        if req.headers.get("x-expect-instance", self.instance) != self.instance:
            req.executed = False
            writer.write(self._response_head(req, 421, length=0))
            return True
        if is_report:
            # A report needs no place.
            req.executed = False
            await asyncio.sleep(self.report_delay_seconds)
            status = self.report_status
            body = b'{"born":%d}' % (self.born or 0) if status == _OK else b""
            writer.write(self._response_head(req, status, length=len(body)) + body)
            return True
        is_full = self.room is not None and self._busy >= self.room
        if fault is Fault.REJECT or is_full:
            req.executed = False
            refusal = self._response_head(req, 503, "X-Not-Executed: 1", length=0)
            self._refusals[writer] = refusal
            writer.write(refusal)
            return True
        if fault in (Fault.REPEATED_REFUSAL, Fault.UNNAMED_REFUSAL):
            refusal = self._refusals.get(writer, b"")
            if fault is Fault.UNNAMED_REFUSAL:
                refusal = _without_id(refusal)
            writer.write(refusal)
        if req.path == HEALTH_PATH:
            req.executed = False
            writer.write(
                self._response_head(
                    req, 200, f"X-Cold-Remaining: {self.cold_remaining_ms}", length=0
                )
            )
            return True
        if fault is Fault.EARLY:
            return True
        disconnected = asyncio.ensure_future(_wait_for_disconnect(reader))
        self._busy += 1
        try:
            return await self._respond(req, writer, fault, disconnected)
        finally:
            self._busy -= 1
            req.sender_disconnected = disconnected.done()
            disconnected.cancel()

    async def _read_request(
        self,
        head: list[str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: Fault | None,
    ) -> ReceivedRequest:
        method, path, _ = head[0].split(" ")
        pairs = (line.partition(":")[::2] for line in head[1:] if line)
        headers = {name.lower(): value.strip() for name, value in pairs}
        req = ReceivedRequest(method=method, path=path, headers=headers, body=b"")
        req.on_used_connection = writer in self._used_writers
        self._used_writers.add(writer)
        is_report = self.born is not None and path == REPORT_PATH
        (self.reports if is_report else self.received).append(req)
        if fault is Fault.EARLY:
            req.expected_body = b"early"
            writer.write(self._response_head(req, 200, length=5) + req.expected_body)
        length = int(headers.get("content-length", "0"))
        # The connection may end, or fall silent, within the body.
        req.executed = False
        req.body = await reader.readexactly(length)
        req.executed = True
        return req

    async def _respond(
        self,
        req: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: Fault | None,
        disconnected: "asyncio.Future[None]",
    ) -> bool:
        if fault is Fault.SILENT:
            await disconnected
            return False
        raw_answer = self.raw_answer
        if "last-event-id" in req.headers:
            raw_answer = self.continuation or raw_answer
        if raw_answer is not None:
            writer.write(raw_answer(req))
            if self.resets:
                await writer.drain()
                await asyncio.sleep(_RESET_SECONDS)
                _reset(writer)
            return False
        if fault in (Fault.ENDLESS_HEAD, Fault.ENDLESS_BODY, Fault.TRICKLE):
            await self._send_endlessly(req, writer, fault, disconnected)
            return False
        crashes = req.path == self.crash_path or self.crash_part in req.shared_parts
        if crashes and self.events:
            self._crash()
            return False
        if self.events:
            return await self._respond_with_stream(req, writer, fault, disconnected)
        await asyncio.wait([disconnected], timeout=self.gap_seconds)
        await asyncio.wait([disconnected], timeout=self._silent_seconds)
        if writer.is_closing():
            return False
        if crashes:
            self._crash()
            return False
        body = f"{self.instance} {req.method} {req.path} ".encode() + req.body
        req.expected_body = body
        if fault is Fault.RESET:
            _reset(writer)
            return False
        if fault is Fault.NOT_HTTP:
            writer.write(b"\x16\x03\x01 nothing that could be parsed" + _HEADER_END)
            return False
        if fault is Fault.CUT_BODY:
            writer.write(self._response_head(req, 200, length=len(body) + 50) + body)
            return False
        if fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            writer.write(self._response_head(req, 200, "Connection: close") + body)
            await writer.drain()
            await asyncio.sleep(0.02)
            if fault is Fault.UNFRAMED_RESET:
                _reset(writer)
            return False
        if fault is Fault.FOREIGN:
            other = ReceivedRequest(
                method="GET", path="/", headers={"x-request-id": "other"}, body=b""
            )
            writer.write(self._response_head(other, 200, length=5) + b"other")
        status = 500 if fault is Fault.ERROR else 200
        if fault is Fault.UNPROVEN_BUSY:
            status = 503
        extra_header = "Content-Encoding: gzip" if fault is Fault.ENCODED else ""
        signed = fault is not Fault.UNSEALED
        head = self._response_head(
            req, status, extra_header, length=len(body), signed=signed
        )
        writer.write(head + body)
        if fault is Fault.EXTRA_BYTES:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")
        if fault is Fault.LATE_SECOND:
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(head + body)
        return True

    async def _send_endlessly(
        self,
        req: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: Fault,
        disconnected: "asyncio.Future[None]",
    ) -> None:
        """Send bytes that are no response until the caller closes."""
        head = self._response_head(req, 200, "Connection: close")
        if fault is Fault.ENDLESS_BODY:
            writer.write(head)
        else:
            writer.write(head[:-2] + b"X-Long: ")
        data = b"a" if fault is Fault.TRICKLE else b"a" * _ENDLESS_CHUNK_BYTES
        while not (disconnected.done() or writer.is_closing()):
            writer.write(data)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            pause = self.gap_seconds if fault is Fault.TRICKLE else 0.0
            await asyncio.wait([disconnected], timeout=pause)

    async def _respond_with_stream(
        self,
        req: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: Fault | None,
        disconnected: "asyncio.Future[None]",
    ) -> bool:
        framed = fault not in _UNFRAMED_FAULTS
        extra_header = "Content-Type: text/event-stream"
        if framed:
            extra_header += "\r\nTransfer-Encoding: chunked"
        writer.write(self._response_head(req, 200, extra_header))
        if fault is Fault.UNFRAMED_EMPTY:
            return False
        req.expected_body = b"".join(map(_event, range(1, self.events + 1)))
        first = int(req.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            if await _pause(writer, disconnected, self.gap_seconds):
                return False
            if await _pause(writer, disconnected, self._silent_seconds):
                return False
            if fault is Fault.RESET_STREAM and number > first:
                await writer.drain()
                await asyncio.sleep(_RESET_SECONDS)
                _reset(writer)
                return False
            if fault is Fault.STALL and number > first:
                await disconnected
                return False
            if fault is Fault.STALL_WITH_BYTES and number > first:
                while not await _pause(writer, disconnected, _STALL_BYTE_SECONDS):
                    writer.write(_chunk(b"d"))
                return False
            event = _event(number)
            if fault in _CUT_STREAM_FAULTS and number > first:
                part = event[: len(event) // 2]
                writer.write(_chunk(part) if framed else part)
                await writer.drain()
                await asyncio.sleep(0.02)
                if fault is Fault.UNFRAMED_RESET:
                    _reset(writer)
                return False
            writer.write(_chunk(event) if framed else event)
        if framed:
            writer.write(b"0" + _HEADER_END)
        return framed

    @property
    def _silent_seconds(self) -> float:
        return max(0.0, self.silent_until - time.monotonic())

    def _response_head(
        self,
        req: ReceivedRequest,
        status: int,
        extra_header: str = "",
        *,
        length: int | None = None,
        signed: bool = True,
    ) -> bytes:
        lines = [f"HTTP/1.1 {status} Status", f"X-Request-Id: {req.id}"]
        if signed and status not in (421,):
            lines.append(f"X-Response-Seal: {self.instance}.{req.id}")
        if extra_header:
            lines.append(extra_header)
        lines += [f"{name}: {value}" for name, value in self.answer_headers.items()]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode("latin-1") + _HEADER_END


def _without_id(response: bytes) -> bytes:
    lines = response.split(_CRLF)
    return _CRLF.join(line for line in lines if not line.startswith(b"X-Request-Id"))


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    """Wait until the client closes; it sends nothing before it gets its response."""
    while not (reader.at_eof() or reader.exception()):
        await asyncio.sleep(_CLOSE_POLL_SECONDS)


async def _pause(
    writer: asyncio.StreamWriter, disconnected: "asyncio.Future[None]", seconds: float
) -> bool:
    """Wait between two writes; return whether the client has disconnected."""
    await asyncio.wait([disconnected], timeout=seconds)
    if writer.is_closing():
        # A reset closes the transport before the reader learns of it.
        await asyncio.wait([disconnected])
    return disconnected.done()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a reset; an abort alone may close it gracefully."""
    set_reset_on_close(writer.transport, enabled=True)
    writer.transport.abort()


def _event(number: int) -> bytes:
    return b"id: %d\ndata: %d\n\n" % (number, number)


def _chunk(data: bytes) -> bytes:
    return b"%x" % len(data) + _CRLF + data + _CRLF
