"""Streams that are cut by a rolling restart can't be taken up at the new processes.

Seven machines serve long streams and are stopped and started in turn, one a second.
Clients ask the directory where to connect. All targets have one software version.
"""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    BROKEN,
    CONTACT_SECONDS,
    COULD_NOT_RUN,
    KEPT,
    RESTART_DELAY_SECONDS,
    Answer,
    Deployment,
    Node,
    Record,
    disruption_enabled,
    encode_request,
    read_answer,
    read_head,
    run_case,
)

from pimentospool.standins import HOST, platform_route

MACHINES = 7
GAP_SECONDS = 1.0
STREAM_INTERVAL_SECONDS = 0.07
EVENTS = 50
EVENT_GAP_SECONDS = 0.25
DEADLINE_SECONDS = 15.0
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 20.0
MAX_TRIES = 4
MIN_TAKEN_UP = 12
MIN_SHARE_RATIO = 0.5


class Machine:
    """A node, and since when it has run undisturbed."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.calm_since = time.monotonic()

    @property
    def in_touch(self) -> bool:
        """Whether nothing has happened to it for the contact time."""
        return time.monotonic() - self.calm_since >= CONTACT_SECONDS

    async def restart(self, record: Record) -> None:
        """Stop the process by SIGTERM, with SIGKILL after the grace, and start it."""
        self.calm_since = float("inf")
        self.node.signal(signal.SIGTERM)
        record.add(f"{self.node.ip} gets SIGTERM")
        if await self.node.wait(8.0) is None:
            await self.node.kill()
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self.node.restart()
        self.calm_since = time.monotonic()
        record.add(f"{self.node.ip} starts again")


class Tally:
    """Tries at machines in touch: how many, and how many went well."""

    def __init__(self) -> None:
        self.tries = 0
        self.went_well = 0

    def add(self, went_well: bool) -> None:
        """Count one try."""
        self.tries += 1
        self.went_well += went_well

    @property
    def share(self) -> float:
        """Share of the tries that went well."""
        return self.went_well / max(self.tries, 1)


class Client:
    """A client of one stream, which it takes up where it broke."""

    def __init__(
        self,
        *,
        name: str,
        machines: list[Machine],
        record: Record,
        tallies: list[Tally],
    ) -> None:
        self.name = name
        self.events: list[int] = []
        self.done = False
        self._machines = {item.node.ports["Front"]: item for item in machines}
        self._record = record
        self._begun, self._taken_up = tallies
        self._first_id = ""
        self._ends_at = time.monotonic() + DEADLINE_SECONDS

    async def run(self) -> None:
        """Follow the stream over at most `MAX_TRIES` tries."""
        for number in range(MAX_TRIES):
            retry_after = await self._try(f"{self.name}-try{number + 1}")
            if self.done or time.monotonic() + retry_after >= self._ends_at:
                return
            await asyncio.sleep(retry_after)

    async def _try(self, request_id: str) -> float:
        addresses = await _resolve(list(self._machines.values()))
        if not addresses:
            self._record.add(f"{request_id}: no address")
            return 0.5
        address = random.choice(addresses)
        machine = self._machines[address]
        in_touch, taken_up = machine.in_touch, bool(self.events)
        before = len(self.events)
        answer = Answer()
        try:
            async with asyncio.timeout(self._ends_at - time.monotonic()):
                await self._read_stream(address, request_id, answer)
        except (OSError, TimeoutError, EOFError, ValueError) as exc:
            answer.error = type(exc).__name__
        went_well = len(self.events) > before or self.done
        if in_touch:
            (self._taken_up if taken_up else self._begun).add(went_well)
        self._record.add(
            f"{request_id} at {machine.node.ip}{' (in touch)' if in_touch else ''}: "
            f"status {answer.status or 'none'}, events {before} to {len(self.events)} "
            f"{answer.error}"
        )
        return max(0.1, float(answer.headers.get("retry-after", 0)))

    async def _read_stream(self, address: str, request_id: str, answer: Answer) -> None:
        headers = {}
        if self.events:
            headers = {
                "Last-Event-Id": str(self.events[-1]),
                "Resumes": self._first_id,
            }
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                encode_request(
                    "/ask/1",
                    request_id=request_id,
                    method="POST",
                    deadline_ms=int((self._ends_at - time.monotonic()) * 1000),
                    headers=headers,
                )
            )
            await read_head(reader, answer)
            while answer.status == 200:
                size = int((await reader.readline()).strip(), 16)
                if not size:
                    self.done = True
                    return
                data = await reader.readexactly(size)
                await reader.readexactly(2)
                for line in data.split(b"\n"):
                    if line.startswith(b"id: "):
                        self._first_id = self._first_id or request_id
                        self.events.append(int(line[4:]))
        finally:
            writer.transport.abort()


async def _resolve(machines: list[Machine]) -> list[str]:
    """Return the addresses that a directory names, of the first that answers."""
    for machine in random.sample(machines, len(machines)):
        answer = Answer()
        try:
            async with asyncio.timeout(1.0):
                host, _, port = machine.node.ports["Directory"].rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                query = f"Name={HOST}&Region=gulf&Zone=gulf-a"
                writer.write(
                    f"GET /resolve?{query} HTTP/1.1\r\nHost: resolve\r\n\r\n".encode()
                )
                await read_answer(reader, answer)
                writer.close()
        except (OSError, TimeoutError, EOFError):
            continue
        if answer.status == 200:
            return json.loads(answer.body)["Addresses"]
    return []


async def run(deployment: Deployment, record: Record) -> int:
    """Run the case and return its verdict."""
    await deployment.start(
        [
            platform_route(
                "/ask/",
                "streaming",
                "llm",
                Resumable=True,
                TimeoutMs=int(DEADLINE_SECONDS * 1000),
                TargetLatencyMs=600,
                TargetGapMs=300,
            )
        ]
    )
    for number in range(4):
        await deployment.add_target(
            f"llm-{number}",
            service="llm",
            Slots=64,
            events=EVENTS,
            gap_seconds=EVENT_GAP_SECONDS,
        )
    nodes = [deployment.add_node(zone="gulf-a") for _ in range(MACHINES)]
    await deployment.start_nodes()
    machines = [Machine(node=node) for node in nodes]
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    begun, taken_up = Tally(), Tally()
    clients: list[Client] = []
    tasks: list[asyncio.Task[None]] = []

    async def begin_streams(seconds: float) -> None:
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            client = Client(
                name=f"stream-{len(clients)}",
                machines=machines,
                record=record,
                tallies=[begun, taken_up],
            )
            clients.append(client)
            tasks.append(asyncio.create_task(client.run()))
            await asyncio.sleep(STREAM_INTERVAL_SECONDS)

    async def roll() -> None:
        async with asyncio.TaskGroup() as group:
            for machine in machines:
                group.create_task(machine.restart(record))
                await asyncio.sleep(GAP_SECONDS)

    load = asyncio.create_task(begin_streams(BEFORE_SECONDS + AFTER_SECONDS))
    await asyncio.sleep(BEFORE_SECONDS)
    if disruption_enabled():
        await roll()
    await load
    await asyncio.gather(*tasks)
    record.add(
        f"at machines in touch: {begun.went_well} of {begun.tries} new streams begin, "
        f"{taken_up.went_well} of {taken_up.tries} that are taken up go on; "
        f"{sum(client.done for client in clients)} of {len(clients)} complete"
    )
    if not begun.went_well:
        return COULD_NOT_RUN
    if (
        taken_up.tries >= MIN_TAKEN_UP
        and taken_up.share < MIN_SHARE_RATIO * begun.share
    ):
        return BROKEN
    return KEPT


if __name__ == "__main__":
    run_case(run, Path(__file__).with_name("record.txt"))
