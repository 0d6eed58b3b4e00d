"""Trace spans of requests, one for each hop.

Spans name requests, customers, regions and verdicts; nothing of a body enters them.
Source of the propagated header: W3C Trace Context.
"""

from enum import Enum
from typing import Protocol

TRACEPARENT_HEADER = "traceparent"


class SpanName(Enum):
    """What a span covers."""

    ENTRY = "entry"
    TARGET = "target"
    HOP = "hop"
    PLATFORM = "platform"


class SpanAttribute(Enum):
    """Attributes of spans."""

    REQUEST_ID = "pimentospool.request_id"
    CUSTOMER = "pimentospool.customer"
    KIND = "pimentospool.kind"
    REGION = "pimentospool.region"
    TARGET = "pimentospool.target"
    VERDICT = "pimentospool.verdict"
    REASON = "pimentospool.reason"
    CAUSE = "pimentospool.cause"
    HOPPED = "pimentospool.hopped"
    ATTEMPTS = "pimentospool.attempts"


class Span(Protocol):
    """A span that has begun."""

    @property
    def traceparent(self) -> str:
        """Value of the header that makes others' spans children of this one."""
        ...

    def set(self, attribute: SpanAttribute, value: str | int | bool) -> None:
        """Set an attribute."""
        ...

    def end(self) -> None:
        """End the span."""
        ...


class Tracer(Protocol):
    """Begins spans."""

    def begin(self, name: SpanName, *, parent: str) -> Span:
        """Begin a span below the `traceparent` header `parent`, which may be empty."""
        ...


class SilentSpan:
    """A span that is recorded nowhere; it hands its parent on.

    Parameters
    ----------
    parent : str
        ``traceparent`` header of the caller.
    """

    def __init__(self, *, parent: str) -> None:
        self.traceparent = parent

    def set(self, attribute: SpanAttribute, value: str | int | bool) -> None:
        """Do nothing."""

    def end(self) -> None:
        """Do nothing."""


class SilentTracer:
    """Tracer of an entry process whose settings export no traces."""

    def begin(self, name: SpanName, *, parent: str) -> Span:
        """Begin a span that is recorded nowhere."""
        return SilentSpan(parent=parent)
