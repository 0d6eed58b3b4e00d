"""Commands of the program, each in a module that is imported when it is used."""

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
