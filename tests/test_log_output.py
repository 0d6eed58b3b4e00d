"""Log lines on a pipe that is read slowly or not at all."""

import asyncio
import contextlib
import os
import time

import logbook
import msgspec
import pytest

from pimentospool import log_output
from pimentospool.log import Event, log_event
from pimentospool.log_output import BoundedOutput, _format_record


@pytest.fixture
def pipe():
    read, write = os.pipe()
    os.set_blocking(read, False)
    yield read, write
    os.close(read)
    os.close(write)


def drain(read):
    data = b""
    try:
        while piece := os.read(read, 65536):
            data += piece
    except BlockingIOError:
        pass
    return [msgspec.json.decode(line) for line in data.splitlines()]


def output(write):
    return BoundedOutput(level=logbook.INFO, formatter=_format_record, fileno=write)


def test_lines_are_written_together(runner, pipe):
    read, write = pipe

    async def play():
        with output(write):
            for number in range(3):
                log_event(Event.ENTRY_STARTED, number=number)
            assert drain(read) == []
            await asyncio.sleep(0.1)

    runner.run(play())
    assert [line["number"] for line in drain(read)] == [0, 1, 2]


def test_a_full_pipe_never_blocks_and_what_is_lost_is_counted(
    runner, pipe, monkeypatch
):
    read, write = pipe
    monkeypatch.setattr(log_output, "MAX_PENDING_BYTES", 100_000)
    monkeypatch.setattr(log_output, "MAX_LINES_PER_SECOND", 100_000)

    async def play():
        with output(write):
            began = time.monotonic()
            for _ in range(200):
                log_event(Event.REQUEST_SERVED, padding="x" * 2000)
                await asyncio.sleep(0)
            await asyncio.sleep(0.1)
            assert time.monotonic() - began < 2.0
            data = b""
            async with asyncio.timeout(5):
                while b"LOG_LINES_LOST" not in data:
                    await asyncio.sleep(0.05)
                    with contextlib.suppress(BlockingIOError):
                        data += os.read(read, 1_000_000)
            return [msgspec.json.decode(line) for line in data.splitlines()]

    lines = runner.run(play())
    lost = next(line for line in lines if line["event"] == 1011)["lost"]
    served = sum(line["event"] == 2004 for line in lines)
    assert served + lost["REQUEST_SERVED"] == 200
    assert lost["REQUEST_SERVED"] > 0


def test_lines_beyond_the_rate_are_counted(runner, pipe, monkeypatch):
    read, write = pipe
    monkeypatch.setattr(log_output, "MAX_LINES_PER_SECOND", 10)

    async def play():
        with output(write):
            for _ in range(50):
                log_event(Event.REQUEST_SERVED)
            await asyncio.sleep(1.1)
            log_event(Event.ENTRY_STOPPED)
            await asyncio.sleep(0.1)

    runner.run(play())
    lines = drain(read)
    lost = sum(
        line["lost"].get("REQUEST_SERVED", 0) for line in lines if line["event"] == 1011
    )
    assert 40 <= lost <= 50
    assert lines[-1]["name"] == "ENTRY_STOPPED"


def test_lines_outside_a_loop_are_written_at_once(pipe):
    read, write = pipe
    with output(write):
        log_event(Event.ENTRY_STOPPED)
    assert len(drain(read)) == 1
