"""HTTP server for a stand-in."""

from typing import Protocol

from aiohttp import web

_MAX_BODY_BYTES = 16 * 1024 * 1024
_SHUTDOWN_TIMEOUT_SECONDS = 1.0


class Standin(Protocol):
    """A stand-in that is served over HTTP."""

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        ...


class StandinServer:
    """A running stand-in.

    Parameters
    ----------
    runner : aiohttp.web.AppRunner
        Runner that serves the stand-in.
    address : str
        IP:port on which it listens.
    """

    def __init__(self, *, runner: web.AppRunner, address: str) -> None:
        self.address = address
        self._runner = runner

    async def close(self) -> None:
        """Stop serving; requests in progress are cancelled after a short timeout."""
        await self._runner.cleanup()


async def serve_standin(standin: Standin, address: str) -> StandinServer:
    """Serve `standin` on `address`; port 0 selects a free port."""
    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    app.add_routes(standin.routes())
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_SECONDS,
        handler_cancellation=True,
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), reuse_address=True)
    await site.start()
    bound_host, bound_port = runner.addresses[0][:2]
    return StandinServer(runner=runner, address=f"{bound_host}:{bound_port}")
