"""Log output to a pipe that is read slowly or not at all."""

import asyncio
import contextlib
import os
import time

import logbook
import msgspec
import pytest

from pimentospool import log_output
from pimentospool.log import Event, log_event
from pimentospool.log_output import BoundedLogHandler, _format_record


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    yield read_fd, write_fd
    os.close(read_fd)
    os.close(write_fd)


def read_lines(read_fd):
    data = b""
    try:
        while piece := os.read(read_fd, 65536):
            data += piece
    except BlockingIOError:
        pass
    return [msgspec.json.decode(line) for line in data.splitlines()]


def log_handler(write_fd):
    return BoundedLogHandler(
        level=logbook.INFO, formatter=_format_record, fileno=write_fd
    )


def test_lines_are_written_together(runner, pipe):
    read_fd, write_fd = pipe

    async def scenario():
        with log_handler(write_fd):
            for number in range(3):
                log_event(Event.ENTRY_STARTED, number=number)
            assert read_lines(read_fd) == []
            await asyncio.sleep(0.1)

    runner.run(scenario())
    assert [line["number"] for line in read_lines(read_fd)] == [0, 1, 2]


def test_full_pipe_does_not_block_and_dropped_lines_are_counted(
    runner, pipe, monkeypatch
):
    read_fd, write_fd = pipe
    monkeypatch.setattr(log_output, "MAX_BUFFERED_BYTES", 100_000)
    monkeypatch.setattr(log_output, "MAX_LINES_PER_SECOND", 100_000)

    async def scenario():
        with log_handler(write_fd):
            started_at = time.monotonic()
            for _ in range(200):
                log_event(Event.REQUEST_SERVED, padding="x" * 2000)
                await asyncio.sleep(0)
            await asyncio.sleep(0.1)
            assert time.monotonic() - started_at < 2.0
            data = b""
            async with asyncio.timeout(5):
                while b"LOG_LINES_LOST" not in data:
                    await asyncio.sleep(0.05)
                    with contextlib.suppress(BlockingIOError):
                        data += os.read(read_fd, 1_000_000)
            return [msgspec.json.decode(line) for line in data.splitlines()]

    lines = runner.run(scenario())
    lost = next(line for line in lines if line["event"] == 1011)["lost"]
    served = sum(line["event"] == 2004 for line in lines)
    assert served + lost["REQUEST_SERVED"] == 200
    assert lost["REQUEST_SERVED"] > 0


def test_lines_beyond_the_rate_limit_are_counted(runner, pipe, monkeypatch):
    read_fd, write_fd = pipe
    monkeypatch.setattr(log_output, "MAX_LINES_PER_SECOND", 10)

    async def scenario():
        with log_handler(write_fd):
            for _ in range(50):
                log_event(Event.REQUEST_SERVED)
            await asyncio.sleep(1.1)
            log_event(Event.ENTRY_STOPPED)
            await asyncio.sleep(0.1)

    runner.run(scenario())
    lines = read_lines(read_fd)
    lost = sum(
        line["lost"].get("REQUEST_SERVED", 0) for line in lines if line["event"] == 1011
    )
    assert 40 <= lost <= 50
    assert lines[-1]["name"] == "ENTRY_STOPPED"


def test_lines_logged_without_an_event_loop_are_written_at_once(pipe):
    read_fd, write_fd = pipe
    with log_handler(write_fd):
        log_event(Event.ENTRY_STOPPED)
    assert len(read_lines(read_fd)) == 1
