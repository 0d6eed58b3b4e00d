"""Final results of routed requests, independent of HTTP status codes."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentospool.gateway._answer_streams import AnswerHead
from pimentospool.gateway._model import HopOrigin
from pimentospool.ids import SoftwareVersion
from pimentospool.verdicts import Verdict

LEAVING_RETRY_AFTER_SECONDS = 0.02
"""Retry-After of a leaving entry VM; the retry goes to another entry VM."""


class RefusalReason(Enum):
    """Why a request ends without a target's response."""

    NOT_CONFIGURED = "no configuration is known yet"
    OUTDATED = "the configuration that the request came with is not known yet"
    SENDER_OUTDATED = "the configuration that the request came with is not the latest"
    VERSION_UNKNOWN = "it is not known which software version began the stream"
    NO_ROUTE = "no route matches"
    UNAUTHORIZED = "the API key is missing or unknown"
    UNCONFIRMED = "the known API keys may be out of date"
    NO_REGION = "no region may serve the tenant's requests of this route"
    OVER_QUOTA = "the tenant's quota is used up"
    QUOTA_UNKNOWN = "no entry VM that counts the tenant's quota answers"
    OVERLOADED = "no target can take the request now"
    QUARANTINED = "targets have crashed under this request or a part of its prompt"
    NO_MEMORY = "this entry VM has no memory for the request now"
    LEAVING = "this entry VM is shutting down"
    SHUT_DOWN = "this entry VM has shut down before an answer was whole"
    TIMED_OUT = "the request's time is over"
    FAILED = "no target gave a whole answer"


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """A final response of the gateway itself."""

    reason: RefusalReason
    verdict: Verdict
    detail: str = ""
    retry_after_seconds: float | None = None
    reached_target: bool = False
    """Whether a target may have received the request, even if it rejected it."""
    in_contact: bool = True
    """Whether this entry VM reaches targets of the service, as far as it knows."""
    newer: HopOrigin | None = None
    """This entry VM, if it refuses a hop because it follows a later configuration."""


class Reply(Protocol):
    """Sends the final response of one request."""

    started: bool
    """Whether the head of a response has been sent."""

    @property
    def caller_left(self) -> bool:
        """Whether the caller has closed its connection."""

    async def send_response(self, head: AnswerHead, body: bytes | memoryview) -> None:
        """Send a target's response with its complete body."""

    async def start_stream(self, head: AnswerHead, version: SoftwareVersion) -> None:
        """Send the head of a stream that a target of a software version began."""

    async def write(self, data: bytes) -> None:
        """Send a chunk of a streamed response."""

    async def end_stream(self) -> None:
        """End a streamed response as complete."""

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal of the gateway itself."""

    def abort(self) -> None:
        """Abort a started response so that it can't be taken for complete."""
