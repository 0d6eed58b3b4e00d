"""Clients that don't keep to the protocol or to any limit, for soaks and drills."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable

import msgspec

RECEIVE_BUFFER_BYTES = 8 * 1024
"""Receive buffer of a client; an answer that it does not read waits elsewhere."""
PIECE_PAUSE_SECONDS = 0.05
RECONNECT_SECONDS = 0.2
READ_BYTES = 1024
PIECE = b"a" * 8 * 1024
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"
"""`struct linger` by which a close discards what has not been sent."""


class Misbehaviour(msgspec.Struct, kw_only=True, frozen=True):
    """What a client sends and reads."""

    name: str
    opening: Callable[[bytes], bytes]
    """Returns the first bytes, given the headers of a request without their end."""
    piece: bytes = b""
    """Bytes that follow without end."""
    reads: bool = False
    """Whether it reads what it gets, slowly."""


def _request(method: bytes, path: bytes, rest: bytes) -> Callable[[bytes], bytes]:
    return lambda headers: b"%b %b HTTP/1.1\r\n%b%b" % (method, path, headers, rest)


def misbehaviours(path: str) -> list[Misbehaviour]:
    """Return all kinds of clients.

    Parameters
    ----------
    path : str
        Path at which bodies are posted.
    """
    post = path.encode()
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    announced = b"Content-Length: 4000000000\r\n\r\n"
    return [
        Misbehaviour(name="silent", opening=lambda headers: b""),
        Misbehaviour(
            name="line without end", opening=_request(b"GET", b"/", b"x: "), piece=PIECE
        ),
        Misbehaviour(
            name="lines without end",
            opening=_request(b"GET", b"/", b""),
            piece=b"x: y\r\n" * 1_000,
        ),
        Misbehaviour(
            name="empty lines without end",
            opening=lambda headers: b"",
            piece=b"\r\n" * 4_000,
        ),
        Misbehaviour(
            name="announced body",
            opening=_request(b"POST", post, announced),
            piece=PIECE,
        ),
        Misbehaviour(
            name="smallest chunks",
            opening=_request(b"POST", post, chunked),
            piece=b"1\r\na\r\n" * 500,
        ),
        Misbehaviour(
            name="trailers",
            opening=_request(b"POST", post, chunked + b"1\r\na\r\n0\r\n"),
            piece=b"x: y\r\n" * 1_000,
        ),
        Misbehaviour(
            name="body without its last byte",
            opening=_request(b"POST", post, b"Content-Length: 10\r\n\r\n123456789"),
        ),
        Misbehaviour(
            name="pipelined requests",
            opening=_request(b"GET", b"/none", b"\r\n"),
            piece=b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n" * 50,
        ),
        Misbehaviour(
            name="sent on after the refusal",
            opening=_request(b"POST", post, announced),
            piece=PIECE,
            reads=True,
        ),
        Misbehaviour(
            name="another protocol",
            opening=lambda headers: b"\x16\x03\x01\x00\xc8\x01" + bytes(200),
            piece=bytes(4_096),
        ),
    ]


class MisbehavingClients:
    """Clients of one address, each of a random kind, that connect again when cut off.

    Parameters
    ----------
    address : str
        IP:port to which they connect.
    path : str
        Path at which bodies are posted.
    headers : bytes
        First headers of their requests.
    count : int
        Number of clients.
    rng : Random
        Chooses their kinds.
    """

    def __init__(
        self,
        *,
        address: str,
        path: str,
        headers: bytes,
        count: int,
        rng: random.Random,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._headers = headers
        self._count = count
        self._rng = rng
        self._kinds = misbehaviours(path)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Let the clients connect."""
        self._tasks = [
            asyncio.create_task(self._run(self._rng.choice(self._kinds)))
            for _ in range(self._count)
        ]

    async def close(self) -> None:
        """End all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, kind: Misbehaviour) -> None:
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # To be cut off is what these clients are for.
            with contextlib.suppress(OSError), sock:
                await self._misbehave(kind, sock)
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _misbehave(self, kind: Misbehaviour, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self._address)
        await loop.sock_sendall(sock, kind.opening(self._headers))
        while kind.piece:
            await loop.sock_sendall(sock, kind.piece)
            await asyncio.sleep(PIECE_PAUSE_SECONDS)
            if kind.reads:
                with contextlib.suppress(BlockingIOError):
                    sock.recv(READ_BYTES)
        await asyncio.Event().wait()
