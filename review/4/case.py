"""A part of prompts that crashes servers goes on crashing them if it comes seldom.

Every eleven seconds a request comes whose prompt has a part under which each server
crashes. Sound requests share the other parts. A crashed server is back after seconds.
"""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    BROKEN,
    CONTACT_SECONDS,
    COULD_NOT_RUN,
    KEPT,
    Deployment,
    Record,
    disruption_enabled,
    run_case,
    send_request,
)

from pimentospool.standins import (
    SigningTarget,
    platform_route,
    target_entry,
    target_key,
)

CRASH_PART = "dead00"
BAD_INTERVAL_SECONDS = 11.0
BAD_REQUESTS = 10
SOUND_INTERVAL_SECONDS = 0.05
DOWN_SECONDS = 3.0
EVENTS = 8
EVENT_GAP_SECONDS = 0.1
CRASHES_UNTIL_BOUND = 5
ALLOWED_ARRIVALS = 3
ZONES = ("gulf-a", "delta-a")


class Fleet:
    """Targets that crash under the part and come back under their id."""

    def __init__(self, *, deployment: Deployment, record: Record) -> None:
        self.crash_times: list[float] = []
        self.instances: list[SigningTarget] = []
        self._deployment = deployment
        self._record = record

    async def start(self) -> None:
        """Start three targets in each zone."""
        for zone in ZONES:
            for number in range(3):
                target = await self._deployment.add_target(
                    f"llm-{zone}-{number}",
                    service="llm",
                    zone=zone,
                    events=EVENTS,
                    gap_seconds=EVENT_GAP_SECONDS,
                )
                self._prepare(target)

    async def restart_crashed(self) -> None:
        """Start each crashed target again after some seconds, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                for target in self._deployment.targets.values():
                    if target.crashed_at is not None and self._is_current(target):
                        self.crash_times.append(target.crashed_at)
                        self._record.add(f"{target.instance} crashes")
                        successor = SigningTarget(
                            instance=target.instance, events=EVENTS
                        )
                        successor.gap_seconds = EVENT_GAP_SECONDS
                        self._prepare(successor)
                        group.create_task(self._start_again(target, successor))
                await asyncio.sleep(0.02)

    def arrivals(self) -> list[tuple[float, str]]:
        """Return time and id of the requests with the part that reached targets."""
        return sorted(
            (req.received_at, req.id)
            for target in self.instances
            for req in target.received
            if CRASH_PART in req.shared_parts
        )

    def _prepare(self, target: SigningTarget) -> None:
        if disruption_enabled():
            target.crash_part = CRASH_PART
        self.instances.append(target)

    def _is_current(self, target: SigningTarget) -> bool:
        names = [item.instance for item in self.instances]
        index = len(names) - 1 - names[::-1].index(target.instance)
        return self.instances[index] is target

    async def _start_again(
        self, target: SigningTarget, successor: SigningTarget
    ) -> None:
        await asyncio.sleep(DOWN_SECONDS)
        host, _, port = target.address.rpartition(":")
        await successor.start(host, int(port))
        self._deployment.targets[target.instance] = successor
        zone = target.instance.removeprefix("llm-").rpartition("-")[0]
        entry = target_entry(
            successor.address, service="llm", zone=zone, born=time.time_ns() // 10**6
        )
        await self._deployment.store.put(target_key(target.instance), entry)
        self._record.add(f"{target.instance} is back")


async def run(deployment: Deployment, record: Record) -> int:
    """Run the case and return its verdict."""
    await deployment.start(
        [platform_route("/plan/", "streaming", "llm", MaxAttempts=1, TimeoutMs=5000)]
    )
    fleet = Fleet(deployment=deployment, record=record)
    await fleet.start()
    nodes = [deployment.add_node(zone=zone) for zone in ("gulf-a", *ZONES)]
    await deployment.start_nodes()
    served = 0
    cut_at: list[float] = []

    async def send(number: int, *, bad: bool) -> None:
        nonlocal served
        part = CRASH_PART if bad else f"beef{number % 5:02x}"
        kind = "bad" if bad else "sound"
        answer = await send_request(
            nodes[number % len(nodes)].ports["Front"],
            "/plan/1",
            request_id=f"{kind}-{number}",
            method="POST",
            body=f"{kind} {random.random()}".encode(),
            deadline_ms=5000,
            headers={
                "X-Model": "m",
                "X-Token-Count": "1450,80",
                "X-Prompt-Prefix": f"aa01:800,{part}:400,{kind[0]}{number:x}:250",
            },
        )
        served += not bad and answer.complete and answer.status == 200
        if not bad and answer.status == 200 and not answer.complete:
            cut_at.append(time.monotonic())
        if bad or not answer.complete or answer.status != 200:
            record.add(f"{kind}-{number}: {answer.status} {answer.error}")

    async def send_sound() -> None:
        async with asyncio.TaskGroup() as group:
            number = 0
            while True:
                group.create_task(send(number, bad=False))
                number += 1
                await asyncio.sleep(SOUND_INTERVAL_SECONDS)

    background = [
        asyncio.create_task(fleet.restart_crashed()),
        asyncio.create_task(send_sound()),
    ]
    await asyncio.sleep(1.0)
    for number in range(BAD_REQUESTS):
        sent_at = time.monotonic()
        await send(number, bad=True)
        if number < BAD_REQUESTS - 1:
            await asyncio.sleep(sent_at + BAD_INTERVAL_SECONDS - time.monotonic())
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
    late, cut = [], 0
    if len(fleet.crash_times) >= CRASHES_UNTIL_BOUND:
        bound = sorted(fleet.crash_times)[CRASHES_UNTIL_BOUND - 1] + CONTACT_SECONDS
        late = [name for at, name in fleet.arrivals() if at > bound]
        cut = sum(at > bound for at in cut_at)
    record.add(
        f"{len(fleet.crash_times)} crashes; later than {CONTACT_SECONDS} s after crash "
        f"{CRASHES_UNTIL_BOUND}, {len(late)} requests with the part reach servers: "
        f"{', '.join(late) or 'none'}; {served} sound requests served, "
        f"{cut} sound streams cut by these crashes"
    )
    if not served:
        return COULD_NOT_RUN
    return BROKEN if len(late) > ALLOWED_ARRIVALS else KEPT


if __name__ == "__main__":
    run_case(run, Path(__file__).with_name("record.txt"))
