"""TCP server that runs a script on each connection, to send exact bytes."""

import asyncio
from collections.abc import Awaitable, Callable

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawServer:
    """Runs `script` on every connection and records the heads of the requests."""

    def __init__(self, script):
        self._script = script
        self._tasks = set()
        self.requests = []
        self.connections = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.url = f"http://{host}:{port}/call"
        return self

    async def __aexit__(self, *exc):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.connections += 1
        try:
            await self._script(self, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def read_request(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests.append(head)
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.split(b":")[1]))
        return head


def script_sending(*parts, pause=0.0):
    """Return a script that reads a request, sends `parts` and closes its side."""

    async def script(server, reader, writer):
        await server.read_request(reader)
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write_eof()
        await reader.read()

    return script


def http_response(body=b"{}", headers=b"", status=b"200 OK"):
    """Return the bytes of a complete HTTP response."""
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    head = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\n" % status
    return head + headers + length + body
