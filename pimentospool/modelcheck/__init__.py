"""Model checker that explores all states of small cases of the real policy code."""

from pimentospool.modelcheck._at_most_once import ONCE_CASES, OnceCase, OnceModel
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
    "ONCE_CASES",
    "REVISIONS_CASES",
    "Exploration",
    "Model",
    "OnceCase",
    "OnceModel",
    "RevisionsCase",
    "RevisionsModel",
    "Step",
    "Violation",
    "explore",
    "walk",
]
