"""Interfaces of trace spans, and a tracer that records nothing.

Spans name requests, customers, regions and verdicts, and never hold any part of a body.
The propagated header is that of W3C Trace Context.
"""

from enum import Enum
from typing import Protocol

TRACEPARENT_HEADER = "traceparent"


class SpanName(Enum):
    """Names of spans, by the work that they cover."""

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
    """A span that has started."""

    @property
    def traceparent(self) -> str:
        """Value of the header that makes the receiver's spans children of this one."""
        ...

    def set(self, attribute: SpanAttribute, value: str | int | bool) -> None:
        """Set an attribute of the span."""
        ...

    def end(self) -> None:
        """End the span."""
        ...


class Tracer(Protocol):
    """Starts spans."""

    def begin(self, name: SpanName, *, parent: str) -> Span:
        """Start a child of the ``traceparent`` header `parent`, which may be empty."""
        ...


class NoOpSpan:
    """A span that is not recorded; its children belong to its parent.

    Parameters
    ----------
    parent : str
        ``traceparent`` header of the parent span.
    """

    def __init__(self, *, parent: str) -> None:
        self.traceparent = parent

    def set(self, attribute: SpanAttribute, value: str | int | bool) -> None:
        """Do nothing."""

    def end(self) -> None:
        """Do nothing."""


class NoOpTracer:
    """Tracer of an entry process whose settings export no traces."""

    def begin(self, name: SpanName, *, parent: str) -> Span:
        """Start a span that is not recorded."""
        return NoOpSpan(parent=parent)
