"""Stand-in for the configuration service, with reads and long polls of values."""

import asyncio
import time

import msgspec
from aiohttp import web

from pimentospool.manifest import Manifest
from pimentospool.revisions import INDEX_KEY, MAX_VALUE_BYTES, pack_manifest, part_key

MAX_READS_PER_SECOND = 2000
_MAX_WAIT_SECONDS = 60.0


class StoredValue(msgspec.Struct, kw_only=True):
    """A value and its version, from one increasing counter for all keys."""

    version: int
    data: bytes


class ConfigurationService:
    """Service that stores values of up to a megabyte for reads and long polls.

    ``GET /v1/values/{key}`` returns the value at once, with its version in the
    ``Version`` header. With ``?after=V&wait=S`` it returns when the version is above
    V, or with status 304 after S seconds. Above the read rate it returns status 429.

    Parameters
    ----------
    reads_per_second : float
        Rate limit of reads; bursts of up to one second's reads are allowed.
    """

    def __init__(self, *, reads_per_second: float = MAX_READS_PER_SECOND) -> None:
        self.reads = 0
        self.available = True
        self._rate = reads_per_second
        self._tokens = reads_per_second
        self._refilled_at = time.monotonic()
        self._values: dict[str, StoredValue] = {}
        self._version = 0
        self._changed = asyncio.Condition()

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        return [
            web.get("/v1/values/{key:.+}", self._handle_get),
            web.put("/v1/values/{key:.+}", self._handle_put),
            web.put("/v1/available/{state}", self._handle_set_available),
        ]

    async def publish(self, key: str, data: bytes) -> None:
        """Store a value, as the operator's pipeline does.

        Raises
        ------
        ValueError
            If the value is too large.
        """
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {key} exceeds {MAX_VALUE_BYTES} bytes")
        async with self._changed:
            self._version += 1
            self._values[key] = StoredValue(version=self._version, data=data)
            self._changed.notify_all()

    async def publish_manifest(self, manifest: Manifest, *, revision: int) -> None:
        """Publish the parts of a manifest and then its index."""
        packed = pack_manifest(manifest, revision=revision)
        for digest, data in packed.parts.items():
            await self.publish(part_key(digest), data)
        await self.publish(INDEX_KEY, msgspec.json.encode(packed.index))

    async def _handle_put(self, req: web.Request) -> web.Response:
        data = await req.read()
        if len(data) > MAX_VALUE_BYTES:
            return web.Response(status=413)
        await self.publish(req.match_info["key"], data)
        return web.Response(status=204)

    async def _handle_set_available(self, req: web.Request) -> web.Response:
        self.available = req.match_info["state"] == "true"
        return web.Response(status=204)

    async def _handle_get(self, req: web.Request) -> web.Response:
        self.reads += 1
        if not self.available:
            return web.Response(status=503)
        if not self._try_acquire_read():
            return web.Response(status=429)
        key = req.match_info["key"]
        after = int(req.query.get("after", "0"))
        wait = min(float(req.query.get("wait", "0")), _MAX_WAIT_SECONDS)
        if wait:
            await self._wait_for_change(key, after=after, wait=wait)
        value = self._values.get(key)
        if value is None:
            return web.Response(status=404)
        headers = {"Version": str(value.version)}
        if value.version <= after:
            return web.Response(status=304, headers=headers)
        return web.Response(body=value.data, headers=headers)

    async def _wait_for_change(self, key: str, *, after: int, wait: float) -> None:
        def changed() -> bool:
            value = self._values.get(key)
            return value is not None and value.version > after

        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(changed)
        except TimeoutError:
            return

    def _try_acquire_read(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._rate, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
