"""Free addresses stay free until their owner takes them."""

import socket
from pathlib import Path

from pimentospool.addresses import free_addresses

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_no_outgoing_connection_takes_a_free_address():
    first = int(RANGE.read_text().split()[0]) if RANGE.exists() else 32768
    addresses = free_addresses(50)
    addresses += free_addresses(50)
    assert len(set(addresses)) == 100, "no address is given twice"
    assert all(int(address.rpartition(":")[2]) < first for address in addresses)


def test_a_taken_address_is_not_free(monkeypatch):
    with socket.socket() as sock:
        host, _, port = free_addresses(1)[0].rpartition(":")
        sock.bind((host, int(port)))
        monkeypatch.setattr("pimentospool.addresses._FIRST_PORT", int(port))
        monkeypatch.setattr("pimentospool.addresses._LAST_PORT", int(port))
        assert free_addresses(1) == []
