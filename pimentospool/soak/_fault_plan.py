"""Which faults a soak injects, when and where: a function of its seed."""

import random
from enum import Enum

import msgspec

MEAN_PAUSE_SECONDS = 0.9
"""Mean time between faults; most faults last longer, so that they overlap."""
SHORTEST_SECONDS = 0.2
LONGEST_SECONDS = 5.0
SERIES_SHARE = 0.3
"""Share of faults that come as a series at one place."""
SERIES_LENGTH = 4
SERIES_PAUSE_SECONDS = 0.4


class SoakFault(Enum):
    """What is done to one part of the deployment."""

    NODE_PAUSED = "node paused"
    NODE_KILLED = "node killed and started again"
    NODE_TERMINATED = "node terminated and started again"
    NODE_RELOADED = "settings of a node reloaded"
    CALLERS_RESET = "connections of callers reset"
    CALLERS_SILENCED = "connections of callers silent for good"
    TARGET_DELAYED = "link to a target delayed"
    TARGET_RESET = "connections to a target reset"
    TARGET_CUT = "link to a target cut"
    TARGET_SILENT = "link to a target silent one way"
    TARGET_LOST = "connections to a target silent for good"
    TARGET_SPOILING = "target spoils exchanges"
    TARGET_REPLACED = "target replaced by another at its address"
    TARGET_DRAINING = "target draining"
    STORE_REFUSING = "store refuses calls"
    STORE_SILENT = "store gives no answers"
    STORE_FORGETTING = "store drops its history"
    STORE_CUT = "link of a node to the store cut"
    CONFIGURATION = "configuration changed"


OF_NODES = frozenset(
    {
        SoakFault.NODE_PAUSED,
        SoakFault.NODE_KILLED,
        SoakFault.NODE_TERMINATED,
        SoakFault.CALLERS_RESET,
        SoakFault.CALLERS_SILENCED,
    }
)
"""Faults that may end calls of the node at which they are injected."""


class PlannedFault(msgspec.Struct, kw_only=True, frozen=True):
    """One fault; times in seconds from the start of the calls.

    `place` chooses among the nodes or targets of a deployment of any size.
    """

    at: float
    seconds: float
    fault: SoakFault
    place: int
    variant: int


def plan_faults(seed: int, *, seconds: float) -> list[PlannedFault]:
    """Return the faults of a soak of `seconds`, by their time."""
    rng = random.Random(seed)
    planned = []
    at = rng.expovariate(1 / MEAN_PAUSE_SECONDS)
    while at < seconds:
        fault = rng.choice(list(SoakFault))
        place = rng.randrange(1 << 16)
        length = rng.randint(2, SERIES_LENGTH) if rng.random() < SERIES_SHARE else 1
        start = at
        for _ in range(length):
            planned.append(
                PlannedFault(
                    at=start,
                    seconds=rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS),
                    fault=fault,
                    place=place,
                    variant=rng.randrange(1 << 16),
                )
            )
            start += rng.expovariate(1 / SERIES_PAUSE_SECONDS)
        at += rng.expovariate(1 / MEAN_PAUSE_SECONDS)
    return sorted(planned, key=lambda item: item.at)
