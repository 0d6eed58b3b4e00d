"""What the requests of one process share while they are served."""

import random
from collections.abc import Callable

from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._fleet import Fleet
from pimentospool.gateway._outcomes import RoutedOutcome
from pimentospool.gateway._placement import Placing, SharedBounds
from pimentospool.gateway._pools import Pools
from pimentospool.gateway._routing_state import Knowledge
from pimentospool.ids import ServiceId
from pimentospool.policy import RepeatBudget
from pimentospool.signals import Signal


class ServingTools:
    """Knowledge, decisions and connections.

    Parameters
    ----------
    knowledge : Knowledge
        Configuration and targets.
    fleet : Fleet
        Other entry VMs.
    placing : Placing
        Decides where requests go.
    pools : Pools
        Connections to targets and entry VMs.
    dialect : TargetDialect
        Form of requests and answers.
    bounds : SharedBounds
        Bounds on repeated sends.
    regions : int
        Regions of the deployment.
    clock : callable
        Returns the steady time in seconds.
    rng : random.Random
        Choice among entry VMs.
    """

    def __init__(
        self,
        *,
        knowledge: Knowledge,
        fleet: Fleet,
        placing: Placing,
        pools: Pools,
        dialect: TargetDialect,
        bounds: SharedBounds,
        regions: int,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.knowledge = knowledge
        self.fleet = fleet
        self.placing = placing
        self.pools = pools
        self.dialect = dialect
        self.clock = clock
        self.rng = rng
        self.request_ended: Signal[RoutedOutcome] = Signal(name="request_ended")
        self._bounds = bounds
        self._regions = regions
        self._budgets: dict[ServiceId, RepeatBudget] = {}

    def budget(self, service: ServiceId) -> RepeatBudget:
        """Return the budget of repeated sends of `service`."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RepeatBudget(
                ratio=self._bounds.repeat_ratio,
                reserve=self._bounds.repeat_reserve,
                regions=self._regions,
                window_seconds=self._bounds.repeat_window_seconds,
                clock=self.clock,
            )
            self._budgets[service] = budget
        return budget
