"""Nodes that are cut off from all targets, while callers and other nodes reach them."""

import asyncio
import time

import pytest
from cut_site import with_cut_site

NOTICE_SECONDS = 5.0
"""The platform's bound on the time until a cut has to be noticed."""
MEASURED_SECONDS = 3.0
RETURN_SECONDS = 4.0


@pytest.mark.parametrize("cut", [1, 2])
@pytest.mark.parametrize("kind", ["reset", "hang", "refused"])
def test_callers_of_nodes_that_are_cut_off_are_served_by_neighbours(
    runner, tmp_path, kind, cut
):
    async def check(site):
        await site.load(1.0)
        await site.cut(kind)
        await site.load(NOTICE_SECONDS)
        since = time.monotonic()
        await site.load(MEASURED_SECONDS)
        await site.finish()
        shares = [site.share(node, since=since) for node in range(3)]
        assert min(shares) >= 0.98
        await site.heal()
        await site.load(RETURN_SECONDS)
        for node in range(cut):
            assert not site.site.nodes[node].gateway.deps.placement.contact.lost
        since = time.monotonic()
        accepted = sum(link.accepted_connections for link in site.links)
        await site.load(1.0)
        await site.finish()
        assert min(site.share(node, since=since) for node in range(3)) >= 0.98
        opened = sum(link.accepted_connections for link in site.links) - accepted
        assert opened <= 20

    runner.run(with_cut_site(tmp_path, check, nodes=3, cut=cut))


def test_callers_of_another_region_are_served_by_the_nodes_that_reach_targets(
    runner, tmp_path
):
    async def check(site):
        await site.load(1.0)
        await site.cut("reset")
        await site.load(NOTICE_SECONDS)
        since = time.monotonic()
        await site.load(MEASURED_SECONDS)
        await site.finish()
        assert site.share(2, since=since) >= 0.98

    runner.run(with_cut_site(tmp_path, check, nodes=2, cut=1, elsewhere=1))


def test_all_nodes_of_the_region_refuse_at_once_if_all_are_cut_off(runner, tmp_path):
    async def check(site):
        await site.load(1.0)
        await site.cut("reset")
        await site.load(NOTICE_SECONDS)
        called_at = time.monotonic()
        status, headers, _ = await site.site.call("/look/")
        assert status == 503
        assert "Retry-After" in headers
        assert time.monotonic() - called_at < 1.0

    runner.run(with_cut_site(tmp_path, check, nodes=2, cut=2))


def test_targets_that_ended_for_all_lead_to_no_hops(runner, tmp_path):
    async def check(site):
        await site.load(1.0)
        for target in site.site.targets.values():
            await target.close()
        await site.load(3.0)
        hops = []
        for node in site.site.nodes:
            placement = node.gateway.deps.placement
            chosen = placement.hop_receivers

            def record(region, service, chosen=chosen):
                hops.append(region)
                return chosen(region, service)

            placement.hop_receivers = record
        await site.load(1.0)
        await site.finish()
        assert not hops

    runner.run(with_cut_site(tmp_path, check, nodes=2, cut=1))


def test_silence_of_all_targets_for_a_second_leads_to_no_loss_of_contact(
    runner, tmp_path
):
    async def check(site):
        await site.load(1.0)
        until = time.monotonic() + 1.3
        for target in site.site.targets.values():
            target.silent_until = until
        lost = []
        load = asyncio.create_task(site.load(3.0))
        while not load.done():
            lost += [
                node.gateway.deps.placement.contact.lost for node in site.site.nodes
            ]
            await asyncio.sleep(0.05)
        await load
        assert not any(lost)

    runner.run(with_cut_site(tmp_path, check, nodes=2, cut=1))
