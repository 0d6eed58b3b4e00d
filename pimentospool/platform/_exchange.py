"""Encoding of requests to targets and peers, and decoding of their responses."""

import math

import msgspec

from pimentospool.gateway import (
    AnswerClass,
    AnswerHead,
    HopOrigin,
    HopRefusal,
    InboundRequest,
    Registration,
)
from pimentospool.ids import SoftwareVersion
from pimentospool.platform._credentials import (
    hop_digest_headers,
    tenant_headers,
    without_credentials,
)
from pimentospool.platform._headers import (
    BRITTLE_HEADER,
    COLD_REMAINING_HEADER,
    DEADLINE_HEADER,
    EXPECT_INSTANCE_HEADER,
    HOP_CONFIGURATION_HEADER,
    HOP_CONTACT_HEADER,
    HOP_ENTRY_HEADER,
    HOP_REACHED_HEADER,
    HOP_TARGETS_HEADER,
    HOP_VERDICT_HEADER,
    HOP_VERSION_HEADER,
    LAST_EVENT_HEADER,
    LEAVING_HEADER,
    NOT_EXECUTED_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    REQUEST_LIMIT_HEADER,
    RESPONSE_SEAL_HEADER,
    RETRY_AFTER_HEADER,
)
from pimentospool.platform._hops import decode_hop_origin, encode_hop_origin
from pimentospool.platform._numbers import parse_decimal, parse_duration
from pimentospool.verdicts import Verdict

REPORT_PATH = "/report"
_OK = 200
_MISDIRECTED = 421
_UNAVAILABLE = 503
_NOT_RUN_STATUSES = (408, 429, 503)
"""Statuses that promise a caller that its request did not run."""
_SERVER_ERROR = 500
_MIN_STATUS, _MAX_STATUS = 100, 599
"""Range of statuses (RFC 9110, section 15); a faulty server sends others."""
_BODY_METHODS = ("POST", "PUT", "PATCH")
_LEAST_URGENT_PRIORITY = 9
_MILLISECOND = 0.001
_NO_TARGET_REACHED = b"0"
_NO_CONTACT = b"0"


class _Report(msgspec.Struct):
    born: int


