"""HTTP server for callers and for hops from other entry VMs."""

from pimentospool.callers._app import CallerServer

__all__ = ["CallerServer"]
