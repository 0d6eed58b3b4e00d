"""The orderer of an availability zone: reads engines' states and orders the rest."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum

import aiohttp
import msgspec

from pimentospool._generated.engine import EngineOrder, EngineState
from pimentospool._generated.status import OrderStatus
from pimentospool.errors import PimentospoolError
from pimentospool.ids import RegionId, TargetId, ZoneId
from pimentospool.log import Event, log_event
from pimentospool.manifest import ManifestIndex, Target
from pimentospool.policy import (
    DesiredEngine,
    FencingTerms,
    OrderPlan,
    PlannedOrder,
    place_models,
    plan_orders,
)
from pimentospool.sending import open_session
from pimentospool.views import View

ORDERS = "orders"
ORDER_INTERVAL_SECONDS = 1.0
ORDER_VALIDITY_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 2.0
STALLED_LOAD_SECONDS = 120.0
STATE_READS_PER_SECOND = 25.0
_STATES_AT_ONCE = 10


class OrderResult(Enum):
    """What became of an order."""

    TAKEN = "taken"
    FENCED = "fenced"
    EXPIRED = "expired"
    UNCONFIRMED = "unconfirmed"
    OUTRANKED = "outranked"
    FAILED = "failed"


class OrderRecord(msgspec.Struct, kw_only=True):
    """The last order to a target, for operators."""

    target: TargetId
    order: EngineOrder
    result: OrderResult
    explanation: str


class EngineUnreachable(PimentospoolError):
    """An engine did not answer a control request."""


class EngineControl:
    """HTTP client of the engines' order interface."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self._session = open_session(timeout=timeout)

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def read_state(self, target: Target) -> EngineState:
        """Return what the engine holds.

        Raises
        ------
        EngineUnreachable
            If it does not answer with a state.
        """
        try:
            async with self._session.get(_orders_url(target)) as resp:
                return msgspec.json.decode(await resp.read(), type=EngineState)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            raise EngineUnreachable(f"{target.id}: {exc!r}") from exc

    async def send_order(self, target: Target, order: EngineOrder) -> OrderResult:
        """Send one order and return whether the engine took it.

        Raises
        ------
        EngineUnreachable
            If it does not answer; the order may have been taken.
        """
        body = msgspec.json.encode(order)
        try:
            async with self._session.post(_orders_url(target), data=body) as resp:
                await resp.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise EngineUnreachable(f"{target.id}: {exc!r}") from exc
        if resp.status == 409:
            return OrderResult.FENCED
        return OrderResult.TAKEN if resp.status == 200 else OrderResult.FAILED


