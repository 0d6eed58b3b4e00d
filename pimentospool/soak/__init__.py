"""Randomized soak test of node processes against stand-ins, with injected faults."""

from pimentospool.soak._checker import (
    Arrival,
    Disturbance,
    SoakChecker,
    SoakRecord,
    SoakRoute,
    TargetNotice,
    Violation,
)
from pimentospool.soak._fault_plan import PlannedFault, SoakFault, plan_faults
from pimentospool.soak._runner import CALLERS_PER_NODE, Soak, SoakResult

__all__ = [
    "CALLERS_PER_NODE",
    "Arrival",
    "Disturbance",
    "PlannedFault",
    "Soak",
    "SoakChecker",
    "SoakFault",
    "SoakRecord",
    "SoakResult",
    "SoakRoute",
    "TargetNotice",
    "Violation",
    "plan_faults",
]
