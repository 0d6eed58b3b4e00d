"""Sanic application that serves callers and hops."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
from sanic import HTTPResponse, Sanic
from sanic import Request as HttpRequest
from sanic.server.async_server import AsyncioServer

from pimentospool._generated.callers import (
    ModelCard,
    ModelList,
)
from pimentospool._generated.settings import Settings
from pimentospool.callers._connections import (
    HEADS_BYTES,
    CallerApp,
    CallerProtocol,
    CallerRequest,
    ConnectionDrain,
    close_after_answer,
    has_peer_certificate,
)
from pimentospool.callers._parsing import OPERATION_HEADER, TICKET_PATH, RequestParser
from pimentospool.callers._problems import (
    end_stream_with_error,
    failure_for_request,
    handle_error,
    problem_response,
)
from pimentospool.callers._sinks import HttpSink
from pimentospool.control import ControlPlane
from pimentospool.entry_choice import EntryChooser
from pimentospool.errors import Reason, RequestFailure
from pimentospool.hops import HOP_HEADER, HOP_PREFIX, HopSigner
from pimentospool.ids import RegionId, RequestId, ZoneId
from pimentospool.log import Event, log_event
from pimentospool.policy import HeadBudget
from pimentospool.requests import GatewayRequest, RequestServer
from pimentospool.tls import TlsContexts
from pimentospool.verdicts import Verdict
from pimentospool.views import View

_DRAIN_POLL_SECONDS = 0.05
_KEEP_ALIVE_TIMEOUT_SECONDS = 75
_LISTEN_BACKLOG_CONNECTIONS = 4096


class CallerServer:
    """Serves callers and hops over HTTP.

    Parameters
    ----------
    cfg : Settings
        Settings of the entry process.
    view : View
        Active configuration.
    control : ControlPlane
        Lists the entry VMs that callers may use, and brings the view up to date.
    dispatcher : RequestServer
        Serves verified requests.
    tls : TlsContexts
        Contexts for callers and hops.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        view: View,
        control: ControlPlane,
        dispatcher: RequestServer,
        tls: TlsContexts,
    ) -> None:
        self.in_progress = 0
        self.leaving = False
        self._cfg = cfg
        self._view = view
        self._control = control
        self._chooser = EntryChooser(cfg=cfg, view=view, fleet=control.fleet)
        self._dispatcher = dispatcher
        self._tls = tls
        self._signer = HopSigner(key=cfg.peers.key)
        self._parser = RequestParser(cfg=cfg.callers, signer=self._signer, view=view)
        self._app = self._build_app()
        self._server: AsyncioServer | None = None

    async def start(self) -> None:
        """Listen on the caller address."""
        host, _, port = self._cfg.entry.caller_address.rpartition(":")
        server = await self._app.create_server(
            host,
            int(port),
            protocol=CallerProtocol,
            backlog=_LISTEN_BACKLOG_CONNECTIONS,
            ssl=self._tls.server_context,
            return_asyncio_server=True,
            access_log=False,
        )
        assert server is not None
        await server.startup()
        await server.start_serving()
        self._server = server

    async def drain(self) -> None:
        """Refuse new requests and wait for those in progress, up to `drain_seconds`."""
        self.leaving = True
        limit = self._cfg.callers.drain_seconds
        try:
            async with asyncio.timeout(limit):
                while self.in_progress:
                    await asyncio.sleep(_DRAIN_POLL_SECONDS)
        except TimeoutError:
            log_event(Event.ENTRY_DRAIN_EXPIRED, in_progress=self.in_progress)

    async def close(self) -> None:
        """Stop listening and close each connection once its response is sent."""
        if self._server is None:
            return
        self._server.close()
        drain = ConnectionDrain(server=self._server)
        await drain.run(self._cfg.callers.drain_seconds)

    def _build_app(self) -> Sanic:
        name = f"callers-{self._cfg.entry.id}-{id(self):x}".replace(".", "-")
        app = CallerApp(name, configure_logging=False, request_class=CallerRequest)
        app.ctx.heads = HeadBudget(limit_bytes=HEADS_BYTES)
        app.config.REQUEST_MAX_SIZE = self._cfg.callers.max_body_bytes
        app.config.REQUEST_TIMEOUT = self._cfg.callers.request_timeout_seconds
        app.config.RESPONSE_TIMEOUT = self._cfg.callers.default_deadline_seconds * 2
        app.config.KEEP_ALIVE_TIMEOUT = _KEEP_ALIVE_TIMEOUT_SECONDS
        app.config.ACCESS_LOG = False
        app.config.TOUCHUP = False
        for prefix in ("", HOP_PREFIX):
            is_hop = bool(prefix)
            tag = "hop" if is_hop else "caller"
            app.add_route(
                self._model_handler(self._parser.parse_chat, is_hop=is_hop),
                f"{prefix}/v1/chat/completions",
                methods=["POST"],
                name=f"{tag}_chat",
            )
            app.add_route(
                self._model_handler(self._parser.parse_completion, is_hop=is_hop),
                f"{prefix}/v1/completions",
                methods=["POST"],
                name=f"{tag}_completion",
            )
            app.add_route(
                self._model_handler(self._parser.parse_ticket, is_hop=is_hop),
                f"{prefix}{TICKET_PATH}",
                methods=["POST"],
                name=f"{tag}_ticket",
            )
            app.add_route(
                self._service_handler(is_hop=is_hop),
                f"{prefix}/v1/services/<service>/<path:path>",
                methods=["GET", "POST", "PUT", "DELETE"],
                name=f"{tag}_service",
            )
        app.add_route(self._models, "/v1/models", name="models")
        app.add_route(self._entries, "/v1/entries", name="entries")
        app.error_handler.add(Exception, handle_error)
        return app

    def _model_handler(
        self, parse: Callable[..., GatewayRequest], *, is_hop: bool
    ) -> Callable[[HttpRequest], Coroutine[Any, Any, HTTPResponse | None]]:
        async def handle(http: HttpRequest) -> HTTPResponse | None:
            return await self._serve(http, lambda: parse(http, is_hop=is_hop))

        return handle

    def _service_handler(
        self, *, is_hop: bool
    ) -> Callable[[HttpRequest, str, str], Coroutine[Any, Any, HTTPResponse | None]]:
        async def handle(
            http: HttpRequest, service: str, path: str
        ) -> HTTPResponse | None:
            return await self._serve(
                http,
                lambda: self._parser.parse_service(http, service, path, is_hop=is_hop),
            )

        return handle

    async def _serve(
        self, http: HttpRequest, parse: Callable[[], GatewayRequest]
    ) -> HTTPResponse | None:
        self.in_progress += 1
        request_id = RequestId("")
        sink: HttpSink | None = None
        try:
            self._refuse_if_leaving(http)
            self._refuse_if_region_lost(http)
            await self._update_view(http)
            req = parse()
            request_id = req.id
            sink = HttpSink(http=http, request_id=req.id)
            await self._dispatcher.serve(req, sink)
            return None
        except RequestFailure as failure:
            exc = failure_for_request(http, failure)
            log_event(
                Event.REQUEST_REFUSED,
                request_id=request_id,
                reason=exc.reason.slug,
                verdict=exc.verdict.value,
            )
            if sink is None or not sink.started:
                return problem_response(exc, request_id)
            await end_stream_with_error(sink, exc, request_id)
            return None
        finally:
            self.in_progress -= 1

    def _refuse_if_leaving(self, http: HttpRequest) -> None:
        if self.leaving:
            close_after_answer(http)
        if self.leaving and OPERATION_HEADER not in http.headers:
            raise RequestFailure(
                reason=Reason.LEAVING,
                detail="this entry VM takes no new requests; ask another one",
                verdict=Verdict.NOT_RUN,
                retry_after_seconds=0.0,
            )

    def _refuse_if_region_lost(self, http: HttpRequest) -> None:
        region = self._cfg.entry.region
        region_lost = region in self._control.fleet.lost_regions()
        if region_lost and OPERATION_HEADER not in http.headers:
            raise RequestFailure(
                reason=Reason.REGION_LOST,
                detail=f"a drill declares region {region} lost; ask another entry VM",
                verdict=Verdict.NOT_RUN,
                retry_after_seconds=0.0,
            )

    async def _update_view(self, http: HttpRequest) -> None:
        await self._control.wait_for_recheck()
        signed_header = http.headers.get(HOP_HEADER)
        hop = self._signer.verify(signed_header) if signed_header else None
        if hop is not None:
            self._require_peer_certificate(http)
            await self._view.ensure_revision(hop.revision, hop.ingress)

    def _require_peer_certificate(self, http: HttpRequest) -> None:
        if self._tls.hops_require_certificates and not has_peer_certificate(http):
            raise RequestFailure(
                reason=Reason.FORBIDDEN,
                detail="a hop must show a certificate of the peers' authority",
                verdict=Verdict.NOT_RUN,
            )

    async def _models(self, http: HttpRequest) -> HTTPResponse:
        try:
            customer = self._parser.customer(http, None)
        except RequestFailure as exc:
            return problem_response(exc, RequestId(""))
        cards = [ModelCard(id=model) for model in customer.models]
        return _json_response(ModelList(data=cards))

    async def _entries(self, http: HttpRequest) -> HTTPResponse:
        zone, region = http.args.get("zone"), http.args.get("region")
        choice = self._chooser.choose(
            zone=ZoneId(zone) if zone else None,
            region=RegionId(region) if region else None,
            caller=http.args.get("caller") or f"{http.ip}:{http.port}",
        )
        return _json_response(choice)


def _json_response(value: msgspec.Struct) -> HTTPResponse:
    return HTTPResponse(msgspec.json.encode(value), content_type="application/json")
