"""`pimentospool bench`: the group of benchmarks, each in a module of its own."""

import click

from pimentospool.commands._lazy import LazyGroup

BENCHES = [
    "operations",
    "control",
    "endless-answers",
    "heartbeats",
    "membership",
    "policy",
    "policy-cost",
    "refusals",
    "relay",
]


@click.group(
    cls=LazyGroup, module_prefix="pimentospool.commands._bench_", names=BENCHES
)
def bench() -> None:
    """Measure parts of the gateway; each benchmark prints and writes its results."""
