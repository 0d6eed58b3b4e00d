"""Parsing and verification of HTTP requests from callers and hops."""

import asyncio
import hashlib
import hmac
import re
import uuid
from typing import TypeVar

import msgspec
from sanic import Request as HttpRequest

from pimentospool._generated.callers import (
    ChatRequest,
    CompletionRequest,
    HopHeader,
    TicketRequest,
)
from pimentospool._generated.manifest import Customer
from pimentospool._generated.settings import CallerSettings
from pimentospool.errors import Reason, RequestFailure
from pimentospool.hops import HOP_HEADER, HopSigner
from pimentospool.ids import ModelId, OperationId, RequestId, ServiceId
from pimentospool.prompts import count_tokens, prefix_blocks, prompt_text
from pimentospool.requests import GatewayRequest, RequestKind
from pimentospool.targets import LAST_EVENT_HEADER
from pimentospool.traces import TRACEPARENT_HEADER
from pimentospool.verdicts import Verdict
from pimentospool.views import View

T = TypeVar("T")
OPERATION_HEADER = "Operation-Id"
TICKET_PATH = "/v1/operations"
DEADLINE_HEADER = "X-Deadline-Seconds"
DEFAULT_MAX_TOKENS = 16
_BEARER_PREFIX = "Bearer "
_JSON_TYPE = "application/json"
_TRACEPARENT_PATTERN = re.compile(r"00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
_SECONDS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class RequestParser:
    """Turns HTTP requests of callers and hops into verified gateway requests.

    Parameters
    ----------
    cfg : CallerSettings
        Limits and defaults for requests of callers.
    signer : HopSigner
        Verifies hop headers.
    view : View
        Active configuration.
    """

    def __init__(self, *, cfg: CallerSettings, signer: HopSigner, view: View) -> None:
        self._cfg = cfg
        self._signer = signer
        self._view = view

    def parse_chat(self, http: HttpRequest, *, is_hop: bool) -> GatewayRequest:
        """Return the request of ``/v1/chat/completions``."""
        body = _decode(http, ChatRequest)
        limit = body.max_completion_tokens or body.max_tokens
        return self._parse_model(http, body, limit, is_hop=is_hop)

    def parse_completion(self, http: HttpRequest, *, is_hop: bool) -> GatewayRequest:
        """Return the request of ``/v1/completions``."""
        body = _decode(http, CompletionRequest)
        return self._parse_model(http, body, body.max_tokens, is_hop=is_hop)

    def parse_service(
        self, http: HttpRequest, service: str, path: str, *, is_hop: bool
    ) -> GatewayRequest:
        """Return the request of a call to a service that is not a model."""
        return self._parse_call(http, service, path, http.method, is_hop)

    def _parse_call(
        self, http: HttpRequest, service: str, path: str, method: str, is_hop: bool
    ) -> GatewayRequest:
        hop = self._verify_hop(http) if is_hop else None
        customer = self.customer(http, hop)
        service_id = ServiceId(service)
        if service_id not in customer.services:
            raise _refusal(
                Reason.UNKNOWN_SERVICE, f"no service {service!r} for this key"
            )
        call = self._view.index.call_of(service_id, path, method)
        if call is None:
            raise _refusal(Reason.UNKNOWN_PATH, f"{service} has no {method} {path}")
        operation = _text_header(http, OPERATION_HEADER, "")
        return GatewayRequest(
            id=_request_id(hop),
            customer=customer,
            kind=RequestKind.SERVICE,
            method=method,
            path=path,
            body=http.body,
            content_type=_text_header(http, "Content-Type", _JSON_TYPE),
            deadline=self._deadline(http, hop, call.timeout_seconds),
            idempotent=call.idempotent,
            service=service_id,
            call=call,
            operation_id=OperationId(operation) if operation else None,
            hop=hop,
            traceparent=_traceparent(http),
        )

    def parse_ticket(self, http: HttpRequest, *, is_hop: bool) -> GatewayRequest:
        """Return the request of ``/v1/operations``."""
        body = _decode(http, TicketRequest)
        req = self._parse_call(http, body.service, body.path, body.method, is_hop)
        req.kind = RequestKind.TICKET
        req.method = http.method
        req.path = TICKET_PATH
        req.idempotent = True
        req.operation_id = None
        return req

    def customer(self, http: HttpRequest, hop: HopHeader | None) -> Customer:
        """Return the customer on whose behalf the request was sent.

        Raises
        ------
        RequestFailure
            If the bearer key, or the customer that the hop names, is unknown.
        """
        if hop is not None:
            customer = self._view.index.customers.get(hop.customer)
        else:
            customer = self._customer_of_key(http.headers.get("Authorization", ""))
        if customer is None:
            raise _refusal(Reason.UNKNOWN_KEY, "the bearer key is missing or not known")
        return customer

    def _customer_of_key(self, authorization: str) -> Customer | None:
        if not authorization.startswith(_BEARER_PREFIX):
            return None
        key = authorization.removeprefix(_BEARER_PREFIX).encode(
            errors="surrogateescape"
        )
        digest = hashlib.sha256(key).hexdigest()
        customer = self._view.index.customer_of(digest)
        if customer is None:
            return None
        matches = [hmac.compare_digest(digest, known) for known in customer.key_digests]
        return customer if any(matches) else None

    def _parse_model(
        self,
        http: HttpRequest,
        body: ChatRequest | CompletionRequest,
        max_tokens: int | None,
        *,
        is_hop: bool,
    ) -> GatewayRequest:
        hop = self._verify_hop(http) if is_hop else None
        customer = self.customer(http, hop)
        name, _, adapter = body.model.partition(":")
        model = ModelId(name)
        if model not in customer.models:
            raise _refusal(Reason.UNKNOWN_MODEL, f"no model {name!r} for this key")
        text = prompt_text(body)
        return GatewayRequest(
            id=_request_id(hop),
            customer=customer,
            kind=RequestKind.MODEL,
            method="POST",
            path=http.path.removeprefix("/hop"),
            body=http.body,
            content_type="application/json",
            deadline=self._deadline(http, hop, self._cfg.default_deadline_seconds),
            idempotent=True,
            streamed=body.stream,
            model=model,
            adapter=adapter,
            prompt_tokens=count_tokens(text),
            max_tokens=max_tokens or DEFAULT_MAX_TOKENS,
            blocks=tuple(prefix_blocks(text)),
            hop=hop,
            traceparent=_traceparent(http),
            resume_after=_resume_after(http) if hop is not None else None,
        )

    def _verify_hop(self, http: HttpRequest) -> HopHeader:
        hop = self._signer.verify(http.headers.get(HOP_HEADER, ""))
        if hop is None:
            raise _refusal(Reason.FORBIDDEN, "the hop is not signed by a peer")
        if hop.revision > self._view.number:
            raise _refusal(
                Reason.STALE_VIEW,
                "the hop follows a newer configuration than this side",
            )
        return hop

    def _deadline(
        self, http: HttpRequest, hop: HopHeader | None, default: float
    ) -> float:
        now = asyncio.get_running_loop().time()
        if hop is not None:
            return now + hop.deadline_seconds
        requested = http.headers.get(DEADLINE_HEADER)
        if requested is None:
            return now + default
        if not _SECONDS_PATTERN.fullmatch(requested):
            detail = f"{DEADLINE_HEADER} must be a number of seconds"
            raise _refusal(Reason.BAD_REQUEST, detail)
        return now + min(float(requested), default)


def _decode(http: HttpRequest, body_type: type[T]) -> T:
    content_type = http.headers.get("Content-Type", _JSON_TYPE)
    if content_type.partition(";")[0].strip().lower() != _JSON_TYPE:
        raise _refusal(Reason.UNSUPPORTED_MEDIA_TYPE, f"the body must be {_JSON_TYPE}")
    try:
        return msgspec.json.decode(http.body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise _refusal(Reason.BAD_REQUEST, f"the body is refused: {exc}") from exc


def _text_header(http: HttpRequest, name: str, default: str) -> str:
    """Return a header that is forwarded, refusing characters that are not allowed."""
    value: str = http.headers.get(name, default)
    if not (value.isascii() and value.isprintable()):
        raise _refusal(Reason.BAD_REQUEST, f"{name} must be printable ASCII")
    return value


def _traceparent(http: HttpRequest) -> str:
    """Return the trace parent, an empty string if the header is absent or invalid."""
    value: str = http.headers.get(TRACEPARENT_HEADER, "")
    return value if _TRACEPARENT_PATTERN.fullmatch(value) else ""


def _resume_after(http: HttpRequest) -> int | None:
    value = http.headers.get(LAST_EVENT_HEADER)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal()):
        raise _refusal(Reason.BAD_REQUEST, f"{LAST_EVENT_HEADER} must be a number")
    return int(value)


def _request_id(hop: HopHeader | None) -> RequestId:
    return hop.request_id if hop is not None else RequestId(uuid.uuid4().hex)


def _refusal(reason: Reason, detail: str) -> RequestFailure:
    return RequestFailure(reason=reason, detail=detail, verdict=Verdict.NOT_RUN)
