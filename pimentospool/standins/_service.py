"""Stand-in of a plain service that records every execution."""

import asyncio
import time

import msgspec
from aiohttp import web

from pimentospool.revisions import digest_of
from pimentospool.standins._executions import Execution

NOT_EXECUTED_HEADER = "X-Not-Executed"


class ServiceAnswer(msgspec.Struct, kw_only=True):
    """Body that a call answers with."""

    service: str
    path: str
    execution: int
    request_id: str
    body_digest: str


class PlainService:
    """Service whose calls run at once and are recorded.

    ``ANY /{service}/{path}`` runs a call; ``GET /executions`` lists what ran.
    With ``refusing`` set it answers 503 with ``X-Not-Executed`` and runs nothing.

    Parameters
    ----------
    service_seconds : float
        Time between an execution and its answer.
    """

    def __init__(self, *, service_seconds: float = 0.005) -> None:
        self.executions: list[Execution] = []
        self.refusing = False
        self._service_seconds = service_seconds

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        return [
            web.get("/executions", self._list),
            web.put("/refusing/{state}", self._set_refusing),
            web.route("*", "/{service}/{path:.+}", self._run),
        ]

    async def _list(self, req: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.executions), content_type="application/json"
        )

    async def _set_refusing(self, req: web.Request) -> web.Response:
        self.refusing = req.match_info["state"] == "true"
        return web.Response(status=204)

    async def _run(self, req: web.Request) -> web.Response:
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
        answer = ServiceAnswer(
            service=req.match_info["service"],
            path=execution.path,
            execution=number,
            request_id=execution.request_id,
            body_digest=execution.body_digest,
        )
        return web.Response(
            body=msgspec.json.encode(answer),
            content_type="application/json",
            headers={"X-Request-Id": execution.request_id},
        )
