"""How a routed request ends, in terms that say nothing of status codes."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentospool.gateway._connections import AnswerHead
from pimentospool.verdicts import Verdict


class RefusalReason(Enum):
    """Why a request ends without a target's answer."""

    NOT_CONFIGURED = "no configuration is known yet"
    NO_ROUTE = "no route matches"
    OVERLOADED = "no target can take the request now"
    LEAVING = "this entry VM is shutting down"
    TIMED_OUT = "the request's time is over"
    FAILED = "no target gave a whole answer"


class Refusal(msgspec.Struct, kw_only=True, frozen=True):
    """A final answer of the gateway itself."""

    reason: RefusalReason
    verdict: Verdict
    detail: str = ""
    retry_after_seconds: float | None = None
    reached_target: bool = False
    """Whether a target may have received the request, also one that rejected it."""


class Reply(Protocol):
    """Where the answer of one request goes."""

    started: bool

    async def whole(self, head: AnswerHead, body: bytes) -> None:
        """Send a target's answer with its whole body."""

    async def begin(self, head: AnswerHead) -> None:
        """Send the head of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""

    async def end(self) -> None:
        """End a streamed answer as complete."""

    async def refuse(self, refusal: Refusal) -> None:
        """Send a final answer of the gateway itself."""

    def cut(self) -> None:
        """End a begun answer so that it cannot be taken for complete."""
