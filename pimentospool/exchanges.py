"""Requests as they are sent on: to a target, or one hop to another entry VM."""

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
    HOP_PATIENCE,
    LAST_EVENT_HEADER,
    REQUEST_ID_HEADER,
    Exchange,
)
from pimentospool.traces import TRACEPARENT_HEADER
from pimentospool.views import View

PRIORITY_HEADER = "X-Priority"
LONG_PRIORITY = 10


class ExchangeFactory:
    """Makes the exchanges of verified requests.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Configuration in force.
    """

    def __init__(self, *, cfg: Settings, view: View) -> None:
        self._cfg = cfg
        self._view = view
        self._signer = HopSigner(key=cfg.peers.key)
        self._hop_scheme = "https" if cfg.tls.caller_certificate else "http"

    def to_target(
        self, req: GatewayRequest, target: Target, relay: StreamRelay, parent: str
    ) -> Exchange:
        """Return `req` as it is sent to `target`; `parent` is its trace parent."""
        path = req.path
        if req.kind is RequestKind.SERVICE:
            path = f"/{req.service}/{req.path}"
        exchange = self._exchange(req, f"http://{target.address}{path}", relay, parent)
        if req.kind is RequestKind.MODEL:
            exchange.headers[PRIORITY_HEADER] = str(self._priority(req))
        if req.send_guard is not None:
            exchange.before_sending = partial(
                req.send_guard.sending, decided_at=time.monotonic()
            )
        return exchange

    def to_entry(
        self, req: GatewayRequest, peer: VmRecord, relay: StreamRelay, parent: str
    ) -> Exchange:
        """Return `req` as it is sent to the entry VM `peer`."""
        path = req.path
        if req.kind is RequestKind.SERVICE:
            path = f"/v1/services/{req.service}/{req.path}"
        url = f"{self._hop_scheme}://{peer.caller_address}{HOP_PREFIX}{path}"
        exchange = self._exchange(req, url, relay, parent)
        exchange.is_hop = True
        exchange.first_byte_timeout_seconds = self._answer_seconds(
            req, patience=HOP_PATIENCE
        )
        exchange.headers[HOP_HEADER] = self._signer.sign(self.hop_header(req))
        return exchange

    def hop_header(self, req: GatewayRequest) -> HopHeader:
        """Return what a hop says of `req`."""
        return HopHeader(
            request_id=req.id,
            customer=req.customer.id,
            ingress=self._cfg.entry.id,
            ingress_region=self._cfg.entry.region,
            revision=self._view.number,
            deadline_seconds=remaining_seconds(req),
        )

    def _exchange(
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
            first_byte_timeout_seconds=self._answer_seconds(req),
            idempotent=req.idempotent,
        )

    def _priority(self, req: GatewayRequest) -> int:
        limits = self._view.index.manifest.limits
        short = req.prompt_tokens <= limits.short_prompt_tokens
        return req.customer.priority + (0 if short else LONG_PRIORITY)

    def _answer_seconds(self, req: GatewayRequest, *, patience: int = 1) -> float:
        """Return the wait for an answer to begin that leaves time to go elsewhere."""
        remaining = remaining_seconds(req)
        if not req.idempotent:
            return remaining
        limit = self._cfg.targets.answer_timeout_seconds * patience
        return min(limit, remaining / 2)


def remaining_seconds(req: GatewayRequest) -> float:
    """Return the time left until the deadline of `req`."""
    return max(0.0, req.deadline - asyncio.get_running_loop().time())
