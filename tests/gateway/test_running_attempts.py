"""Attempts of one request in progress."""

import asyncio
import socket
import time

from pimentospool.gateway._running_attempts import RunningAttempt, RunningAttempts
from pimentospool.policy import RegionChoice, RemoteRegion


def test_pause_of_the_process_is_no_silence_of_the_target(runner):
    async def check():
        near, far = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=near)
        running = RunningAttempts()
        remote = RemoteRegion(region="delta", wait_seconds=0.02)
        attempt = RunningAttempt(choice=RegionChoice(remote=remote))

        async def send():
            await asyncio.create_task(reader.readexactly(1))

        running.start(attempt, send())
        loop = asyncio.get_running_loop()
        loop.call_soon(far.send, b"a")
        loop.call_soon(time.sleep, 0.2)
        assert await running.wait_for_end(0.05) is attempt
        writer.close()
        far.close()

    runner.run(check())
