"""Two regions: hops, home regions, the directory and entry VMs that leave."""

import asyncio
import re
from pathlib import Path

import aiohttp
import pytest
from platform_site import HOST, decode, running_site
from prometheus_client.parser import text_string_to_metric_families

from pimentospool.gateway import EntryState
from pimentospool.platform._node import Node
from pimentospool.standins import Fault

ZONES = ("gulf-a", "delta-a")
ROOT = Path(__file__).resolve().parents[2]
METRIC_ROW = re.compile(r"^\| `(pimentospool_\w+)` \| (\w+) \|", re.MULTILINE)


async def wait_until_joined(site):
    """Wait until both nodes are ready and know each other."""
    await site.wait_until(
        lambda: all(
            node.gateway.state is EntryState.READY
            and len(node.gateway.fleet.ready()) == len(site.nodes)
            for node in site.nodes
        )
    )


def run_with_site(runner, tmp_path, check, zones=ZONES):
    """Run `check` with a site whose nodes know each other."""

    async def run():
        async with running_site(tmp_path, zones=zones) as site:
            await wait_until_joined(site)
            await check(site)

    runner.run(run())


async def wait_for_loads(site, node, service="desk"):
    """Wait until `node` knows the loads of `service` in the other region."""
    fleet = site.nodes[node].gateway.fleet
    await site.wait_until(lambda: fleet.loads(service))


async def resolve(site, *, node=0, region="gulf"):
    address = site.nodes[node].cfg.directory
    query = {"Name": HOST, "Region": region, "Zone": f"{region}-a"}
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/resolve", params=query) as resp,
    ):
        return resp.status, decode(await resp.read()) if resp.status == 200 else None


def test_region_without_targets_is_served_by_another(runner, tmp_path):
    async def check(site):
        await site.add_target("d-9", zone="delta-a")
        await wait_for_loads(site, 0)
        status, headers, body = await site.call("/book/x", method="POST", data=b"1")
        assert status == 200
        assert headers["X-Response-Seal"] == "d-9.r-1"
        assert body == b"d-9 POST /book/x 1"

    run_with_site(runner, tmp_path, check)


def test_route_with_a_home_region_is_served_there_only(runner, tmp_path):
    async def check(site):
        near = await site.add_target("d-1", zone="gulf-a")
        home = await site.add_target("d-9", zone="delta-a")
        await wait_for_loads(site, 0)
        for number in range(5):
            status, _, _ = await site.call("/home/", request_id=f"r-{number}")
            assert status == 200
        assert len(home.received) == 5
        assert not near.received

    run_with_site(runner, tmp_path, check)


def test_rejected_hop_is_not_forwarded_and_ends_as_not_run(runner, tmp_path):
    async def check(site):
        home = await site.add_target("d-9", zone="delta-a")
        await wait_for_loads(site, 0)
        home.faults = [Fault.REJECT] * 20
        status, headers, _ = await site.call("/home/")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not home.executed_requests
        assert "Pimentospool-Verdict" not in headers

    run_with_site(runner, tmp_path, check)


@pytest.mark.parametrize("fault", [Fault.RESET, Fault.CUT_BODY])
def test_hop_that_may_have_run_is_not_retried(runner, tmp_path, fault):
    async def check(site):
        target = await site.add_target("d-9", zone="delta-a")
        await wait_for_loads(site, 0)
        target.faults = [fault]
        status, _, _ = await site.call("/book/", method="POST", data=b"1")
        assert status == 502
        assert len(target.received) == 1

    run_with_site(runner, tmp_path, check)


def test_stream_of_another_region_is_relayed(runner, tmp_path):
    async def check(site):
        await site.add_target("m-9", service="llm", events=4, zone="delta-a")
        await wait_for_loads(site, 0, "llm")
        status, headers, body = await site.call("/ask/", method="POST", data=b"p")
        assert status == 200
        assert headers["X-Response-Seal"] == "m-9.r-1"
        assert body.count(b"id: ") == 4

    run_with_site(runner, tmp_path, check)


def test_disconnect_of_the_caller_cancels_the_request_in_the_other_region(
    runner, tmp_path
):
    async def check(site):
        target = await site.add_target("m-9", service="llm", events=9, zone="delta-a")
        await wait_for_loads(site, 0, "llm")
        target.gap_seconds = 0.2
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.4):
                await site.call("/ask/", method="POST", data=b"p")
        await site.wait_until(
            lambda: target.received[0].sender_disconnected, timeout_seconds=0.5
        )

    run_with_site(runner, tmp_path, check)


