"""Orders that bring engines from what they hold to what they should hold.

Planning is level-triggered: it compares and orders the difference, and an order is
safe to repeat. Loads run beside the version that serves, so a version is unloaded
only when its successor is ready at the same engine.
"""

from collections.abc import Mapping

import msgspec

from pimentospool._generated.engine import (
    EngineOrder,
    EngineState,
    LoadedModel,
    OrderAction,
)
from pimentospool.ids import ModelId, TargetId
from pimentospool.policy._placement import DesiredEngine, DesiredModel

MAX_LOADS_PER_ZONE = 1
_TERM_BITS = 20
_TERM_MASK = (1 << _TERM_BITS) - 1


class PlannedOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order before its fencing number, with the reason for it."""

    target: TargetId
    order: EngineOrder
    explanation: str


class OrderHold(msgspec.Struct, kw_only=True, frozen=True):
    """A difference that is not ordered yet, with the reason for waiting."""

    target: TargetId
    explanation: str


class OrderPlan(msgspec.Struct, kw_only=True):
    """What to order now and what waits."""

    orders: list[PlannedOrder]
    holds: list[OrderHold]


def fencing_number(*, revision: int, term: int) -> int:
    """Return the fencing number of an orderer's term under a revision."""
    return revision << _TERM_BITS | min(term, _TERM_MASK)


def fencing_revision(number: int) -> int:
    """Return the revision in a fencing number."""
    return number >> _TERM_BITS


class FencingTerms:
    """Fencing numbers that one orderer uses; they never go down for a target."""

    def __init__(self) -> None:
        self._held: dict[TargetId, int] = {}

    def next_number(
        self, target: TargetId, *, revision: int, observed: int
    ) -> int | None:
        """Return the number for the next order, or None if a newer one has ruled.

        Parameters
        ----------
        target : TargetId
            Engine that gets the order.
        revision : int
            Revision in force here.
        observed : int
            Highest number that the engine reports.
        """
        held = self._held.get(target, 0)
        highest = max(held, observed)
        if fencing_revision(highest) > revision:
            return None
        if held == highest and fencing_revision(held) == revision:
            return held
        term = highest & _TERM_MASK if fencing_revision(highest) == revision else 0
        number = fencing_number(revision=revision, term=term + 1)
        self._held[target] = number
        return number


def plan_orders(
    *,
    desired: Mapping[TargetId, DesiredEngine],
    observed: Mapping[TargetId, EngineState],
    zone_targets: frozenset[TargetId],
    leaving: frozenset[TargetId],
    stalled: frozenset[TargetId] = frozenset(),
    refusals: Mapping[TargetId, int] | None = None,
    weight_store_address: str = "",
) -> OrderPlan:
    """Return the orders for the engines of one availability zone.

    Parameters
    ----------
    desired : mapping of TargetId to DesiredEngine
        What the engines of the whole region should hold.
    observed : mapping of TargetId to EngineState
        What the reachable engines of the region hold.
    zone_targets : frozenset of TargetId
        Engines that the caller orders.
    leaving : frozenset of TargetId
        Engines that get no load any more and do not count as serving.
    stalled : frozenset of TargetId
        Engines whose load does not end; they hold up no other engine's load.
    refusals : mapping of TargetId to int, optional
        Orders in a row that an engine did not take; the fewest go first, so that
        such an engine holds up no other.
    weight_store_address : str
        IP:port from which engines load weights.
    """
    refused = refusals or {}
    planner = _Planner(
        desired, observed, zone_targets, leaving, stalled, weight_store_address
    )
    targets = zone_targets & observed.keys() & desired.keys()
    for target in sorted(targets, key=lambda name: (refused.get(name, 0), name)):
        planner.plan_target(target)
    return planner.plan


