import asyncio
from functools import partial
from random import Random

import pytest
from gateway_factories import Clock, announce, make_configuration, make_record

from pimentospool.gateway import ConfigurationStamp, HopOrigin, RoutingState
from pimentospool.gateway._configuration_catch_up import (
    OWN_NEWS_SECONDS,
    ConfigurationCatchUp,
)
from pimentospool.gateway._fleet import Fleet

SENDER = make_record("e-2", region="delta")


class Fixture:
    def __init__(self, *, fetched=None, known=1):
        self.clock = Clock()
        self.state = RoutingState(clock=self.clock, zone_regions={})
        if known is not None:
            self.state.adopt(make_configuration(version=known), era=1)
        fleet = Fleet(local_record=make_record(), clock=self.clock, rng=Random(1))
        announce(fleet, SENDER)
        self.fetches = []
        self._fetched = fetched
        self.catch_up = ConfigurationCatchUp(
            routing_state=self.state, fleet=fleet, fetch=self._fetch
        )

    async def _fetch(self, record):
        self.fetches.append(record.id)
        await asyncio.sleep(0.01)
        if self._fetched is not None:
            self.state.adopt(make_configuration(version=self._fetched), era=1)

    def reach(self, version, *, era=1, entry="e-2"):
        stamp = ConfigurationStamp(version, era)
        return self.catch_up.reach(HopOrigin(entry=entry, stamp=stamp))


@pytest.mark.parametrize("version", [1, 2])
def test_known_configuration_is_not_waited_for(runner, version):
    async def run():
        fixture = Fixture(known=2)
        assert await fixture.reach(version)
        assert not fixture.fetches

    runner.run(run())


def test_configuration_that_arrives_by_itself_is_not_fetched(runner):
    async def run():
        fixture = Fixture()
        asyncio.get_running_loop().call_later(
            OWN_NEWS_SECONDS / 3,
            partial(fixture.state.adopt, make_configuration(version=2), era=1),
        )
        assert await fixture.reach(2)
        assert not fixture.fetches

    runner.run(run())


def test_hops_that_wait_share_one_fetch(runner):
    async def run():
        fixture = Fixture(fetched=3)
        reached = await asyncio.gather(*(fixture.reach(2) for _ in range(5)))
        assert reached == [True] * 5
        assert fixture.fetches == ["e-2"]

    runner.run(run())


@pytest.mark.parametrize("entry", ["e-2", "unknown"])
def test_configuration_that_cannot_be_had_is_not_reached(runner, entry):
    async def run():
        fixture = Fixture(fetched=None)
        assert not await fixture.reach(2, entry=entry)

    runner.run(run())


def test_equal_configuration_of_a_later_era_is_reached_after_its_publication(runner):
    async def run():
        fixture = Fixture()
        fixture.state.adopt(make_configuration(version=1), era=2)
        assert await fixture.reach(1, era=2)
        assert not fixture.fetches

    runner.run(run())


def test_process_without_a_configuration_takes_none_from_a_hop(runner):
    async def run():
        fixture = Fixture(known=None, fetched=2)
        assert not await fixture.reach(2)
        assert not fixture.fetches

    runner.run(run())
