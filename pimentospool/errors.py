"""Errors of the gateway, and the problem documents (RFC 9457) that callers receive."""

from collections.abc import Sequence
from enum import Enum

import msgspec

from pimentospool.verdicts import Verdict


class PimentospoolError(Exception):
    """Base class of all errors that the gateway raises."""


class DocumentError(PimentospoolError):
    """One fault in a settings file or a manifest.

    Parameters
    ----------
    path : str
        Path of the value in the document, such as ``customers[3].allowed_regions``.
    message : str
        What is wrong, and what would be valid.
    """

    def __init__(self, *, path: str, message: str) -> None:
        super().__init__(f"{path}: {message}")
        self.path = path
        self.message = message


class DocumentErrors(ExceptionGroup[DocumentError]):
    """All faults found in one document."""

    def derive(self, excs: Sequence[DocumentError]) -> "DocumentErrors":  # type: ignore[override]
        """Return a group of `excs` with the same message."""
        return DocumentErrors(self.message, excs)


class Reason(Enum):
    """Why a request was refused or failed; the value is ``(slug, HTTP status)``."""

    UNKNOWN_KEY = ("unknown-key", 401)
    FORBIDDEN = ("forbidden", 403)
    UNKNOWN_MODEL = ("unknown-model", 404)
    UNKNOWN_SERVICE = ("unknown-service", 404)
    UNKNOWN_PATH = ("unknown-path", 404)
    UNKNOWN_OPERATION = ("unknown-operation", 400)
    BAD_REQUEST = ("bad-request", 400)
    METHOD_NOT_ALLOWED = ("method-not-allowed", 405)
    REQUEST_TIMEOUT = ("request-timeout", 408)
    OPERATION_CONFLICT = ("operation-conflict", 409)
    OPERATION_EXPIRED = ("operation-expired", 410)
    BODY_TOO_LARGE = ("body-too-large", 413)
    UNSUPPORTED_MEDIA_TYPE = ("unsupported-media-type", 415)
    HEADERS_TOO_LARGE = ("headers-too-large", 431)
    OPERATION_REQUIRED = ("operation-required", 428)
    QUOTA_EXCEEDED = ("quota-exceeded", 429)
    OVERLOADED = ("overloaded", 503)
    NO_TARGET = ("no-target", 503)
    LEAVING = ("leaving", 503)
    REGION_LOST = ("region-lost", 503)
    NOT_READY = ("not-ready", 503)
    REGION_NOT_ALLOWED = ("region-not-allowed", 403)
    HOP_REFUSED = ("hop-refused", 503)
    STALE_VIEW = ("stale-view", 503)
    TARGET_FAILED = ("target-failed", 502)
    OWNER_GONE = ("owner-gone", 502)
    OUTCOME_UNKNOWN = ("outcome-unknown", 502)
    DEADLINE_EXCEEDED = ("deadline-exceeded", 504)
    CALLER_GONE = ("caller-gone", 499)
    INTERNAL = ("internal", 500)

    @property
    def slug(self) -> str:
        """Name of the reason in documents, spans and logs."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status of the reason."""
        return self.value[1]


class ProblemError(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The ``error`` member that OpenAI-compatible clients read."""

    message: str
    type: str
    code: str


class Problem(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Problem document (RFC 9457) with the verdict of the request."""

    type: str
    title: str
    status: int
    detail: str
    verdict: Verdict
    request_id: str
    error: ProblemError
    retry_after_seconds: float | None = None
    attempt_verdict: Verdict | None = None


class RequestFailure(PimentospoolError):
    """A request that ends without its response.

    Parameters
    ----------
    reason : Reason
        Why the request ends.
    detail : str
        Explanation for the caller; it must not quote the request's body.
    verdict : Verdict
        Whether the request may have run.
    retry_after_seconds : float or None
        Delay after which a retry may succeed, if known.
    attempt_verdict : Verdict or None
        For a request of an operation: whether this one request may have run.
        `verdict` then speaks of the operation as a whole.
    """

    def __init__(
        self,
        *,
        reason: Reason,
        detail: str,
        verdict: Verdict,
        retry_after_seconds: float | None = None,
        attempt_verdict: Verdict | None = None,
    ) -> None:
        super().__init__(f"{reason.slug}: {detail} ({verdict.value})")
        self.reason = reason
        self.detail = detail
        self.verdict = verdict
        self.retry_after_seconds = retry_after_seconds
        self.attempt_verdict = attempt_verdict

    def problem(self, *, request_id: str) -> Problem:
        """Return the problem document that the caller receives."""
        reason = self.reason
        return Problem(
            type=f"urn:pimentospool:problem:{reason.slug}",
            title=reason.slug.replace("-", " "),
            status=reason.status,
            detail=self.detail,
            verdict=self.verdict,
            request_id=request_id,
            error=ProblemError(
                message=self.detail, type=reason.slug, code=self.verdict.value
            ),
            retry_after_seconds=self.retry_after_seconds,
            attempt_verdict=self.attempt_verdict,
        )
