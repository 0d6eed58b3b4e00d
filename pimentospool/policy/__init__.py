"""Decisions of the gateway: no input or output, no clock and no global random."""

from pimentospool.policy._orders import (
    FencingTerms,
    OrderPlan,
    PlannedOrder,
    fencing_number,
    fencing_revision,
    plan_orders,
)
from pimentospool.policy._placement import (
    DesiredEngine,
    DesiredModel,
    place_models,
)
from pimentospool.policy._routing import (
    RegionRoute,
    RouteQuery,
    Router,
    RouteRefusal,
    TargetRoute,
)

__all__ = [
    "DesiredEngine",
    "DesiredModel",
    "FencingTerms",
    "OrderPlan",
    "PlannedOrder",
    "RegionRoute",
    "RouteQuery",
    "RouteRefusal",
    "Router",
    "TargetRoute",
    "fencing_number",
    "fencing_revision",
    "place_models",
    "plan_orders",
]
