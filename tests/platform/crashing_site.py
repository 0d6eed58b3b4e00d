"""Targets that crash under some requests and come back, for tests on real sockets."""

import asyncio
import itertools
import time
from contextlib import asynccontextmanager

import aiohttp
from platform_site import running_site

from pimentospool.policy import EntryState

CONTACT_SECONDS = 5.0
"""Time after which the platform's rules bind entry VMs to what they may know."""
DOWN_SECONDS = 1.0
TARGETS_PER_REGION = 3
ZONES = ("gulf-a", "gulf-a", "delta-a")
INTERVAL_SECONDS = 0.04


class CrashingSite:
    """Targets that crash under some requests and come back as new instances.

    Parameters
    ----------
    site : Site
        Runs the nodes and targets.
    crash_part, crash_path : str
        Part of prompts and path of requests under which targets crash.
    service : str
        Service of the targets.
    events : int
        Number of events of a stream; with 0, responses have a single body.
    """

    def __init__(self, site, *, crash_part="", crash_path="", service="llm", events=3):
        self._site = site
        self._crash_part = crash_part
        self._crash_path = crash_path
        self._service = service
        self._events = events
        self._names = itertools.count()
        self._request_ids = itertools.count()
        self.crash_times = []
        self.sound_statuses = []
        """Times and statuses of sound requests."""

    async def add_target(self, zone):
        name = f"m-{next(self._names)}"
        target = await self._site.add_target(
            name, service=self._service, events=self._events, zone=zone
        )
        target.crash_part = self._crash_part
        target.crash_path = self._crash_path
        target.gap_seconds = 0.15 if self._events else 0.05

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

    async def send(self, path, *, node, sound, **options):
        """Send one request and record its status if it is sound."""
        try:
            status, _, _ = await self._site.call(
                path, node=node, request_id=f"r-{next(self._request_ids)}", **options
            )
        except aiohttp.ClientError:
            status = 0
        if sound:
            self.sound_statuses.append((time.monotonic(), status))

    async def play(self, seconds, requests_of):
        """Send the requests that `requests_of` returns for each step and node."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self.replace_crashed(zone))
                for zone in sorted(set(ZONES))
            ]
            site = self._site
            await site.wait_until(
                lambda: (
                    {node.gateway.state for node in site.nodes} == {EntryState.READY}
                    and len(site.targets) == 2 * TARGETS_PER_REGION
                )
            )
            await asyncio.sleep(1.0)
            ends_at = time.monotonic() + seconds
            for number in itertools.count():
                if time.monotonic() > ends_at:
                    break
                requests = requests_of(number, number % len(ZONES))
                tasks += [group.create_task(request) for request in requests]
                await asyncio.sleep(INTERVAL_SECONDS)
            for task in tasks:
                task.cancel()

    def late_arrivals(self, is_bad, *, after_crashes):
        """Return the bad requests later than `CONTACT_SECONDS` after that many crashes.

        `is_bad` tells which received requests crash targets.
        """
        crash_times = sorted(self.crash_times)
        if len(crash_times) < after_crashes:
            return []
        bound = crash_times[after_crashes - 1] + CONTACT_SECONDS
        return [
            req.received_at
            for target in self._site.targets.values()
            for req in target.received
            if is_bad(req) and req.received_at > bound
        ]

    def last_sound_statuses(self, seconds=2.0):
        """Return the statuses of sound requests that ended in the last `seconds`."""
        last = max(at for at, _ in self.sound_statuses) - seconds
        return [status for at, status in self.sound_statuses if at > last]


@asynccontextmanager
async def crashing_site(tmp_path, **options):
    """Run nodes in two regions, for targets that crash."""
    async with running_site(tmp_path, zones=ZONES) as site:
        yield CrashingSite(site, **options)
