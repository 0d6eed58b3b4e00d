"""Prompts with a part under which targets crash, through real sockets."""

import asyncio
import itertools
import time

import aiohttp
import pytest
from platform_site import running_site

from pimentospool.policy import EntryState

CONTACT_SECONDS = 5.0
MAX_LATER_ARRIVALS = 3
"""The platform's rule: arrivals later than `CONTACT_SECONDS` after the fifth crash."""
DOWN_SECONDS = 1.0
TARGETS_PER_REGION = 3
ZONES = ("gulf-a", "gulf-a", "delta-a")
PLAYED_SECONDS = 9.0
CRASHING_PART = "bad0"
FIRST_PART = "f0"


class CrashingSite:
    """Targets that crash under a part of a prompt and come back as new instances."""

    def __init__(self, site):
        self._site = site
        self._names = itertools.count()
        self._request_ids = itertools.count()
        self.crash_times = []
        self.sound_statuses = []
        """Times and statuses of sound requests."""

    async def add_target(self, zone):
        name = f"m-{next(self._names)}"
        target = await self._site.add_target(name, service="llm", events=3, zone=zone)
        target.crash_part = CRASHING_PART
        target.gap_seconds = 0.15

    async def replace_crashed(self, zone):
        """Keep the number of targets of `zone`, like a platform that restarts them."""
        site = self._site
        mine = await self._targets_in(zone)
        while True:
            await asyncio.sleep(0.02)
            for name in list(mine):
                if site.targets[name].crashed_at is not None:
                    self.crash_times.append(site.targets[name].crashed_at)
                    mine.remove(name)
                    await asyncio.sleep(DOWN_SECONDS)
                    await site.store.delete(f"servers/{name}")
                    known = set(site.targets)
                    await self.add_target(zone)
                    mine += set(site.targets) - known

    async def _targets_in(self, zone):
        known = set(self._site.targets)
        for _ in range(TARGETS_PER_REGION):
            await self.add_target(zone)
        return sorted(set(self._site.targets) - known)

    async def send(self, node, middle_part):
        """Send one prompt that shares its first part with all others."""
        number = next(self._request_ids)
        headers = {
            "X-Token-Count": "40,10",
            "X-Prompt-Prefix": f"{FIRST_PART}:20,{middle_part}:10,e{number:x}:10",
        }
        try:
            status, _, _ = await self._site.call(
                "/ask/",
                method="POST",
                node=node,
                request_id=f"r-{number}",
                headers=headers,
            )
        except aiohttp.ClientError:
            status = 0
        if middle_part != CRASHING_PART:
            self.sound_statuses.append((time.monotonic(), status))

    def arrivals(self):
        return [
            req.received_at
            for target in self._site.targets.values()
            for req in target.received
            if CRASHING_PART in req.shared_parts
        ]


@pytest.mark.timeout(60)
def test_part_under_which_targets_crash_is_sent_no_more_and_others_are(
    runner, tmp_path
):
    async def run():
        async with running_site(tmp_path, zones=ZONES) as site:
            play = CrashingSite(site)
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(play.replace_crashed(zone))
                    for zone in sorted(set(ZONES))
                ]
                await site.wait_until(
                    lambda: (
                        {node.gateway.state for node in site.nodes}
                        == {EntryState.READY}
                        and len(site.targets) == 2 * TARGETS_PER_REGION
                    )
                )
                await asyncio.sleep(1.0)
                ends_at = time.monotonic() + PLAYED_SECONDS
                for number in itertools.count():
                    if time.monotonic() > ends_at:
                        break
                    node = number % len(ZONES)
                    tasks.append(group.create_task(play.send(node, f"c{number % 6}")))
                    if number % 4 == 0:
                        tasks.append(group.create_task(play.send(node, CRASHING_PART)))
                    await asyncio.sleep(0.04)
                for task in tasks:
                    task.cancel()
            return play

    play = runner.run(run())
    crash_times = sorted(play.crash_times)
    if len(crash_times) >= 5:
        bound = crash_times[4] + CONTACT_SECONDS
        later = [at for at in play.arrivals() if at > bound]
        assert len(later) <= MAX_LATER_ARRIVALS
    last = max(at for at, _ in play.sound_statuses) - 2.0
    recent = [status for at, status in play.sound_statuses if at > last]
    assert recent.count(200) > 0.9 * len(recent)
