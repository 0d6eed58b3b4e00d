"""Requests that cross regions while these follow different configurations."""

import pytest
from platform_site import running_site

from pimentospool.policy import EntryState
from pimentospool.standins import platform_configuration, platform_route

OLD_VERSION, NEW_VERSION = 1, 2


def configuration(version, *routes):
    raw = platform_configuration(version, routes)
    raw["Services"].append(
        {"Name": "desk-2", "HealthPath": "/healthz", "MaxConnections": 50}
    )
    return raw


async def publish_unseen_by(site, node, raw):
    """Publish a configuration that one node does not adopt by itself."""
    state = site.nodes[node].gateway.routing_state
    adopt = state.adopt
    state.adopt = lambda *args, **options: False
    await site.store.put("op/config", raw)
    other = site.nodes[1 - node].gateway.routing_state
    await site.wait_until(lambda: other.configuration.version == raw["Version"])
    state.adopt = adopt
    assert state.configuration.version < raw["Version"]


async def start(site, *routes):
    await site.store.put("op/config", configuration(OLD_VERSION, *routes))
    await site.add_target("old-1", zone="delta-a")
    await site.add_target("new-1", zone="delta-a", service="desk-2")
    await site.wait_until(
        lambda: all(
            node.gateway.state is EntryState.READY
            and len(node.gateway.fleet.ready()) == len(site.nodes)
            for node in site.nodes
        )
    )
    fleet = site.nodes[0].gateway.fleet
    await site.wait_until(lambda: fleet.loads("desk") and fleet.loads("desk-2"))


def run_with_site(runner, tmp_path, check):
    async def run():
        async with running_site(
            tmp_path, zones=("gulf-a", "delta-a"), with_config=False
        ) as site:
            await check(site)

    runner.run(run())


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_hop_is_not_served_as_only_an_older_configuration_allows(
    runner, tmp_path, kind
):
    async def check(site):
        await start(site, platform_route("/look/", kind))
        moved = platform_route("/look/", kind, "desk-2")
        await publish_unseen_by(site, 1, configuration(NEW_VERSION, moved))
        status, headers, _ = await site.call("/look/1")
        assert not site.targets["old-1"].received
        assert status == 200
        assert headers["X-Response-Seal"].startswith("new-1.")

    run_with_site(runner, tmp_path, check)


def test_route_that_was_added_is_served_through_a_region_that_lacks_it(
    runner, tmp_path
):
    async def check(site):
        first = platform_route("/look/", "idempotent")
        await start(site, first)
        added = platform_route("/added/", "idempotent")
        await publish_unseen_by(site, 1, configuration(NEW_VERSION, first, added))
        status, _, _ = await site.call("/added/1")
        assert status == 200

    run_with_site(runner, tmp_path, check)


def test_sender_of_a_hop_is_not_older_than_what_its_caller_sees(runner, tmp_path):
    async def check(site):
        await start(site, platform_route("/look/", "non_idempotent"))
        moved = platform_route("/look/", "non_idempotent", "desk-2")
        await publish_unseen_by(site, 0, configuration(NEW_VERSION, moved))
        state = site.nodes[0].gateway.routing_state
        new = site.targets["new-1"]
        versions_at_run = []
        read_request = new._read_request

        async def record_version(*args):
            req = await read_request(*args)
            if req.id == "r-1":
                versions_at_run.append(state.configuration.version)
            return req

        new._read_request = record_version
        status, _, _ = await site.call("/look/1", method="POST")
        assert status == 200
        assert versions_at_run == [NEW_VERSION]

    run_with_site(runner, tmp_path, check)
