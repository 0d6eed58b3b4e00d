"""Model checker that explores all states of small cases of the real policy code."""

from pimentospool.modelcheck._at_most_once import (
    AT_MOST_ONCE_CASES,
    AtMostOnceCase,
    AtMostOnceModel,
)
from pimentospool.modelcheck._explorer import (
    Exploration,
    Model,
    Step,
    Violation,
    explore,
    walk,
)
from pimentospool.modelcheck._revisions import (
    REVISIONS_CASES,
    RevisionsCase,
    RevisionsModel,
)

__all__ = [
    "AT_MOST_ONCE_CASES",
    "REVISIONS_CASES",
    "AtMostOnceCase",
    "AtMostOnceModel",
    "Exploration",
    "Model",
    "RevisionsCase",
    "RevisionsModel",
    "Step",
    "Violation",
    "explore",
    "walk",
]
