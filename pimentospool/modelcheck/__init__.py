"""Exhaustive exploration of small cases over the real policy code."""

from pimentospool.modelcheck._explorer import (
    Exploration,
    Model,
    Step,
    Violation,
    explore,
    walk,
)
from pimentospool.modelcheck._once import ONCE_CASES, OnceCase, OnceModel

__all__ = [
    "ONCE_CASES",
    "Exploration",
    "Model",
    "OnceCase",
    "OnceModel",
    "Step",
    "Violation",
    "explore",
    "walk",
]