class Orderer:
    """Orders the engines of one zone while this entry VM ranks first in it.

    Parameters
    ----------
    region, zone : RegionId, ZoneId
        Place of the entry VM.
    view : View
        Configuration in force.
    weight_store_address : str
        IP:port from which engines load weights.
    is_orderer : callable
        Whether this entry VM ranks first among the zone's live ones.
    is_confirmed : callable
        Whether a peer or the platform has lately confirmed this entry VM's view.
    leaving_targets : callable
        Targets that take no new request.
    clock : callable
        Monotonic time in seconds that goes on while the process is paused.
    control : EngineControl
        Client of the engines.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        zone: ZoneId,
        view: View,
        weight_store_address: str,
        is_orderer: Callable[[], bool],
        is_confirmed: Callable[[], bool],
        leaving_targets: Callable[[], frozenset[TargetId]],
        clock: Callable[[], float],
        control: EngineControl,
    ) -> None:
        self.records: dict[TargetId, OrderRecord] = {}
        self.holds: dict[TargetId, str] = {}
        self._region = region
        self._zone = zone
        self._view = view
        self._weight_store_address = weight_store_address
        self._is_orderer = is_orderer
        self._is_confirmed = is_confirmed
        self._leaving_targets = leaving_targets
        self._clock = clock
        self._control = control
        self._terms = FencingTerms()
        self._loads: dict[TargetId, float] = {}
        self._refusals: Counter[TargetId] = Counter()

    async def run(self) -> None:
        """Compare and order for as long as the task lives."""
        while True:
            if self._is_orderer() and self._view.revision is not None:
                await self.step()
            await asyncio.sleep(ORDER_INTERVAL_SECONDS)

    def statuses(self) -> list[OrderStatus]:
        """Return the last orders and what waits, for operators."""
        statuses = [
            OrderStatus(
                target=record.target,
                action=record.order.action.value,
                model=record.order.model,
                version=record.order.version,
                result=record.result.value,
                explanation=record.explanation,
            )
            for record in self.records.values()
        ]
        statuses += [
            OrderStatus(target=target, result="waits", explanation=explanation)
            for target, explanation in self.holds.items()
        ]
        return sorted(statuses, key=lambda item: item.target)

    async def step(self) -> None:
        """Read the zone's engines once and order the difference."""
        index = self._view.index
        revision = self._view.number
        desired = place_models(index, self._region)
        targets = [index.targets[target] for target in desired]
        observed = await self._read_states(targets)
        plan = self._plan(index, desired, observed)
        self.holds = {hold.target: hold.explanation for hold in plan.holds}
        for planned in plan.orders:
            target = index.targets[planned.target]
            result = await self._send(target, planned, observed[target.id], revision)
            self._record(planned, result)

    def _plan(
        self,
        index: ManifestIndex,
        desired: Mapping[TargetId, DesiredEngine],
        observed: Mapping[TargetId, EngineState],
    ) -> OrderPlan:
        return plan_orders(
            desired=desired,
            observed=observed,
            zone_targets=frozenset(
                target
                for target in observed
                if index.targets[target].zone == self._zone
            ),
            leaving=self._leaving_targets(),
            stalled=self._stalled(observed),
            refusals=self._refusals,
            weight_store_address=self._weight_store_address,
        )

    async def _read_states(self, targets: list[Target]) -> dict[TargetId, EngineState]:
        """Read the engines' states, in batches that keep to the rate."""
        states: dict[TargetId, EngineState] = {}
        for start in range(0, len(targets), _STATES_AT_ONCE):
            if start:
                await asyncio.sleep(_STATES_AT_ONCE / STATE_READS_PER_SECOND)
            batch = targets[start : start + _STATES_AT_ONCE]
            read = await asyncio.gather(*map(self._read_state, batch))
            for target, state in zip(batch, read, strict=True):
                if state is not None:
                    states[target.id] = state
        return states

    async def _read_state(self, target: Target) -> EngineState | None:
        try:
            return await self._control.read_state(target)
        except EngineUnreachable:
            return None

    def _stalled(self, observed: Mapping[TargetId, EngineState]) -> frozenset[TargetId]:
        now = self._clock()
        loading = {
            target
            for target, state in observed.items()
            if any(not held.ready for held in state.models)
        }
        self._loads = {target: self._loads.get(target, now) for target in loading}
        return frozenset(
            target
            for target, since in self._loads.items()
            if now - since > STALLED_LOAD_SECONDS
        )

    async def _send(
        self,
        target: Target,
        planned: PlannedOrder,
        observed: EngineState,
        revision: int,
    ) -> OrderResult:
        """Order one difference, unless the engine changed since it was compared."""
        if not target.checks_fencing and not self._is_confirmed():
            return OrderResult.UNCONFIRMED
        number = self._terms.next_number(
            target.id, revision=revision, observed=observed.fencing
        )
        if number is None:
            return OrderResult.OUTRANKED
        order = msgspec.structs.replace(planned.order, fencing=number)
        try:
            read_at = self._clock()
            current = await self._control.read_state(target)
            if current.models != observed.models or self._outdated(revision, read_at):
                return OrderResult.EXPIRED
            result = await self._control.send_order(target, order)
        except EngineUnreachable:
            return OrderResult.FAILED
        return result

    def _outdated(self, revision: int, read_at: float) -> bool:
        """Return whether the state was read too long ago to act on it."""
        late = self._clock() - read_at > ORDER_VALIDITY_SECONDS
        return late or revision != self._view.number or not self._is_orderer()

    def _record(self, planned: PlannedOrder, result: OrderResult) -> None:
        if result is OrderResult.TAKEN:
            self._refusals.pop(planned.target, None)
        else:
            self._refusals[planned.target] += 1
        record = OrderRecord(
            target=planned.target,
            order=planned.order,
            result=result,
            explanation=planned.explanation,
        )
        if record != self.records.get(planned.target):
            log_event(
                Event.ORDER_SENT if result is OrderResult.TAKEN else Event.ORDER_HELD,
                target=planned.target,
                action=planned.order.action.value,
                model=planned.order.model,
                version=planned.order.version,
                result=result.value,
                reason=planned.explanation,
            )
        self.records[planned.target] = record


def _orders_url(target: Target) -> str:
    return f"http://{target.address}/orders"
