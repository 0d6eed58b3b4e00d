"""Interface for the deployment-specific encoding of requests and responses."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentospool.gateway._answer_streams import AnswerHead
from pimentospool.gateway._model import HopOrigin, InboundRequest, Registration
from pimentospool.ids import SoftwareVersion
from pimentospool.verdicts import Verdict


class AnswerClass(Enum):
    """Meaning of a target's response, by its status and headers."""

    SUCCESS = "the request ran and succeeded"
    REJECTION = "the request did not run"
    MISDIRECTED = "another target answers at the address"
    ERROR = "the request ran and the target failed"
    FINAL = "the request ran; another target would answer the same"
    INVALID = "not an answer of the target"


class HopRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """Refusal by an entry VM of a request that another entry VM passed on to it."""

    verdict: Verdict
    reached_target: bool
    """Whether a target may have received the request, even if it rejected it."""
    in_contact: bool = True
    """Whether the entry VM reaches targets of the service, as far as it knows."""
    newer: HopOrigin | None = None
    """The entry VM, if it refused because it follows a later configuration."""


class TargetDialect(Protocol):
    """Encodes requests to targets and peers, and interprets their responses."""

    def encode(
        self,
        req: InboundRequest,
        *,
        registration: Registration,
        remaining_seconds: float,
        urgency: int | None,
        resume_after: int | None,
    ) -> bytes:
        """Return the head of `req` for the registered target and no other.

        `urgency` is the route's priority for an engine, 0 being the most urgent;
        `resume_after` is the last event of the stream that the caller received.
        """

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

        `max_targets` limits the targets that may still run the request; `origin` tells
        who passes it on. Only targets of `version` may run it, if that is set.
        `knows_tenants` tells whether the receiver looks up the digest of the key.
        """

    def encode_health(self, registration: Registration, path: str) -> bytes:
        """Return an encoded health check of one target."""

    def encode_report(self, registration: Registration) -> bytes:
        """Return an encoded request for what one target says of itself."""

    def reported_start(self, head: AnswerHead, body: bytes) -> int | None:
        """Return the start that a target names in its report, None if it names none."""

    def cold_seconds(self, head: AnswerHead) -> float | None:
        """Return how long a target stays cold, None if its response doesn't say."""

    def quiet_seconds(self, head: AnswerHead) -> float | None:
        """Return for how long a target that rejects a request wants no other one.

        It is None if the response isn't such a rejection or doesn't say.
        """

    def turn_aways(self, head: AnswerHead) -> float | None:
        """Return the rejections in a second above which a target falls over.

        It is None if the response doesn't say that the target is brittle.
        """

    def is_leaving(self, head: AnswerHead) -> bool:
        """Return whether a target leaves, as its response says."""

    def request_limit(self, head: AnswerHead) -> float | None:
        """Return the requests per second that a target takes from all entry VMs.

        It is infinite if the response names no limit, None if it can't be read.
        """

    def hop_version(self, head: AnswerHead) -> SoftwareVersion:
        """Return the software version of the target that answered a hop.

        It is empty, as that of no target, if the other entry VM doesn't say.
        """

    def accepts(self, head: AnswerHead, req: InboundRequest) -> bool:
        """Whether a response with `head` may belong to `req`."""

    def names_request(self, head: AnswerHead) -> bool:
        """Whether the response says to which request it belongs."""

    def classify(self, head: AnswerHead) -> AnswerClass:
        """Return what a response with `head` says about the request."""

    def hop_refusal(self, head: AnswerHead) -> HopRefusal | None:
        """Return the refusal by an entry VM itself, None for other responses."""

    def retry_after_seconds(self, head: AnswerHead) -> float | None:
        """Return the delay that the response asks for before a retry, if it does."""
