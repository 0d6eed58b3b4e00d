"""Decisions of the gateway: no input or output, no clock and no global random."""

from pimentospool.policy._routing import (
    RegionRoute,
    RouteQuery,
    Router,
    RouteRefusal,
    TargetRoute,
)

__all__ = [
    "RegionRoute",
    "RouteQuery",
    "RouteRefusal",
    "Router",
    "TargetRoute",
]