class PlatformDialect:
    """Wire format of requests and responses on the platform."""

    def encode(
        self,
        req: InboundRequest,
        *,
        registration: Registration,
        remaining_seconds: float,
        urgency: int | None,
        resume_after: int | None,
    ) -> bytes:
        """Return the head of `req` for one server; any other server rejects it."""
        extra_headers = [(EXPECT_INSTANCE_HEADER, registration.id.encode())]
        if urgency is not None:
            extra_headers.append(
                (PRIORITY_HEADER, b"%d" % min(max(urgency, 0), _LEAST_URGENT_PRIORITY))
            )
        return _encode_head(req, extra_headers, remaining_seconds, resume_after)

    def encode_hop(
        self,
        req: InboundRequest,
        *,
        remaining_seconds: float,
        resume_after: int | None,
        max_targets: int,
        origin: HopOrigin,
        version: SoftwareVersion | None,
        knows_tenants: bool,
    ) -> bytes:
        """Return the head of `req` for another entry VM.

        One that doesn't know tenants would pass the digest of the key on to a server.
        """
        extra_headers = [
            (HOP_TARGETS_HEADER, b"%d" % max_targets),
            *encode_hop_origin(origin),
        ]
        if version is not None:
            extra_headers.append((HOP_VERSION_HEADER, version.encode()))
        if knows_tenants:
            extra_headers += hop_digest_headers(req)
        return _encode_head(req, extra_headers, remaining_seconds, resume_after)

    def encode_health(self, registration: Registration, path: str) -> bytes:
        """Return an encoded health check of one server."""
        return (f"GET {path} HTTP/1.1\r\nHost: {registration.address}\r\n\r\n").encode(
            "latin-1"
        )

    def encode_report(self, registration: Registration) -> bytes:
        """Return an encoded request for a server's report on itself."""
        return self.encode_health(registration, REPORT_PATH)

    def reported_start(self, head: AnswerHead, body: bytes) -> int | None:
        """Return the Unix millisecond of its start that a server's report names."""
        if head.status != _OK:
            return None
        try:
            return msgspec.json.decode(body, type=_Report).born
        except (msgspec.MsgspecError, RecursionError):
            return None

    def cold_seconds(self, head: AnswerHead) -> float | None:
        """Return how long a server stays cold, None if its response does not say."""
        if head.status != _OK:
            return None
        value = head.get(COLD_REMAINING_HEADER) or b"0"
        return parse_duration(value.decode("latin-1"), unit_seconds=_MILLISECOND)

    def hop_version(self, head: AnswerHead) -> SoftwareVersion:
        """Return the software version of the server that answered a hop."""
        value = head.get(HOP_VERSION_HEADER) or b""
        return SoftwareVersion(value.decode("latin-1"))

    def accepts(self, head: AnswerHead, req: InboundRequest) -> bool:
        """Whether a response with `head` may belong to `req`."""
        answer_id = head.get(REQUEST_ID_HEADER)
        return answer_id is None or not req.id or answer_id == _to_bytes(req.id)

    def names_request(self, head: AnswerHead) -> bool:
        """Whether the response says to which request it belongs."""
        return head.get(REQUEST_ID_HEADER) is not None

    def classify(self, head: AnswerHead) -> AnswerClass:
        """Return the class of the response that begins with `head`."""
        status = head.status
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            return AnswerClass.INVALID
        if status == _MISDIRECTED:
            return AnswerClass.MISDIRECTED
        if head.get(NOT_EXECUTED_HEADER) is not None:
            return AnswerClass.REJECTION
        coding = head.get(b"content-encoding")
        if coding is not None and coding != b"identity":
            return AnswerClass.INVALID
        if status < 300:
            signed = (
                head.get(RESPONSE_SEAL_HEADER) is not None
                and head.get(REQUEST_ID_HEADER) is not None
            )
            return AnswerClass.SUCCESS if signed else AnswerClass.INVALID
        if status in _NOT_RUN_STATUSES:
            return AnswerClass.INVALID
        return AnswerClass.ERROR if status >= _SERVER_ERROR else AnswerClass.FINAL

    def hop_refusal(self, head: AnswerHead) -> HopRefusal | None:
        """Return the refusal of an entry VM, None for any other response."""
        value = head.get(HOP_VERDICT_HEADER)
        if value is None:
            return None
        try:
            verdict = Verdict(value.decode("latin-1"))
        except ValueError:
            verdict = Verdict.MAY_HAVE_RUN
        reached = head.get(HOP_REACHED_HEADER) != _NO_TARGET_REACHED
        newer = decode_hop_origin(
            _to_text(head.get(HOP_ENTRY_HEADER)),
            _to_text(head.get(HOP_CONFIGURATION_HEADER)),
        )
        return HopRefusal(
            verdict=verdict,
            reached_target=reached,
            in_contact=head.get(HOP_CONTACT_HEADER) != _NO_CONTACT,
            newer=newer,
        )

    def retry_after_seconds(self, head: AnswerHead) -> float | None:
        """Return the time after which the request may be retried, None if not given."""
        value = head.get(RETRY_AFTER_HEADER) or b""
        return parse_duration(value.decode("latin-1"), unit_seconds=1.0)

    def quiet_seconds(self, head: AnswerHead) -> float | None:
        """Return for how long a server that rejects a request wants no other one."""
        if head.status != _UNAVAILABLE or head.get(NOT_EXECUTED_HEADER) is None:
            return None
        times = [
            parse_duration(value.decode("latin-1"), unit_seconds=1.0)
            for name, value in head.headers
            if name == RETRY_AFTER_HEADER
        ]
        return max((time for time in times if time is not None), default=None)

    def turn_aways(self, head: AnswerHead) -> float | None:
        """Return the rejections in a second that a brittle server stands."""
        value = head.get(BRITTLE_HEADER)
        return None if value is None else parse_decimal(value.decode("latin-1")) or 0.0

    def is_leaving(self, head: AnswerHead) -> bool:
        """Return whether a server leaves, as its response says."""
        return (head.get(LEAVING_HEADER) or b"0").strip() == b"1"

    def request_limit(self, head: AnswerHead) -> float | None:
        """Return the requests per second that a server takes, as its response says."""
        limits = [
            parse_decimal(value.decode("latin-1"))
            for name, value in head.headers
            if name == REQUEST_LIMIT_HEADER
        ]
        stated = [limit for limit in limits if limit is not None]
        if limits and not stated:
            return None
        return min(stated, default=math.inf)


def _encode_head(
    req: InboundRequest,
    extra_headers: list[tuple[bytes, bytes]],
    remaining_seconds: float,
    resume_after: int | None,
) -> bytes:
    lines = [_to_bytes(f"{req.method} {req.path} HTTP/1.1")]
    # The request may have been read before the configuration had tenants.
    headers = without_credentials(req.headers) if req.hides_credentials else req.headers
    lines += [name + b": " + value for name, value in headers]
    lines += [name + b": " + value for name, value in tenant_headers(req)]
    lines += [name + b": " + value for name, value in extra_headers]
    remaining_ms = max(1, int(remaining_seconds / _MILLISECOND))
    lines.append(DEADLINE_HEADER + b": %d" % remaining_ms)
    if resume_after is not None:
        lines.append(LAST_EVENT_HEADER + b": %d" % resume_after)
    if req.body or req.method in _BODY_METHODS:
        lines.append(b"content-length: %d" % len(req.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _to_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _to_bytes(text: str) -> bytes:
    """Return the bytes that the HTTP server has decoded to `text`."""
    return text.encode("utf-8", "surrogateescape")
