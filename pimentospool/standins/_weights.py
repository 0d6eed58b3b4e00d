"""Stand-in of the rate-limited weight store."""

import asyncio
import time

from aiohttp import web

_CHUNK_BYTES = 64 * 1024
_BYTES_PER_MB = 1_000_000


class WeightStore:
    """Store that sends model weights at a shared, limited rate.

    ``GET /v1/weights/{model}/{version}?mb=M`` streams M megabytes.

    Parameters
    ----------
    megabytes_per_second : float
        Rate shared by all readers.
    """

    def __init__(self, *, megabytes_per_second: float = 100.0) -> None:
        self.reads = 0
        self._seconds_per_byte = 1 / (megabytes_per_second * _BYTES_PER_MB)
        self._free_at = 0.0

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        return [web.get("/v1/weights/{model}/{version}", self._read)]

    async def _read(self, req: web.Request) -> web.StreamResponse:
        self.reads += 1
        remaining = int(float(req.query.get("mb", "1")) * _BYTES_PER_MB)
        answer = web.StreamResponse(headers={"Content-Length": str(remaining)})
        await answer.prepare(req)
        while remaining:
            size = min(remaining, _CHUNK_BYTES)
            await self._pace(size)
            await answer.write(bytes(size))
            remaining -= size
        return answer

    async def _pace(self, size: int) -> None:
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size * self._seconds_per_byte
        await asyncio.sleep(self._free_at - now)
