"""Failures on demand against real processes on loopback."""

from pimentospool.drill._processes import EntryProcess

__all__ = ["EntryProcess"]
