"""Cancellation of tasks, and restart of those that fail."""

import asyncio
import math
import socket
import time

import pytest
import uvloop

from pimentospool import tasks
from pimentospool.tasks import cancel_tasks, run_supervised, timeout_after_read


async def swallow_first_cancellation():
    """Swallow one cancellation, as an operation that completes just then does."""
    swallowed = False
    while True:
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            if swallowed:
                raise
            swallowed = True


def test_task_that_swallows_a_cancellation_is_cancelled(runner):
    async def check():
        tasks = [asyncio.create_task(swallow_first_cancellation()) for _ in range(3)]
        await asyncio.sleep(0)
        await asyncio.wait_for(cancel_tasks(tasks), 30.0)
        assert all(task.cancelled() for task in tasks)

    runner.run(check())


def test_single_cancellation_is_swallowed(runner):
    async def check():
        task = asyncio.create_task(swallow_first_cancellation())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.shield(task), 0.5)
        await cancel_tasks([task])

    runner.run(check())


def test_failed_and_completed_tasks_are_accepted(runner):
    async def fail():
        raise ValueError

    async def check():
        tasks = [asyncio.create_task(fail()), asyncio.create_task(asyncio.sleep(0))]
        await asyncio.sleep(0.01)
        await cancel_tasks(tasks)
        await cancel_tasks([])

    runner.run(check())


def test_failed_task_is_started_again(runner, monkeypatch):
    monkeypatch.setattr(tasks, "RESTART_DELAY_SECONDS", 0.01)
    starts = []

    async def fail_twice():
        starts.append(None)
        if len(starts) < 3:
            raise KeyError("unexpected")
        await asyncio.sleep(60.0)

    async def check():
        task = asyncio.create_task(run_supervised("test", fail_twice))
        await asyncio.sleep(0.2)
        assert len(starts) == 3
        await cancel_tasks([task])
        assert task.cancelled()

    runner.run(check())


async def read_byte_late(*, pause_seconds):
    """Read a byte that arrives before a pause of the process, and the timeout in it."""
    near, far = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=near)
    loop = asyncio.get_running_loop()
    loop.call_soon(far.send, b"a")
    loop.call_soon(time.sleep, pause_seconds)
    try:
        async with timeout_after_read(0.05):
            # Another task reads, as the tasks of requests do.
            return await asyncio.create_task(reader.readexactly(1))
    finally:
        writer.close()
        far.close()


@pytest.mark.parametrize("loop_factory", [None, uvloop.new_event_loop])
def test_timeout_in_a_pause_ends_after_arrived_bytes_are_read(loop_factory):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(read_byte_late(pause_seconds=0.2)) == b"a"


@pytest.mark.parametrize("seconds", [-1.0, 0.0, 0.05])
def test_timeout_after_read_ends_a_block_that_waits(runner, seconds):
    async def check():
        with pytest.raises(TimeoutError):
            async with timeout_after_read(seconds):
                await asyncio.sleep(60.0)

    runner.run(check())


@pytest.mark.parametrize("seconds", [0.0, 1.0, math.inf])
def test_timeout_after_read_leaves_a_block_that_ends_alone(runner, seconds):
    async def check():
        async with timeout_after_read(seconds):
            pass
        await asyncio.sleep(0.01)

    runner.run(check())
