"""Commands of the program, one module each, imported when they are used."""

from pimentospool.commands._lazy import LazyGroup

COMMANDS = [
    "bench",
    "check",
    "demo",
    "drill",
    "soak",
    "entry",
    "explain",
    "modelcheck",
    "node",
    "load",
    "pack",
    "score",
    "standin",
    "status",
]

__all__ = ["COMMANDS", "LazyGroup"]
