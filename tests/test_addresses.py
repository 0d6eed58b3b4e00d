"""Free loopback addresses: distinct, unbound and outside the ephemeral port range."""

import socket
from pathlib import Path

import pytest

from pimentospool.addresses import LoopbackNetwork, free_addresses

EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_free_addresses_are_below_the_ephemeral_ports():
    first_ephemeral_port = (
        int(EPHEMERAL_PORT_RANGE.read_text().split()[0])
        if EPHEMERAL_PORT_RANGE.exists()
        else 32768
    )
    addresses = free_addresses(50)
    addresses += free_addresses(50)
    assert len(set(addresses)) == 100, "no address is returned twice"
    assert all(
        int(address.rpartition(":")[2]) < first_ephemeral_port for address in addresses
    )


def test_bound_address_is_not_returned(monkeypatch):
    with socket.socket() as sock:
        host, _, port = free_addresses(1)[0].rpartition(":")
        sock.bind((host, int(port)))
        monkeypatch.setattr("pimentospool.addresses._FIRST_PORT", int(port))
        monkeypatch.setattr("pimentospool.addresses._LAST_PORT", int(port))
        assert free_addresses(1) == []


def test_reserved_networks_do_not_overlap(monkeypatch):
    monkeypatch.setattr(
        "pimentospool.addresses._NETWORKS", range(70 * 256, 70 * 256 + 2)
    )
    first, second = LoopbackNetwork(), LoopbackNetwork()
    try:
        assert first.ip(0) != second.ip(0)
        with pytest.raises(OSError, match="reserved"):
            LoopbackNetwork()
        first.close()
        LoopbackNetwork().close()
    finally:
        first.close()
        second.close()
