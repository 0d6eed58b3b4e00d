"""How the sockets of a process are divided."""

import math

import pytest

from pimentospool.policy import Listener, share_sockets


@pytest.mark.parametrize("descriptors", [300, 700, 1_638, 4_100, 10_250, math.inf])
@pytest.mark.parametrize("megabytes", [64, 160, 300, 552])
def test_shares_fit_in_the_descriptors(descriptors, megabytes):
    shares = share_sockets(
        max_descriptors=descriptors, process_bytes=megabytes * 1_000_000
    )
    assert set(shares.accepted) == set(Listener)
    assert min(shares.accepted.values()) >= 1
    total = sum(shares.accepted.values()) + shares.opened
    assert total <= max(64, descriptors - 240)
    assert total * 16 * 1024 <= max(64 * 16 * 1024, 0.1 * megabytes * 1_000_000)


def test_small_vm_has_room_for_callers():
    """Guards against limits that sound callers of the smallest entry VM meet."""
    shares = share_sockets(max_descriptors=1_638, process_bytes=160_000_000)
    assert shares.accepted[Listener.CALLERS] >= 300
    assert shares.opened >= 200
