"""Confirmation of API keys at nodes that are cut off from the store."""

import asyncio

from platform_site import running_site

from pimentospool.gateway._fleet_messages import FreshnessQuery

REVOKE_SECONDS = 3.0


def ages(site):
    return [node.gateway.configuration_age for node in site.nodes]


def test_cut_off_node_asks_its_neighbour_and_all_cut_off_confirm_nothing(
    runner, tmp_path
):
    async def check():
        async with running_site(tmp_path, zones=()) as site:
            site.bounds = {"StrictRevoke": True, "RevokeMs": REVOKE_SECONDS * 1000}
            for _ in range(2):
                await site.add_node("gulf-a")
            first, second = site.nodes
            await site.wait_until(
                lambda: (
                    all(age.is_confirmed for age in ages(site))
                    and all(len(node.gateway.fleet.ready()) == 2 for node in site.nodes)
                )
            )
            client = first.node._store
            url, client._url = client._url, "http://127.0.0.1:9"
            await client.close()
            confirmed = []
            for _ in range(100):
                confirmed += [age.is_confirmed for age in ages(site)]
                await asyncio.sleep(REVOKE_SECONDS / 50)
            assert first.gateway.feed.failing
            assert all(confirmed)
            assert first.gateway.configuration_age.latest.source == second.cfg.entry
            site.store.refusal_status = 503
            await site.wait_until(
                lambda: not any(age.is_confirmed for age in ages(site)),
                timeout_seconds=REVOKE_SECONDS,
            )
            metrics = first.gateway.metrics.render().decode()
            assert "pimentospool_configuration_age_seconds" in metrics
            site.store.refusal_status = 0
            await site.wait_until(
                lambda: all(age.is_confirmed for age in ages(site)),
                timeout_seconds=2.0,
            )
            client._url = url

    runner.run(check())


def test_nothing_of_it_runs_without_a_bound(runner, tmp_path):
    async def check():
        async with running_site(tmp_path, zones=("gulf-a", "gulf-a")) as site:
            await asyncio.sleep(1.0)
            assert all(age.is_confirmed for age in ages(site))
            for node in site.nodes:
                assert node.gateway.freshness.query_count == 0
                assert FreshnessQuery not in node.gateway.heartbeats._handlers

    runner.run(check())
