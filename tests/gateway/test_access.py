"""Admission of requests by their keys, without a network."""

import pytest
from gateway_factories import (
    Clock,
    make_configuration,
    make_request,
    make_route,
    make_tenant,
)

from pimentospool.gateway import Refusal, RefusalReason, RoutingState
from pimentospool.gateway._access import AccessControl, route_of_tenant
from pimentospool.policy import key_digest
from pimentospool.verdicts import Verdict

KEY, OTHER_KEY = key_digest(b"k-1"), key_digest(b"k-2")


class Confirmation:
    def __init__(self, *, is_confirmed=True):
        self.is_confirmed = is_confirmed


class CountingQuotas:
    """Gate that counts charges that were not given back."""

    def __init__(self):
        self.charged = []
        self.refunds = 0

    async def charge(self, tenant, req, *, within_seconds):
        self.charged.append((tenant.id, within_seconds))
        return self

    def refund(self):
        self.refunds += 1


class Fixture:
    def __init__(self, *tenants, is_confirmed=True):
        self.clock = Clock()
        self.state = RoutingState(clock=self.clock, zone_regions={})
        self.confirmation = Confirmation(is_confirmed=is_confirmed)
        self.quotas = CountingQuotas()
        self.adopt(*(tenants or (make_tenant(key_digests={KEY}),)))

    def adopt(self, *tenants):
        version = self.state.stamp.version + 1 if self.state.stamp else 1
        self.state.adopt(make_configuration(version=version, tenants=tenants))

    def begin(self, **options):
        control = AccessControl(
            routing_state=self.state,
            confirmation=self.confirmation,
            quotas=self.quotas,
            clock=self.clock,
        )
        self.req = make_request(received_at=self.clock(), **options)
        return control.begin(self.req)


@pytest.mark.parametrize(
    ("digest", "is_confirmed", "reason"),
    [
        (KEY, True, None),
        (OTHER_KEY, True, RefusalReason.UNAUTHORIZED),
        (None, True, RefusalReason.UNAUTHORIZED),
        (KEY, False, RefusalReason.UNCONFIRMED),
        # LOST: a new key would get 401, which its caller doesn't repeat.
        (OTHER_KEY, False, RefusalReason.UNCONFIRMED),
        (None, False, RefusalReason.UNCONFIRMED),
    ],
)
def test_only_known_and_confirmed_keys_are_admitted(
    runner, digest, is_confirmed, reason
):
    fixture = Fixture(is_confirmed=is_confirmed)
    result = runner.run(fixture.begin(credential=digest).admit(make_route()))
    if reason is None:
        assert result == make_route()
        assert fixture.req.tenant == "acme"
        assert fixture.quotas.charged == [("acme", 2.0)]
    else:
        assert (result.reason, result.verdict) == (reason, Verdict.NOT_RUN)
        assert not fixture.quotas.charged


def test_public_route_needs_neither_a_key_nor_its_confirmation(runner):
    fixture = Fixture(is_confirmed=False)
    route = make_route(public=True)
    assert runner.run(fixture.begin().admit(route)) is route
    assert fixture.req.hides_credentials
    assert not fixture.quotas.charged


def test_key_that_the_sender_of_a_hop_confirmed_needs_no_second_confirmation(runner):
    fixture = Fixture(is_confirmed=False)
    access = fixture.begin(credential=KEY, is_vouched=True, is_hop=True)
    assert not isinstance(runner.run(access.admit(make_route())), Refusal)


def test_request_that_is_routed_again_is_charged_once_and_checked_again(runner):
    fixture = Fixture()
    access = fixture.begin(credential=KEY)
    assert not isinstance(runner.run(access.admit(make_route())), Refusal)
    fixture.adopt(make_tenant("next", key_digests={KEY}))
    fixture.confirmation.is_confirmed = False
    assert not isinstance(runner.run(access.admit(make_route())), Refusal)
    assert fixture.req.tenant == "next"
    assert len(fixture.quotas.charged) == 1
    fixture.confirmation.is_confirmed = True
    fixture.adopt(make_tenant(key_digests={OTHER_KEY}))
    refusal = runner.run(access.admit(make_route()))
    assert refusal.reason is RefusalReason.UNAUTHORIZED
    assert fixture.req.tenant is None
    access.end()
    access.end()
    assert fixture.quotas.refunds == 1


@pytest.mark.parametrize(
    ("of_route", "of_tenant", "homes"),
    [
        ((), (), ()),
        (("a",), (), ("a",)),
        ((), ("b",), ("b",)),
        (("a", "b"), ("b", "c"), ("b",)),
    ],
)
def test_homes_and_priority_of_a_tenant_apply(of_route, of_tenant, homes):
    route = make_route(home_regions=frozenset(of_route), priority=3)
    for priority, expected in ((None, 3), (0, 0)):
        tenant = make_tenant(home_regions=of_tenant, priority=priority)
        result = route_of_tenant(route, tenant)
        assert result.home_regions == frozenset(homes)
        assert result.priority == expected
