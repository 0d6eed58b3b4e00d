"""Requests to targets and peers, and their answers, in the platform's form."""

from pimentospool.gateway import (
    AnswerClass,
    AnswerHead,
    HopRefusal,
    InboundRequest,
    Registration,
)
from pimentospool.platform._names import (
    COLD_REMAINING,
    DEADLINE,
    EXPECT_INSTANCE,
    HOP_REACHED,
    HOP_TARGETS,
    HOP_VERDICT,
    LAST_EVENT,
    NOT_EXECUTED,
    PRIORITY,
    REQUEST_ID,
    RETRY_AFTER,
    SEAL,
)
from pimentospool.verdicts import Verdict

_OK = 200
_MISDIRECTED = 421
_PROMISES = (408, 429, 503)
"""Statuses by which a caller is promised that its request did not run."""
_SERVER_ERROR = 500
_BODY_METHODS = ("POST", "PUT", "PATCH")
_LEAST_URGENT = 9
_MILLISECONDS = 1000.0
_NO_TARGET = b"0"


class PlatformDialect:
    """Form of requests and answers on the platform."""

    def encode(
        self,
        req: InboundRequest,
        *,
        registration: Registration,
        remaining_seconds: float,
        urgency: int | None,
        resume_after: int | None,
    ) -> bytes:
        """Return `req` in bytes for one server, which must be the one named."""
        extra = [(EXPECT_INSTANCE, registration.id.encode())]
        if urgency is not None:
            extra.append((PRIORITY, b"%d" % min(max(urgency, 0), _LEAST_URGENT)))
        return _encode(req, extra, remaining_seconds, resume_after)

    def encode_hop(
        self,
        req: InboundRequest,
        *,
        remaining_seconds: float,
        resume_after: int | None,
        max_targets: int,
    ) -> bytes:
        """Return `req` in bytes for another entry VM."""
        extra = [(HOP_TARGETS, b"%d" % max_targets)]
        return _encode(req, extra, remaining_seconds, resume_after)

    def encode_health(self, registration: Registration, path: str) -> bytes:
        """Return a health check of one server in bytes."""
        return (f"GET {path} HTTP/1.1\r\nHost: {registration.address}\r\n\r\n").encode(
            "latin-1"
        )

    def cold_seconds(self, head: AnswerHead) -> float | None:
        """Return how long a server stays cold, None if its answer does not say."""
        if head.status != _OK:
            return None
        try:
            return float(head.get(COLD_REMAINING) or 0) / _MILLISECONDS
        except ValueError:
            return None

    def accepts(self, head: AnswerHead, req: InboundRequest) -> bool:
        """Whether an answer with `head` may belong to `req`."""
        answered = head.get(REQUEST_ID)
        return answered is None or not req.id or answered.decode("latin-1") == req.id

    def classify(self, head: AnswerHead) -> AnswerClass:
        """Return what `head` says."""
        status = head.status
        if status == _MISDIRECTED:
            return AnswerClass.MISDIRECTED
        if head.get(NOT_EXECUTED) is not None:
            return AnswerClass.REJECTION
        coding = head.get(b"content-encoding")
        if coding is not None and coding != b"identity":
            return AnswerClass.INVALID
        if status < 300:
            sealed = head.get(SEAL) is not None and head.get(REQUEST_ID) is not None
            return AnswerClass.SUCCESS if sealed else AnswerClass.INVALID
        if status in _PROMISES:
            return AnswerClass.INVALID
        return AnswerClass.ERROR if status >= _SERVER_ERROR else AnswerClass.FINAL

    def hop_refusal(self, head: AnswerHead) -> HopRefusal | None:
        """Return what an entry VM's own refusal says, None for other answers."""
        value = head.get(HOP_VERDICT)
        if value is None:
            return None
        try:
            verdict = Verdict(value.decode("latin-1"))
        except ValueError:
            verdict = Verdict.MAY_HAVE_RUN
        reached = head.get(HOP_REACHED) != _NO_TARGET
        return HopRefusal(verdict=verdict, reached_target=reached)

    def retry_after_seconds(self, head: AnswerHead) -> float | None:
        """Return the time after which the sender of `head` asks to come back."""
        value = head.get(RETRY_AFTER)
        try:
            return None if value is None else max(0.0, float(value))
        except ValueError:
            return None


def _encode(
    req: InboundRequest,
    extra: list[tuple[bytes, bytes]],
    remaining_seconds: float,
    resume_after: int | None,
) -> bytes:
    lines = [f"{req.method} {req.path} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in req.headers]
    lines += [name + b": " + value for name, value in extra]
    remaining_ms = max(1, int(remaining_seconds * _MILLISECONDS))
    lines.append(DEADLINE + b": %d" % remaining_ms)
    if resume_after is not None:
        lines.append(LAST_EVENT + b": %d" % resume_after)
    if req.body or req.method in _BODY_METHODS:
        lines.append(b"content-length: %d" % len(req.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + req.body
