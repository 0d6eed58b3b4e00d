"""A machine that loses its path to all servers refuses what a neighbour could serve.

Two machines of one region serve routes that are bound to that region. One of them is
partitioned from all servers. Callers, the store and the other machines still reach it.
"""

import asyncio
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
    Node,
    Record,
    disruption_enabled,
    run_case,
    send_request,
)

from pimentospool.faults import FaultProxy
from pimentospool.standins import (
    StoreStandin,
    platform_route,
    target_entry,
    target_key,
)

HOME, OTHER = "gulf-a", "delta-a"
ROUTES = [
    platform_route("/look/", "idempotent", HomeRegions=["gulf"]),
    platform_route("/book/", "non_idempotent", HomeRegions=["gulf"], MaxAttempts=1),
    platform_route("/any/", "idempotent"),
]
CALLS = (("/look/", "GET"), ("/book/", "POST"), ("/any/", "GET"))
CALL_INTERVAL_SECONDS = 0.1
MEASURED_SECONDS = 10.0
MIN_SERVED_RATIO = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50


class Counts:
    """First tries at one machine after the contact time of the cut."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0

    @property
    def failed(self) -> int:
        """First tries that got no success."""
        return self.sent - self.served

    @property
    def served_share(self) -> float:
        """Share of the first tries that got a success."""
        return self.served / max(self.sent, 1)


async def run(deployment: Deployment, record: Record) -> int:
    """Run the case and return its verdict."""
    await deployment.start(ROUTES)
    # The machine that is cut off reaches the servers through proxies, by a view of the
    # store with their addresses.
    view = StoreStandin()
    view_server = await deployment.serve_store(view)
    proxies = []
    for zone, count in ((HOME, 3), (OTHER, 3)):
        for number in range(count):
            name = f"desk-{zone}-{number}"
            target = await deployment.add_target(name, zone=zone)
            proxy = FaultProxy(upstream=target.address)
            await proxy.start()
            proxies.append(proxy)
            await view.put(target_key(name), target_entry(proxy.address, zone=zone))
    await deployment.copy_configuration(view)
    cut_off = deployment.add_node(zone=HOME, store=view_server.address)
    neighbour = deployment.add_node(zone=HOME)
    deployment.add_node(zone=OTHER)
    await deployment.start_nodes()
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    if disruption_enabled():
        for proxy in proxies:
            await proxy.close()
        record.add(f"{cut_off.ip} is partitioned from all servers")
    await asyncio.sleep(CONTACT_SECONDS)
    counts = {cut_off.ip: Counts(), neighbour.ip: Counts()}
    await _call_first(counts, [cut_off, neighbour], record)
    for proxy in proxies:
        await proxy.close()
    for node in (cut_off, neighbour):
        ready = await node.is_ready()
        item = counts[node.ip]
        record.add(f"{node.ip}: {item.served} of {item.sent} served, ready: {ready}")
    cut, other = counts[cut_off.ip], counts[neighbour.ip]
    all_sent = cut.sent + other.sent
    if not other.served:
        return COULD_NOT_RUN
    allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * all_sent
    seldom = cut.served_share < MIN_SERVED_RATIO * other.served_share
    record.add(
        f"served {cut.served_share:.2f} against {other.served_share:.2f}; "
        f"{cut.failed} failed there, allowed {allowed:.0f}"
    )
    return BROKEN if seldom and cut.failed > allowed else KEPT


async def _call_first(
    counts: dict[str, Counts], nodes: list[Node], record: Record
) -> None:
    """Send first tries at an even rate to all nodes and count the answers."""

    async def call(node: Node, path: str, method: str, request_id: str) -> None:
        answer = await send_request(
            node.ports["Front"], f"{path}1", request_id=request_id, method=method
        )
        counts[node.ip].sent += 1
        counts[node.ip].served += answer.complete and answer.status == 200
        record.add(
            f"{request_id} {method} {path} at {node.ip}: "
            f"{answer.status or answer.error} {answer.body[:24]!r}"
        )

    tasks = []
    ends_at = time.monotonic() + MEASURED_SECONDS
    while time.monotonic() < ends_at:
        for node in nodes:
            for path, method in CALLS:
                request_id = f"r{len(tasks)}"
                tasks.append(asyncio.create_task(call(node, path, method, request_id)))
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    run_case(run, Path(__file__).with_name("record.txt"))
