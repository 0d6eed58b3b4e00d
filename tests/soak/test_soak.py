"""Short soaks with real node processes; seeds that ever failed stay as cases."""

import pytest

from pimentospool.soak import Soak

SECONDS = 5.0
FAILED_ONCE: dict[int, str] = {}
"""Seeds that broke a promise, with the cause."""


@pytest.mark.parametrize("seed", [1, *FAILED_ONCE])
def test_promises_hold_under_the_faults_of_a_seed(runner, tmp_path, seed):
    soak = Soak(seed=seed, seconds=SECONDS, nodes=3, folder=tmp_path)
    result = runner.run(soak.run())
    assert result.violations == []
    assert result.succeeded > result.calls / 2
