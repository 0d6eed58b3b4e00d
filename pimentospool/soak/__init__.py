"""A randomized soak of node processes against stand-ins, with faults from outside."""

from pimentospool.soak._checker import (
    Arrival,
    Disturbance,
    SoakJudge,
    SoakRecord,
    SoakRoute,
    Violation,
)
from pimentospool.soak._fault_plan import PlannedFault, SoakFault, plan_faults
from pimentospool.soak._runner import CALLERS, Soak, SoakResult

__all__ = [
    "CALLERS",
    "Arrival",
    "Disturbance",
    "PlannedFault",
    "Soak",
    "SoakFault",
    "SoakJudge",
    "SoakRecord",
    "SoakResult",
    "SoakRoute",
    "Violation",
    "plan_faults",
]