class _Planner:
    """Plans one zone; loads are counted over all of its engines."""

    def __init__(
        self,
        desired: Mapping[TargetId, DesiredEngine],
        observed: Mapping[TargetId, EngineState],
        zone_targets: frozenset[TargetId],
        leaving: frozenset[TargetId],
        stalled: frozenset[TargetId],
        weight_store_address: str,
    ) -> None:
        self.plan = OrderPlan(orders=[], holds=[])
        self._desired = desired
        self._observed = observed
        self._leaving = leaving
        self._weight_store_address = weight_store_address
        self._loading = sum(
            not held.ready
            for target in (zone_targets & observed.keys()) - stalled
            for held in observed[target].models
        )

    def plan_target(self, target: TargetId) -> None:
        """Add the orders of one engine."""
        state = self._observed[target]
        engine = self._desired[target]
        if target in self._leaving:
            return
        for wanted in engine.models.values():
            held = _find(state, wanted.model, wanted.version)
            if held is None:
                self._plan_load(target, wanted)
            elif held.ready:
                self._plan_adapters(target, wanted, held)
        for held in state.models:
            self._plan_unload(target, engine, state, held)
        if state.role != engine.role.value:
            order = EngineOrder(
                action=OrderAction.SET_ROLE, fencing=0, role=engine.role.value
            )
            self._order(target, order, f"role is {state.role}")

    def _plan_load(self, target: TargetId, wanted: DesiredModel) -> None:
        if self._loading >= MAX_LOADS_PER_ZONE:
            self._hold(target, f"load of {wanted.model} waits for another load")
            return
        self._loading += 1
        order = EngineOrder(
            action=OrderAction.LOAD,
            fencing=0,
            model=wanted.model,
            version=wanted.version,
            weight_store_address=self._weight_store_address,
            weight_mb=wanted.weight_mb,
        )
        self._order(target, order, "the version is not held")

    def _plan_adapters(
        self, target: TargetId, wanted: DesiredModel, held: LoadedModel
    ) -> None:
        missing = set(wanted.adapters) - set(held.adapters)
        surplus = set(held.adapters) - set(wanted.adapters)
        for action, adapters in (
            (OrderAction.LOAD_ADAPTER, missing),
            (OrderAction.UNLOAD_ADAPTER, surplus),
        ):
            for adapter in sorted(adapters):
                order = EngineOrder(
                    action=action,
                    fencing=0,
                    model=wanted.model,
                    version=wanted.version,
                    adapter=adapter,
                )
                self._order(target, order, "adapters differ")

    def _plan_unload(
        self,
        target: TargetId,
        engine: DesiredEngine,
        state: EngineState,
        held: LoadedModel,
    ) -> None:
        wanted = engine.models.get(held.model)
        if wanted is not None and wanted.version == held.version:
            return
        if wanted is not None:
            successor = _find(state, wanted.model, wanted.version)
            if successor is None or not successor.ready:
                self._hold(target, f"{held.model} serves until its successor is ready")
                return
        elif not self._served_elsewhere(held.model):
            self._hold(target, f"{held.model} is not ready at its other targets")
            return
        order = EngineOrder(
            action=OrderAction.UNLOAD,
            fencing=0,
            model=held.model,
            version=held.version,
        )
        self._order(target, order, "the version is no longer served here")

    def _served_elsewhere(self, model: ModelId) -> bool:
        """Return whether every target that should hold `model` serves it."""
        return all(
            self._ready(target, engine.models[model])
            for target, engine in self._desired.items()
            if model in engine.models and target not in self._leaving
        )

    def _ready(self, target: TargetId, wanted: DesiredModel) -> bool:
        state = self._observed.get(target)
        if state is None:
            return False
        held = _find(state, wanted.model, wanted.version)
        return held is not None and held.ready

    def _order(self, target: TargetId, order: EngineOrder, explanation: str) -> None:
        planned = PlannedOrder(target=target, order=order, explanation=explanation)
        self.plan.orders.append(planned)

    def _hold(self, target: TargetId, explanation: str) -> None:
        self.plan.holds.append(OrderHold(target=target, explanation=explanation))


def _find(state: EngineState, model: ModelId, version: str) -> LoadedModel | None:
    for held in state.models:
        if held.model == model and held.version == version:
            return held
    return None
