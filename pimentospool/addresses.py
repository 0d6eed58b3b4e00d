"""Free loopback addresses for tests, demos and drills."""

import os
import random
import socket

LOOPBACK = "127.0.0.1"
# The range lies below the kernel's ephemeral ports, so that no outgoing connection and
# no listener on port 0 takes an address before its owner binds it.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORTS_PER_PROCESS = 400
_returned_ports: set[int] = set()
# Ports that nodes use are above this one.
_RESERVATION_PORT = 9_999
_RESERVATION_HOST_NUMBER = 254
_MAX_HOSTS_PER_NETWORK = 200
_NETWORKS = range(64 * 256, 128 * 256)
"""Second and third byte of the networks 127.64.0.0/24 to 127.127.255.0/24."""


class LoopbackNetwork:
    """A loopback /24 network, reserved until `close` against other reservations.

    Runs that would use the same addresses disturb each other: a datagram reaches the
    wrong run, and a listener can't be bound. The reservation is a bound socket, so it
    ends with its process.

    Raises
    ------
    OSError
        If all networks are reserved.
    """

    def __init__(self) -> None:
        self._sock = socket.socket()
        for number in random.sample(_NETWORKS, len(_NETWORKS)):
            self._prefix = f"127.{number // 256}.{number % 256}"
            address = f"{self._prefix}.{_RESERVATION_HOST_NUMBER}"
            try:
                self._sock.bind((address, _RESERVATION_PORT))
            except OSError:
                continue
            return
        self._sock.close()
        raise OSError("all loopback networks are reserved")

    def ip(self, number: int) -> str:
        """Return the address of host `number`, from 0 on."""
        if not 0 <= number < _MAX_HOSTS_PER_NETWORK:
            raise ValueError(f"a network has {_MAX_HOSTS_PER_NETWORK} hosts")
        return f"{self._prefix}.{number + 1}"

    def close(self) -> None:
        """End the reservation."""
        self._sock.close()


def free_addresses(count: int) -> list[str]:
    """Return `count` distinct loopback addresses (IP:port) that no socket is bound to.

    A process gets each address only once.
    """
    ports = range(_FIRST_PORT, _LAST_PORT + 1)
    # Processes that search at the same time start at different ports.
    first_index = os.getpid() * _PORTS_PER_PROCESS + random.randrange(
        _PORTS_PER_PROCESS
    )
    found: list[str] = []
    for offset in range(len(ports)):
        port = ports[(first_index + offset) % len(ports)]
        if len(found) == count:
            break
        if port not in _returned_ports and _is_free(port):
            _returned_ports.add(port)
            found.append(f"{LOOPBACK}:{port}")
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
