"""Clients outside the limits leave a real node within its machine, and serving.

Every class of clients runs by itself: the process lives, memory and descriptors stay
below the limits of the settings, and ordinary requests at all listeners are answered
beside the crowd and after it. What a client had not sent as a whole reaches no target,
nor what was refused as not run.
"""

import asyncio
import itertools

import pytest
from client_crowd import ClientClass, ClientCrowd, NodeWatch, listener_addresses
from node_process import encode_request, read_answer, running_node_process

from pimentospool.standins import (
    HOST,
    SigningTarget,
    platform_configuration,
    platform_route,
)

MEMORY_MB = 128
MAX_DESCRIPTORS = 700
MAX_SOCKETS = MAX_DESCRIPTORS - 200
"""Descriptors of `MaxFds` beside those that are kept for files."""
MAX_BODY_BYTES = 1_000_000
CLIENTS = 250
SILENT_CLIENTS = 600
"""More clients than a node has descriptors for sockets."""
HELD_SECONDS = 2.5
ANSWER_SECONDS = 25.0
"""Time in which an ordinary request is answered, with all of its retries."""
ATTEMPT_SECONDS = 5.0
RETRY_SECONDS = 0.2
PIECE_BYTES = 16 * 1024
ANSWER_BYTES = 2_000_000
ANSWER_PIECE_BYTES = 32 * 1024
NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that the request has not run, and never will."""
ROUTES = [
    platform_route("/look/", "idempotent", TimeoutMs=8000),
    platform_route("/book/", "non_idempotent", MaxAttempts=1, TimeoutMs=8000),
    platform_route("/plan/", "streaming", "desk", MaxAttempts=1, TimeoutMs=8000),
]
NEW_ROUTE = platform_route("/new/", "idempotent")
LISTENERS = ("peer", "view", "directory", "ready", "control")
LINE = b"x: " + b"a" * 1_000 + b"\r\n"
LONG = b"a" * PIECE_BYTES
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class LongAnswerTarget(SigningTarget):
    """A target whose answers are long, but for those at one path.

    Attributes
    ----------
    framing : str
        "length", "chunks" or "close"; what ends the answer.
    is_stream : bool
        Whether the answer is a stream of events without end.
    """

    framing = "length"
    is_stream = False

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head.lower().split(b"x-request-id: ")[1].split(b"\r\n")[0]
        start = b"HTTP/1.1 200 OK\r\nX-Response-Seal: 1\r\nX-Request-Id: " + request_id
        if b" /look/2 " in head or b" /new/" in head:
            writer.write(start + b"\r\nContent-Length: 1\r\n\r\na")
            return True
        framing = {
            "length": b"Content-Length: %d" % ANSWER_BYTES,
            "chunks": b"Transfer-Encoding: chunked",
            "close": b"Connection: close",
        }[self.framing]
        kind = b"text/event-stream" if self.is_stream else b"text/plain"
        writer.write(start + b"\r\nContent-Type: %b\r\n%b\r\n\r\n" % (kind, framing))
        pieces = itertools.count(1) if self.is_stream else range(self._piece_count)
        for number in pieces:
            writer.write(self._piece(number))
            await writer.drain()
            await asyncio.sleep(0)
        if self.framing == "chunks":
            writer.write(b"0\r\n\r\n")
        return self.framing != "close"

    @property
    def _piece_count(self):
        return -(-ANSWER_BYTES // ANSWER_PIECE_BYTES)

    def _piece(self, number):
        data = b"a" * ANSWER_PIECE_BYTES
        if self.is_stream:
            data = b"id: %d\ndata: %b\n\n" % (number, data)
        elif number == self._piece_count - 1:
            data = data[: ANSWER_BYTES - number * ANSWER_PIECE_BYTES]
        return b"%x\r\n%b\r\n" % (len(data), data) if self.framing == "chunks" else data


def request(start, *rest, version=b"1.1"):
    """Return what encodes a request with an id; `rest` follows its first headers."""
    return lambda request_id: (
        b"%b HTTP/%b\r\nHost: %b\r\nX-Request-Id: %b\r\n%b"
        % (
            start,
            version,
            HOST.encode(),
            request_id,
            b"".join(rest),
        )
    )


def kept(opening=lambda request_id: b""):
    """Return the same after an ordinary request on the connection."""
    ordinary = request(b"GET /look/2", b"\r\n")
    return lambda request_id: ordinary(b"ordinary-" + request_id) + opening(request_id)


def nothing(request_id):
    return b""


def dashed(name):
    """Return a name without spaces, which separate the fields of KNOWN-RED.txt."""
    return name.replace(" ", "-")


HEADS = {
    "one line": ClientClass(request(b"GET /look/1", b"x: " + LONG * 3, b"\r\n\r\n")),
    "many lines": ClientClass(request(b"GET /look/1", LINE * 40, b"\r\n")),
    "first line": ClientClass(request(b"GET /look/1" + LONG * 3, b"\r\n")),
    "one line without end": ClientClass(request(b"GET /look/1", b"x: "), LONG),
    "many lines without end": ClientClass(request(b"GET /look/1"), LINE * 16),
    "first line without end": ClientClass(lambda _: b"GET /look/1", LONG),
    "later one line without end": ClientClass(
        kept(request(b"GET /look/1", b"x: ")), LONG, reads="all"
    ),
    "later many lines without end": ClientClass(
        kept(request(b"GET /look/1")), LINE * 16, reads="all"
    ),
    "later first line without end": ClientClass(
        kept(lambda _: b"GET /look/1"), LONG, reads="all"
    ),
}
EMPTY_LINES = {
    f"{name} {when}": ClientClass(opening, data * (PIECE_BYTES // 2), reads=reads)
    for name, data in {"empty lines": b"\r\n", "CR": b"\r\r", "LF": b"\n\n"}.items()
    for when, opening, reads in (
        ("first", nothing, "nothing"),
        ("between", kept(), "all"),
    )
}
POST = b"POST /book/1"
BODIES = {
    "announced": ClientClass(
        request(POST, b"Content-Length: 100000000\r\n\r\n"), reads="all"
    ),
    "announced and sent": ClientClass(
        request(POST, b"Content-Length: 100000000\r\n\r\n"), LONG
    ),
    "sent on after the refusal": ClientClass(
        request(POST, b"Content-Length: 100000000\r\n\r\n"), LONG, reads="all"
    ),
    "chunks": ClientClass(
        request(POST, CHUNKED, b"\r\n"), b"4000\r\n" + LONG + b"\r\n"
    ),
    "chunks sent on after the refusal": ClientClass(
        request(POST, CHUNKED, b"\r\n"), b"4000\r\n" + LONG + b"\r\n", reads="all"
    ),
    "smallest chunks": ClientClass(
        request(POST, CHUNKED, b"\r\n"), b"1\r\na\r\n" * 2_000
    ),
    "no length": ClientClass(request(POST, b"\r\n"), LONG),
    "no length in HTTP/1.0": ClientClass(request(POST, b"\r\n", version=b"1.0"), LONG),
    "trailers": ClientClass(request(POST, CHUNKED, b"\r\n1\r\na\r\n0\r\n"), LINE * 16),
    "chunk extension": ClientClass(request(POST, CHUNKED, b"\r\n1;"), LONG),
    "chunk extensions": ClientClass(
        request(POST, CHUNKED, b"\r\n"), (b"1;" + b"a" * 4_000 + b"\r\na\r\n") * 4
    ),
    "chunk size": ClientClass(request(POST, CHUNKED, b"\r\n"), b"0" * PIECE_BYTES),
    "without their last byte": ClientClass(
        request(
            POST,
            b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES,
            b"a" * (MAX_BODY_BYTES - 1),
        )
    ),
}
ANSWERS = {
    "length": ("length", False),
    "chunks": ("chunks", False),
    "close": ("close", False),
    "stream in chunks": ("chunks", True),
    "stream to the close": ("close", True),
}
PIPELINED = {
    "front": request(b"GET /look/2", b"\r\n"),
    "peer": request(b"GET /look/2", b"\r\n"),
    "view": request(b"GET /view", b"\r\n"),
    "directory": request(
        b"GET /resolve?Name=%b&Region=gulf&Zone=gulf-a" % HOST.encode(), b"\r\n"
    ),
    "ready": request(b"GET /ready", b"\r\n"),
    "control": request(b"GET /metrics", b"\r\n"),
}
"""An ordinary request at each listener."""
OTHER_PROTOCOLS = {
    "TLS": ClientClass(
        lambda _: bytes.fromhex("16030100c8010000c40303") + b"\x5a" * 192, reads="all"
    ),
    "HTTP/2": ClientClass(
        lambda _: b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9), b"\0" * PIECE_BYTES
    ),
    "SSH": ClientClass(lambda _: b"SSH-2.0-a\r\n", b"\x5a" * PIECE_BYTES),
    "upgrade": ClientClass(
        request(
            b"GET /look/1",
            b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
            b"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: YQ==\r\n\r\n",
        ),
        LONG,
    ),
    "CONNECT": ClientClass(request(b"CONNECT shop.example:443", b"\r\n"), LONG),
}
AT_EACH_LISTENER = {
    "silent": ClientClass(nothing),
    "many lines without end": HEADS["many lines without end"],
    "empty lines": EMPTY_LINES["empty lines first"],
    "chunks": BODIES["chunks"],
}


def pipelined(listener):
    opening = PIPELINED[listener]
    return ClientClass(opening, opening(b"later") * 100, listener=listener)


async def ask_once(address, data):
    """Return the status of one request; 0 if the connection ends without an answer."""
    writer = None
    try:
        async with asyncio.timeout(ATTEMPT_SECONDS):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(data)
            return (await read_answer(reader))[0]
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.transport.abort()


async def ask(address, data, *, statuses=(200,)):
    """Ask until the request is answered; what was refused as not run is retried."""
    async with asyncio.timeout(ANSWER_SECONDS):
        while (status := await ask_once(address, data)) not in statuses:
            assert status == 0 or status in NOT_RUN, status
            await asyncio.sleep(RETRY_SECONDS)


async def check_service(node, path):
    """Check that ordinary requests are answered at each listener."""
    addresses = listener_addresses(node)
    for listener, encode in PIPELINED.items():
        await ask(addresses[listener], encode(b"ordinary"))
    ordinary = encode_request("GET", path, request_id="ordinary")
    # Until the configuration that names the route is followed, there is none.
    async with asyncio.timeout(ANSWER_SECONDS):
        while await ask_once(addresses["front"], ordinary) != 200:
            await asyncio.sleep(RETRY_SECONDS)


async def check_crowd(
    tmp_path, classes, *, count=CLIENTS, factory=SigningTarget, is_whole=False
):
    """Run a node beside a crowd; check what it holds, and that it serves others.

    With `is_whole` the clients send whole requests, which targets may run.
    """
    items = [(factory(instance=f"i-{number}"), {"Slots": 128}) for number in range(3)]
    limits = {"Limits": {"MaxBodyBytes": MAX_BODY_BYTES}}
    async with (
        running_node_process(
            tmp_path,
            targets=items,
            routes=ROUTES,
            limits={"MemoryMb": MEMORY_MB, "MaxFds": MAX_DESCRIPTORS},
            configuration=limits,
        ) as node,
        NodeWatch(node) as watch,
    ):
        async with ClientCrowd(classes, listener_addresses(node), count) as crowd:
            await asyncio.sleep(HELD_SECONDS)
            later = platform_configuration(2, routes=[*ROUTES, NEW_ROUTE]) | limits
            await node.store.put("op/config", later)
            await check_service(node, "/new/1")
        await check_service(node, "/look/2")
        watch.sample()
        print(
            f"{watch.most_bytes / 1e6:.0f} MB, {watch.most_unread_bytes / 1e6:.0f} MB "
            f"of these unread, {watch.most_sockets} sockets"
        )
        assert node.proc.poll() is None
        assert watch.most_bytes < MEMORY_MB * 1_000_000
        assert node.peak_bytes < MEMORY_MB * 1_000_000
        assert watch.most_sockets <= MAX_SOCKETS
        assert watch.most_descriptors <= MAX_DESCRIPTORS
    arrived = {req.id for target, _ in items for req in target.received}
    crowd_ids = {item for item in arrived if item.startswith("crowd-")}
    assert is_whole or not crowd_ids
    refused = {key for key, status in crowd.statuses.items() if status in NOT_RUN}
    assert not refused & arrived


@pytest.mark.parametrize("kind", HEADS, ids=dashed)
def test_heads_over_the_limit(runner, tmp_path, kind):
    runner.run(check_crowd(tmp_path, [HEADS[kind]]))


@pytest.mark.parametrize("kind", EMPTY_LINES, ids=dashed)
def test_empty_lines_without_end(runner, tmp_path, kind):
    runner.run(check_crowd(tmp_path, [EMPTY_LINES[kind]]))


@pytest.mark.parametrize("kind", BODIES, ids=dashed)
def test_bodies_over_the_limit(runner, tmp_path, kind):
    # Without a length the request is whole, and what follows is not its body.
    is_whole = kind.startswith("no length")
    runner.run(check_crowd(tmp_path, [BODIES[kind]], is_whole=is_whole))


@pytest.mark.parametrize("reads", ["nothing", "slowly"])
@pytest.mark.parametrize("kind", ANSWERS, ids=dashed)
def test_long_answers_that_are_not_read(runner, tmp_path, kind, reads):
    framing, is_stream = ANSWERS[kind]
    attributes = {"framing": framing, "is_stream": is_stream}
    factory = type("_Target", (LongAnswerTarget,), attributes)
    path = b"GET /plan/1" if is_stream else b"GET /look/1"
    clients = ClientClass(request(path, b"\r\n"), reads=reads)
    runner.run(check_crowd(tmp_path, [clients], factory=factory, is_whole=True))


@pytest.mark.parametrize("listener", PIPELINED)
def test_pipelined_requests_whose_answers_are_not_read(runner, tmp_path, listener):
    runner.run(check_crowd(tmp_path, [pipelined(listener)], is_whole=True))


@pytest.mark.parametrize("kind", OTHER_PROTOCOLS, ids=dashed)
def test_other_protocols(runner, tmp_path, kind):
    is_whole = kind == "upgrade"
    runner.run(check_crowd(tmp_path, [OTHER_PROTOCOLS[kind]], is_whole=is_whole))


@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("kind", AT_EACH_LISTENER, ids=dashed)
def test_classes_at_each_listener(runner, tmp_path, kind, listener):
    count = SILENT_CLIENTS if kind == "silent" else CLIENTS
    clients = AT_EACH_LISTENER[kind].at(listener)
    runner.run(check_crowd(tmp_path, [clients], count=count))


def test_silent_connections(runner, tmp_path):
    clients = AT_EACH_LISTENER["silent"]
    runner.run(check_crowd(tmp_path, [clients], count=SILENT_CLIENTS))


def test_silent_connections_at_all_listeners(runner, tmp_path):
    clients = [ClientClass(nothing, listener=name) for name in PIPELINED]
    runner.run(check_crowd(tmp_path, clients, count=SILENT_CLIENTS))


def test_all_classes_at_once(runner, tmp_path):
    classes = [
        *HEADS.values(),
        *EMPTY_LINES.values(),
        *BODIES.values(),
        *OTHER_PROTOCOLS.values(),
        *(item.at(name) for item in AT_EACH_LISTENER.values() for name in LISTENERS),
        *map(pipelined, PIPELINED),
        ClientClass(request(b"GET /look/1", b"\r\n"), reads="slowly"),
        ClientClass(request(b"GET /plan/1", b"\r\n")),
    ]
    runner.run(check_crowd(tmp_path, classes, factory=LongAnswerTarget, is_whole=True))


def test_datagrams_that_are_no_heartbeats(runner, tmp_path):
    async def run():
        loop = asyncio.get_running_loop()

        async def flood(address):
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=(address.host, address.port)
            )
            try:
                while True:
                    for size in (1, 1_400, 60_000):
                        transport.sendto(b"\x5a" * size)
                    await asyncio.sleep(0.001)
            finally:
                transport.close()

        async with (
            running_node_process(
                tmp_path,
                targets=[(SigningTarget(instance="i-1"), {"Slots": 128})],
                routes=ROUTES,
                limits={"MemoryMb": MEMORY_MB, "MaxFds": MAX_DESCRIPTORS},
            ) as node,
            NodeWatch(node) as watch,
        ):
            flooding = asyncio.create_task(flood(listener_addresses(node)["peer"]))
            await asyncio.sleep(HELD_SECONDS)
            await check_service(node, "/look/2")
            flooding.cancel()
            await check_service(node, "/look/2")
            assert node.proc.poll() is None
            assert watch.most_bytes < MEMORY_MB * 1_000_000

    runner.run(run())
