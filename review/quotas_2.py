"""Clients of one tenant, and the check of QUOTA, for two cases."""

import asyncio
import time

from harness_2 import HOST, Site, ask, new_id

ZONES = {"gulf-a": "gulf", "piedmont-a": "piedmont", "delta-a": "delta"}
REGION, ZONE = "gulf", "gulf-a"
"""Where all clients of the tenant are."""
WINDOW_SECONDS = 8.0
OVERAGE = 0.25
SLACK = 72_000
RATE = 20_000
BURST = 3_000_000
TOKENS = 5_000
"""Tokens of a request: it has no `X-Token-Count`, so `UncachedTokens` counts."""
FILL_SECONDS = 74.0
"""Time of few requests in which the quota fills up."""
FEW_SECONDS = 2.5
"""Time between two of these requests."""
CLIENTS = 40
BURST_SECONDS = 10.0
"""Time for which all clients send."""
TTL_SECONDS = 2.0
"""Time for which a client keeps an answer of the directory."""
DEADLINE_SECONDS = 2.0
KEY = "key-of-the-tenant"
BOUNDS = {
    "QuotaWindowS": int(WINDOW_SECONDS),
    "QuotaOverage": OVERAGE,
    "QuotaSlack": SLACK,
}


def configuration(version, *, with_tenant=True):
    """Return a configuration with two tenants, or without the one that is checked."""
    tenants = [
        {"Name": "laundry", "ApiKeys": [KEY], "RatePerS": RATE, "Burst": BURST},
        {"Name": "other", "ApiKeys": ["key-2"], "RatePerS": RATE, "Burst": RATE},
    ]
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "charge-book",
                "Host": HOST,
                "Prefix": "/charge/",
                "Kind": "non_idempotent",
                "TimeoutMs": 2000,
                "TargetLatencyMs": 325,
                "Priority": 2,
                "Service": "store-app",
                "MaxAttempts": 1,
            }
        ],
        "Services": [
            {"Name": "store-app", "HealthPath": "/healthz", "MaxConnections": 400}
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            item | {"Unit": "tokens", "UncachedTokens": TOKENS}
            for item in tenants[0 if with_tenant else 1 :]
        ],
    }


async def client(site, sent, ends_at, pause_seconds):
    """Send requests one after the other; wait as a refusal says."""
    addresses, resolved_at, number = [], 0.0, 0
    while time.monotonic() < ends_at:
        if not addresses or time.monotonic() - resolved_at > TTL_SECONDS:
            addresses = await site.resolve(REGION, ZONE)
            resolved_at = time.monotonic()
        if not addresses:
            await asyncio.sleep(0.2)
            continue
        number += 1
        ip, _, port = addresses[number % len(addresses)].partition(":")
        request_id = new_id()
        headers = {
            "X-Request-Id": request_id,
            "X-Request-Deadline": str(int(DEADLINE_SECONDS * 1000)),
            "X-Credential": KEY,
        }
        sent[request_id] = time.monotonic()
        wait_seconds = 0.0
        try:
            answer = await asyncio.wait_for(
                ask(ip, int(port), "POST", "/charge/card", headers, b"{}"),
                DEADLINE_SECONDS,
            )
            site.record.line(f"answer id={request_id} from={ip} status={answer.status}")
            if answer.status != 200:
                wait_seconds = float(answer.headers.get("retry-after", "0.2"))
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            site.record.line(f"answer id={request_id} from={ip} none: {exc!r}")
            wait_seconds, addresses = 0.2, []
        await asyncio.sleep(pause_seconds + min(wait_seconds, DEADLINE_SECONDS / 3))


async def quota_case(record, disrupt):
    """Let clients of a tenant that has sent little send much; return if QUOTA broke.

    Parameters
    ----------
    record : Record
        Receives what is sent, answered and run.
    disrupt : callable
        Awaited with the site as the clients begin.
    """
    site = Site(record=record, zones=ZONES, bounds=BOUNDS)
    sent = {}
    try:
        await site.start(nodes_per_zone=2, configuration=configuration(3))
        for zone in ZONES:
            for _ in range(2):
                await site.add_server(service="store-app", zone=zone, gap_seconds=0.005)
        await site.wait_ready()
        await client(site, sent, time.monotonic() + FILL_SECONDS, FEW_SECONDS)
        began_at = time.monotonic()
        record.line("all clients begin")
        tasks = [
            asyncio.create_task(client(site, sent, began_at + BURST_SECONDS, 0.0))
            for _ in range(CLIENTS)
        ]
        await disrupt(site)
        await asyncio.gather(*tasks)
    finally:
        site.close()
    runs = [
        (sent[request_id], at)
        for server in site.servers
        for at, request_id, _ in server.runs
    ]
    record.say(f"{len(sent)} requests sent, {len(runs)} run")
    for second in range(int(BURST_SECONDS)):
        count = sum(0 <= at - began_at - second < 1 for _, at in runs)
        record.line(f"tokens run in second {second}: {count * TOKENS}")
    most = max(
        sum(TOKENS for s, a in runs if s >= start and a <= start + WINDOW_SECONDS)
        for start, _ in runs
    )
    bound = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERAGE) + SLACK
    record.say(f"most tokens run in {WINDOW_SECONDS} s: {most}, bound {bound:.0f}")
    return most > bound
