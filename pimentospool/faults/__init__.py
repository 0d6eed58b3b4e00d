"""Fault-injecting TCP proxy, and misbehaving clients, for tests and drills."""

from pimentospool.faults._misbehaving_clients import MisbehavingClients
from pimentospool.faults._proxy import Direction, FaultProxy, LinkState

__all__ = ["Direction", "FaultProxy", "LinkState", "MisbehavingClients"]
