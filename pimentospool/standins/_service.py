"""Stand-in for a plain service that records every execution."""

import asyncio
import time

import msgspec
from aiohttp import web

from pimentospool.revisions import digest_of
from pimentospool.standins._executions import Execution

NOT_EXECUTED_HEADER = "X-Not-Executed"


class ServiceAnswer(msgspec.Struct, kw_only=True):
    """Body of the response to a call."""

    service: str
    path: str
    execution: int
    request_id: str
    body_digest: str


class PlainService:
    """Service that executes calls at once and records them.

    ``ANY /{service}/{path}`` executes a call; ``GET /executions`` lists the executions.
    With ``refusing`` set it returns status 503 with ``X-Not-Executed`` and executes
    nothing.

    Parameters
    ----------
    service_seconds : float
        Time between an execution and its response.
    """

    def __init__(self, *, service_seconds: float = 0.005) -> None:
        self.executions: list[Execution] = []
        self.refusing = False
        self._service_seconds = service_seconds

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        return [
            web.get("/executions", self._handle_list_executions),
            web.put("/refusing/{state}", self._handle_set_refusing),
            web.route("*", "/{service}/{path:.+}", self._handle_call),
        ]

    async def _handle_list_executions(self, req: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.executions), content_type="application/json"
        )

    async def _handle_set_refusing(self, req: web.Request) -> web.Response:
        self.refusing = req.match_info["state"] == "true"
        return web.Response(status=204)

    async def _handle_call(self, req: web.Request) -> web.Response:
        body = await req.read()
        if self.refusing:
            return web.Response(status=503, headers={NOT_EXECUTED_HEADER: "true"})
        execution = Execution(
            path=req.match_info["path"],
            method=req.method,
            request_id=req.headers.get("X-Request-Id", ""),
            operation_id=req.headers.get("Operation-Id", ""),
            body_digest=digest_of(body),
            at=time.time(),
        )
        self.executions.append(execution)
        number = len(self.executions)
        await asyncio.sleep(self._service_seconds)
        execution.seconds = time.time() - execution.at
        response_body = ServiceAnswer(
            service=req.match_info["service"],
            path=execution.path,
            execution=number,
            request_id=execution.request_id,
            body_digest=execution.body_digest,
        )
        return web.Response(
            body=msgspec.json.encode(response_body),
            content_type="application/json",
            headers={"X-Request-Id": execution.request_id},
        )
