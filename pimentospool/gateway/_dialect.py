"""What differs between deployments in how requests and answers are written."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentospool.gateway._connections import AnswerHead
from pimentospool.gateway._model import InboundRequest, Registration
from pimentospool.verdicts import Verdict


class AnswerClass(Enum):
    """What the head of a target's answer says."""

    SUCCESS = "the request ran and succeeded"
    REJECTION = "the request did not run"
    ABSENT = "another target answers at the address"
    ERROR = "the request ran and the target failed"
    FINAL = "the request ran; another target would answer the same"
    INVALID = "not an answer of the target"


class HopRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """An entry VM's refusal of a request that another one sent to it."""

    verdict: Verdict
    reached_target: bool
    """Whether a target may have received the request, also one that rejected it."""


class TargetDialect(Protocol):
    """Requests and answers in the form that targets and peers exchange."""

    def encode(
        self,
        req: InboundRequest,
        *,
        registration: Registration,
        remaining_seconds: float,
        urgency: int | None,
        resume_after: int | None,
    ) -> bytes:
        """Return `req` in bytes for one target, which must be the one named."""

    def encode_hop(
        self,
        req: InboundRequest,
        *,
        remaining_seconds: float,
        resume_after: int | None,
        max_targets: int,
    ) -> bytes:
        """Return `req` in bytes for another entry VM."""

    def encode_health(self, registration: Registration, path: str) -> bytes:
        """Return a health check of one target in bytes."""

    def cold_seconds(self, head: AnswerHead) -> float | None:
        """Return how long a target stays cold, None if its answer does not say."""

    def accepts(self, head: AnswerHead, req: InboundRequest) -> bool:
        """Whether an answer with `head` may belong to `req`."""

    def classify(self, head: AnswerHead) -> AnswerClass:
        """Return what `head` says."""

    def hop_refusal(self, head: AnswerHead) -> HopRefusal | None:
        """Return what an entry VM's own refusal says, None for other answers."""

    def retry_after_seconds(self, head: AnswerHead) -> float | None:
        """Return the time after which the sender of `head` asks to come back."""
