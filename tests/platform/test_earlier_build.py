"""A node of the build before tenants were known, beside one of the present build."""

import pytest
from two_builds import running_two_builds

from pimentospool.standins import platform_configuration, platform_tenant

BOUNDS = {"StrictRevoke": True, "RevokeMs": 5000, "QuotaWindowS": 8}
KEY = "k-present-tenant"
UNREADABLE_DATAGRAM = "PEER_MESSAGE_REFUSED"


def logs(site):
    return {build: node.log for build, node in site.nodes.items()}


@pytest.mark.parametrize(
    ("build", "target_zone"), [("present", "gulf-a"), ("earlier", "delta-a")]
)
def test_builds_pass_requests_to_each_other(runner, tmp_path, build, target_zone):
    """Guards against messages between entry VMs that the other build can't read."""

    async def serve():
        async with running_two_builds(
            tmp_path, configuration=platform_configuration(), target_zone=target_zone
        ) as site:
            await site.wait_served(build, "/look/a")
            other = "earlier" if build == "present" else "present"
            await site.wait_served(other, "/look/b")
            return logs(site)

    for log in runner.run(serve()).values():
        assert UNREADABLE_DATAGRAM not in log


def test_key_is_hidden_from_a_target_behind_an_earlier_build(runner, tmp_path):
    """Guards against a key or its digest that an earlier build passes on."""

    async def serve():
        configuration = platform_configuration(tenants=[platform_tenant("acme", KEY)])
        async with running_two_builds(
            tmp_path,
            configuration=configuration,
            target_zone="gulf-a",
            bounds=BOUNDS,
        ) as site:
            await site.wait_served("present", "/look/a", {"X-Credential": KEY})
            refused = await site.call(
                "present", "/look/b", request_id="b", headers={"X-Credential": "no"}
            )
            return refused, list(site.targets["t-1"].received), logs(site)

    refused, received, by_build = runner.run(serve())
    assert refused == 401
    requests = [item for item in received if item.path.startswith("/look/")]
    assert requests
    for item in requests:
        assert item.headers["x-tenant"] == "acme"
        assert "x-credential" not in item.headers
        assert "pimentospool-credential" not in item.headers
    assert KEY not in by_build["present"]
    assert UNREADABLE_DATAGRAM not in by_build["earlier"]


def test_key_of_a_request_from_an_earlier_build_is_checked(runner, tmp_path):
    """Guards against keys of an earlier build that reach a target unchecked."""

    async def serve():
        configuration = platform_configuration(tenants=[platform_tenant("acme", KEY)])
        async with running_two_builds(
            tmp_path,
            configuration=configuration,
            target_zone="delta-a",
            bounds=BOUNDS,
        ) as site:
            await site.wait_served("earlier", "/look/a", {"X-Credential": KEY})
            refused = await site.call(
                "earlier", "/look/b", request_id="b", headers={"X-Credential": "no"}
            )
            return refused, list(site.targets["t-1"].received)

    refused, received = runner.run(serve())
    assert refused >= 400
    requests = [item for item in received if item.path.startswith("/look/")]
    assert {item.path for item in requests} == {"/look/a"}
    for item in requests:
        assert item.headers["x-tenant"] == "acme"
        assert "x-credential" not in item.headers
