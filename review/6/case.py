"""All processes are killed: do the streams that broke off go on?"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import HOST, Site, new_id, open_stream, run_case

ZONES = {"gulf-a": "gulf", "piedmont-a": "piedmont", "delta-a": "delta"}
STREAMS = 24
DEADLINE_SECONDS = 15.0
EVENTS = 60
GAP_SECONDS = 0.1
BREAK_SECONDS = 2.0
"""Time after the start of the streams at which they break off."""
RETRY_SECONDS = (0.5, 1.5, 3.5, 7.0)
"""Times after the break at which a client takes its stream up again."""
LAST_RETRIES = 3
"""Further tries after the last of them, each after the answer's Retry-After."""
CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {
            "Name": "counter-answer",
            "Host": HOST,
            "Prefix": "/answer/",
            "Kind": "streaming",
            "TimeoutMs": 15000,
            "TargetLatencyMs": 600,
            "TargetGapMs": 300,
            "Priority": 0,
            "Service": "fold-llm",
            "MaxAttempts": 2,
            "Resumable": True,
            "Sticky": True,
        }
    ],
    "Services": [
        {
            "Name": "fold-llm",
            "HealthPath": "/healthz",
            "MaxConnections": 370,
            "Engine": {"Slots": 64, "KvCacheTokens": 249945},
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


class Client:
    """A client with one stream, which it takes up again after a break."""

    def __init__(self, site, zone, number):
        self.site = site
        self.zone = zone
        self.prompt = f"aa{number % 4:02x}:198,{number:04x}bb:628"
        self.began_at = 0.0
        self.first_id = ""
        self.last_event = 0
        self.complete = False
        self.tries_in_touch = 0
        self.goes_on = False
        self.statuses = []
        self.leaves_at = float("inf")

    async def send(self, *, taken_up):
        """Send the request once; return the Retry-After of a refusal, or None."""
        addresses = await self.site.resolve(ZONES[self.zone], self.zone)
        request_id = new_id()
        left = self.began_at + DEADLINE_SECONDS - time.monotonic()
        if not addresses or left <= 0:
            return 0.5
        ip, _, port = addresses[hash(request_id) % len(addresses)].partition(":")
        headers = {
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(int(left * 1000)),
            "X-Model": "m",
            "X-Token-Count": "826,400",
            "X-Prompt-Prefix": self.prompt,
        }
        before = self.last_event
        if taken_up:
            headers |= {"Last-Event-Id": str(before), "Resumes": self.first_id}
        in_touch = self.site.in_touch(ip, time.monotonic())
        self.tries_in_touch += taken_up and in_touch

        def on_event(number, writer):
            if number != self.last_event + 1:
                self.site.record.line(f"order {number} after {self.last_event}")
            self.last_event = number
            self.first_id = self.first_id or request_id
            if taken_up and in_touch:
                self.goes_on = True
            if time.monotonic() >= self.leaves_at:
                self.leaves_at = float("inf")
                writer.close()

        try:
            status, answer, complete = await asyncio.wait_for(
                open_stream(ip, int(port), "/answer/ask", headers, on_event), left
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as exc:
            status, answer, complete = 0, {}, False
            self.site.record.line(f"broken id={request_id} from={ip} {exc!r}")
        self.complete |= complete
        self.statuses.append(status)
        self.site.record.line(
            f"answer id={request_id} from={ip} taken-up={taken_up} "
            f"in-touch={in_touch} status={status} events={before + 1}.."
            f"{self.last_event} complete={complete}"
        )
        return None if complete else float(answer.get("retry-after", "0.5"))

    async def run(self, break_at):
        """Send the request, and take its stream up again until it is complete."""
        self.began_at = time.monotonic()
        await self.send(taken_up=False)
        for seconds in RETRY_SECONDS:
            if self.complete:
                return
            await asyncio.sleep(max(0.0, break_at + seconds - time.monotonic()))
            wait_seconds = await self.send(taken_up=True)
        for _ in range(LAST_RETRIES):
            if self.complete:
                return
            await asyncio.sleep(wait_seconds or 0.5)
            wait_seconds = await self.send(taken_up=True)


async def case(record, trouble):
    """Run the case; return whether LOST was broken."""
    site = Site(record=record, zones=ZONES)
    zones = list(ZONES)
    try:
        await site.start(nodes_per_zone=2, configuration=CONFIGURATION)
        for zone in zones:
            for _ in range(2):
                await site.add_server(
                    service="fold-llm",
                    zone=zone,
                    events=EVENTS,
                    gap_seconds=GAP_SECONDS,
                )
        await site.wait_ready()
        await asyncio.sleep(8.0)
        break_at = time.monotonic() + BREAK_SECONDS
        clients = [Client(site, zones[i % 3], i) for i in range(STREAMS)]
        if not trouble:
            # The clients' own connections break off in place of the processes.
            for client in clients:
                client.leaves_at = break_at
        tasks = [asyncio.create_task(client.run(break_at)) for client in clients]
        await asyncio.sleep(BREAK_SECONDS)
        if trouble:
            for node in site.nodes:
                node.signal(signal.SIGKILL)
            for node in site.nodes:
                node.process.wait()
            await site.restart(site.nodes)
        await asyncio.sleep(RETRY_SECONDS[-1])
        new = [Client(site, zones[i % 3], 100 + i) for i in range(STREAMS)]
        for client in new:
            client.began_at = time.monotonic()
            tasks.append(asyncio.create_task(client.send(taken_up=False)))
        await asyncio.gather(*tasks)
    finally:
        site.close()
    tried = [client for client in clients if client.tries_in_touch]
    going_on = sum(client.goes_on for client in tried)
    begun = sum(client.last_event > 0 for client in new)
    lost = sum(not client.complete for client in clients)
    record.say(f"{len(clients)} streams broke off, {lost} were never completed")
    record.say(f"{len(tried)} taken up at machines in touch, {going_on} went on")
    record.say(f"{len(new)} new streams sent then, {begun} began")
    if not trouble:
        return lost > 0
    return len(tried) >= 12 and going_on / len(tried) < begun / len(new) / 2


if __name__ == "__main__":
    run_case(__file__, case)
