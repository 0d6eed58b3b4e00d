"""Stand-ins for the directory of entry VMs and for the platform's VM list."""

import asyncio
import zlib

import msgspec
from aiohttp import web

from pimentospool._generated.platform import DirectoryAnswer, VmList, VmRecord


class Directory:
    """Directory from which callers get their first entry VMs: ``GET /v1/directory``."""

    def __init__(self, *, addresses: list[str]) -> None:
        self.addresses = addresses

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        return [web.get("/v1/directory", self._read)]

    async def _read(self, req: web.Request) -> web.Response:
        answer = DirectoryAnswer(addresses=self.addresses)
        return web.Response(
            body=msgspec.json.encode(answer), content_type="application/json"
        )


class VmListService:
    """VM list whose changes become visible after a lag: ``GET /v1/vms``, with an ETag.

    Parameters
    ----------
    lag_seconds : float
        Time after which a change becomes visible.
    """

    def __init__(self, *, lag_seconds: float = 1.0) -> None:
        self._lag_seconds = lag_seconds
        self._visible_records: dict[str, VmRecord] = {}

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        return [
            web.get("/v1/vms", self._read),
            web.put("/v1/vms/{id}", self._write),
            web.delete("/v1/vms/{id}", self._delete),
        ]

    def seed(self, records: list[VmRecord]) -> None:
        """Add records that are visible at once."""
        self._visible_records |= {record.id: record for record in records}

    def update(self, record: VmRecord) -> None:
        """Add or replace a record, visible after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._lag_seconds, self._visible_records.__setitem__, record.id, record
        )

    def remove(self, vm_id: str) -> None:
        """Remove a record, visible after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._lag_seconds, self._visible_records.pop, vm_id, None)

    async def _read(self, req: web.Request) -> web.Response:
        body = msgspec.json.encode(VmList(vms=list(self._visible_records.values())))
        tag = f'"{zlib.crc32(body):08x}"'
        if req.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        return web.Response(
            body=body, headers={"ETag": tag}, content_type="application/json"
        )

    async def _write(self, req: web.Request) -> web.Response:
        self.update(msgspec.json.decode(await req.read(), type=VmRecord))
        return web.Response(status=204)

    async def _delete(self, req: web.Request) -> web.Response:
        self.remove(req.match_info["id"])
        return web.Response(status=204)
