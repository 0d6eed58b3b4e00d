"""Further crowds of clients outside the limits: other paces, endings and mixes."""

import random

import pytest
from client_crowd import ClientClass
from test_client_crowds import (
    ANSWERS,
    AT_EACH_LISTENER,
    BODIES,
    CHUNKED,
    CLIENTS,
    EMPTY_LINES,
    HEADS,
    LISTENERS,
    LONG,
    OTHER_PROTOCOLS,
    PIPELINED,
    POST,
    SILENT_CLIENTS,
    LongAnswerTarget,
    check_crowd,
    dashed,
    pipelined,
    request,
)

TRICKLE_SECONDS = 0.5
SEEDS = range(4)
UNFINISHED = {
    "small bodies without their last byte": ClientClass(
        request(POST, b"Content-Length: 10\r\n\r\n", b"a" * 9)
    ),
    "small bodies byte by byte": ClientClass(
        request(POST, b"Content-Length: 1000\r\n\r\n"),
        b"a",
        pause_seconds=TRICKLE_SECONDS,
    ),
    "chunks byte by byte": ClientClass(
        request(POST, CHUNKED, b"\r\n"), b"1\r\na\r\n", pause_seconds=TRICKLE_SECONDS
    ),
    "heads byte by byte": ClientClass(
        request(b"GET /look/1", b"x: "), b"a", pause_seconds=TRICKLE_SECONDS
    ),
    "heads that end half closed": ClientClass(
        request(b"GET /look/1", b"x: "), ending="close"
    ),
    "bodies that end half closed": ClientClass(
        request(POST, b"Content-Length: 10\r\n\r\n", b"a" * 9), ending="close"
    ),
    "bodies that are expected": ClientClass(
        request(POST, b"Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n")
    ),
    "bodies that end with a reset": ClientClass(
        request(POST, b"Content-Length: 1000\r\n\r\n", b"a" * 900), ending="reset"
    ),
}
WHOLE = {
    "requests that end half closed": ClientClass(
        request(b"GET /look/1", b"\r\n"), ending="close"
    ),
    "requests that end with a reset": ClientClass(
        request(b"GET /look/1", b"\r\n"), ending="reset"
    ),
    "unknown paths": ClientClass(
        request(b"GET /none/1", b"\r\n"), request(b"GET /none/1", b"\r\n")(b"a") * 100
    ),
    "last requests of their connections": ClientClass(
        request(b"GET /look/1", b"Connection: close\r\n\r\n"), LONG
    ),
}


@pytest.mark.parametrize("kind", UNFINISHED, ids=dashed)
def test_unfinished_requests(runner, tmp_path, kind):
    runner.run(check_crowd(tmp_path, [UNFINISHED[kind]]))


@pytest.mark.parametrize("kind", WHOLE, ids=dashed)
def test_requests_that_are_left(runner, tmp_path, kind):
    runner.run(check_crowd(tmp_path, [WHOLE[kind]], is_whole=True))


@pytest.mark.parametrize("listener", LISTENERS)
def test_unfinished_bodies_at_each_listener(runner, tmp_path, listener):
    clients = UNFINISHED["small bodies without their last byte"].at(listener)
    runner.run(check_crowd(tmp_path, [clients]))


def test_slowly_read_metrics(runner, tmp_path):
    clients = ClientClass(
        PIPELINED["control"], PIPELINED["control"](b"a"), reads="slowly"
    ).at("control")
    runner.run(check_crowd(tmp_path, [clients]))


@pytest.mark.parametrize("seed", SEEDS)
def test_some_classes_at_once(runner, tmp_path, seed):
    """Three to six classes, at any listener, before targets with any long answers."""
    rng = random.Random(seed)
    classes = [
        *HEADS.values(),
        *EMPTY_LINES.values(),
        *BODIES.values(),
        *OTHER_PROTOCOLS.values(),
        *UNFINISHED.values(),
        *WHOLE.values(),
        *(item.at(name) for item in AT_EACH_LISTENER.values() for name in LISTENERS),
        *map(pipelined, PIPELINED),
        *(
            ClientClass(request(path, b"\r\n"), reads=reads)
            for path in (b"GET /look/1", b"GET /plan/1")
            for reads in ("nothing", "slowly")
        ),
    ]
    framing, is_stream = rng.choice(list(ANSWERS.values()))
    attributes = {"framing": framing, "is_stream": is_stream}
    factory = type("_Target", (LongAnswerTarget,), attributes)
    runner.run(
        check_crowd(
            tmp_path,
            rng.sample(classes, rng.randint(3, 6)),
            count=rng.choice([CLIENTS, SILENT_CLIENTS]),
            factory=factory,
            is_whole=True,
        )
    )
