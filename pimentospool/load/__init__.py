"""Open-loop load generation: arrivals, requests, callers and their records."""

from pimentospool._generated.records import (
    AttemptRecord,
    CallerRecord,
    CallKind,
    CallOutcome,
)
from pimentospool.load._arrivals import Arrival, ArrivalCurve, plan_arrivals
from pimentospool.load._callers import Callers, EntryAddress, EntryDirectory
from pimentospool.load._checks import AnswerCheck, StandinAnswerCheck, StreamEndCheck
from pimentospool.load._generator import LoadGenerator
from pimentospool.load._histograms import LatencySummary, summarize
from pimentospool.load._traffic import (
    Call,
    KeyOf,
    TrafficMix,
    TrafficSource,
    deployment_mix,
    example_key,
)

__all__ = [
    "AnswerCheck",
    "Arrival",
    "ArrivalCurve",
    "AttemptRecord",
    "Call",
    "CallKind",
    "CallOutcome",
    "CallerRecord",
    "Callers",
    "EntryAddress",
    "EntryDirectory",
    "KeyOf",
    "LatencySummary",
    "LoadGenerator",
    "StandinAnswerCheck",
    "StreamEndCheck",
    "TrafficMix",
    "TrafficSource",
    "deployment_mix",
    "example_key",
    "plan_arrivals",
    "summarize",
]
