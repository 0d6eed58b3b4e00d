"""Schedule of the faults that a soak injects, derived from its seed."""

import random
from enum import Enum

import msgspec

MEAN_PAUSE_SECONDS = 0.9
"""Mean time between faults; most faults last longer, so that they overlap."""
MIN_FAULT_SECONDS = 0.2
MAX_FAULT_SECONDS = 5.0
SERIES_SHARE = 0.3
"""Share of faults that are repeated as a series at the same node or target."""
MAX_SERIES_LENGTH = 4
MEAN_SERIES_PAUSE_SECONDS = 0.4
MEAN_RESTORE_PAUSE_SECONDS = 6.0
"""Mean time between restores of the store. They are drawn by themselves, so that the
other faults of a seed stay the same."""


LIMITED_SECONDS = 10.0
"""Time for which a target names its limit; the platform's rule on it begins after five
seconds."""
MEAN_NOTICE_PAUSE_SECONDS = 8.0
"""Mean time between notices that targets give. They are drawn by themselves, too."""
MEAN_BURST_PAUSE_SECONDS = 8.0
"""Mean time between bursts of long bodies, which are drawn likewise."""
MEAN_CROWD_PAUSE_SECONDS = 8.0
"""The same between crowds of misbehaving clients."""


class SoakFault(Enum):
    """Fault injected into one part of the deployment."""

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
    STORE_RESTORED = "store restored from a copy"
    TARGET_LIMITED = "target names a limit"
    TARGET_SAYING_LEAVING = "target says that it leaves, then is replaced"
    LONG_BODIES = "burst of long bodies and answers at a node"
    CALLERS_MISBEHAVING = "crowd of clients outside the limits at a node"


NODE_FAULTS = frozenset(
    {
        SoakFault.NODE_PAUSED,
        SoakFault.NODE_KILLED,
        SoakFault.NODE_TERMINATED,
        SoakFault.CALLERS_RESET,
        SoakFault.CALLERS_SILENCED,
    }
)
"""Faults that may abort calls in progress at the node where they are injected."""


_DRAWN_APART = (
    SoakFault.STORE_RESTORED,
    SoakFault.TARGET_LIMITED,
    SoakFault.TARGET_SAYING_LEAVING,
    SoakFault.LONG_BODIES,
    SoakFault.CALLERS_MISBEHAVING,
)


class PlannedFault(msgspec.Struct, kw_only=True, frozen=True):
    """One scheduled fault.

    Attributes
    ----------
    at_seconds : float
        Time of the injection, from the start of the calls.
    duration_seconds : float
        Time until the fault is reverted; ignored by faults that only happen once.
    fault : SoakFault
        What to inject.
    location : int
        Random number; modulo the number of nodes or targets it selects one of them,
        so that a plan fits a deployment of any size.
    variant : int
        Random number that selects among the variants of the fault.
    """

    at_seconds: float
    duration_seconds: float
    fault: SoakFault
    location: int
    variant: int


def plan_faults(seed: int, *, seconds: float) -> list[PlannedFault]:
    """Return the faults of a soak that lasts `seconds`, ordered by time."""
    rng = random.Random(seed)
    other_faults = [item for item in SoakFault if item not in _DRAWN_APART]
    planned = _plan_restores(seed, seconds=seconds)
    planned += _plan_notices(seed, seconds=seconds)
    planned += _plan_bursts(seed, seconds=seconds)
    planned += _plan_crowds(seed, seconds=seconds)
    at_seconds = rng.expovariate(1 / MEAN_PAUSE_SECONDS)
    while at_seconds < seconds:
        fault = rng.choice(other_faults)
        location = rng.randrange(1 << 16)
        length = rng.randint(2, MAX_SERIES_LENGTH) if rng.random() < SERIES_SHARE else 1
        start_seconds = at_seconds
        for _ in range(length):
            planned.append(
                PlannedFault(
                    at_seconds=start_seconds,
                    duration_seconds=rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
                    fault=fault,
                    location=location,
                    variant=rng.randrange(1 << 16),
                )
            )
            start_seconds += rng.expovariate(1 / MEAN_SERIES_PAUSE_SECONDS)
        at_seconds += rng.expovariate(1 / MEAN_PAUSE_SECONDS)
    return sorted(planned, key=lambda item: item.at_seconds)


def _plan_restores(seed: int, *, seconds: float) -> list[PlannedFault]:
    rng = random.Random(f"restores of {seed}")
    planned = []
    at_seconds = rng.expovariate(1 / MEAN_RESTORE_PAUSE_SECONDS)
    while at_seconds < seconds:
        duration_seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        planned.append(
            PlannedFault(
                at_seconds=at_seconds,
                duration_seconds=duration_seconds,
                fault=SoakFault.STORE_RESTORED,
                location=0,
                variant=rng.randrange(1 << 16),
            )
        )
        at_seconds += duration_seconds + rng.expovariate(1 / MEAN_RESTORE_PAUSE_SECONDS)
    return planned


def _plan_notices(seed: int, *, seconds: float) -> list[PlannedFault]:
    """Return what targets say of themselves in their answers, and when."""
    rng = random.Random(f"notices of {seed}")
    planned = []
    at_seconds = rng.expovariate(1 / MEAN_NOTICE_PAUSE_SECONDS)
    while at_seconds < seconds:
        fault, duration_seconds = SoakFault.TARGET_SAYING_LEAVING, MAX_FAULT_SECONDS
        if at_seconds + LIMITED_SECONDS <= seconds and rng.random() < 0.5:
            fault, duration_seconds = SoakFault.TARGET_LIMITED, LIMITED_SECONDS
        planned.append(
            PlannedFault(
                at_seconds=at_seconds,
                duration_seconds=duration_seconds,
                fault=fault,
                location=rng.randrange(1 << 16),
                variant=rng.randrange(1 << 16),
            )
        )
        at_seconds += rng.expovariate(1 / MEAN_NOTICE_PAUSE_SECONDS)
    return planned


def _plan_bursts(seed: int, *, seconds: float) -> list[PlannedFault]:
    rng = random.Random(f"bursts of {seed}")
    planned = []
    at_seconds = rng.expovariate(1 / MEAN_BURST_PAUSE_SECONDS)
    while at_seconds < seconds:
        planned.append(
            PlannedFault(
                at_seconds=at_seconds,
                duration_seconds=0.0,
                fault=SoakFault.LONG_BODIES,
                location=rng.randrange(1 << 16),
                variant=rng.randrange(1 << 16),
            )
        )
        at_seconds += rng.expovariate(1 / MEAN_BURST_PAUSE_SECONDS)
    return planned


def _plan_crowds(seed: int, *, seconds: float) -> list[PlannedFault]:
    rng = random.Random(f"crowds of {seed}")
    planned = []
    at_seconds = rng.expovariate(1 / MEAN_CROWD_PAUSE_SECONDS)
    while at_seconds < seconds:
        planned.append(
            PlannedFault(
                at_seconds=at_seconds,
                duration_seconds=rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
                fault=SoakFault.CALLERS_MISBEHAVING,
                location=rng.randrange(1 << 16),
                variant=rng.randrange(1 << 16),
            )
        )
        at_seconds += rng.expovariate(1 / MEAN_CROWD_PAUSE_SECONDS)
    return planned