def test_directory_names_the_regions_entries_and_drops_those_that_leave(
    runner, tmp_path
):
    async def check(site):
        status, answer = await resolve(site, node=0, region="delta")
        fronts = [str(node.cfg.front) for node in site.nodes]
        assert (status, answer["Addresses"]) == (200, [fronts[1]])
        assert 0 < answer["TtlS"] <= 5
        _, answer = await resolve(site, node=1, region="gulf")
        assert set(answer["Addresses"]) == {fronts[0], fronts[2]}
        site.nodes[2].terminate()
        await site.wait_until(
            lambda: site.nodes[2].gateway.state is not EntryState.READY
        )
        await asyncio.sleep(0.6)
        _, answer = await resolve(site, node=1, region="gulf")
        assert answer["Addresses"] == [fronts[0]]

    run_with_site(runner, tmp_path, check, zones=("gulf-a", "delta-a", "gulf-a"))


def test_node_is_ready_only_once_it_listens(runner, tmp_path, monkeypatch):
    listen = Node._listen

    async def listen_late(self, *args):
        await asyncio.sleep(0.3)
        await listen(self, *args)

    async def check(site):
        for number, region in enumerate(("gulf", "delta")):
            status, _ = await resolve(site, node=number, region=region)
            assert status == 200

    monkeypatch.setattr(Node, "_listen", listen_late)
    run_with_site(runner, tmp_path, check)


def test_metrics_count_requests_by_kind_and_result(runner, tmp_path):
    async def check(site):
        await site.add_target("d-1")
        await site.add_target("m-1", service="llm", events=3)
        routing_state = site.nodes[0].gateway.routing_state
        await site.wait_until(lambda: len(routing_state.known_targets()) == 2)
        await site.call("/look/")
        await site.call("/ask/", method="POST", data=b"p")
        site.targets["d-1"].faults = [Fault.REJECT] * 9
        await site.call("/book/", method="POST", data=b"1")
        control = site.nodes[0].cfg.control
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{control}/metrics") as resp,
        ):
            text = await resp.text()
        total = "pimentospool_routed_requests_total"
        first_event = "pimentospool_routed_first_event_seconds_count"
        answered = 'kind="idempotent",result="answered",verdict="ran"'
        assert f"{total}{{{answered}}} 1.0" in text
        assert f'{total}{{kind="non-idempotent",result="refused"' in text
        assert f'{first_event}{{kind="stream"}} 1.0' in text
        assert "pimentospool_configuration_version 1.0" in text
        families = {
            (family.name, family.type)
            for family in text_string_to_metric_families(text)
            if not family.name.endswith("_created")
        }
        page = (ROOT / "docs" / "operators" / "nodes.md").read_text()
        assert set(METRIC_ROW.findall(page)) == families

    run_with_site(runner, tmp_path, check, zones=("gulf-a",))


def test_leaving_node_completes_streams_and_closes_idle_connections(runner, tmp_path):
    async def check(site):
        target = await site.add_target("m-1", service="llm", events=8)
        routing_state = site.nodes[0].gateway.routing_state
        await site.wait_until(routing_state.known_targets)
        target.gap_seconds = 0.15
        stream = asyncio.create_task(site.call("/ask/", method="POST", data=b"p"))
        await site.wait_until(lambda: target.received)
        site.nodes[0].terminate()
        await site.wait_until(
            lambda: site.nodes[0].gateway.state is not EntryState.READY
        )
        target.events = 2
        status, headers, _ = await site.call(
            "/ask/", method="POST", data=b"p", request_id="r-2"
        )
        assert status == 200
        assert headers["Connection"] == "close"
        status, _, body = await stream
        assert status == 200
        assert body.count(b"id: ") == 8
        async with asyncio.timeout(4):
            await site.nodes[0].task

    run_with_site(runner, tmp_path, check, zones=("gulf-a",))


def test_node_that_starts_without_the_store_gets_its_view_from_a_peer(runner, tmp_path):
    async def check(site):
        await site.add_target("d-1")
        first = site.nodes[0].gateway.routing_state
        await site.wait_until(first.known_targets)
        site.store.refusal_status = 503
        new_node = await site.add_node("gulf-a")
        await site.wait_until(lambda: new_node.gateway.state is EntryState.READY)
        number = site.nodes.index(new_node)
        status, headers, _ = await site.call("/look/", node=number)
        assert status == 200
        assert headers["X-Response-Seal"] == "d-1.r-1"
        site.store.refusal_status = 0
        await site.store.delete("servers/d-1")
        await site.wait_until(
            lambda: not new_node.gateway.routing_state.known_targets()
        )

    run_with_site(runner, tmp_path, check)
