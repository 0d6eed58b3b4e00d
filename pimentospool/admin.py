"""Admin interface of an entry process: pages for operators and metrics scrapers."""

from collections.abc import Callable

import msgspec
from sanic import HTTPResponse, Sanic
from sanic import Request as HttpRequest
from sanic.server.async_server import AsyncioServer

from pimentospool._generated.settings import EntrySettings


class Page(msgspec.Struct, kw_only=True):
    """Body and content type of an admin page."""

    content_type: str
    body: bytes


class AdminServer:
    """Serves admin pages over HTTP.

    Parameters
    ----------
    cfg : EntrySettings
        Identity and admin address.
    """

    def __init__(self, *, cfg: EntrySettings) -> None:
        self._cfg = cfg
        name = f"admin-{cfg.id}-{id(self):x}".replace(".", "-")
        self._app: Sanic = Sanic(name, configure_logging=False)
        self._app.config.TOUCHUP = False
        self._server: AsyncioServer | None = None

    def add_page(self, path: str, render: Callable[[], Page]) -> None:
        """Serve the page that `render` returns at `path`."""

        async def handle(http: HttpRequest) -> HTTPResponse:
            page = render()
            return HTTPResponse(page.body, content_type=page.content_type)

        self._app.add_route(handle, path, name=path.strip("/").replace("/", "_"))

    async def start(self) -> None:
        """Listen on the admin address."""
        host, _, port = self._cfg.admin_address.rpartition(":")
        server = await self._app.create_server(
            host, int(port), return_asyncio_server=True, access_log=False
        )
        assert server is not None
        await server.startup()
        await server.start_serving()
        self._server = server

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
