"""Outgoing requests: to a target, or one hop to another entry VM."""

import asyncio
import time
from functools import partial

from pimentospool._generated.callers import HopHeader
from pimentospool._generated.platform import VmRecord
from pimentospool._generated.settings import Settings
from pimentospool.hops import HOP_HEADER, HOP_PREFIX, HopSigner
from pimentospool.manifest import Target
from pimentospool.relaying import StreamRelay
from pimentospool.requests import GatewayRequest, RequestKind
from pimentospool.targets import (
    HOP_TIMEOUT_FACTOR,
    LAST_EVENT_HEADER,
    REQUEST_ID_HEADER,
    Exchange,
)
from pimentospool.traces import TRACEPARENT_HEADER
from pimentospool.views import View

PRIORITY_HEADER = "X-Priority"
LONG_PROMPT_PRIORITY_OFFSET = 10


class ExchangeFactory:
    """Builds the outgoing exchanges of verified requests.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Active configuration.
    """

    def __init__(self, *, cfg: Settings, view: View) -> None:
        self._cfg = cfg
        self._view = view
        self._signer = HopSigner(key=cfg.peers.key)
        self._hop_scheme = "https" if cfg.tls.caller_certificate else "http"

    def to_target(
        self, req: GatewayRequest, target: Target, relay: StreamRelay, parent: str
    ) -> Exchange:
        """Return the exchange of `req` with `target`.

        `parent` is the ``traceparent`` header of its parent span.
        """
        path = req.path
        if req.kind is RequestKind.SERVICE:
            path = f"/{req.service}/{req.path}"
        exchange = self._make_exchange(
            req, f"http://{target.address}{path}", relay, parent
        )
        if req.kind is RequestKind.MODEL:
            exchange.headers[PRIORITY_HEADER] = str(self._priority(req))
        if req.send_guard is not None:
            exchange.before_sending = partial(
                req.send_guard.check_may_send, decided_at=time.monotonic()
            )
        return exchange

    def to_entry(
        self, req: GatewayRequest, peer: VmRecord, relay: StreamRelay, parent: str
    ) -> Exchange:
        """Return the exchange of `req` with the entry VM `peer`, as one hop."""
        path = req.path
        if req.kind is RequestKind.SERVICE:
            path = f"/v1/services/{req.service}/{req.path}"
        url = f"{self._hop_scheme}://{peer.caller_address}{HOP_PREFIX}{path}"
        exchange = self._make_exchange(req, url, relay, parent)
        exchange.is_hop = True
        exchange.first_byte_timeout_seconds = self._answer_timeout_seconds(
            req, timeout_factor=HOP_TIMEOUT_FACTOR
        )
        exchange.headers[HOP_HEADER] = self._signer.sign(self.hop_header(req))
        return exchange

    def hop_header(self, req: GatewayRequest) -> HopHeader:
        """Return the content of the hop header of `req`."""
        return HopHeader(
            request_id=req.id,
            customer=req.customer.id,
            ingress=self._cfg.entry.id,
            ingress_region=self._cfg.entry.region,
            revision=self._view.number,
            deadline_seconds=remaining_seconds(req),
        )

    def _make_exchange(
        self, req: GatewayRequest, url: str, relay: StreamRelay, parent: str
    ) -> Exchange:
        headers = {"Content-Type": req.content_type, REQUEST_ID_HEADER: req.id}
        if relay.last_id is not None:
            headers[LAST_EVENT_HEADER] = str(relay.last_id)
        if req.operation_id is not None:
            headers["Operation-Id"] = req.operation_id
        if parent:
            headers[TRACEPARENT_HEADER] = parent
        return Exchange(
            method=req.method,
            url=url,
            headers=headers,
            body=req.body,
            request_id=req.id,
            timeout_seconds=remaining_seconds(req),
            first_byte_timeout_seconds=self._answer_timeout_seconds(req),
            idempotent=req.idempotent,
        )

    def _priority(self, req: GatewayRequest) -> int:
        limits = self._view.index.manifest.limits
        is_short = req.prompt_tokens <= limits.short_prompt_tokens
        return req.customer.priority + (0 if is_short else LONG_PROMPT_PRIORITY_OFFSET)

    def _answer_timeout_seconds(
        self, req: GatewayRequest, *, timeout_factor: int = 1
    ) -> float:
        """Return the time after which the other side counts as silent.

        For an idempotent request it is at most half of the remaining time, so that
        another attempt still has time.
        """
        remaining = remaining_seconds(req)
        if not req.idempotent:
            return remaining
        longest_seconds = self._cfg.targets.answer_timeout_seconds * timeout_factor
        return min(longest_seconds, remaining / 2)


def remaining_seconds(req: GatewayRequest) -> float:
    """Return the time left until the deadline of `req`."""
    return max(0.0, req.deadline - asyncio.get_running_loop().time())
