"""Fault-injection drills: real processes on loopback, and checks of the promises."""

from pimentospool.drill._evidence import (
    Evidence,
    FaultWindow,
    ObservedHop,
    Promise,
    PromiseResult,
    Publication,
    RevisionSample,
    TargetExecution,
)
from pimentospool.drill._live import LiveWatch, declared_faults
from pimentospool.drill._processes import EntryProcess
from pimentospool.drill._promise_checker import PromiseChecker, all_held
from pimentospool.drill._report import DrillReport, make_report, write_report
from pimentospool.drill._runner import Drill, DrillProgress
from pimentospool.drill._scenarios import (
    PlannedFault,
    ScenarioPlanner,
    parse_scenario,
    read_scenario,
)
from pimentospool.drill._view import DrillView

__all__ = [
    "Drill",
    "DrillProgress",
    "DrillReport",
    "DrillView",
    "EntryProcess",
    "Evidence",
    "FaultWindow",
    "LiveWatch",
    "ObservedHop",
    "PlannedFault",
    "Promise",
    "PromiseChecker",
    "PromiseResult",
    "Publication",
    "RevisionSample",
    "ScenarioPlanner",
    "TargetExecution",
    "all_held",
    "declared_faults",
    "make_report",
    "parse_scenario",
    "read_scenario",
    "write_report",
]
