"""Targets that start again, cold, before their entries show it."""

import asyncio

import pytest
from restarting_site import (
    ALLOWED_PER_SECOND,
    COLD_SECONDS,
    cold_arrivals,
    most_in_a_second,
    restarting_site,
)

RESTARTED = ("m-0", "m-1")
WARM_UP_SECONDS = 1.5


# FAILBACK: a target that had started again was flooded until its entry showed it.
@pytest.mark.parametrize("rate", [20, 80])
@pytest.mark.parametrize("late_seconds", [0.0, 0.5, 1.2])
@pytest.mark.parametrize("down_seconds", [0.02, 0.3, 1.2])
def test_cold_target_is_not_flooded_before_its_new_entry_arrives(
    runner, tmp_path, down_seconds, late_seconds, rate
):
    async def run():
        async with restarting_site(tmp_path) as restarting:
            async with restarting.load(rate):
                await asyncio.sleep(WARM_UP_SECONDS)
                targets = await asyncio.gather(
                    *(
                        restarting.restart_and_register(
                            name, down_seconds=down_seconds, late_seconds=late_seconds
                        )
                        for name in RESTARTED
                    )
                )
                await asyncio.sleep(COLD_SECONDS - late_seconds)
            for target in targets:
                assert most_in_a_second(cold_arrivals(target)) <= ALLOWED_PER_SECOND

    runner.run(run())
