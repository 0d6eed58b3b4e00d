"""Short soaks with real node processes; seeds that ever failed stay as cases."""

import pytest

from pimentospool.soak import Soak

JUDGED_BY_THE_CALL = (
    "the judge compared with the call, not with what the target sent: a target that "
    "answers before it has read the body sends another whole answer"
)
FAILED_ONCE = {4: JUDGED_BY_THE_CALL, 29: JUDGED_BY_THE_CALL}
"""Seeds that broke a promise, with the cause."""


def play(runner, folder, *, seed, seconds, nodes):
    soak = Soak(seed=seed, seconds=seconds, nodes=nodes, folder=folder)
    result = runner.run(soak.run())
    assert result.violations == []
    assert result.succeeded > result.calls / 2


def test_promises_hold_under_faults(runner, tmp_path):
    play(runner, tmp_path, seed=1, seconds=5.0, nodes=3)


@pytest.mark.parametrize("seed", FAILED_ONCE)
def test_promises_hold_for_seeds_that_failed(runner, tmp_path, seed):
    play(runner, tmp_path, seed=seed, seconds=12.0, nodes=4)
