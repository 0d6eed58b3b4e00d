"""Fault-injecting TCP proxy for tests and drills."""

from pimentospool.faults._proxy import Direction, FaultProxy, LinkState

__all__ = ["Direction", "FaultProxy", "LinkState"]
